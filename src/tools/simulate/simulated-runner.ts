/**
 * The simulator's model runner: prompts are prefilled one after another, answers decoded beside them, prefix blocks
 * cached until the least recently used give way. Simpler than an engine, and meant to be.
 */
import { runnerCache, type RunnerCache } from '../../emulator/runner-cache.js';
import type { Engine } from './scenario.js';

/** Times in virtual ms. `incarnation` grows with each crash; `loadingUntil` ends the loading of new weights. */
export type SimulatedRunner = {
  id: string;
  zone: string;
  isUp: boolean;
  incarnation: number;
  prefillFreeAt: number;
  activeRequests: number;
  waiting: (() => void)[];
  cache: RunnerCache;
  weightsRevision: number;
  loadingUntil: number;
};

function create(id: string, zone: string, cacheTokens: number): SimulatedRunner {
  return {
    id,
    zone,
    isUp: true,
    incarnation: 0,
    prefillFreeAt: 0,
    activeRequests: 0,
    waiting: [],
    cache: runnerCache.create({ capacityTokens: cacheTokens, maxEvents: 0 }, 1),
    weightsRevision: 1,
    loadingUntil: 0,
  };
}

/** What a request takes at a runner, in tokens. */
export type Work = { prefillTokens: number; transferTokens: number; outputTokens: number };

/** Reserves the prefill of a request from `now` on; returns when its first and its last token have been made. */
function schedule(
  engine: Engine,
  runner: SimulatedRunner,
  now: number,
  work: Work,
): { firstTokenAt: number; endAt: number } {
  const startsAt = Math.max(now, runner.prefillFreeAt);
  runner.prefillFreeAt = startsAt + work.prefillTokens / engine.prefillTokensPerMs;
  const firstTokenAt = runner.prefillFreeAt + work.transferTokens / engine.transferTokensPerMs + engine.stepMs;
  const stepMs = engine.stepMs + engine.stepMsPerRequest * runner.activeRequests;
  return { firstTokenAt, endAt: firstTokenAt + (work.outputTokens - 1) * stepMs };
}

/** The runner's process is gone, and with it what ran and waited there; the cache is cleared by the caller. */
function crash(runner: SimulatedRunner): void {
  runner.isUp = false;
  runner.incarnation++;
  runner.activeRequests = 0;
  runner.waiting = [];
  runner.prefillFreeAt = 0;
}

export const simulatedRunner = { create, schedule, crash };
