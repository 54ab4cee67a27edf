/**
 * Elections: pre-vote, votes, and the promises that make leases hold. A member that answered a
 * heartbeat votes for nobody for `electionMs`, unless the leader it answered has itself given the lease
 * up: by handing over, by giving way, or because its process ended and it says so after its restart.
 */
import type { KnownLeader, VotingPromise } from '../../state/log/types.js';
import { common } from './common.js';
import { log } from './log.js';
import { quorum } from './quorum.js';
import { replication } from './replication.js';
import type { ConsensusState, Effects, Message } from './types.js';

/** Pauses between two candidacies when no lease is in the way, in milliseconds. */
const retryLeastMs = 120;
const retrySpreadMs = 280;
/** A restarted member tells for so long, and so often, that its earlier life leads no more. */
const releaseForMs = 3000;
const releaseEveryMs = 60;

/**
 * Whether the promise to a leader, given in an earlier life of this process, can still be running. It
 * can't if a vote was given since, for votes are given only after it; nor if that leader was oneself.
 */
function mayOwePromise(promise: VotingPromise, self: string): boolean {
  const { leader } = promise;
  if (leader === null || leader.id === self) return false;
  return !(promise.term > leader.term && promise.votedFor !== null);
}

function isHolding(s: ConsensusState, now: number): boolean {
  return s.role === 'leader' || now < s.holdUntil;
}

function isUpToDate(s: ConsensusState, lastIndex: number, lastTerm: number): boolean {
  const own = log.lastTerm(s);
  return lastTerm > own || (lastTerm === own && lastIndex >= log.lastIndex(s));
}

/** A leader has given up its lease of all terms up to `released.term`. */
function onReleased(s: ConsensusState, released: KnownLeader, now: number): boolean {
  if (s.role === 'leader') return false;
  const known = s.knownLeader;
  if (known === null || known.id !== released.id || known.term > released.term) return false;
  s.holdUntil = Math.min(s.holdUntil, now);
  if (s.leader === released.id) {
    s.leader = null;
    s.freshUntil = 0;
  }
  return true;
}

function onRelease(s: ConsensusState, m: Message & { type: 'release' }, now: number): void {
  if (!onReleased(s, { id: m.from, term: m.term }, now)) return;
  if (common.isVoter(s)) common.electSoon(s, now);
}

/** Asks the others whether they would vote for this member; changes no promise. */
function preVote(s: ConsensusState, now: number, effects: Effects): void {
  common.setRole(s, 'pre_candidate', effects);
  s.leader = null;
  s.freshUntil = 0;
  s.votes = new Set([s.self.id]);
  s.electionAt = now + retryLeastMs + common.random(s) * retrySpreadMs;
  if (quorum.has(s.membership, s.votes)) return stand(s, null, now, effects);
  const body = {
    type: 'pre_vote' as const,
    term: s.term + 1,
    lastIndex: log.lastIndex(s),
    lastTerm: log.lastTerm(s),
  };
  common.sendToVoters(s, body, effects);
}

/** Votes for itself in a new term and asks for votes once that is on disk. */
function stand(s: ConsensusState, releasedBy: KnownLeader | null, now: number, effects: Effects): void {
  common.setRole(s, 'candidate', effects);
  s.term++;
  s.votedFor = s.self.id;
  s.leader = null;
  s.votes = new Set();
  s.releasedBy = releasedBy;
  common.writePromise(s, now, effects);
  s.electionAt = now + s.timing.electionMs / 2 + common.random(s) * s.timing.electionSpreadMs;
  const body = {
    type: 'request_vote' as const,
    term: s.term,
    lastIndex: log.lastIndex(s),
    lastTerm: log.lastTerm(s),
    releasedBy,
  };
  const token = s.promiseToken;
  const own = { type: 'vote' as const, term: s.term, granted: true };
  common.replyOnceKept(s, token, s.self.id, s.self.addr, own, effects);
  for (const member of quorum.members(s.membership)) {
    if (member.id !== s.self.id) common.replyOnceKept(s, token, member.id, member.addr, body, effects);
  }
}

/**
 * Votes are given also by members that are no voters as far as they know: the candidate counts by its own
 * membership, whose entry may not have reached this member yet (thesis 4.1). One that lost its disk has
 * a new id, which no membership counts before it was fed.
 */
function onPreVote(s: ConsensusState, m: Message & { type: 'pre_vote' }, now: number, effects: Effects): void {
  const granted = m.term > s.term && !isHolding(s, now) && isUpToDate(s, m.lastIndex, m.lastTerm);
  const body = { type: 'pre_vote_reply' as const, term: granted ? m.term : s.term, granted };
  common.send(s, m.from, body, effects, m.fromAddress);
}

