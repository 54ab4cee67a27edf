/**
 * The prefix cache of a model runner or of the store, as the served system keeps it and tells of it (`/v1/kv-list`,
 * `/v1/kv-events`): blocks under a cache namespace, least-recently-used eviction, numbered events of which only the
 * newest are kept, and an epoch that changes with a restart. The cache is changed in place: it may hold thousands of
 * blocks, and a simulation adds to it with each request.
 */
import type { CachedBlock } from '../protocol/calls/runner-calls.js';

/** One change on the wire: number, sign, cache namespace, block, tokens cached now, model. */
export type CacheEvent = [number, '+' | '-', string, string, number, string];

/** `maxEvents`: how many of the newest events are kept for `/v1/kv-events`. */
export type CacheLimits = { capacityTokens: number; maxEvents: number };

export type RunnerCache = CacheLimits & {
  /** From the least to the most recently used. */
  blocks: Map<string, CachedBlock>;
  usedTokens: number;
  epoch: number;
  /** The newest events; their numbers are consecutive and end before `nextEvent`. */
  events: CacheEvent[];
  nextEvent: number;
};

/** What adding a block has changed: whether it is new, and which blocks gave way to it. */
export type CacheAddition = { isNew: boolean; evicted: CachedBlock[] };

/**
 * The answer of `/v1/kv-events`. `next_token` is the `since_at` of the next call, and nothing else to its reader: here
 * the number of the first event that is still to come, in the users' example that of the last one told.
 */
export type CacheEventsReply = { epoch_no: number; next_token: number; is_lost: boolean; event_list: CacheEvent[] };

/** The answer of `/v1/kv-list`; entries: cache namespace, block, tokens, model. */
export type CacheListReply = { epoch_no: number; next_token: number; is_held: [string, string, number, string][] };

const firstEvent = 1;

function create(limits: CacheLimits, epoch: number): RunnerCache {
  return { ...limits, blocks: new Map(), usedTokens: 0, epoch, events: [], nextEvent: firstEvent };
}

/** Block ids hold no space, so that the key is unambiguous whatever the namespace. */
function keyOf(cacheNamespace: string, blockId: string): string {
  return `${blockId} ${cacheNamespace}`;
}

function has(cache: RunnerCache, cacheNamespace: string, blockId: string): boolean {
  return cache.blocks.has(keyOf(cacheNamespace, blockId));
}

/** All blocks, from the least to the most recently used. */
function blocks(cache: RunnerCache): CachedBlock[] {
  return [...cache.blocks.values()];
}

function record(cache: RunnerCache, sign: '+' | '-', block: CachedBlock): void {
  const { cacheNamespace, blockId, model } = block;
  const tokens = sign === '+' ? block.tokens : 0;
  cache.events.push([cache.nextEvent++, sign, cacheNamespace, blockId, tokens, model]);
  if (cache.events.length > cache.maxEvents) cache.events.shift();
}

function remove(cache: RunnerCache, block: CachedBlock): void {
  cache.blocks.delete(keyOf(block.cacheNamespace, block.blockId));
  cache.usedTokens -= block.tokens;
  record(cache, '-', block);
}

/** Evicts the least recently used blocks until the others fit; the newest one stays even if it doesn't fit. */
function evictOverflow(cache: RunnerCache): CachedBlock[] {
  const evicted: CachedBlock[] = [];
  while (cache.usedTokens > cache.capacityTokens && cache.blocks.size > 1) {
    const oldest = cache.blocks.values().next().value!;
    remove(cache, oldest);
    evicted.push(oldest);
  }
  return evicted;
}

/** Adds a block, or marks it as used if it is cached already. */
function add(cache: RunnerCache, block: CachedBlock): CacheAddition {
  const key = keyOf(block.cacheNamespace, block.blockId);
  const cached = cache.blocks.get(key);
  if (cached !== undefined) {
    cache.blocks.delete(key);
    cache.blocks.set(key, cached);
    return { isNew: false, evicted: [] };
  }
  cache.blocks.set(key, block);
  cache.usedTokens += block.tokens;
  const evicted = evictOverflow(cache);
  record(cache, '+', block);
  return { isNew: true, evicted };
}

/** Evicts one block, if it is cached. */
function evict(cache: RunnerCache, cacheNamespace: string, blockId: string): boolean {
  const block = cache.blocks.get(keyOf(cacheNamespace, blockId));
  if (block === undefined) return false;
  remove(cache, block);
  return true;
}

/** Evicts everything, with an event for each block; returns what was cached. */
function clear(cache: RunnerCache): CachedBlock[] {
  const cleared = blocks(cache);
  for (const block of cleared) remove(cache, block);
  return cleared;
}

/** Drops everything without an event: some events never arrive, and a reader must cope. */
function dropUnannounced(cache: RunnerCache): void {
  cache.blocks.clear();
  cache.usedTokens = 0;
}

/** A restart: an empty cache under another epoch, whose events are numbered anew. */
function restart(cache: RunnerCache, epoch: number): void {
  dropUnannounced(cache);
  cache.epoch = epoch;
  cache.events = [];
  cache.nextEvent = firstEvent;
}

/** Whether there are events from `since` on, so that a call that waits for one is answered. */
function hasEventsSince(cache: RunnerCache, since: number): boolean {
  return cache.nextEvent > since;
}

/** The answer of `/v1/kv-events`: the events from number `since` on. Lost: some of them are kept no more. */
function eventsReply(cache: RunnerCache, since: number): CacheEventsReply {
  const firstKept = cache.nextEvent - cache.events.length;
  return {
    epoch_no: cache.epoch,
    next_token: cache.nextEvent,
    is_lost: Math.max(since, firstEvent) < firstKept,
    event_list: cache.events.filter(([number]) => number >= since),
  };
}

/** The answer of `/v1/kv-list`. */
function listReply(cache: RunnerCache): CacheListReply {
  const held = blocks(cache).map(({ cacheNamespace, blockId, tokens, model }): [string, string, number, string] => [
    cacheNamespace,
    blockId,
    tokens,
    model,
  ]);
  return { epoch_no: cache.epoch, next_token: cache.nextEvent, is_held: held };
}

export const runnerCache = {
  create,
  has,
  blocks,
  add,
  evict,
  clear,
  dropUnannounced,
  restart,
  hasEventsSince,
  eventsReply,
  listReply,
};
