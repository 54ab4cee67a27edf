/** The prefix cache of a stand-in for a runner or the store: what its requests use and make, and the events of that. */
import { runnerCache, type CacheEventsReply } from '../../src/emulator/runner-cache.js';
import type { BlockUse, ExecutedRequest, RunnerStandin } from './runner.js';

const maxWaitMs = 1000;

/** Calls `send` once there are events from `since` on, or when the caller's time to wait is over. */
function whenEvents(
  standin: RunnerStandin,
  since: number,
  waitMs: number,
  send: (reply: CacheEventsReply) => void,
): void {
  function reply(): void {
    clearTimeout(timer);
    standin.waitingReplies.delete(reply);
    send(runnerCache.eventsReply(standin.cache, since));
  }
  const timer = setTimeout(reply, Math.min(waitMs, maxWaitMs));
  if (runnerCache.hasEventsSince(standin.cache, since)) reply();
  else standin.waitingReplies.add(reply);
}

function answerWaiting(standin: RunnerStandin): void {
  for (const reply of [...standin.waitingReplies]) reply();
}

/** Where a block comes from that is not computed again: the runner's own cache, or the source that is fetched from. */
function cachedBlock(standin: RunnerStandin, request: ExecutedRequest, blockId: string): BlockUse | null {
  const key = `${request.cacheNamespace} ${blockId}`;
  const source = standin.sources.get(request.fetchFrom ?? '');
  for (const holder of [standin, source])
    if (holder && runnerCache.has(holder.cache, request.cacheNamespace, blockId)) return holder.makers.get(key) ?? null;
  return null;
}

/**
 * Caches the blocks of `X-Prompt-Prefix` but the last, which belongs to one request alone; returns those that were
 * cached before. Behind the first gap all are computed anew.
 */
function add(standin: RunnerStandin, request: ExecutedRequest, prefix: string): BlockUse[] {
  const { cacheNamespace } = request;
  const used: BlockUse[] = [];
  let hasGap = false;
  for (const block of prefix.split(',').slice(0, -1)) {
    const [blockId, tokens] = block.split(':') as [string, string];
    const cached: BlockUse | null = hasGap ? null : cachedBlock(standin, request, blockId);
    hasGap ||= cached === null;
    if (cached) used.push(cached);
    const made = { blockId, madeBy: request.tenant ?? '', madeAtRevision: request.weightsRevision };
    const key = `${cacheNamespace} ${blockId}`;
    if (cached || !runnerCache.has(standin.cache, cacheNamespace, blockId)) standin.makers.set(key, cached ?? made);
    runnerCache.add(standin.cache, { cacheNamespace, blockId, tokens: Number(tokens), model: standin.model });
  }
  answerWaiting(standin);
  return used;
}

/** The runner lets a block go, and tells of it. */
function evict(standin: RunnerStandin, cacheNamespace: string, blockId: string): void {
  if (runnerCache.evict(standin.cache, cacheNamespace, blockId)) answerWaiting(standin);
}

export const runnerPrefixes = { whenEvents, add, evict };
