/**
 * Service discovery of the runners. In steady state only the leader polls the platform, so that the calls of the whole
 * system stay far below the platform's rate limit; it publishes a changed list at once, and while the platform does not
 * answer the last list stays in use.
 *
 * A member that hears no leader polls as well, from its own start on: so whoever is elected has a list to publish at
 * that moment, and while there is no leader's snapshot at all (every process of the core was restarted) a *provisional
 * snapshot* can be handed to a router that has none.
 */
import { ringLog } from '../logging/ring.js';
import type { EndpointsSnapshot, Runner } from '../types.js';
import type { Coordinator } from './coordinator-context.js';
import { endpointsReplication } from './endpoints-replication.js';
import { freshness } from './freshness.js';
import { routerSessions } from './router-sessions.js';

/** Of the leader's polls, in milliseconds. */
const pollIntervalMs = 700;
/** How often it is checked whether a poll is due, in milliseconds. */
const tickIntervalMs = 50;

/** Without a leader every member polls; together about as often as three would, however many there are. */
const pollersWithoutLeader = 3;

/** Without any list a failed poll is retried sooner than `pollIntervalMs`, in milliseconds. */
const firstPollRetryMs = 350;

/**
 * A list fetched by a member that did not lead is served only up to this share of `drain_ms` after its request. It is
 * the platform's own list, fetched in this incarnation of the process; it can only lack what the platform changed
 * since. Half of `drain_ms` is left for the router to learn of that: its watch is answered within that time, and the
 * leader, once there is one, polls every `pollIntervalMs` and publishes a change at once.
 */
const provisionalShare = 0.5;

/** Owned by the coordinator; times in ms of the steady clock. */
export type RunnerDiscovery = {
  /** The platform's list as it was last fetched; null when there is none, or none of use. */
  latestList: Runner[] | null;
  /** When the request for that list was sent. */
  fetchedAt: number;
  /** Runners that the roll-out has paused. */
  paused: Set<string>;
  /** Revisions that runners reported themselves, by runner and model, ahead of the platform's list. */
  knownRevisions: Map<string, Map<string, number>>;
  isPolling: boolean;
  polledAt: number;
};

/** No list yet. */
function create(): RunnerDiscovery {
  return {
    latestList: null,
    fetchedAt: -Infinity,
    paused: new Set(),
    knownRevisions: new Map(),
    isPolling: false,
    polledAt: -Infinity,
  };
}

/** The platform's list with the pauses and the reported revisions that are known here. */
function effectiveRunners(discovery: RunnerDiscovery): Runner[] {
  return (discovery.latestList ?? []).map((runner): Runner => {
    const known = discovery.knownRevisions.get(runner.id);
    const models = runner.models.map(({ label, revision }) => ({
      label,
      revision: Math.max(revision, known?.get(label) ?? 0),
    }));
    return { ...runner, paused: discovery.paused.has(runner.id), models };
  });
}

/** Publishes the list if this member leads and it differs from what is published. */
function publish(coordinator: Coordinator): void {
  const { discovery, group, endpoints } = coordinator;
  if (!discovery.latestList || !group.isLeader()) return;
  const runners = effectiveRunners(discovery);
  const routerCount = routerSessions.recentMaximum(coordinator.sessions, coordinator.runtime.clock.now());
  const isSame =
    endpoints.term === group.term() &&
    endpoints.routerCount === routerCount &&
    JSON.stringify(runners) === JSON.stringify(endpoints.runners);
  if (!isSame) endpointsReplication.publish(coordinator, { runners, routerCount });
}

/** Pauses a runner, so that it gets no new requests, or resumes it. */
function setPaused(coordinator: Coordinator, id: string, isPaused: boolean): void {
  const { paused } = coordinator.discovery;
  if (isPaused) paused.add(id);
  else paused.delete(id);
  publish(coordinator);
}

