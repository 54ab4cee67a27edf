/**
 * A simulated router: the state that the router program's own policies decide by (endpoints, cached prefixes, retry
 * budget, transfers), without its servers and sockets.
 */
import { versionRollout } from '../../dataplane/version-rollout.js';
import { weightNamings } from '../../state/control/weight-namings.js';
import { siteTracker, type SiteTracker } from '../../coordination/tracking/site-tracker.js';
import { transferCost } from '../../coordination/transfer/transfer-cost.js';
import { transfers } from '../../coordination/transfer/transfers.js';
import { retryBudget } from '../../dataplane/retry-budget.js';
import { routerEvents } from '../../dataplane/router-events.js';
import type { Router } from '../../dataplane/router.js';
import { routeTable } from '../../state/control/route-table.js';
import { cachedPrefixes } from '../../state/prefix-cache/cached-prefixes.js';
import { endpointPool } from '../../state/runners/endpoint-pool.js';
import type { Configuration, Settings } from '../../types.js';
import type { Scenario } from './scenario.js';

/** The one model and the one service of a simulated fleet, and the store's name and address. */
export const modelName = 'm';
export const serviceName = 's';
export const storeAddress = 'store';

/** The settings map zones to regions; a simulated fleet has one region. */
const regionName = 'one';

const bounds = { version_ms: 8000, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 58 };
const retryWindowMs = bounds.retry_window_s * 1000;
const maxCachedBlocks = 20_000;
const transferLimits = { leaseMs: 4000, maxLeasesPerSource: 6, maxQueuedMs: 1500 };

/**
 * A router of the fleet; `state` is what its policies decide by. `nextChange` is the position up to which it has read
 * the index of the leadership `syncedLeadership`.
 */
export type SimulatedRouter = {
  name: string;
  zone: string;
  isUp: boolean;
  state: Router;
  tracker: SiteTracker;
  nextChange: number;
  syncedLeadership: string;
};

function configurationOf({ traffic, engine, storeTokens }: Scenario): Configuration {
  return {
    revision: 1,
    route_list: traffic.map((trafficClass) => ({
      label: trafficClass.name,
      hostname: trafficClass.name,
      path_prefix: '/',
      variant: 'streaming' as const,
      deadline_ms: trafficClass.deadlineMs,
      target_ms: trafficClass.latencyTargetMs,
      target: serviceName,
      tries: trafficClass.maxAttempts,
      resumable: trafficClass.isResumable,
    })),
    service_list: [
      { label: serviceName, engine_kind: { slot_count: engine.slotCount, kv_capacity: engine.cacheTokens } },
      ...(storeTokens !== null ? [{ label: 'store', kv_store_addr: storeAddress }] : []),
    ],
  };
}

/** The settings that the policies read; what only servers and sockets read is missing. */
type PolicySettings = Pick<Settings, 'zone_name' | 'zones'> & { bound_set: Partial<Settings['bound_set']> };

function settingsOf(scenario: Scenario, zone: string): Settings {
  const zones = Object.fromEntries(scenario.zones.map(({ name }) => [name, regionName] as const));
  const settings: PolicySettings = { zone_name: zone, zones, bound_set: bounds };
  return settings as Settings;
}

function tuningOf({ tuning }: Scenario): Router['tuning'] {
  return {
    ...tuning,
    orderMethod: 'retain',
    orderShare: 0.25,
    urgency: false,
    transfers: true,
  };
}

/** A router's state as far as its policies read it; log, queue and listeners are missing. */
function stateOf(scenario: Scenario, zone: string): Router {
  const document = configurationOf(scenario);
  const state: Partial<Router> = {
    settings: settingsOf(scenario, zone),
    endpointPool: endpointPool.create(),
    configuration: { document, routeTable: routeTable.build(document) },
    weights: { revisions: { [modelName]: 1 }, seq: 0, namings: weightNamings.create() },
    rollouts: versionRollout.create(),
    endpointsSnapshot: { term: 0, seq: 0, runners: [], routerCount: 0 },
    retryBudget: retryBudget.create(retryWindowMs, bounds.retry_ratio, bounds.retry_slack),
    prefixCache: {
      locations: cachedPrefixes.create(maxCachedBlocks),
      hintsValidUntil: Infinity,
      hotSet: { share: new Map(), total: 0 },
    },
    transfers: { machine: transfers.create(transferLimits), costModel: transferCost.create(), peerStoreLeases: 0 },
    events: routerEvents.create(),
    tuning: tuningOf(scenario),
  };
  return state as Router;
}

/** A router that is up and knows no endpoints yet. */
function create(scenario: Scenario, zone: string, name: string): SimulatedRouter {
  return {
    name,
    zone,
    isUp: true,
    state: stateOf(scenario, zone),
    tracker: siteTracker.create(scenario.tuning.epsilon, name),
    nextChange: 0,
    syncedLeadership: '',
  };
}

export const simulatedRouter = { create };
