/**
 * The leader's side of replication (thesis 3.5). To each peer at most one batch of entries or one snapshot chunk is in
 * flight; heartbeats are separate messages, so that they never wait for bulk data. What is not answered is sent again
 * after a time-out that grows with its size. All times are in ms of the steady clock.
 */
import type { Member } from '../../types.js';
import type { Entry, EntryData } from '../../state/log/types.js';
import { commit } from './commit.js';
import { messaging } from './messaging.js';
import { persistence } from './persistence.js';
import { roles } from './roles.js';
import { lease } from './lease.js';
import { raftLog } from './raft-log.js';
import { quorum } from './quorum.js';
import { snapshots } from './snapshots.js';
import type { ConsensusState, Effects, Message, MessageBody, MessageOf, Peer } from './types.js';

/** A batch holds at least one entry, otherwise no more bytes than this. */
const batchBytes = 256 * 1024;
/** The lowest throughput, in bytes a millisecond, at which a batch still arrives before it is sent again. */
const minThroughputBytesPerMs = 200;
/** The latest heartbeats whose responses still count. */
const maxTrackedHeartbeats = 64;

/** A peer of which nothing is known yet: the first, empty append finds out where the logs match. */
function newPeer(state: ConsensusState, member: Member, isLearner: boolean, now: number): Peer {
  return {
    member,
    isLearner,
    nextIndex: raftLog.lastIndex(state) + 1,
    matchIndex: 0,
    isProbing: true,
    lastHeardAt: now,
    ackedHeartbeatSentAt: -Infinity,
    inFlight: null,
    snapshotTransfer: null,
    leaveRequestedAt: -Infinity,
  };
}

/** Makes the voters of the membership peers, and removes former voters; learners stay. */
function reconcilePeers(state: ConsensusState, now: number): void {
  for (const member of quorum.allVoters(state.membership)) {
    if (member.id === state.self.id) continue;
    const peer = state.peers.get(member.id);
    if (peer) peer.isLearner = false;
    else state.peers.set(member.id, newPeer(state, member, false, now));
  }
  for (const peer of [...state.peers.values()]) {
    if (!peer.isLearner && !quorum.isVoter(state.membership, peer.member.id)) state.peers.delete(peer.member.id);
  }
}

/** Appends an entry of the leader's own term and begins to replicate it. */
function append(state: ConsensusState, data: EntryData, now: number, effects: Effects): Entry {
  const entry: Entry = { index: raftLog.lastIndex(state) + 1, term: state.term, data };
  state.entries.push(entry);
  if (data.kind === 'membership') {
    raftLog.refreshMembership(state);
    reconcilePeers(state, now);
  }
  const token = persistence.persist(state, [{ kind: 'entry', entry }], now, effects);
  state.unsyncedAppends.push({ token, lastIndex: entry.index });
  for (const peer of state.peers.values()) replicateTo(state, peer, now, effects);
  return entry;
}

function isAwaitingResponse(state: ConsensusState, peer: Peer, now: number): boolean {
  if (peer.inFlight === null) return false;
  const timeoutMs = state.timing.retransmitTimeoutMs + peer.inFlight.bytes / minThroughputBytesPerMs;
  return now - peer.inFlight.sentAt < timeoutMs;
}

/** Whether the entries that a peer lacks up to the latest snapshot are larger than it by more than a batch. */
function isSnapshotCheaper(state: ConsensusState, peer: Peer): boolean {
  if (state.snapshot === null || peer.isProbing) return false;
  const maxBytes = state.snapshot.data.length + batchBytes;
  let bytes = 0;
  for (let index = peer.nextIndex; index <= state.snapshot.index; index++) {
    bytes += raftLog.sizeOf(raftLog.entryAt(state, index)!);
    if (bytes > maxBytes) return true;
  }
  return false;
}

/** Drops the transfer of a snapshot of which a silent peer holds nothing; it will be sent the latest one. */
function dropUnstartedTransfer(peer: Peer): void {
  if (peer.snapshotTransfer?.offset === 0) peer.snapshotTransfer = null;
}

/**
 * Sends a peer what it lacks next, unless something is in flight to it. A silent peer gets heartbeats only, since its
 * link may be shared with a successor at the same address; its first response resumes replication.
 */
function replicateTo(state: ConsensusState, peer: Peer, now: number, effects: Effects): void {
  if (isAwaitingResponse(state, peer, now)) return;
  if (now - peer.lastHeardAt > state.timing.electionTimeoutMs) return dropUnstartedTransfer(peer);
  if (peer.snapshotTransfer !== null || peer.nextIndex <= state.base.index || isSnapshotCheaper(state, peer)) {
    const bytes = snapshots.sendChunk(state, peer, effects);
    peer.inFlight = { sentAt: now, bytes };
    return;
  }
  const isBehind = peer.nextIndex <= raftLog.lastIndex(state);
  if (!isBehind && !peer.isProbing) return;
  const { entries, bytes } = peer.isProbing
    ? { entries: [], bytes: 0 }
    : raftLog.batch(state, peer.nextIndex, batchBytes);
  const prevLogIndex = peer.nextIndex - 1;
  const body: MessageBody = {
    type: 'append_entries',
    term: state.term,
    prevLogIndex,
    prevLogTerm: raftLog.termAt(state, prevLogIndex) ?? 0,
    entries,
    commitIndex: state.commitIndex,
  };
  messaging.send(state, peer.member.id, body, effects, peer.member.addr, bytes);
  peer.inFlight = { sentAt: now, bytes };
}

