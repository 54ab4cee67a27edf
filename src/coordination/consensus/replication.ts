/**
 * The leader's side of replication. To each peer at most one batch or snapshot chunk is on its way;
 * heartbeats are apart from them, so that they never wait behind bulk data. What is not answered is sent
 * again after a time that follows its size.
 */
import type { Member } from '../../types.js';
import type { Entry, EntryData } from '../../state/log/types.js';
import { commit } from './commit.js';
import { common } from './common.js';
import { lease } from './lease.js';
import { log } from './log.js';
import { quorum } from './quorum.js';
import { snapshots } from './snapshots.js';
import type { ConsensusState, Effects, Message, Peer } from './types.js';

/** A batch holds one entry at least, and no more bytes than this otherwise. */
const batchBytes = 256 * 1024;
/** The slowest rate, in bytes a millisecond, that is waited for before a batch is sent again. */
const slowestBytesPerMs = 200;
/** Heartbeats whose answers are still waited for. */
const heartbeatsRemembered = 64;

function newPeer(s: ConsensusState, member: Member, isLearner: boolean, now: number): Peer {
  return {
    member,
    isLearner,
    nextIndex: log.lastIndex(s) + 1,
    matchIndex: 0,
    isProbing: true,
    heardAt: now,
    answeredSentAt: -Infinity,
    inFlight: null,
    transfer: null,
    leavingAt: -Infinity,
  };
}

/** Brings the peers in line with the membership: voters are peers, former voters are not. */
function syncPeers(s: ConsensusState, now: number): void {
  for (const member of quorum.members(s.membership)) {
    if (member.id === s.self.id) continue;
    const peer = s.peers.get(member.id);
    if (peer) peer.isLearner = false;
    else s.peers.set(member.id, newPeer(s, member, false, now));
  }
  for (const peer of [...s.peers.values()]) {
    if (!peer.isLearner && !quorum.isVoter(s.membership, peer.member.id)) s.peers.delete(peer.member.id);
  }
}

/** Appends an entry of the leader's own term and begins to replicate it. */
function append(s: ConsensusState, data: EntryData, now: number, effects: Effects): Entry {
  const entry: Entry = { index: log.lastIndex(s) + 1, term: s.term, data };
  s.entries.push(entry);
  if (data.kind === 'membership') {
    log.refreshMembership(s);
    syncPeers(s, now);
  }
  const token = common.write(s, [{ kind: 'entry', entry }], now, effects);
  s.pendingEntries.push({ token, lastIndex: entry.index });
  for (const peer of s.peers.values()) feed(s, peer, now, effects);
  return entry;
}

function isWaiting(s: ConsensusState, peer: Peer, now: number): boolean {
  if (peer.inFlight === null) return false;
  const patienceMs = s.timing.resendMs + peer.inFlight.bytes / slowestBytesPerMs;
  return now - peer.inFlight.sentAt < patienceMs;
}

/** Whether the latest snapshot is shorter, by more than a batch, than the entries that a peer lacks up to it. */
function isSnapshotShorter(s: ConsensusState, peer: Peer): boolean {
  if (s.snapshot === null || peer.isProbing) return false;
  const most = s.snapshot.data.length + batchBytes;
  let bytes = 0;
  for (let index = peer.nextIndex; index <= s.snapshot.index; index++) {
    bytes += log.sizeOf(log.entryAt(s, index)!);
    if (bytes > most) return true;
  }
  return false;
}

/** A snapshot of which a silent peer holds nothing is let go; it will be offered the latest one. */
function restTransfer(peer: Peer): void {
  if (peer.transfer?.offset === 0) peer.transfer = null;
}

/**
 * Sends a peer what it lacks next, unless something is on its way to it. A silent peer gets heartbeats only:
 * its link may be shared with a successor at the same address. Its first answer sets the feeding off again.
 */
function feed(s: ConsensusState, peer: Peer, now: number, effects: Effects): void {
  if (isWaiting(s, peer, now)) return;
  if (now - peer.heardAt > s.timing.electionMs) return restTransfer(peer);
  if (peer.transfer !== null || peer.nextIndex <= s.base.index || isSnapshotShorter(s, peer)) {
    const bytes = snapshots.sendChunk(s, peer, effects);
    peer.inFlight = { sentAt: now, bytes };
    return;
  }
  const isBehind = peer.nextIndex <= log.lastIndex(s);
  if (!isBehind && !peer.isProbing) return;
  const { entries, bytes } = peer.isProbing ? { entries: [], bytes: 0 } : log.batch(s, peer.nextIndex, batchBytes);
  const previousIndex = peer.nextIndex - 1;
  const body = {
    type: 'append' as const,
    term: s.term,
    previousIndex,
    previousTerm: log.termAt(s, previousIndex) ?? 0,
    entries,
    committed: s.committed,
  };
  common.send(s, peer.member.id, body, effects, peer.member.addr, bytes);
  peer.inFlight = { sentAt: now, bytes };
}

