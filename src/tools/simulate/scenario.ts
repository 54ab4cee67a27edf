/**
 * What is played: the fleet, its traffic and its faults. Made from a fleet file, whose fields keep the names that they
 * have had since the first version, since users have such files; `fromFleetFile` is the one place that maps them.
 */
import type { FleetFault, FleetFile, FleetTraffic } from './fleet-file.js';

/** A zone; `clientWeight` is its part of all requests in proportion to the other zones' weights. */
export type Zone = { name: string; routerCount: number; runnerCount: number; clientWeight: number };

/** One-way delays in ms: between two processes of one zone or of two, and between a client and its router. */
export type NetworkDelays = { sameZoneMs: number; crossZoneMs: number; clientMs: number };

/**
 * The engine that all runners have. A decoding step takes `stepMs` and `stepMsPerRequest` for each request that runs
 * beside; `weightsLoadMs` is the time to load new weights.
 */
export type Engine = {
  slotCount: number;
  cacheTokens: number;
  prefillTokensPerMs: number;
  transferTokensPerMs: number;
  stepMs: number;
  stepMsPerRequest: number;
  weightsLoadMs: number;
};

/**
 * A class of requests. A prompt is one of `sharedPromptCount` shared ones, drawn the more unevenly the higher `skew`,
 * and tokens of its own; `isolatedShare` is the share of the tenants that share no cache with others. `latencyTargetMs`
 * is for the first token; `isResumable`: an attempt that may have run may be followed by another.
 */
export type TrafficClass = {
  name: string;
  requestsPerSecond: number;
  sharedTokens: number;
  sharedPromptCount: number;
  skew: number;
  ownTokens: number;
  outputTokens: number;
  latencyTargetMs: number;
  deadlineMs: number;
  maxAttempts: number;
  isResumable: boolean;
  tenantCount: number;
  isolatedShare: number;
};

/**
 * A fault: `count` processes, of one zone or of any, are down for `durationMs` from `atMs` after the start of traffic.
 * For the loss of the store's content and for new weights only `atMs` has a meaning.
 */
export type Fault = {
  kind: 'runner_crash' | 'router_crash' | 'coordinator_crash' | 'store_loss' | 'new_weights';
  atMs: number;
  durationMs: number;
  count: number;
  zone: string | null;
};

/** As the daemons' tuning, as far as the simulation reads it (`Tuning` in `src/types/tuning.ts`). */
export type ScenarioTuning = { epsilon: number; phi: number; hotSet: boolean; movedTokens: number };

/** `seed` determines all that is drawn; `storeTokens`, the store's capacity, is null where there is no store. */
export type Scenario = {
  seed: number;
  durationMs: number;
  zones: Zone[];
  coordinatorCount: number;
  network: NetworkDelays;
  engine: Engine;
  storeTokens: number | null;
  traffic: TrafficClass[];
  tuning: ScenarioTuning;
  faults: Fault[];
};

const faultKinds: Record<FleetFault['kind'], Fault['kind']> = {
  runner_crash: 'runner_crash',
  site_kill: 'router_crash',
  coordinator_kill: 'coordinator_crash',
  store_loss: 'store_loss',
  new_weights: 'new_weights',
};

function toEngine(runner: FleetFile['runner']): Engine {
  return {
    slotCount: runner.slots,
    cacheTokens: runner.kv_tokens,
    prefillTokensPerMs: runner.read_tokens_per_ms,
    transferTokensPerMs: runner.move_tokens_per_ms,
    stepMs: runner.step_ms,
    stepMsPerRequest: runner.step_ms_per_slot,
    weightsLoadMs: runner.load_s * 1000,
  };
}

function toTrafficClass(traffic: FleetTraffic): TrafficClass {
  return {
    name: traffic.name,
    requestsPerSecond: traffic.per_s,
    sharedTokens: traffic.shared_tokens,
    sharedPromptCount: traffic.things,
    skew: traffic.skew,
    ownTokens: traffic.own_tokens,
    outputTokens: traffic.out_tokens,
    latencyTargetMs: traffic.aim_ms,
    deadlineMs: traffic.deadline_ms,
    maxAttempts: traffic.tries,
    isResumable: traffic.resumable,
    tenantCount: traffic.tenants,
    isolatedShare: traffic.isolated,
  };
}

function toFault({ kind, at_s, for_s, count, zone }: FleetFault): Fault {
  return { kind: faultKinds[kind], atMs: at_s * 1000, durationMs: for_s * 1000, count, zone: zone ?? null };
}

function toZone([name, { sites, runners, clients }]: [string, FleetFile['zones'][string]]): Zone {
  return { name, routerCount: sites, runnerCount: runners, clientWeight: clients };
}

/** The scenario that a checked fleet file describes. */
function fromFleetFile(file: FleetFile): Scenario {
  const { network, tuning } = file;
  return {
    seed: file.seed,
    durationMs: file.seconds * 1000,
    zones: Object.entries(file.zones).map(toZone),
    coordinatorCount: file.coordinators,
    network: { sameZoneMs: network.in_zone_ms, crossZoneMs: network.cross_zone_ms, clientMs: network.client_ms },
    engine: toEngine(file.runner),
    storeTokens: file.store?.kv_tokens ?? null,
    traffic: file.traffic.map(toTrafficClass),
    tuning: {
      epsilon: tuning.epsilon,
      phi: tuning.phi,
      hotSet: tuning.hot_set,
      movedTokens: tuning.moved_tokens,
    },
    faults: file.troubles.map(toFault),
  };
}

export const scenarios = { fromFleetFile };
