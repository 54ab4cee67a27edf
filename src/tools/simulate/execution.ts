/** The execution of a simulated request at a runner: prefill, first token, end, and what its caches hold then. */
import { promptDemand } from '../../dataplane/endpoint-selection/prompt-demand.js';
import type { EndpointAssignment } from '../../dataplane/endpoint-assignment.js';
import { runnerCache, type RunnerCache } from '../../emulator/runner-cache.js';
import type { CachedBlock } from '../../protocol/calls/runner-calls.js';
import { prefixIdentity } from '../../state/prefix-cache/prefix-identity.js';
import { runnerEndpoint } from '../../state/runners/endpoint.js';
import type { Attempt, Delivery } from './delivery.js';
import { leader } from './leader.js';
import { modelName, storeAddress } from './simulated-router.js';
import { simulatedRunner, type SimulatedRunner } from './simulated-runner.js';
import type { Simulation } from './simulation.js';

/** How long a router takes to find out that a runner has died under a request. */
const crashDetectionMs = 400;
/** No `X-Cache-Salt` is one text for all. */
const noNamespace = '';

/** An attempt that runs: with the runner's incarnation at its start, since a crash ends it. */
type Execution = Attempt & {
  runner: SimulatedRunner;
  incarnation: number;
  firstTokenAt: number;
  endAt: number;
  onCrash: () => void;
};

/** The cache namespace of an assignment; never unknown here, since all runners list the one model. */
function namespaceOf({ cacheNamespace }: EndpointAssignment): string {
  return cacheNamespace ?? noNamespace;
}

/** The cache that an assignment fetches blocks from, if it is still there. */
function sourceCache({ simulation }: Delivery, { fetchFrom }: EndpointAssignment): RunnerCache | null {
  if (fetchFrom === null) return null;
  if (fetchFrom === storeAddress) return simulation.store;
  const source = simulation.runners.get(fetchFrom);
  return source?.isUp ? source.cache : null;
}

/** Counts the prompt's tokens by the way they come: cached or fetched up to the first gap, prefilled from there on. */
function promptTokens(
  delivery: Delivery,
  assignment: EndpointAssignment,
  runner: SimulatedRunner,
): { prefillTokens: number; transferTokens: number } {
  const { simulation, context } = delivery;
  const { prompt } = simulation.result;
  const cacheNamespace = namespaceOf(assignment);
  const source = sourceCache(delivery, assignment);
  let prefillTokens = 0;
  let transferTokens = 0;
  let hasGap = false;
  for (const { id, tokens } of context.prefixBlocks) {
    if (!hasGap && runnerCache.has(runner.cache, cacheNamespace, id)) prompt.cached += tokens;
    else if (!hasGap && source && runnerCache.has(source, cacheNamespace, id)) transferTokens += tokens;
    else {
      hasGap = true;
      prefillTokens += tokens;
      if (simulation.everPrefilled.has(prefixIdentity.blockKey(cacheNamespace, id))) prompt.prefilledAgain += tokens;
    }
  }
  prompt.prefilled += prefillTokens;
  prompt.transferred += transferTokens;
  return { prefillTokens, transferTokens };
}

/**
 * The attempt has a slot: its prompt is prefilled and its answer decoded. If the runner dies meanwhile, `onCrash` is
 * called once the router has found that out.
 */
function start(delivery: Delivery, attempt: Attempt, runner: SimulatedRunner, onCrash: () => void): void {
  const { simulation, traffic } = delivery;
  const { clock, scenario } = simulation;
  const { incarnation } = runner;
  runner.activeRequests++;
  const tokens = promptTokens(delivery, attempt.assignment, runner);
  const work = { ...tokens, outputTokens: traffic.outputTokens };
  const times = simulatedRunner.schedule(scenario.engine, runner, clock.now, work);
  const execution: Execution = { ...attempt, onCrash, runner, incarnation, ...times };
  clock.after(execution.firstTokenAt - clock.now, () => {
    onFirstToken(delivery, execution);
  });
  clock.after(execution.endAt - clock.now, () => {
    onEnd(delivery, execution);
  });
  watchForCrash(delivery, execution);
}

/** Adds a block to a cache and records what changed there in the leader's index. */
function cacheBlock(simulation: Simulation, cache: RunnerCache, location: string, block: CachedBlock): void {
  const { isNew, evicted } = runnerCache.add(cache, block);
  for (const evictedBlock of evicted) leader.recordCacheChange(simulation, '-', evictedBlock, location);
  if (isNew) leader.recordCacheChange(simulation, '+', block, location);
}

function onFirstToken({ simulation, context }: Delivery, { assignment, runner, incarnation }: Execution): void {
  if (runner.incarnation !== incarnation) return;
  const { store } = simulation;
  const cacheNamespace = namespaceOf(assignment);
  for (const { id, tokens } of promptDemand.shareableBlocks(context)) {
    const block = { cacheNamespace, blockId: id, tokens, model: modelName };
    simulation.everPrefilled.add(prefixIdentity.blockKey(cacheNamespace, id));
    cacheBlock(simulation, runner.cache, runner.id, block);
    if (assignment.saveTo !== null && store && !runnerCache.has(store, cacheNamespace, id))
      cacheBlock(simulation, store, storeAddress, block);
  }
  runnerEndpoint.recordActivity(assignment.endpoint, simulation.clock.now);
}

function onEnd(delivery: Delivery, { runner, incarnation, release, firstTokenAt }: Execution): void {
  const { simulation, router, context, traffic, tally, window } = delivery;
  runner.activeRequests--;
  runner.waiting.shift()?.();
  if (runner.incarnation !== incarnation) return;
  release();
  if (!router.isUp || simulation.clock.now > context.deadlineAt) {
    tally.failed++;
    return;
  }
  const latencyMs = firstTokenAt - context.receivedAt + 2 * simulation.scenario.network.clientMs;
  if (latencyMs <= traffic.latencyTargetMs) {
    tally.withinTarget++;
    window.withinTarget++;
  } else tally.late++;
}

/** Finds out, with some delay, that the runner has died under the request. */
function watchForCrash(delivery: Delivery, execution: Execution): void {
  const { clock } = delivery.simulation;
  const { runner, incarnation, endAt, release } = execution;
  if (clock.now >= endAt) return;
  clock.after(Math.min(crashDetectionMs, endAt - clock.now), () => {
    if (runner.incarnation === incarnation) {
      watchForCrash(delivery, execution);
      return;
    }
    release();
    execution.onCrash();
  });
}

export const execution = { start };
