/**
 * The location that an endpoint would best fetch a cached prefix from: one that has itself confirmed the blocks, not
 * long ago, under the same weights and isolation domain, with a lease to spare, and from where the transfer saves time
 * over prefill (see `coordination/transfer`).
 */
import { transferCost, type NetworkDistance } from '../../coordination/transfer/transfer-cost.js';
import { transfers } from '../../coordination/transfer/transfers.js';
import { storeLocation } from '../../state/prefix-cache/cache-location.js';
import { cachedPrefixes } from '../../state/prefix-cache/cached-prefixes.js';
import { prefixIdentity } from '../../state/prefix-cache/prefix-identity.js';
import type { RunnerEndpoint } from '../../state/runners/endpoint.js';
import type { TransferSource } from '../endpoint-assignment.js';
import { prefixTransfers } from '../prefix-transfers.js';
import type { RequestContext } from '../request-context.js';
import { routers, type Router } from '../router.js';
import type { SelectionInputs } from './selection-inputs.js';

/** A location that blocks could be fetched from, and the leases that other routers hold on it. */
type Candidate = { addr: string; zone: string; othersLeases: number };

/** What the endpoint would have without a transfer, and under which identity it would fetch the rest. */
export type TransferNeed = { cacheNamespace: string; revision: number; cachedTokens: number };

function distance(router: Router, from: string, to: string): NetworkDistance {
  if (from === to) return 'same_zone';
  const { zones } = router.settings;
  return zones[from] !== undefined && zones[from] === zones[to] ? 'same_region' : 'cross_region';
}

function storeCandidate(router: Router): Candidate | null {
  const store = routers.routeTable(router).stores[0];
  return store?.kv_store_addr
    ? { addr: store.kv_store_addr, zone: store.zone_name ?? '', othersLeases: router.transfers.peerStoreLeases }
    : null;
}

/** A runner serves as a source only while it is healthy and has the same service, model and weights. */
function runnerCandidate(
  router: Router,
  context: RequestContext,
  endpoint: RunnerEndpoint,
  location: number,
  revision: number,
): Candidate | null {
  const source = router.endpointPool.endpoints[location];
  if (
    !source ||
    !source.isListed ||
    source.health.state !== 'healthy' ||
    source.outlier.status !== 'admitted' ||
    source.isPaused ||
    source.service !== endpoint.service
  )
    return null;
  return source.modelRevisions.get(context.model!) === revision
    ? { addr: source.addr, zone: source.zone, othersLeases: source.peerLoad.transferLeases }
    : null;
}

function candidateAt(
  router: Router,
  context: RequestContext,
  endpoint: RunnerEndpoint,
  location: number,
  revision: number,
): Candidate | null {
  if (location === storeLocation) return storeCandidate(router);
  return runnerCandidate(router, context, endpoint, location, revision);
}

/** Tokens of the prompt that the location has confirmed beyond those that the endpoint has. */
function gainedTokens({ router, context, now }: SelectionInputs, need: TransferNeed, location: number): number {
  const { cacheNamespace, cachedTokens } = need;
  const { locations: cache } = router.prefixCache;
  const confirmedOnly = true;
  return (
    cachedPrefixes.prefixTokensAt(cache, cacheNamespace, context.prefixBlocks, location, now, confirmedOnly) -
    cachedTokens
  );
}

/** The source that saves most time, or null if none saves any. */
function best(inputs: SelectionInputs, endpoint: RunnerEndpoint, need: TransferNeed): TransferSource | null {
  const { router, context, transferBlock, costModel } = inputs;
  if (!transferBlock) return null;
  const locations = cachedPrefixes.locationsOf(router.prefixCache.locations, need.cacheNamespace, transferBlock.id);
  if (!locations) return null;
  const queuedMs = prefixTransfers.queuedMsAt(router, endpoint, inputs.now);
  let bestSource: TransferSource | null = null;
  let mostSavedMs = 0;
  for (const [location, entry] of locations) {
    if (location === endpoint.index) continue;
    const tokens = gainedTokens(inputs, need, location);
    if (tokens < router.tuning.movedTokens) continue;
    const candidate = candidateAt(router, context, endpoint, location, need.revision);
    if (!candidate) continue;
    const networkDistance = distance(router, candidate.zone, endpoint.zone);
    const durationMs = transferCost.transferMs(costModel, tokens, networkDistance);
    const load = {
      leasesAtSource: transfers.usageAt(router.transfers.machine, location).sourceLeases + candidate.othersLeases,
      queuedMsAtDestination: queuedMs,
    };
    if (transfers.rejectionOf(router.transfers.machine, entry, load, durationMs)) continue;
    const savedMs = transferCost.savedMs(costModel, tokens, networkDistance, queuedMs);
    if (!(savedMs > mostSavedMs)) continue;
    mostSavedMs = savedMs;
    const key = prefixIdentity.blockKey(need.cacheNamespace, transferBlock.id);
    bestSource = { location, addr: candidate.addr, key, tokens, durationMs, generation: entry.generation };
  }
  return bestSource;
}

export const transferSource = { best };
