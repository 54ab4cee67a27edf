/**
 * Answers a router's watch: at once when there are updates for it, otherwise when there are some or its wait runs
 * out. A coordinator that is not up to date (`freshness.ts`) says so and sends no updates, so that the router turns to
 * another one. Only a router that accepts stale state (`acceptsStale`, after no coordinator was up to date for a while)
 * is sent it.
 */
import { endpointsHistory } from '../state/history/endpoints-history.js';
import type { ConfigurationUpdate } from '../protocol/rpc/updates.js';
import { configurationHistory } from '../state/history/configuration-history.js';
import { controlState } from '../state/control/reducer.js';
import { weightNamings } from '../state/control/weight-namings.js';
import { endpointsSnapshots } from '../state/endpoints-snapshot.js';
import type { WatchRequest, WatchResponse } from '../protocol/rpc/watch.js';
import type { EndpointsSnapshot } from '../types.js';
import { freshness } from './freshness.js';
import { pendingWatches } from './pending-watches.js';
import { runnerDiscovery } from './runner-discovery.js';
import { routerSessions } from './router-sessions.js';
import type { Coordinator } from './coordinator-context.js';

/** The longest wait at a coordinator that is up to date. */
const maxWaitMs = 2000;

/**
 * The longest wait of a router without a configuration at a coordinator that is not up to date: after a loss of all
 * coordinators it is answered as soon as a leader is elected, and the coordinators are not flooded before. Any other
 * router is answered at once, so that it turns to another coordinator.
 */
const maxInitialWaitMs = 100;

/** How often freshness is checked: it is also lost by the passing of time, without any event. */
const freshnessCheckIntervalMs = 25;

type ConfigurationFields = Pick<WatchResponse, 'configuration' | 'configurationUpdate'>;
type WeightsFields = Pick<WatchResponse, 'weights' | 'weightNamings'>;
type EndpointsFields = Pick<WatchResponse, 'endpoints' | 'endpointsUpdate'>;

function mayServe(coordinator: Coordinator, request: WatchRequest): boolean {
  return freshness.isUpToDate(coordinator) || (request.acceptsStale && !coordinator.isStopping);
}

function provisionalEndpoints(coordinator: Coordinator, request: WatchRequest): EndpointsSnapshot | null {
  const { term, seq } = request.endpointsVersion;
  return term === 0 ? runnerDiscovery.provisionalEndpoints(coordinator, seq) : null;
}

function hasUpdate(coordinator: Coordinator, request: WatchRequest): boolean {
  const state = coordinator.group.state();
  const hasNoEndpoints = request.endpointsVersion.term === 0 && request.endpointsVersion.seq === 0;
  return (
    request.needsFullState ||
    controlState.revision(state) > request.revision ||
    state.weightsSeq > request.weightsSeq ||
    state.accessRules.seq > request.rulesSeq ||
    state.rollouts.seq > (request.rolloutsSeq ?? Infinity) ||
    endpointsSnapshots.isNewer(coordinator.endpoints, request.endpointsVersion) ||
    (hasNoEndpoints && provisionalEndpoints(coordinator, request) !== null)
  );
}

function isDue(coordinator: Coordinator, request: WatchRequest): boolean {
  if (coordinator.isStopping) return true;
  if (mayServe(coordinator, request)) return hasUpdate(coordinator, request);
  return request.revision > 0;
}

function waitLimitMs(coordinator: Coordinator, request: WatchRequest): number {
  return Math.min(request.waitMs, freshness.isUpToDate(coordinator) ? maxWaitMs : maxInitialWaitMs);
}

function configurationUpdateFor(coordinator: Coordinator, request: WatchRequest): ConfigurationUpdate | null {
  if (request.needsFullState || coordinator.configurations.current !== coordinator.group.state().configuration)
    return null;
  return configurationHistory.deltaSince(coordinator.configurations, request.revision);
}

