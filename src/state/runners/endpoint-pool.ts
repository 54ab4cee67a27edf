/**
 * A router's pool of runner endpoints: ids are mapped to dense indices when a list comes in, and all state of the
 * request path about a runner is in its endpoint. An index is never used again for another endpoint, so a reference by
 * index (cached prefixes, transfers) never comes to mean another.
 */
import type { RouteTable } from '../control/route-table.js';
import type { Ejection } from '../../protocol/rpc/state-sync-records.js';
import type { Runner } from '../../types.js';
import { defaultConnectionLimit, runnerEndpoint, type RunnerEndpoint } from './endpoint.js';

/** `endpoints` holds every endpoint there ever was, by index; the maps hold those that are listed or still busy. */
export type EndpointPool = {
  endpoints: RunnerEndpoint[];
  byId: Map<string, RunnerEndpoint>;
  byService: Map<string, RunnerEndpoint[]>;
};

/** The share (0 to 1) of a service's `max_conns` that all routers together use. */
const connectionLimitShare = 0.9;

/** An empty pool. */
function create(): EndpointPool {
  return { endpoints: [], byId: new Map(), byService: new Map() };
}

function add(pool: EndpointPool, runner: Runner): RunnerEndpoint {
  const endpoint = runnerEndpoint.create(pool.endpoints.length, runner);
  pool.endpoints.push(endpoint);
  pool.byId.set(runner.id, endpoint);
  return endpoint;
}

function update(endpoint: RunnerEndpoint, runner: Runner): void {
  endpoint.isListed = true;
  endpoint.isDraining = runner.draining;
  endpoint.isPaused = runner.paused;
  for (const model of runner.models) runnerEndpoint.recordRevision(endpoint, model.label, model.revision);
}

/** One that is no longer listed goes at once when it is idle, otherwise with a later list. */
function removeUnlisted(pool: EndpointPool, listed: Set<string>): void {
  for (const endpoint of [...pool.byId.values()]) {
    if (listed.has(endpoint.id)) continue;
    endpoint.isListed = false;
    if (endpoint.load.activeRequests > 0) continue;
    pool.byId.delete(endpoint.id);
    endpoint.connections.agent.destroy();
  }
}

function indexByService(pool: EndpointPool): void {
  pool.byService.clear();
  for (const endpoint of pool.byId.values()) {
    if (!endpoint.isListed) continue;
    const sameService = pool.byService.get(endpoint.service);
    if (sameService) sameService.push(endpoint);
    else pool.byService.set(endpoint.service, [endpoint]);
  }
}

/** Installs the list of runners as it now is. */
function applyList(pool: EndpointPool, runners: Runner[]): void {
  const listed = new Set<string>();
  for (const runner of runners) {
    listed.add(runner.id);
    update(pool.byId.get(runner.id) ?? add(pool, runner), runner);
  }
  removeUnlisted(pool, listed);
  indexByService(pool);
}

/**
 * A runner accepts only `max_conns` connections from all callers together: each router keeps to its share, by
 * the number of routers that are known to run; while that is unknown (0), to a small fixed number.
 */
function limitConnections(pool: EndpointPool, table: RouteTable | null, routerCount: number): void {
  for (const endpoint of pool.byId.values()) {
    const max = table?.services.get(endpoint.service)?.max_conns;
    const limit =
      max === undefined || routerCount === 0
        ? defaultConnectionLimit
        : Math.max(1, Math.floor((max * connectionLimitShare) / routerCount));
    endpoint.connections.limit = limit;
    endpoint.connections.agent.maxSockets = limit;
    endpoint.connections.agent.maxFreeSockets = limit;
  }
}

/**
 * Applies the outlier detector's ejections: endpoints not named are admitted; one is probed by the router named, once
 * for each number of a probe.
 */
function applyEjections(pool: EndpointPool, ejections: Ejection[], ownName: string): void {
  for (const endpoint of pool.byId.values()) endpoint.outlier.status = 'admitted';
  for (const { runner, prober, probeNumber } of ejections) {
    const outlier = pool.byId.get(runner)?.outlier;
    if (!outlier) continue;
    // Numbers start again with a new leader.
    if (probeNumber < outlier.probeNumber) outlier.sentProbeNumber = 0;
    outlier.probeNumber = probeNumber;
    outlier.status = prober === ownName && probeNumber > outlier.sentProbeNumber ? 'probe' : 'ejected';
  }
}

export const endpointPool = { create, applyList, limitConnections, applyEjections };
