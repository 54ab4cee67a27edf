/** The leader of the simulated coordinators: lists the runners, keeps the prefix cache index and ticks its tracker. */
import { coordinatorTracker } from '../../coordination/tracking/coordinator-tracker.js';
import { runnerCache } from '../../emulator/runner-cache.js';
import type { CachedBlock } from '../../protocol/calls/runner-calls.js';
import { endpointPool } from '../../state/runners/endpoint-pool.js';
import type { Runner } from '../../types.js';
import { simulatedConsensus } from './simulated-consensus.js';
import { modelName, serviceName, storeAddress } from './simulated-router.js';
import { simulations, type Simulation } from './simulation.js';

/** How often the leader is looked up, and how often it reads the platform's list. */
const tickMs = 100;
const listIntervalMs = 700;

/** The runners that are up, as the platform would list them. */
function runnersUp(simulation: Simulation): Runner[] {
  return [...simulation.runners.values()]
    .filter((runner) => runner.isUp)
    .map((runner) => ({
      id: runner.id,
      service: serviceName,
      addr: runner.id,
      zone: runner.zone,
      slotCount: simulation.scenario.engine.slotCount,
      draining: false,
      paused: simulation.pausedRunners.has(runner.id),
      models: [{ label: modelName, revision: runner.weightsRevision }],
    }));
}

/** Gives the routers the list of runners, with those that are paused for new weights. */
function publishEndpoints(simulation: Simulation): void {
  for (const { isUp, state } of simulation.routers)
    if (isUp)
      endpointPool.applyList(
        state.endpointPool,
        simulation.listedRunners.map((runner) => ({ ...runner, paused: simulation.pausedRunners.has(runner.id) })),
      );
}

/** Lists the runners now and from then on at an interval, while there is a leader. */
function startListing(simulation: Simulation): void {
  if (simulation.leadership.address !== null) {
    simulation.listedRunners = runnersUp(simulation);
    publishEndpoints(simulation);
  }
  simulation.clock.after(listIntervalMs, () => {
    startListing(simulation);
  });
}

/** Records that a location has a block now (`+`) or has it no more (`-`), if it is worth a transfer. */
function recordCacheChange(
  simulation: Simulation,
  sign: '+' | '-',
  { cacheNamespace, blockId, tokens }: CachedBlock,
  location: string,
): void {
  if (tokens < simulation.scenario.tuning.movedTokens) return;
  const { changes } = simulation.leadership.index;
  const block = { location, cacheNamespace, blockId };
  if (sign === '+') changes.push({ kind: 'block_reported', ...block, tokens });
  else changes.push({ kind: 'block_removed', ...block });
}

/** A new leader starts with an empty index and fills it from what every location has cached. */
function takeOver(simulation: Simulation): void {
  const { leadership, scenario } = simulation;
  leadership.since = simulation.clock.now;
  leadership.index = simulations.emptyIndex(scenario);
  leadership.tracker = simulations.emptyTracker(scenario);
  for (const runner of simulation.runners.values())
    for (const block of runnerCache.blocks(runner.cache)) recordCacheChange(simulation, '+', block, runner.id);
  if (simulation.store)
    for (const block of runnerCache.blocks(simulation.store)) recordCacheChange(simulation, '+', block, storeAddress);
}

/** Follows elections and ticks the leader's tracker, now and from then on at an interval. */
function startTicking(simulation: Simulation): void {
  const { leadership } = simulation;
  const previous = leadership.address;
  leadership.address = simulatedConsensus.leader(simulation.consensus);
  if (leadership.address === null) simulation.result.withoutLeaderMs += tickMs;
  else if (leadership.address !== previous) takeOver(simulation);
  const live = new Set(simulations.liveRouters(simulation).map(({ tracker }) => tracker.incarnation));
  coordinatorTracker.tick(leadership.tracker, live, simulation.clock.now);
  simulation.clock.after(tickMs, () => {
    startTicking(simulation);
  });
}

export const leader = { runnersUp, publishEndpoints, startListing, recordCacheChange, startTicking };
