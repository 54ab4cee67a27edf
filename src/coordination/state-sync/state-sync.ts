/**
 * The leader's side of the state sync with the routers, as a pure state machine: what routers report goes into the load
 * aggregate, the outlier detector, the prefix cache index and the tracking of heavy hitters, and is published to all
 * once an interval. The interval grows with the number of routers, so that the leader's responses per second don't.
 * Answers are built in `responses.ts`.
 */
import { outlierDetector, type DetectionScope, type OutlierDetector } from '../health/outlier-detector.js';
import { coordinatorTracker, type CoordinatorTracker } from '../tracking/coordinator-tracker.js';
import { loadAggregate, type LoadAggregate, type LoadDelta } from '../../state/load/load-aggregate.js';
import { prefixIdentity } from '../../state/prefix-cache/prefix-identity.js';
import { prefixCacheIndex, type PrefixCacheIndex } from '../../state/prefix-cache/prefix-cache-index.js';
import type { SyncRequest } from '../../protocol/rpc/state-sync.js';
import { stateSyncCodec, type LoadRow } from '../../protocol/rpc/state-sync-codec.js';
import type { Tuning } from '../../types.js';
import { hotSets, type HotSet } from './hot-set.js';

/** The soft state of one term of the leader; a new term starts with a new one. */
export type StateSync = {
  term: number;
  prefixIndex: PrefixCacheIndex;
  tracker: CoordinatorTracker;
  load: LoadAggregate;
  /** The rows of a load delta, which serve all routers that stand at the same revision. */
  encodedLoads: WeakMap<LoadDelta, LoadRow[]>;
  outliers: OutlierDetector;
  routerCount: number;
  /** The interval of publications, in ms. */
  intervalMs: number;
  hotSet: HotSet;
};

/** What changes slowly: who is there, and the revisions of the weights that the operator named, by model. */
export type FleetView = { routerCount: number; incarnations: Set<string>; weights: Record<string, number> };

/** Bounds of the interval of publications, and by how much each router lengthens it. */
const minIntervalMs = 20;
const maxIntervalMs = 250;
const intervalMsPerRouter = 1.5;
/** A router that has not reported for so long has no load any more. */
const routerTimeoutMs = 2500;
/** How many changes of the index are kept; a router further behind gets the full index. */
const maxIndexChanges = 4000;
/** The total of arrivals at which a decay epoch of the tracking begins. */
const maxTrackedTotal = 50_000;
/** For how long a gather round of the tracking waits for routers that do not answer. */
const gatherTimeoutMs = 1500;

/** The state of a new term; `routerCount` is the number of routers expected to sync. */
function create(term: number, tuning: Tuning, routerCount: number): StateSync {
  return {
    term,
    prefixIndex: prefixCacheIndex.create(tuning.movedTokens, maxIndexChanges),
    tracker: coordinatorTracker.create(tuning.epsilon, tuning.phi, maxTrackedTotal, gatherTimeoutMs),
    load: loadAggregate.create(),
    encodedLoads: new WeakMap(),
    outliers: outlierDetector.create(),
    routerCount,
    intervalMs: intervalMsFor(routerCount),
    hotSet: hotSets.create(),
  };
}

/** The interval of publications for a number of routers, in ms. */
function intervalMsFor(routerCount: number): number {
  return Math.min(maxIntervalMs, Math.max(minIntervalMs, routerCount * intervalMsPerRouter));
}

/** Whether something was published that the router does not have. */
function hasUpdates(sync: StateSync, request: SyncRequest): boolean {
  const known = stateSyncCodec.decodeIndexVersion(request.indexVersion);
  return (
    known.term !== sync.term ||
    prefixCacheIndex.lastChangeNo(sync.prefixIndex) > known.position ||
    sync.load.revision > request.loadRevision ||
    sync.hotSet.revision > request.hotSetRevision ||
    sync.outliers.revision !== request.ejectionsRevision
  );
}

/** Applies what a router reports; false when the tracker had no counts of it and needs all of them. */
function applyRequest(sync: StateSync, request: SyncRequest, now: number): boolean {
  const { router, incarnation, unhealthyRunners } = request;
  const loads = stateSyncCodec.decodeLoads(request.load);
  const report = { router, incarnation, number: request.loadReportNumber, loads, unhealthyRunners };
  loadAggregate.applyReport(sync.load, report, now);
  outlierDetector.recordOutcomes(sync.outliers, router, stateSyncCodec.decodeOutcomes(request.outcomes), now);
  for (const sent of stateSyncCodec.decodeSentPrefixes(request.sentPrefixes))
    prefixCacheIndex.announceExpected(sync.prefixIndex, sent);
  if (!request.countReport) return true;
  const countReport = stateSyncCodec.decodeCountReport(request.countReport);
  return coordinatorTracker.applyReport(sync.tracker, incarnation, router, countReport, sync.routerCount).isKnown;
}

/** Run once an interval: what was reported becomes what is published. */
function publish(sync: StateSync, scope: DetectionScope, now: number): void {
  loadAggregate.publish(sync.load, routerTimeoutMs, now);
  outlierDetector.evaluate(sync.outliers, scope, now);
}

/** Run every 100 ms: adopts the view of the fleet, ticks index and tracking, and publishes the hot set when it is due. */
function refresh(sync: StateSync, view: FleetView, now: number): void {
  sync.routerCount = view.routerCount;
  sync.intervalMs = intervalMsFor(view.routerCount);
  prefixCacheIndex.markSilentLocations(sync.prefixIndex, now);
  coordinatorTracker.tick(sync.tracker, view.incarnations, now);
  coordinatorTracker.removeRetired(sync.tracker, (prefix) => prefixIdentity.isRetiredBlock(prefix, view.weights));
  if (hotSets.isDue(sync.hotSet, now)) hotSets.publish(sync.hotSet, sync.tracker, now);
}

/** How many routers find a runner unhealthy themselves. */
function suspectingRouterCount(sync: StateSync, runner: string): number {
  let count = 0;
  for (const report of sync.load.routers.values()) if (report.unhealthyRunners.includes(runner)) count++;
  return count;
}

export const stateSync = {
  create,
  intervalMsFor,
  hasUpdates,
  applyRequest,
  publish,
  refresh,
  suspectingRouterCount,
};
