/**
 * The leader's index of cached prefix blocks, as a pure state machine after PAPER-16 (`docs/design.md`): built from the
 * cache events of each runner and of the store, emptied for a location that has restarted, repaired from its full list
 * after a gap. Changes of blocks worth transferring are numbered from 1 on, so that routers can ask for what has
 * changed since. Locations are named as in `cache-location.ts`; `now` and all times are in ms of the leader's clock.
 */
import type { CachedBlock, PrefixCacheEvents, PrefixCacheListing } from '../../protocol/calls/runner-calls.js';
import type { PrefixCacheChange, SentPrefix } from '../../protocol/rpc/state-sync-records.js';
import { prefixIdentity, type BlockKey } from './prefix-identity.js';

/** What is known of one location. */
export type LocationState = {
  name: string;
  /** As the location itself counts its restarts; -1 before its first report. */
  epoch: number;
  /** The number of the location's next event, as it gave it with its last report. */
  nextEventNo: number;
  /** Cached tokens by block. */
  blocks: Map<BlockKey, number>;
  /** Events were lost, so that its full list is needed. */
  needsFullList: boolean;
  lastReportAtMs: number;
  /** Has not reported for `silenceTimeoutMs`: nothing it reported is confirmed any more. */
  isSilent: boolean;
};

export type PrefixCacheIndex = {
  /** Blocks of fewer tokens are not worth a transfer and left out. */
  minTokens: number;
  locations: Map<string, LocationState>;
  /** The latest changes, at most `maxChanges`; the oldest of them has the number `firstChangeNo`. */
  changes: PrefixCacheChange[];
  firstChangeNo: number;
  maxChanges: number;
  /** Blocks that were reported under a namespace of another model. */
  rejectedCount: number;
};

/** A location that has not reported for so long is silent. */
const silenceTimeoutMs = 3500;

/** An index without locations. */
function create(minTokens: number, maxChanges: number): PrefixCacheIndex {
  return { minTokens, locations: new Map(), changes: [], firstChangeNo: 1, maxChanges, rejectedCount: 0 };
}

/** What is known of a location; nothing yet for one that is asked for the first time. */
function locationState(index: PrefixCacheIndex, location: string): LocationState {
  let state = index.locations.get(location);
  if (!state) {
    state = {
      name: location,
      epoch: -1,
      nextEventNo: 0,
      blocks: new Map(),
      needsFullList: false,
      lastReportAtMs: -Infinity,
      isSilent: false,
    };
    index.locations.set(location, state);
  }
  return state;
}

/** Numbers a change; beyond `maxChanges` the oldest ones are forgotten. */
function appendChange(index: PrefixCacheIndex, change: PrefixCacheChange): void {
  index.changes.push(change);
  const excess = index.changes.length - index.maxChanges;
  if (excess <= 0) return;
  index.changes.splice(0, excess);
  index.firstChangeNo += excess;
}

/** Records that a location holds so many tokens of a block; below `minTokens` it counts as holding none. */
function setBlockTokens(
  index: PrefixCacheIndex,
  state: LocationState,
  cacheNamespace: string,
  blockId: string,
  tokens: number,
): void {
  const { name: location } = state;
  const key = prefixIdentity.blockKey(cacheNamespace, blockId);
  const previousTokens = state.blocks.get(key) ?? 0;
  if (tokens >= index.minTokens) {
    if (previousTokens === tokens) return;
    state.blocks.set(key, tokens);
    appendChange(index, { kind: 'block_reported', location, cacheNamespace, blockId, tokens });
  } else if (previousTokens > 0) {
    state.blocks.delete(key);
    appendChange(index, { kind: 'block_removed', location, cacheNamespace, blockId });
  }
}

/** Removes the blocks of a location, all or those that are not among the ones to keep. */
function removeBlocks(
  index: PrefixCacheIndex,
  state: LocationState,
  keysToKeep: ReadonlyMap<BlockKey, unknown> | null = null,
): void {
  for (const key of [...state.blocks.keys()]) {
    if (keysToKeep?.has(key)) continue;
    const { cacheNamespace, blockId } = prefixIdentity.parseBlockKey(key);
    setBlockTokens(index, state, cacheNamespace, blockId, 0);
  }
}

/** A block whose model is not the one that its namespace names is rejected, and counted. */
function hasConsistentModel(index: PrefixCacheIndex, cacheNamespace: string, model: string): boolean {
  if (prefixIdentity.isOfModel(cacheNamespace, model)) return true;
  index.rejectedCount++;
  return false;
}

