/**
 * Replication of the endpoints snapshot, soft state that the leader publishes to the other coordinators and they to
 * the routers. A publication also carries how far the leader's replicated state is (`freshness.ts`) and which
 * response of the receiver the leader has heard; the response carries the receiver's router sessions.
 */
import { endpointsHistory } from '../state/history/endpoints-history.js';
import { controlState } from '../state/control/reducer.js';
import { endpointsSnapshots } from '../state/endpoints-snapshot.js';
import type { PublishEndpointsRequest, PublishEndpointsResponse } from '../protocol/rpc/endpoints.js';
import { rpcErrors } from '../runtime/rpc-errors.js';
import type { EndpointsSnapshot, EndpointsVersion } from '../types.js';
import { freshness } from './freshness.js';
import { rpcClient } from './rpc-client.js';
import type { Coordinator } from './coordinator-context.js';
import { pendingWatches } from './pending-watches.js';
import { routerSessions } from './router-sessions.js';

/** The leader calls every other member at least this often, in milliseconds. */
const publishIntervalMs = 400;
/** Of one call, in milliseconds. */
const publishTimeoutMs = 500;

/**
 * What the leader knows of a peer: the version it has, whether a call is under way, whether another is due after it.
 */
type PeerProgress = { version: EndpointsVersion; isCallInFlight: boolean; isCallDue: boolean };

/** The peers of a leader, by their addresses. */
export type ReplicationProgress = Map<string, PeerProgress>;

/** Changes the snapshot and publishes it to the other members at once; for the leader only. */
function publish(coordinator: Coordinator, changes: Partial<EndpointsSnapshot>): void {
  const term = coordinator.group.term();
  const seq = coordinator.endpoints.term === term ? coordinator.endpoints.seq + 1 : 1;
  install(coordinator, { ...coordinator.endpoints, ...changes, term, seq });
  pendingWatches.respondToDue(coordinator.pendingWatches);
  publishToPeers(coordinator, true);
}

function install(coordinator: Coordinator, snapshot: EndpointsSnapshot): void {
  coordinator.endpoints = snapshot;
  endpointsHistory.record(coordinator.endpointsHistory, snapshot);
}

function progressOfPeer(coordinator: Coordinator, address: string): PeerProgress {
  let progress = coordinator.replicationProgress.get(address);
  if (!progress) {
    progress = { version: { term: 0, seq: 0 }, isCallInFlight: false, isCallDue: false };
    coordinator.replicationProgress.set(address, progress);
  }
  return progress;
}

function publishToPeers(coordinator: Coordinator, onlyIfNewer: boolean): void {
  if (!coordinator.group.isLeader()) return;
  for (const peer of coordinator.group.peers()) void publishToPeer(coordinator, peer.id, peer.address, onlyIfNewer);
}

/** One call to a peer at a time; what becomes due meanwhile is sent by the next one. */
async function publishToPeer(
  coordinator: Coordinator,
  peerId: string,
  address: string,
  onlyIfNewer: boolean,
): Promise<void> {
  const progress = progressOfPeer(coordinator, address);
  if (progress.isCallInFlight) {
    progress.isCallDue = true;
    return;
  }
  const isBehind = endpointsSnapshots.isNewer(coordinator.endpoints, progress.version);
  if (onlyIfNewer && !isBehind) return;
  progress.isCallInFlight = true;
  const request: PublishEndpointsRequest = {
    snapshot: isBehind ? coordinator.endpoints : null,
    leaderProgress: freshness.publishedProgress(coordinator),
    lastResponseNumber: coordinator.sessions.peers.get(peerId)?.responseNumber ?? 0,
  };
  const result = await rpcClient.publishEndpoints(coordinator, address, request, publishTimeoutMs);
  progress.isCallInFlight = false;
  if (!result.ok) {
    if (rpcErrors.isOtherIncarnation(result.error)) forgetIncarnation(coordinator, peerId, progress);
    return;
  }
  recordResponse(coordinator, peerId, progress, result.value);
  if (!progress.isCallDue) return;
  progress.isCallDue = false;
  void publishToPeer(coordinator, peerId, address, false);
}

/** The peer has restarted: the version it had and the number of its last response are of its earlier incarnation. */
function forgetIncarnation(coordinator: Coordinator, peerId: string, progress: PeerProgress): void {
  progress.version = { term: 0, seq: 0 };
  const peer = coordinator.sessions.peers.get(peerId);
  if (peer) peer.responseNumber = 0;
}

function recordResponse(
  coordinator: Coordinator,
  peerId: string,
  progress: PeerProgress,
  response: PublishEndpointsResponse,
): void {
  progress.version = response.version;
  const receivedAt = coordinator.runtime.clock.now();
  coordinator.sessions.peers.set(peerId, {
    receivedAt,
    responseNumber: response.responseNumber,
    revision: response.revision,
    sessions: response.sessions.map(({ ageMs, ...session }) => ({ ...session, seenAt: receivedAt - ageMs })),
  });
}

/** The leader has received the response with this number; those before it are forgotten. */
function recordAcknowledgement(coordinator: Coordinator, request: PublishEndpointsRequest): void {
  const { responsesToLeader } = coordinator;
  const { lastResponseNumber } = request;
  if (request.leaderProgress.term >= coordinator.group.term()) {
    const sentAt = responsesToLeader.sentAt.get(lastResponseNumber) ?? -Infinity;
    responsesToLeader.acknowledgedSentAt = Math.max(responsesToLeader.acknowledgedSentAt, sentAt);
  }
  for (const number of responsesToLeader.sentAt.keys())
    if (number < lastResponseNumber) responsesToLeader.sentAt.delete(number);
}

/** Handles a publication of the leader: adopts what is newer, and responds with the router sessions of this member. */
function acceptPublication(coordinator: Coordinator, request: PublishEndpointsRequest): PublishEndpointsResponse {
  freshness.recordLeaderProgress(coordinator, request.leaderProgress);
  if (request.snapshot && endpointsSnapshots.isNewer(request.snapshot, coordinator.endpoints))
    install(coordinator, request.snapshot);
  pendingWatches.respondToDue(coordinator.pendingWatches);
  recordAcknowledgement(coordinator, request);
  const now = coordinator.runtime.clock.now();
  const { responsesToLeader } = coordinator;
  responsesToLeader.lastNumber++;
  responsesToLeader.sentAt.set(responsesToLeader.lastNumber, now);
  const sessions = routerSessions.current(coordinator.sessions, now);
  return {
    version: endpointsSnapshots.versionOf(coordinator.endpoints),
    responseNumber: responsesToLeader.lastNumber,
    revision: controlState.revision(coordinator.group.state()),
    sessions: sessions.map(({ seenAt, ...session }) => ({ ...session, ageMs: now - seenAt })),
  };
}

/** Publishes, while this member leads, on every change and at least every `publishIntervalMs`. */
function start(coordinator: Coordinator): void {
  function publishProgress(): void {
    publishToPeers(coordinator, false);
  }
  coordinator.group.onRoleChanged(publishProgress);
  coordinator.group.onApplied(publishProgress);
  coordinator.runtime.clock.every(publishIntervalMs, publishProgress);
}

export const endpointsReplication = { publish, acceptPublication, start };