function onPreVoteReply(
  s: ConsensusState,
  m: Message & { type: 'pre_vote_reply' },
  now: number,
  effects: Effects,
): void {
  if (!m.granted) {
    if (m.term > s.term) common.adoptTerm(s, m.term, now, effects);
    return;
  }
  if (s.role !== 'pre_candidate' || m.term !== s.term + 1) return;
  s.votes.add(m.from);
  if (quorum.has(s.membership, s.votes)) stand(s, null, now, effects);
}

function onRequestVote(s: ConsensusState, m: Message & { type: 'request_vote' }, now: number, effects: Effects): void {
  const isRepeated = m.term === s.term && s.votedFor === m.from;
  if (m.term <= s.term && !isRepeated) {
    common.send(s, m.from, { type: 'vote', term: s.term, granted: false }, effects, m.fromAddress);
    return;
  }
  if (m.releasedBy !== null) onReleased(s, m.releasedBy, now);
  if (isHolding(s, now)) return;
  const granted = isUpToDate(s, m.lastIndex, m.lastTerm);
  if (!isRepeated) {
    common.adoptTerm(s, m.term, now, effects);
    if (granted) {
      s.votedFor = m.from;
      common.writePromise(s, now, effects);
    }
  }
  if (granted) common.resetElectionTimeout(s, now);
  const body = { type: 'vote' as const, term: m.term, granted };
  common.replyOnceKept(s, s.promiseToken, m.from, m.fromAddress, body, effects);
}

function onVote(s: ConsensusState, m: Message & { type: 'vote' }, now: number, effects: Effects): void {
  if (m.term > s.term) return common.adoptTerm(s, m.term, now, effects);
  if (s.role !== 'candidate' || m.term !== s.term || !m.granted) return;
  s.votes.add(m.from);
  if (quorum.has(s.membership, s.votes)) win(s, now, effects);
}

function win(s: ConsensusState, now: number, effects: Effects): void {
  common.setRole(s, 'leader', effects);
  s.leader = s.self.id;
  s.electedAt = now;
  s.heartbeatAt = -Infinity;
  s.handOverSince = null;
  s.incoming = null;
  s.release = null;
  replication.syncPeers(s, now);
  replication.append(s, { kind: 'noop' }, now, effects);
  replication.heartbeat(s, now, effects);
}

/** The leader hands its leadership over to this member. */
function onTimeoutNow(s: ConsensusState, m: Message & { type: 'timeout_now' }, now: number, effects: Effects): void {
  const isFromLeader = s.knownLeader?.id === m.from && s.knownLeader.term === m.term;
  if (m.term !== s.term || !isFromLeader || !common.isVoter(s) || s.isRetiring) return;
  stand(s, { id: m.from, term: m.term }, now, effects);
}

/** Stands when no leader was heard for long enough, and tells after a restart that it leads no more. */
function onTick(s: ConsensusState, now: number, effects: Effects): void {
  if (s.role === 'leader') return;
  tellRelease(s, now, effects);
  const isDiskWell = s.synced === s.written || now - s.writingSince < s.timing.stalledDiskMs;
  if (now >= s.electionAt && common.isVoter(s) && isDiskWell && !s.isRetiring) preVote(s, now, effects);
}

function tellRelease(s: ConsensusState, now: number, effects: Effects): void {
  if (s.release === null || now < s.release.nextAt) return;
  if (now >= s.release.until) {
    s.release = null;
    return;
  }
  s.release.nextAt = now + releaseEveryMs;
  common.sendToVoters(s, { type: 'release', term: s.release.term }, effects);
}

/** Sets up what a process that has just started owes and is owed. */
function begin(s: ConsensusState, promise: VotingPromise, now: number): void {
  s.heardAt = now;
  if (mayOwePromise(promise, s.self.id)) {
    s.holdUntil = now + s.timing.electionMs;
    common.resetElectionTimeout(s, now);
  } else {
    s.holdUntil = -Infinity;
    s.electionAt = now + common.random(s) * s.timing.quickElectionMs;
  }
  if (promise.votedFor === s.self.id) s.release = { term: promise.term, until: now + releaseForMs, nextAt: now };
}

export const election = {
  begin,
  onTick,
  onPreVote,
  onPreVoteReply,
  onRequestVote,
  onVote,
  onTimeoutNow,
  onRelease,
};