/** A location that reports again after a long silence confirms anew what it holds. */
function recordContact(index: PrefixCacheIndex, state: LocationState, now: number): void {
  state.lastReportAtMs = now;
  if (!state.isSilent) return;
  state.isSilent = false;
  for (const [key, tokens] of state.blocks) {
    const { cacheNamespace, blockId } = prefixIdentity.parseBlockKey(key);
    appendChange(index, { kind: 'block_reported', location: state.name, cacheNamespace, blockId, tokens });
  }
}

/** Marks locations as silent that have not reported for long; to be called every few hundred ms. */
function markSilentLocations(index: PrefixCacheIndex, now: number): void {
  for (const [location, state] of index.locations) {
    if (state.isSilent || now - state.lastReportAtMs <= silenceTimeoutMs) continue;
    state.isSilent = true;
    appendChange(index, { kind: 'location_silent', location });
  }
}

/** Applies a batch of cache events; true when the location must be asked for its full list. */
function applyEvents(index: PrefixCacheIndex, location: string, batch: PrefixCacheEvents, now: number): boolean {
  const state = locationState(index, location);
  recordContact(index, state, now);
  if (state.epoch !== batch.epoch) {
    removeBlocks(index, state);
    state.needsFullList = batch.isLost;
    state.epoch = batch.epoch;
  } else if (batch.isLost) state.needsFullList = true;
  state.nextEventNo = batch.nextToken;
  for (const { kind, cacheNamespace, blockId, tokens, model } of batch.events) {
    if (!hasConsistentModel(index, cacheNamespace, model)) continue;
    const cachedTokens = kind === 'removed' && tokens < index.minTokens ? 0 : tokens;
    setBlockTokens(index, state, cacheNamespace, blockId, cachedTokens);
  }
  return state.needsFullList;
}

/** Replaces what is known of a location by its full list, as changes. */
function applyFullList(index: PrefixCacheIndex, location: string, report: PrefixCacheListing, now: number): void {
  const state = locationState(index, location);
  recordContact(index, state, now);
  const listed = new Map<BlockKey, CachedBlock>();
  for (const block of report.blocks)
    if (block.tokens >= index.minTokens && hasConsistentModel(index, block.cacheNamespace, block.model))
      listed.set(prefixIdentity.blockKey(block.cacheNamespace, block.blockId), block);
  removeBlocks(index, state, listed);
  for (const { cacheNamespace, blockId, tokens } of listed.values())
    setBlockTokens(index, state, cacheNamespace, blockId, tokens);
  state.epoch = report.epoch;
  state.nextEventNo = report.nextToken;
  state.needsFullList = false;
}

/** Forgets a location that is no longer there, with a removal of each of its blocks. */
function removeLocation(index: PrefixCacheIndex, location: string): void {
  const state = index.locations.get(location);
  if (!state) return;
  removeBlocks(index, state);
  index.locations.delete(location);
}

/**
 * A block that a router has just sent there in a prompt: published at once, and believed until the location's own
 * events say otherwise.
 */
function announceExpected(index: PrefixCacheIndex, sent: SentPrefix): void {
  const { location, cacheNamespace, blockId, tokens } = sent;
  if (tokens < index.minTokens) return;
  const key = prefixIdentity.blockKey(cacheNamespace, blockId);
  if (index.locations.get(location)?.blocks.has(key)) return;
  appendChange(index, { kind: 'block_expected', location, cacheNamespace, blockId, tokens });
}

/** The changes after a number, or null if the oldest of them are gone: then `currentBlocks` is needed. */
function changesSince(index: PrefixCacheIndex, changeNo: number): PrefixCacheChange[] | null {
  if (changeNo + 1 < index.firstChangeNo || changeNo > lastChangeNo(index)) return null;
  return index.changes.slice(changeNo + 1 - index.firstChangeNo);
}

/** The number of the latest change; 0 before the first. */
function lastChangeNo(index: PrefixCacheIndex): number {
  return index.firstChangeNo + index.changes.length - 1;
}

/** All blocks as changes that lead to the present state from an empty one; those of silent locations as expected. */
function currentBlocks(index: PrefixCacheIndex): PrefixCacheChange[] {
  const blocks: PrefixCacheChange[] = [];
  for (const [location, state] of index.locations) {
    const kind = state.isSilent ? 'block_expected' : 'block_reported';
    for (const [key, tokens] of state.blocks) {
      const { cacheNamespace, blockId } = prefixIdentity.parseBlockKey(key);
      blocks.push({ kind, location, cacheNamespace, blockId, tokens });
    }
  }
  return blocks;
}

export const prefixCacheIndex = {
  create,
  markSilentLocations,
  announceExpected,
  applyEvents,
  applyFullList,
  removeLocation,
  changesSince,
  lastChangeNo,
  currentBlocks,
  locationState,
};
