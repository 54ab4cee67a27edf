/** Copies of hot prefix blocks in the key-value store (see `coordination/tracking` for what is hot). */
import { storeLocation } from '../../state/prefix-cache/cache-location.js';
import { cachedPrefixes } from '../../state/prefix-cache/cached-prefixes.js';
import { prefixIdentity } from '../../state/prefix-cache/prefix-identity.js';
import type { RequestContext } from '../request-context.js';
import { routers, type Router } from '../router.js';
import { promptDemand } from './prompt-demand.js';

/** Whether a block's share of the arrivals, counting this request as one, makes it a heavy hitter: φ − ε/2. */
function isHot(router: Router, key: string): boolean {
  const { share, total } = router.prefixCache.hotSet;
  const { phi, epsilon } = router.tuning;
  return ((share.get(key) ?? 0) * total + 1) / (total + 1) >= phi - epsilon / 2;
}

/**
 * The address of the store if the runner is to save a copy there: the prompt has a shared block that is hot, worth a
 * transfer and not in the store; null otherwise.
 */
function destination(router: Router, context: RequestContext, cacheNamespace: string, now: number): string | null {
  const store = routers.routeTable(router).stores[0]?.kv_store_addr;
  if (!store || !router.tuning.hotSet) return null;
  for (const block of promptDemand.shareableBlocks(context)) {
    if (block.tokens < router.tuning.movedTokens) continue;
    if (cachedPrefixes.tokensAt(router.prefixCache.locations, cacheNamespace, block.id, storeLocation, now) > 0)
      continue;
    if (isHot(router, prefixIdentity.blockKey(cacheNamespace, block.id))) return store;
  }
  return null;
}

export const storeCopy = { destination };