/** Tells all peers that the leader lives, and how far it has committed. */
function heartbeat(s: ConsensusState, now: number, effects: Effects): void {
  s.heartbeatAt = now;
  s.heartbeatNumber++;
  s.heartbeatSentAt.set(s.heartbeatNumber, now);
  s.heartbeatSentAt.delete(s.heartbeatNumber - heartbeatsRemembered);
  const leaseLeftMs = common.hasCommittedInTerm(s) ? Math.max(0, lease.until(s, now) - now) : 0;
  for (const peer of s.peers.values()) {
    const body = {
      type: 'heartbeat' as const,
      term: s.term,
      number: s.heartbeatNumber,
      committed: Math.min(s.committed, peer.matchIndex),
      current: s.committed,
      leaseLeftMs: Number.isFinite(leaseLeftMs) ? leaseLeftMs : 0,
    };
    common.send(s, peer.member.id, body, effects, peer.member.addr);
  }
}

/** The peer that sent a reply, if this member leads the term it is about. */
function peerOf(s: ConsensusState, m: Message & { term: number }, now: number, effects: Effects): Peer | null {
  if (m.term > s.term) {
    common.adoptTerm(s, m.term, now, effects);
    return null;
  }
  if (s.role !== 'leader' || m.term < s.term) return null;
  const peer = s.peers.get(m.from) ?? null;
  if (peer) peer.heardAt = now;
  return peer;
}

function onHeartbeatReply(
  s: ConsensusState,
  m: Message & { type: 'heartbeat_reply' },
  now: number,
  effects: Effects,
): void {
  const peer = peerOf(s, m, now, effects);
  if (!peer) return;
  const hadLease = lease.until(s, now) > now;
  const sentAt = s.heartbeatSentAt.get(m.number);
  if (sentAt !== undefined) peer.answeredSentAt = Math.max(peer.answeredSentAt, sentAt);
  if (!hadLease && lease.until(s, now) > now) heartbeat(s, now, effects);
  feed(s, peer, now, effects);
}

function onAppendReply(s: ConsensusState, m: Message & { type: 'append_reply' }, now: number, effects: Effects): void {
  const peer = peerOf(s, m, now, effects);
  if (!peer) return;
  if (m.rejected) {
    if (peer.transfer !== null || m.previousIndex !== peer.nextIndex - 1) return;
    peer.inFlight = null;
    peer.isProbing = true;
    peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(m.previousIndex, m.matchIndex + 1));
  } else {
    matched(s, peer, m.matchIndex, now, effects);
  }
  if (s.role === 'leader') feed(s, peer, now, effects);
}

/** A peer durably holds the leader's log up to an index. */
function matched(s: ConsensusState, peer: Peer, index: number, now: number, effects: Effects): void {
  const bounded = Math.min(index, log.lastIndex(s));
  if (bounded >= peer.nextIndex - 1) {
    peer.inFlight = null;
    peer.isProbing = false;
  }
  peer.matchIndex = Math.max(peer.matchIndex, bounded);
  peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
  if (commit.advance(s, effects)) heartbeat(s, now, effects);
}

function onSnapshotReply(
  s: ConsensusState,
  m: Message & { type: 'snapshot_reply' },
  now: number,
  effects: Effects,
): void {
  const peer = peerOf(s, m, now, effects);
  if (!peer || peer.transfer === null || peer.transfer.snapshot.index !== m.index) return;
  if (m.matchIndex >= m.index) {
    peer.transfer = null;
    peer.inFlight = null;
    matched(s, peer, m.matchIndex, now, effects);
  } else if (m.received !== peer.transfer.offset) {
    peer.inFlight = null;
    peer.transfer.offset = m.received;
  }
  feed(s, peer, now, effects);
}

/** Repeats what was not answered, and sends heartbeats. */
function onTick(s: ConsensusState, now: number, effects: Effects): void {
  if (now - s.heartbeatAt >= s.timing.heartbeatMs) heartbeat(s, now, effects);
  for (const peer of s.peers.values()) feed(s, peer, now, effects);
}

export const replication = {
  newPeer,
  syncPeers,
  append,
  feed,
  heartbeat,
  onHeartbeatReply,
  onAppendReply,
  onSnapshotReply,
  onTick,
};