function configurationFields(coordinator: Coordinator, request: WatchRequest): ConfigurationFields {
  const { configuration } = coordinator.group.state();
  const isBehind = (configuration?.revision ?? 0) > request.revision || request.needsFullState;
  if (configuration === null || !isBehind) return { configuration: null, configurationUpdate: null };
  const configurationUpdate = configurationUpdateFor(coordinator, request);
  return { configuration: configurationUpdate ? null : configuration, configurationUpdate };
}

function endpointsFields(coordinator: Coordinator, request: WatchRequest): EndpointsFields {
  const { endpoints } = coordinator;
  const { endpointsVersion, needsFullState } = request;
  const isBehind = endpointsSnapshots.isNewer(endpoints, endpointsVersion) || (needsFullState && endpoints.seq > 0);
  if (!isBehind) return { endpoints: provisionalEndpoints(coordinator, request), endpointsUpdate: null };
  const { term, seq } = endpointsVersion;
  const endpointsUpdate = needsFullState ? null : endpointsHistory.deltaSince(coordinator.endpointsHistory, term, seq);
  return { endpoints: endpointsUpdate ? null : endpoints, endpointsUpdate };
}

function weightsFields(coordinator: Coordinator, request: WatchRequest): WeightsFields {
  const { weights, weightsSeq } = coordinator.group.state();
  if (weightsSeq <= request.weightsSeq) return { weights: null, weightNamings: null };
  const { namings } = coordinator.weightsProgress;
  return { weights, weightNamings: weightNamings.toAges(namings, coordinator.runtime.clock.now()) };
}

const noUpdates = {
  configuration: null,
  configurationUpdate: null,
  weights: null,
  weightNamings: null,
  accessRules: null,
  rollouts: null,
  endpoints: null,
  endpointsUpdate: null,
};

function responseTo(coordinator: Coordinator, request: WatchRequest): WatchResponse {
  const state = coordinator.group.state();
  const common = {
    weightsSeq: state.weightsSeq,
    sharedDomainSince: state.cacheIsolation.sharedSince,
    leaderAddress: coordinator.group.leaderAddress(),
    coordinatorAddresses: coordinator.group.memberAddresses(),
    isUpToDate: freshness.isUpToDate(coordinator),
    confirmsAccessRules: !coordinator.isStopping && freshness.mayConfirmAccessRules(coordinator),
  };
  if (!mayServe(coordinator, request)) return { ...common, ...noUpdates };
  return {
    ...common,
    ...configurationFields(coordinator, request),
    ...endpointsFields(coordinator, request),
    ...weightsFields(coordinator, request),
    accessRules: state.accessRules.seq > request.rulesSeq ? state.accessRules : null,
    rollouts: state.rollouts.seq > (request.rolloutsSeq ?? Infinity) ? state.rollouts : null,
  };
}

function renewSession(coordinator: Coordinator, request: WatchRequest): void {
  const { routerName, incarnation, revision, rolloutsSeq = 0 } = request;
  const seenAt = coordinator.runtime.clock.now();
  routerSessions.renew(coordinator.sessions, { routerName, incarnation, seenAt, revision, rolloutsSeq });
}

/** Resolves with the response once the watch is due or its wait is over. Never rejects. */
async function handle(coordinator: Coordinator, request: WatchRequest): Promise<WatchResponse> {
  renewSession(coordinator, request);
  if (!isDue(coordinator, request)) {
    const { clock } = coordinator.runtime;
    const timeoutMs = waitLimitMs(coordinator, request);
    await pendingWatches.wait(coordinator.pendingWatches, clock, () => isDue(coordinator, request), timeoutMs);
    renewSession(coordinator, request);
  }
  return responseTo(coordinator, request);
}

/** Ends waits whenever this coordinator becomes up to date or ceases to be. */
function start(coordinator: Coordinator): void {
  let wasUpToDate = freshness.isUpToDate(coordinator);
  function checkFreshness(): void {
    const isUpToDate = freshness.isUpToDate(coordinator);
    if (isUpToDate === wasUpToDate) return;
    wasUpToDate = isUpToDate;
    pendingWatches.respondToDue(coordinator.pendingWatches);
  }
  coordinator.runtime.clock.every(freshnessCheckIntervalMs, checkFreshness);
}

export const watchServer = { handle, start };
