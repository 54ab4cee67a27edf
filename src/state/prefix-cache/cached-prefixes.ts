/**
 * What a router believes is cached where: for each prefix block (by its identity) the cache locations said to hold it.
 * A *confirmed* entry is what the location itself has reported; an *expected* one is what a router has sent there, or
 * another router says it has. An expectation is counted in the cost of an endpoint until it expires, but nothing is
 * fetched on the strength of it. A wrong belief costs a cache miss, never a wrong answer. After PAPER-16
 * (`docs/design.md`). `now` and all times are in ms of the process's own clock.
 */
import type { PrefixCacheChange } from '../../protocol/rpc/state-sync-records.js';
import type { CacheLocation } from './cache-location.js';
import { prefixIdentity, type BlockKey } from './prefix-identity.js';

/**
 * What a location holds of a block, counted in tokens from the block's start. `expiresAtMs` is infinite for a confirmed
 * entry; `generation` is the position of the leader's index that confirmed it.
 */
export type CacheEntry = { tokens: number; isConfirmed: boolean; expiresAtMs: number; generation: number };

/** Entries by block key and location; of more than `maxBlocks` blocks the least recently recorded is forgotten. */
export type CachedPrefixes = { blocks: Map<BlockKey, Map<CacheLocation, CacheEntry>>; maxBlocks: number };

/** A block of a prompt with its length, as the request's headers name it. */
type PromptBlock = { id: string; tokens: number };

/** For how long a block that was sent somewhere is expected to be cached there without a report. */
const expectationMs = 3000;

/** A cache view without entries. */
function create(maxBlocks: number): CachedPrefixes {
  return { blocks: new Map(), maxBlocks };
}

/** The block's entries for a change: it becomes the most recent, and the oldest one is forgotten if there are too many. */
function entriesForUpdate(cache: CachedPrefixes, key: BlockKey): Map<CacheLocation, CacheEntry> {
  let entries = cache.blocks.get(key);
  if (entries) cache.blocks.delete(key);
  else entries = new Map();
  cache.blocks.set(key, entries);
  if (cache.blocks.size > cache.maxBlocks) cache.blocks.delete(cache.blocks.keys().next().value!);
  return entries;
}

/** The location itself reports that it holds so many tokens of the block. */
function recordConfirmed(
  cache: CachedPrefixes,
  cacheNamespace: string,
  blockId: string,
  location: CacheLocation,
  tokens: number,
  generation = 0,
): void {
  const entries = entriesForUpdate(cache, prefixIdentity.blockKey(cacheNamespace, blockId));
  entries.set(location, { tokens, isConfirmed: true, expiresAtMs: Infinity, generation });
}

/** A prompt with the block was sent there, so it should be cached soon; what is confirmed stays so. */
function recordExpected(
  cache: CachedPrefixes,
  cacheNamespace: string,
  blockId: string,
  location: CacheLocation,
  tokens: number,
  now: number,
): void {
  const entries = entriesForUpdate(cache, prefixIdentity.blockKey(cacheNamespace, blockId));
  const previous = entries.get(location);
  if (previous?.isConfirmed && previous.tokens >= tokens) return;
  const generation = previous?.generation ?? 0;
  entries.set(location, { tokens, isConfirmed: false, expiresAtMs: now + expectationMs, generation });
}

/** The location holds the block no more. */
function remove(cache: CachedPrefixes, cacheNamespace: string, blockId: string, location: CacheLocation): void {
  const key = prefixIdentity.blockKey(cacheNamespace, blockId);
  const entries = cache.blocks.get(key);
  if (!entries) return;
  entries.delete(location);
  if (entries.size === 0) cache.blocks.delete(key);
}

/** The location has not reported for long: what it had confirmed is only expected from now on. */
function markUnconfirmed(cache: CachedPrefixes, location: CacheLocation, now: number): void {
  for (const entries of cache.blocks.values()) {
    const entry = entries.get(location);
    if (entry?.isConfirmed) entries.set(location, { ...entry, isConfirmed: false, expiresAtMs: now + expectationMs });
  }
}

/** Applies a change of the leader's index at a location; `generation` is the position of the index after it. */
function applyChange(
  cache: CachedPrefixes,
  change: PrefixCacheChange,
  location: CacheLocation,
  generation: number,
  now: number,
): void {
  switch (change.kind) {
    case 'block_reported':
      recordConfirmed(cache, change.cacheNamespace, change.blockId, location, change.tokens, generation);
      return;
    case 'block_expected':
      recordExpected(cache, change.cacheNamespace, change.blockId, location, change.tokens, now);
      return;
    case 'block_removed':
      remove(cache, change.cacheNamespace, change.blockId, location);
      return;
    case 'location_silent':
      markUnconfirmed(cache, location, now);
  }
}

/** The entry of a block at a location, unless it has expired. */
function currentEntry(
  cache: CachedPrefixes,
  cacheNamespace: string,
  blockId: string,
  location: CacheLocation,
  now: number,
): CacheEntry | null {
  const entry = cache.blocks.get(prefixIdentity.blockKey(cacheNamespace, blockId))?.get(location);
  return entry && now < entry.expiresAtMs ? entry : null;
}

/** Tokens of the block that the location is believed to hold, confirmed or expected. */
function tokensAt(
  cache: CachedPrefixes,
  cacheNamespace: string,
  blockId: string,
  location: CacheLocation,
  now: number,
): number {
  return currentEntry(cache, cacheNamespace, blockId, location, now)?.tokens ?? 0;
}

/** All entries of a block, expired ones among them; null if there is none. Not to be changed by the caller. */
function locationsOf(
  cache: CachedPrefixes,
  cacheNamespace: string,
  blockId: string,
): Map<CacheLocation, CacheEntry> | null {
  return cache.blocks.get(prefixIdentity.blockKey(cacheNamespace, blockId)) ?? null;
}

/**
 * Tokens of the prompt, counted from its start along the chain of blocks, that a location holds without a gap:
 * expected and confirmed, or confirmed only.
 */
function prefixTokensAt(
  cache: CachedPrefixes,
  cacheNamespace: string,
  blocks: PromptBlock[],
  location: CacheLocation,
  now: number,
  onlyConfirmed = false,
): number {
  let total = 0;
  for (const block of blocks) {
    const entry = currentEntry(cache, cacheNamespace, block.id, location, now);
    const cachedTokens = entry && (entry.isConfirmed || !onlyConfirmed) ? entry.tokens : 0;
    total += Math.min(cachedTokens, block.tokens);
    if (cachedTokens < block.tokens) break;
  }
  return total;
}

export const cachedPrefixes = {
  create,
  recordConfirmed,
  recordExpected,
  remove,
  markUnconfirmed,
  applyChange,
  tokensAt,
  locationsOf,
  prefixTokensAt,
};
