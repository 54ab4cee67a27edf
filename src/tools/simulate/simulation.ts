/**
 * The state of a simulation: a fleet of routers, runners, a store and coordinators on virtual time. What the programs
 * decide by runs as it is: endpoint selection, health, the retry budget, heavy-hitter tracking, the prefix cache
 * index, weight roll-outs and the consensus that elects the leader. Sockets, the delivery of requests and the engines
 * are simpler stand-ins.
 */
import { weightNamings, type WeightNamings } from '../../state/control/weight-namings.js';
import { coordinatorTracker, type CoordinatorTracker } from '../../coordination/tracking/coordinator-tracker.js';
import { weightsPlanner, type WeightsPlannerState } from '../../coordination/singletons/weights-planner.js';
import { runnerCache, type RunnerCache } from '../../emulator/runner-cache.js';
import { prefixCacheIndex, type PrefixCacheIndex } from '../../state/prefix-cache/prefix-cache-index.js';
import type { Runner } from '../../types.js';
import { result, type SimulationResult, type Window } from './result.js';
import type { Scenario } from './scenario.js';
import { simulatedConsensus, type SimulatedConsensus } from './simulated-consensus.js';
import { simulatedRouter, type SimulatedRouter } from './simulated-router.js';
import { simulatedRunner, type SimulatedRunner } from './simulated-runner.js';
import { virtualClock, type VirtualClock } from './virtual-clock.js';

const maxIndexChanges = 1e6;
const maxTrackedTotal = 50_000;
const gatherTimeoutMs = 1500;
const weightsPlannerTiming = {
  maxShare: 0.25,
  pauseSettleMs: 60,
  pollIntervalMs: 250,
  reorderAfterMs: 600,
  jobTimeoutMs: 6000,
  backoffMs: 400,
};

/** The soft state of the present leader, which the next one builds anew; `since` in virtual ms. */
export type Leadership = {
  address: string | null;
  since: number;
  index: PrefixCacheIndex;
  tracker: CoordinatorTracker;
};

/**
 * A simulation that is played. `targetRevision` is the revision of the weights that all runners shall have,
 * `listedRunners` the latest list of the platform, `everPrefilled` the keys of all blocks that were ever prefilled and
 * `windows` the windows of the traffic by their number.
 */
export type Simulation = {
  scenario: Scenario;
  clock: VirtualClock;
  consensus: SimulatedConsensus;
  routers: SimulatedRouter[];
  runners: Map<string, SimulatedRunner>;
  store: RunnerCache | null;
  leadership: Leadership;
  weightsPlanner: WeightsPlannerState;
  targetRevision: number;
  /** When each revision was named, in ms of the virtual clock. */
  namings: WeightNamings;
  pausedRunners: Set<string>;
  listedRunners: Runner[];
  attemptsMade: number;
  everPrefilled: Set<string>;
  windows: Map<number, Window>;
  result: SimulationResult;
};

/** The index of a leader that has read no cache yet. */
function emptyIndex({ tuning }: Scenario): PrefixCacheIndex {
  return prefixCacheIndex.create(tuning.movedTokens, maxIndexChanges);
}

/** The tracker of a leader that has no count report yet. */
function emptyTracker({ tuning }: Scenario): CoordinatorTracker {
  return coordinatorTracker.create(tuning.epsilon, tuning.phi, maxTrackedTotal, gatherTimeoutMs);
}

/** The fleet before its start: no leader, no list of runners, empty caches. */
function create(scenario: Scenario): Simulation {
  const clock = virtualClock.create(scenario.seed);
  const routers: SimulatedRouter[] = [];
  const runners = new Map<string, SimulatedRunner>();
  for (const { name: zone, routerCount, runnerCount } of scenario.zones) {
    for (let index = 0; index < routerCount; index++)
      routers.push(simulatedRouter.create(scenario, zone, `${zone}-router-${index}`));
    for (let index = 0; index < runnerCount; index++) {
      const id = `${zone}-runner-${index}`;
      runners.set(id, simulatedRunner.create(id, zone, scenario.engine.cacheTokens));
    }
  }
  return {
    scenario,
    clock,
    consensus: simulatedConsensus.create(clock, scenario.coordinatorCount, scenario.network.crossZoneMs),
    routers,
    runners,
    store:
      scenario.storeTokens === null
        ? null
        : runnerCache.create({ capacityTokens: scenario.storeTokens, maxEvents: 0 }, 1),
    leadership: { address: null, since: 0, index: emptyIndex(scenario), tracker: emptyTracker(scenario) },
    weightsPlanner: weightsPlanner.create(weightsPlannerTiming),
    targetRevision: 1,
    namings: weightNamings.create(),
    pausedRunners: new Set(),
    listedRunners: [],
    attemptsMade: 0,
    everPrefilled: new Set(),
    windows: new Map(),
    result: result.create(scenario),
  };
}

/** The routers that are up, in the order of the scenario. */
function liveRouters(simulation: Simulation): SimulatedRouter[] {
  return simulation.routers.filter((router) => router.isUp);
}

export const simulations = { create, emptyIndex, emptyTracker, liveRouters };
