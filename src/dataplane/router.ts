/**
 * The state of a router: what the control plane has sent, what is known of the endpoints, and the open requests. It is
 * in memory only: a router starts empty. Times are in ms on the process's steady clock.
 */
import { transfers, type Transfers } from '../coordination/transfer/transfers.js';
import { transferCost, type TransferCostModel } from '../coordination/transfer/transfer-cost.js';
import type { Log } from '../logging/ring.js';
import { callerLimits } from '../runtime/caller-limits.js';
import { resourceBudget, type ResourceBudget } from '../runtime/resource-budget.js';
import type { RouteTable } from '../state/control/route-table.js';
import { weightNamings, type WeightNamings } from '../state/control/weight-namings.js';
import { endpointsSnapshots } from '../state/endpoints-snapshot.js';
import { cachedPrefixes, type CachedPrefixes } from '../state/prefix-cache/cached-prefixes.js';
import { endpointPool, type EndpointPool } from '../state/runners/endpoint-pool.js';
import type { AccessRulesState, Configuration, EndpointsSnapshot, Settings, Tuning } from '../types.js';
import { admissionQueue, type AdmissionQueue } from './admission-queue.js';
import type { IncomingRequest } from './request-context.js';
import { versionRollout, type RouterRollouts } from './version-rollout.js';
import { retryBudget, type RetryBudget } from './retry-budget.js';
import { routerEvents, type RouterEvents } from './router-events.js';

/** The configuration in force as the operator wrote it, and the table built from it. */
export type ActiveConfiguration = { document: Configuration; routeTable: RouteTable };

/**
 * The newest revision of the weights of each model, as the control plane names them, and when each was named. `seq` is
 * the number of the newest update.
 */
export type NamedWeights = { revisions: Record<string, number>; seq: number; namings: WeightNamings };

/**
 * The access rules under the lease of this router: past `validUntil`, without an answer of the control plane that
 * confirms them, they may be honoured no longer.
 */
export type LeasedAccessRules = { state: AccessRulesState; validUntil: number };

/**
 * - `serving`: from the start of the process on, whether it is ready or not.
 * - `draining`: shutting down; unready, and every answer closes its connection.
 * - `closing`: shutting down; beyond that no new connections, and each is closed behind its request.
 */
export type RouterPhase = 'serving' | 'draining' | 'closing';

/** What a router knows of the prefix caches. Keys are block keys of `state/prefix-cache/prefix-identity.ts`. */
export type PrefixCacheView = {
  /** Where prefix blocks are believed to be cached. */
  locations: CachedPrefixes;
  /** Until when `locations` may be the source of a transfer; prolonged by the state sync. */
  hintsValidUntil: number;
  /** Blocks that many requests begin with, by their share of all requests, and how many requests were counted. */
  hotSet: { share: Map<string, number>; total: number };
};

/** The transfers of prefix blocks that this router's requests ask for, and what a transfer costs. */
export type TransferState = {
  machine: Transfers;
  costModel: TransferCostModel;
  /** Leases that other routers hold on the store, as of the last state sync. */
  peerStoreLeases: number;
};

/** A router; passed to every part of the data plane. */
export type Router = {
  settings: Settings;
  tuning: Tuning;
  log: Log;
  events: RouterEvents;
  phase: RouterPhase;
  /** Null until the first configuration has come. */
  configuration: ActiveConfiguration | null;
  weights: NamedWeights;
  accessRules: LeasedAccessRules;
  rollouts: RouterRollouts;
  /** The newest endpoints snapshot that was applied. */
  endpointsSnapshot: EndpointsSnapshot;
  endpointPool: EndpointPool;
  prefixCache: PrefixCacheView;
  transfers: TransferState;
  /** The rate at which runners prefill long prompts, measured here; 0 until one has been seen. */
  prefillTokensPerMs: number;
  retryBudget: RetryBudget;
  admissionQueue: AdmissionQueue;
  /** What the bodies of all requests may hold together. */
  bodyBudget: ResourceBudget;
  /** Requests whose answer has not left yet. */
  openRequests: Set<IncomingRequest>;
};

/**
 * The limits of transfers: how long a lease holds if the end of its request is not seen, how many leases one source may
 * have, and how many ms of transfers may be queued at a destination, the new one included.
 */
const transferTiming = { leaseMs: 4000, maxLeasesPerSource: 6, maxQueuedMs: 1500 };

/** The most prefix blocks whose locations are remembered. */
const maxCachedBlocks = 20_000;

/** A router without any state of the control plane. */
function create(settings: Settings, log: Log, tuning: Tuning): Router {
  const bounds = settings.bound_set;
  return {
    settings,
    tuning,
    log,
    events: routerEvents.create(),
    phase: 'serving',
    configuration: null,
    weights: { revisions: {}, seq: 0, namings: weightNamings.create() },
    accessRules: { state: { seq: 0, activeRules: {}, pendingRules: null, pendingRevision: 0 }, validUntil: -Infinity },
    rollouts: versionRollout.create(),
    endpointsSnapshot: endpointsSnapshots.empty(),
    endpointPool: endpointPool.create(),
    prefixCache: {
      locations: cachedPrefixes.create(maxCachedBlocks),
      hintsValidUntil: -Infinity,
      hotSet: { share: new Map(), total: 0 },
    },
    transfers: { machine: transfers.create(transferTiming), costModel: transferCost.create(), peerStoreLeases: 0 },
    prefillTokensPerMs: 0,
    retryBudget: retryBudget.create(bounds.retry_window_s * 1000, bounds.retry_ratio, bounds.retry_slack),
    admissionQueue: admissionQueue.create(),
    bodyBudget: resourceBudget.create(callerLimits.forMachine(settings.limits ?? {}).bodyBytes),
    openRequests: new Set(),
  };
}

/** The table of the configuration in force. Throws without one: requests pass the policies only once there is one. */
function routeTable({ configuration }: Router): RouteTable {
  if (!configuration) throw new Error('a request passed the policies before the first configuration');
  return configuration.routeTable;
}

/** Whether the router shuts down: draining or closing. */
function isShuttingDown(router: Router): boolean {
  return router.phase !== 'serving';
}

/** Whether the platform may send clients here: there is a configuration and a list of endpoints, and no shutdown. */
function isReady(router: Router): boolean {
  return !isShuttingDown(router) && router.configuration !== null && router.endpointsSnapshot.runners !== null;
}

export const routers = { create, routeTable, isShuttingDown, isReady };
