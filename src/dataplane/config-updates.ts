/**
 * Applies a watch response at a router: configuration, access rules, weights and endpoints, each only if it is newer
 * than the present one, so that no state of a router ever goes back.
 */
import type { WatchResponse } from '../protocol/rpc/watch.js';
import { ownValue } from '../runtime/own-value.js';
import { routeTable } from '../state/control/route-table.js';
import { weightNamings } from '../state/control/weight-namings.js';
import { endpointsSnapshots } from '../state/endpoints-snapshot.js';
import { configurationHistory } from '../state/history/configuration-history.js';
import { endpointsHistory } from '../state/history/endpoints-history.js';
import { endpointPool } from '../state/runners/endpoint-pool.js';
import type { Configuration, EndpointsSnapshot } from '../types.js';
import { admissionQueue } from './admission-queue.js';
import { versionRollout } from './version-rollout.js';
import type { Router } from './router.js';

/** The full state as received, or the one that an update leads to; `unfit` if the update is for another base. */
type Resolved<T> = { kind: 'state'; state: T } | { kind: 'none' } | { kind: 'unfit' };

function resolve<T, U>(full: T | null, update: U | null, apply: (update: U) => T | null): Resolved<T> {
  if (full) return { kind: 'state', state: full };
  if (!update) return { kind: 'none' };
  const state = apply(update);
  return state ? { kind: 'state', state } : { kind: 'unfit' };
}

function applyConfiguration(router: Router, configuration: Configuration, sharedSince: number): void {
  if (configuration.revision <= (router.configuration?.document.revision ?? 0)) return;
  const table = routeTable.build(configuration, sharedSince);
  router.configuration = { document: configuration, routeTable: table };
  endpointPool.limitConnections(router.endpointPool, table, router.endpointsSnapshot.routerCount);
  router.events.emit('configuration');
}

function applyWeights(router: Router, response: WatchResponse, now: number): void {
  const { weights } = router;
  if (!response.weights || response.weightsSeq <= weights.seq) return;
  const { namings } = weights;
  for (const [model, revision] of Object.entries(response.weights))
    if ((ownValue(weights.revisions, model) ?? 0) < revision) weightNamings.record(namings, model, revision, now);
  weightNamings.recordAges(namings, response.weightNamings ?? [], now);
  weightNamings.forgetOlderThan(namings, router.settings.bound_set.version_ms, now);
  weights.revisions = response.weights;
  weights.seq = response.weightsSeq;
}

function applyEndpoints(router: Router, endpoints: EndpointsSnapshot): void {
  if (!endpointsSnapshots.isNewer(endpoints, router.endpointsSnapshot)) return;
  router.endpointsSnapshot = { ...endpoints, routerCount: Math.max(endpoints.routerCount, 0) };
  if (endpoints.runners) endpointPool.applyList(router.endpointPool, endpoints.runners);
  endpointPool.limitConnections(router.endpointPool, router.configuration?.routeTable ?? null, endpoints.routerCount);
  admissionQueue.dispatchWaiting(router.admissionQueue);
}

/**
 * Applies a response at `now` (ms on the router's clock). False when an update in it was for another base, so that the
 * full state has to be requested; the rest of the response is in effect then.
 */
function apply(router: Router, response: WatchResponse, now: number): boolean {
  const configuration = resolve(response.configuration, response.configurationUpdate, (update) =>
    configurationHistory.apply(router.configuration?.document ?? null, update),
  );
  if (configuration.kind === 'state') applyConfiguration(router, configuration.state, response.sharedDomainSince);
  const { accessRules } = response;
  if (accessRules && accessRules.seq > router.accessRules.state.seq) router.accessRules.state = accessRules;
  versionRollout.apply(router, response.rollouts);
  applyWeights(router, response, now);
  const endpoints = resolve(response.endpoints, response.endpointsUpdate, (update) =>
    endpointsHistory.apply(router.endpointsSnapshot, update),
  );
  if (endpoints.kind === 'state') applyEndpoints(router, endpoints.state);
  return configuration.kind !== 'unfit' && endpoints.kind !== 'unfit';
}

export const configUpdates = { apply };