/** Sends all peers a heartbeat: it asserts leadership, renews the lease and carries the commit index. */
function broadcastHeartbeat(state: ConsensusState, now: number, effects: Effects): void {
  state.lastHeartbeatAt = now;
  state.heartbeatSequence++;
  state.heartbeatSentAt.set(state.heartbeatSequence, now);
  state.heartbeatSentAt.delete(state.heartbeatSequence - maxTrackedHeartbeats);
  const leaseLeftMs = roles.hasCommittedInTerm(state) ? Math.max(0, lease.expiresAt(state, now) - now) : 0;
  for (const peer of state.peers.values()) {
    const body: MessageBody = {
      type: 'heartbeat',
      term: state.term,
      sequence: state.heartbeatSequence,
      commitIndex: Math.min(state.commitIndex, peer.matchIndex),
      leaderCommitIndex: state.commitIndex,
      leaseLeftMs: Number.isFinite(leaseLeftMs) ? leaseLeftMs : 0,
    };
    messaging.send(state, peer.member.id, body, effects, peer.member.addr);
  }
}

/**
 * The peer that sent a response, if this member leads in the term of the response; a later term ends its leadership.
 */
function respondingPeer(
  state: ConsensusState,
  message: Message & { term: number },
  now: number,
  effects: Effects,
): Peer | null {
  if (message.term > state.term) {
    roles.advanceTerm(state, message.term, now, effects);
    return null;
  }
  if (state.role !== 'leader' || message.term < state.term) return null;
  const peer = state.peers.get(message.from) ?? null;
  if (peer) peer.lastHeardAt = now;
  return peer;
}

/** Renews the lease; a lease that begins with it is announced by a heartbeat at once. */
function onHeartbeatResponse(
  state: ConsensusState,
  message: MessageOf<'heartbeat_response'>,
  now: number,
  effects: Effects,
): void {
  const peer = respondingPeer(state, message, now, effects);
  if (!peer) return;
  const hadLease = lease.expiresAt(state, now) > now;
  const sentAt = state.heartbeatSentAt.get(message.sequence);
  if (sentAt !== undefined) peer.ackedHeartbeatSentAt = Math.max(peer.ackedHeartbeatSentAt, sentAt);
  if (!hadLease && lease.expiresAt(state, now) > now) broadcastHeartbeat(state, now, effects);
  replicateTo(state, peer, now, effects);
}

/** Advances the match index, or after a rejection moves `nextIndex` back, never behind the match index (thesis 3.5). */
function onAppendEntriesResponse(
  state: ConsensusState,
  message: MessageOf<'append_entries_response'>,
  now: number,
  effects: Effects,
): void {
  const peer = respondingPeer(state, message, now, effects);
  if (!peer) return;
  if (message.rejected) {
    if (peer.snapshotTransfer !== null || message.prevLogIndex !== peer.nextIndex - 1) return;
    peer.inFlight = null;
    peer.isProbing = true;
    peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(message.prevLogIndex, message.matchIndex + 1));
  } else {
    recordMatch(state, peer, message.matchIndex, now, effects);
  }
  if (state.role === 'leader') replicateTo(state, peer, now, effects);
}

/** Records that a peer durably holds the leader's log up to an index, and commits what a majority holds by now. */
function recordMatch(state: ConsensusState, peer: Peer, index: number, now: number, effects: Effects): void {
  const bounded = Math.min(index, raftLog.lastIndex(state));
  if (bounded >= peer.nextIndex - 1) {
    peer.inFlight = null;
    peer.isProbing = false;
  }
  peer.matchIndex = Math.max(peer.matchIndex, bounded);
  peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
  if (commit.advanceLeader(state, effects)) broadcastHeartbeat(state, now, effects);
}

/** Continues a snapshot transfer at the receiver's offset, or ends it. A response about another snapshot is dropped. */
function onInstallSnapshotResponse(
  state: ConsensusState,
  message: MessageOf<'install_snapshot_response'>,
  now: number,
  effects: Effects,
): void {
  const peer = respondingPeer(state, message, now, effects);
  if (!peer || peer.snapshotTransfer === null || peer.snapshotTransfer.snapshot.index !== message.lastIncludedIndex)
    return;
  if (message.matchIndex >= message.lastIncludedIndex) {
    peer.snapshotTransfer = null;
    peer.inFlight = null;
    recordMatch(state, peer, message.matchIndex, now, effects);
  } else if (message.receivedBytes !== peer.snapshotTransfer.offset) {
    peer.inFlight = null;
    peer.snapshotTransfer.offset = message.receivedBytes;
  }
  replicateTo(state, peer, now, effects);
}

/** Sends heartbeats that are due, and again what was not answered in time. */
function onTick(state: ConsensusState, now: number, effects: Effects): void {
  if (now - state.lastHeartbeatAt >= state.timing.heartbeatIntervalMs) broadcastHeartbeat(state, now, effects);
  for (const peer of state.peers.values()) replicateTo(state, peer, now, effects);
}

export const replication = {
  newPeer,
  reconcilePeers,
  append,
  replicateTo,
  broadcastHeartbeat,
  onHeartbeatResponse,
  onAppendEntriesResponse,
  onInstallSnapshotResponse,
  onTick,
};
