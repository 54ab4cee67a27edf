/**
 * The leader's end of the state sync: routers report their load, what they sent where, the outcome of their requests
 * and their prefix counts, and get their peers' load, the ejected runners, the changes of the prefix cache index and
 * the hot set. All of it is advisory: a router without it chooses by what it knows itself.
 *
 * After an election every router needs the full state at once. What goes out is therefore bounded in bytes per second;
 * a router that could not be served by the end of its hold gets a mere acknowledgement and keeps what it has.
 */
import { stateSync, type FleetView, type StateSync } from '../coordination/state-sync/state-sync.js';
import { syncResponses } from '../coordination/state-sync/responses.js';
import type { DetectionScope } from '../coordination/health/outlier-detector.js';
import type { SyncRequest, SyncResponse } from '../protocol/rpc/state-sync.js';
import { stateSyncCodec } from '../protocol/rpc/state-sync-codec.js';
import { tokenBucket, type TokenBucket } from './token-bucket.js';
import type { Coordinator } from './coordinator-context.js';
import { versionRollouts } from './version-rollouts.js';
import { routerSessions } from './router-sessions.js';

/** How often the view of the fleet is refreshed; also the interval of publications while there is no state. */
const refreshIntervalMs = 100;

/** The share of the link that the state sync may take, and the link's width where the settings don't say. */
const linkShare = 0.3;
const defaultLinkMbps = 100;

/** A request that waits for updates, or for the budget to send them. `respond` ends the wait. */
type PendingSync = { request: SyncRequest; respond: () => void };

/** The state of one term in which this coordinator leads, the requests that wait, and the budget of bytes. */
export type LeaderSync = StateSync & { pending: Set<PendingSync>; budget: TokenBucket };

/** Owned by the coordinator; null while it doesn't lead. */
export type StateSyncServer = { current: LeaderSync | null };

/** No state: this coordinator does not lead yet. */
function create(): StateSyncServer {
  return { current: null };
}

/** Answers all waiting requests, before their state is given up. */
function respondToAll(sync: LeaderSync | null): void {
  for (const waiting of sync?.pending ?? []) waiting.respond();
}

/** The state of the present term, made anew when the term has changed. */
function state(coordinator: Coordinator): LeaderSync {
  const { stateSync: server, settings, tuning, sessions } = coordinator;
  const term = coordinator.group.term();
  if (server.current?.term === term) return server.current;
  respondToAll(server.current);
  const now = coordinator.runtime.clock.now();
  server.current = {
    ...stateSync.create(term, tuning, routerSessions.recentMaximum(sessions, now)),
    pending: new Set(),
    budget: tokenBucket.create(settings.limits?.link_mbps ?? defaultLinkMbps, linkShare, now),
  };
  return server.current;
}

/** Run once an interval, so that each router is answered at most once in it: answers those that have updates to get. */
function respondToDue(sync: LeaderSync, now: number): void {
  for (const waiting of [...sync.pending]) {
    if (!tokenBucket.hasTokens(sync.budget, now)) return;
    if (!stateSync.hasUpdates(sync, waiting.request)) continue;
    sync.pending.delete(waiting);
    waiting.respond();
  }
}

/** The answer to a request, charged to the budget. */
function respond(sync: LeaderSync, request: SyncRequest, isRouterKnown: boolean): SyncResponse {
  const response = syncResponses.responseTo(sync, request, isRouterKnown);
  tokenBucket.consume(sync.budget, syncResponses.estimatedBytes(response));
  return response;
}

/** Answers once there are updates for the router, at the end of its hold at the latest. */
function respondLater(
  coordinator: Coordinator,
  sync: LeaderSync,
  request: SyncRequest,
  isRouterKnown: boolean,
): Promise<SyncResponse> {
  const { clock } = coordinator.runtime;
  return new Promise((resolve) => {
    const waiting: PendingSync = {
      request,
      respond: () => {
        timer.cancel();
        const hasBudget = tokenBucket.hasTokens(sync.budget, clock.now());
        resolve(
          hasBudget
            ? respond(sync, request, isRouterKnown)
            : syncResponses.acknowledgement(sync, request, isRouterKnown),
        );
      },
    };
    const timer = clock.after(request.holdMs, () => {
      sync.pending.delete(waiting);
      waiting.respond();
    });
    sync.pending.add(waiting);
  });
}

/** Handles a request; null where this coordinator doesn't lead. */
function handle(coordinator: Coordinator, request: SyncRequest): Promise<SyncResponse> | SyncResponse | null {
  if (!coordinator.group.isLeader()) return null;
  const sync = state(coordinator);
  const now = coordinator.runtime.clock.now();
  const isRouterKnown = stateSync.applyRequest(sync, request, now);
  versionRollouts.recordSamples(coordinator, stateSyncCodec.decodeVersionSamples(request.versionSamples ?? []));
  const needsFullState = stateSyncCodec.decodeIndexVersion(request.indexVersion).term !== sync.term;
  const mayRespondNow = request.holdMs === 0 || (needsFullState && tokenBucket.hasTokens(sync.budget, now));
  return mayRespondNow
    ? respond(sync, request, isRouterKnown)
    : respondLater(coordinator, sync, request, isRouterKnown);
}

/** Brings the view of the fleet up to date; a coordinator that does not lead any more gives its state up. */
function refresh(coordinator: Coordinator): void {
  const server = coordinator.stateSync;
  if (!coordinator.group.isLeader()) {
    respondToAll(server.current);
    server.current = null;
    return;
  }
  const now = coordinator.runtime.clock.now();
  const view: FleetView = {
    routerCount: routerSessions.recentMaximum(coordinator.sessions, now),
    incarnations: new Set(routerSessions.incarnationsByRouter(coordinator.sessions, now).values()),
    weights: coordinator.group.state().weights,
  };
  stateSync.refresh(state(coordinator), view, now);
}

/** The runners that may be ejected, which are those not draining, and the routers that may probe: all that report. */
function detectionScope(coordinator: Coordinator, sync: LeaderSync): DetectionScope {
  const serving = (coordinator.endpoints.runners ?? []).filter((runner) => !runner.draining);
  return {
    serviceByRunner: new Map(serving.map((runner) => [runner.id, runner.service] as const)),
    routers: [...sync.load.routers.keys()],
  };
}

/** Publishes now and from then on once an interval, which changes with the number of routers. */
function publishPeriodically(coordinator: Coordinator): void {
  const { current: sync } = coordinator.stateSync;
  const { clock } = coordinator.runtime;
  if (sync && coordinator.group.isLeader() && sync.term === coordinator.group.term()) {
    stateSync.publish(sync, detectionScope(coordinator, sync), clock.now());
    respondToDue(sync, clock.now());
  }
  clock.after(sync?.intervalMs ?? refreshIntervalMs, () => {
    publishPeriodically(coordinator);
  });
}

/** Begins to publish and refresh; the coordinator's clock owns the timers. */
function start(coordinator: Coordinator): void {
  publishPeriodically(coordinator);
  coordinator.runtime.clock.every(refreshIntervalMs, () => {
    refresh(coordinator);
  });
}

export const stateSyncServer = { create, handle, start, state };