/** Records a revision that a runner itself reported. */
function recordRevision(coordinator: Coordinator, id: string, model: string, revision: number): void {
  const { knownRevisions } = coordinator.discovery;
  const known = knownRevisions.get(id) ?? new Map<string, number>();
  if ((known.get(model) ?? 0) >= revision) return;
  known.set(model, revision);
  knownRevisions.set(id, known);
  publish(coordinator);
}

function installList(coordinator: Coordinator, list: Runner[], requestedAt: number): void {
  const { discovery } = coordinator;
  discovery.latestList = list;
  discovery.fetchedAt = requestedAt;
  const ids = new Set(list.map((runner) => runner.id));
  for (const id of [...discovery.knownRevisions.keys()]) if (!ids.has(id)) discovery.knownRevisions.delete(id);
  for (const id of [...discovery.paused]) if (!ids.has(id)) discovery.paused.delete(id);
  publish(coordinator);
}

async function poll(coordinator: Coordinator): Promise<void> {
  const { discovery } = coordinator;
  if (discovery.isPolling) return;
  discovery.isPolling = true;
  const requestedAt = coordinator.runtime.clock.now();
  discovery.polledAt = requestedAt;
  const list = await coordinator.externalApis.listRunners();
  discovery.isPolling = false;
  if (list.ok) installList(coordinator, list.value, requestedAt);
  else ringLog.note(coordinator.log, 'instance_list_failed', { error: list.error.kind });
}

function isRecent(coordinator: Coordinator): boolean {
  const { latestList, fetchedAt } = coordinator.discovery;
  const ageMs = coordinator.runtime.clock.now() - fetchedAt;
  return latestList !== null && ageMs <= coordinator.settings.bound_set.drain_ms * provisionalShare;
}

/** The time between two polls, in milliseconds; the first one is made at once in any case. */
function intervalMs(coordinator: Coordinator): number {
  const { group, discovery } = coordinator;
  if (group.isLeader()) return pollIntervalMs;
  if (freshness.hasLeader(coordinator)) return Infinity;
  const factor = Math.max(1, group.memberAddresses().length / pollersWithoutLeader);
  return factor * (discovery.latestList === null ? firstPollRetryMs : pollIntervalMs);
}

function tick(coordinator: Coordinator): void {
  const { discovery, group, runtime } = coordinator;
  if (!group.isLeader()) discovery.paused.clear();
  if (runtime.clock.now() - discovery.polledAt >= intervalMs(coordinator)) void poll(coordinator);
}

/** A new leader publishes a list from before the election at once if it is recent; in any case it fetches a new one. */
function onRoleChanged(coordinator: Coordinator): void {
  if (!coordinator.group.isLeader()) return;
  if (isRecent(coordinator)) publish(coordinator);
  else coordinator.discovery.latestList = null;
  void poll(coordinator);
}

/** Polls from now on, as the role of this member requires. */
function start(coordinator: Coordinator): void {
  coordinator.group.onRoleChanged(() => {
    onRoleChanged(coordinator);
  });
  coordinator.runtime.clock.every(tickIntervalMs, () => {
    tick(coordinator);
  });
  tick(coordinator);
}

/** The runners as this member knows them; empty before its first list. */
function currentList(coordinator: Coordinator): Runner[] {
  return effectiveRunners(coordinator.discovery);
}

/**
 * A snapshot for a router that has none or only a provisional one, while no leader's snapshot is known here; null
 * when the own list is missing or too old. `after` is the seq of the provisional snapshot that the router has.
 */
function provisionalEndpoints(coordinator: Coordinator, after: number): EndpointsSnapshot | null {
  const { discovery, endpoints } = coordinator;
  if (endpoints.runners !== null || !isRecent(coordinator)) return null;
  const routerCount = routerSessions.recentMaximum(coordinator.sessions, coordinator.runtime.clock.now());
  return { term: 0, seq: after + 1, runners: effectiveRunners(discovery), routerCount };
}

export const runnerDiscovery = {
  create,
  start,
  setPaused,
  recordRevision,
  currentList,
  publish,
  provisionalEndpoints,
};
