/**
 * Elections (thesis 3.4) with pre-vote (9.6), and the withheld votes on which leases rest (6.4.1). A member that
 * answered a heartbeat votes for nobody for `electionTimeoutMs`, unless the leader that it answered has released its
 * lease: by a transfer of leadership, by stepping down, or because its process ended, which it broadcasts after its
 * restart. Called by `raft.ts` and `message-dispatch.ts`; all times are in ms of the steady clock.
 */
import type { AcknowledgedLeader, HardState } from '../../state/log/types.js';
import { messaging } from './messaging.js';
import { persistence } from './persistence.js';
import { roles } from './roles.js';
import { raftLog } from './raft-log.js';
import { quorum } from './quorum.js';
import { replication } from './replication.js';
import type { ConsensusState, Effects, MessageBody, MessageOf } from './types.js';

/** Between two pre-votes pass this much and a random part of the jitter, in milliseconds. */
const minCandidacyRetryMs = 120;
const candidacyRetryJitterMs = 280;
/**
 * For how long, and how often, a restarted member broadcasts that its earlier incarnation leads no more, in
 * milliseconds.
 */
const leaseReleaseDurationMs = 3000;
const leaseReleaseIntervalMs = 60;

/**
 * Whether the lease of a leader that an earlier incarnation of this process acknowledged can still be running. It
 * can't if this member has voted since, as it votes only after the lease; nor if it was that leader itself.
 */
function mayOweLease(hardState: HardState, self: string): boolean {
  const { leader } = hardState;
  if (leader === null || leader.id === self) return false;
  return !(hardState.term > leader.term && hardState.votedFor !== null);
}

function isWithholdingVotes(state: ConsensusState, now: number): boolean {
  return state.role === 'leader' || now < state.withholdVotesUntil;
}

/** Whether a candidate's log is at least as up to date as the own one (thesis 3.6.1). */
function isUpToDate(state: ConsensusState, lastIndex: number, lastTerm: number): boolean {
  const own = raftLog.lastTerm(state);
  return lastTerm > own || (lastTerm === own && lastIndex >= raftLog.lastIndex(state));
}

/** Ends the withholding of votes if it is for this leader and a term up to `released.term`; false when it is not. */
function acceptLeaseRelease(state: ConsensusState, released: AcknowledgedLeader, now: number): boolean {
  if (state.role === 'leader') return false;
  const acknowledged = state.acknowledgedLeader;
  if (acknowledged === null || acknowledged.id !== released.id || acknowledged.term > released.term) return false;
  state.withholdVotesUntil = Math.min(state.withholdVotesUntil, now);
  if (state.leaderId === released.id) {
    state.leaderId = null;
    state.freshUntil = 0;
  }
  return true;
}

/** The sender, as a leader of terms up to the message's, has released its lease: the next election may begin soon. */
function onLeaseRelease(state: ConsensusState, message: MessageOf<'lease_release'>, now: number): void {
  if (!acceptLeaseRelease(state, { id: message.from, term: message.term }, now)) return;
  if (roles.isVoter(state)) roles.scheduleFastElection(state, now);
}

/** Asks the others whether they would vote for this member (pre-vote, thesis 9.6); leaves the hard state as it is. */
function startPreVote(state: ConsensusState, now: number, effects: Effects): void {
  roles.setRole(state, 'pre_candidate', effects);
  state.leaderId = null;
  state.freshUntil = 0;
  state.votesReceived = new Set([state.self.id]);
  state.electionDeadline = now + minCandidacyRetryMs + roles.random(state) * candidacyRetryJitterMs;
  if (quorum.hasQuorum(state.membership, state.votesReceived)) return startElection(state, null, now, effects);
  const body: MessageBody = {
    type: 'pre_vote',
    term: state.term + 1,
    lastLogIndex: raftLog.lastIndex(state),
    lastLogTerm: raftLog.lastTerm(state),
  };
  messaging.sendToVoters(state, body, effects);
}

/** Begins a new term as a candidate: votes for itself, and requests votes once that is durable (thesis 3.4). */
function startElection(
  state: ConsensusState,
  leaseReleasedBy: AcknowledgedLeader | null,
  now: number,
  effects: Effects,
): void {
  roles.setRole(state, 'candidate', effects);
  state.term++;
  state.votedFor = state.self.id;
  state.leaderId = null;
  state.votesReceived = new Set();
  state.leaseReleasedBy = leaseReleasedBy;
  persistence.persistHardState(state, now, effects);
  state.electionDeadline =
    now + state.timing.electionTimeoutMs / 2 + roles.random(state) * state.timing.electionJitterMs;
  const body: MessageBody = {
    type: 'request_vote',
    term: state.term,
    lastLogIndex: raftLog.lastIndex(state),
    lastLogTerm: raftLog.lastTerm(state),
    leaseReleasedBy,
  };
  const token = state.hardStateToken;
  const own: MessageBody = { type: 'request_vote_response', term: state.term, voteGranted: true };
  messaging.sendOnceDurable(state, token, state.self.id, state.self.addr, own, effects);
  for (const member of quorum.allVoters(state.membership)) {
    if (member.id !== state.self.id) messaging.sendOnceDurable(state, token, member.id, member.addr, body, effects);
  }
}

/**
 * Answers a pre-vote. Members that are no voters by their own log answer too, here and in `onRequestVote`: the
 * candidate counts by its own membership, whose entry may not have reached this member yet (thesis 4.1). One that lost
 * its disk has a new id, which no membership counts before it has caught up.
 */
function onPreVote(state: ConsensusState, message: MessageOf<'pre_vote'>, now: number, effects: Effects): void {
  const voteGranted =
    message.term > state.term &&
    !isWithholdingVotes(state, now) &&
    isUpToDate(state, message.lastLogIndex, message.lastLogTerm);
  const body: MessageBody = { type: 'pre_vote_response', term: voteGranted ? message.term : state.term, voteGranted };
  messaging.send(state, message.from, body, effects, message.fromAddress);
}

/** Counts a pre-vote; with a quorum of them the election begins. */
function onPreVoteResponse(
  state: ConsensusState,
  message: MessageOf<'pre_vote_response'>,
  now: number,
  effects: Effects,
): void {
  if (!message.voteGranted) {
    if (message.term > state.term) roles.advanceTerm(state, message.term, now, effects);
    return;
  }
  if (state.role !== 'pre_candidate' || message.term !== state.term + 1) return;
  state.votesReceived.add(message.from);
  if (quorum.hasQuorum(state.membership, state.votesReceived)) startElection(state, null, now, effects);
}

/**
 * Answers a request for a vote: at most one candidate a term gets it, one whose log is up to date, and only after the
 * vote is durable. A request that comes again gets the same answer; while a lease may run there is none.
 */
function onRequestVote(state: ConsensusState, message: MessageOf<'request_vote'>, now: number, effects: Effects): void {
  const isRepeated = message.term === state.term && state.votedFor === message.from;
  if (message.term <= state.term && !isRepeated) {
    const rejection: MessageBody = { type: 'request_vote_response', term: state.term, voteGranted: false };
    return messaging.send(state, message.from, rejection, effects, message.fromAddress);
  }
  if (message.leaseReleasedBy !== null) acceptLeaseRelease(state, message.leaseReleasedBy, now);
  if (isWithholdingVotes(state, now)) return;
  const voteGranted = isUpToDate(state, message.lastLogIndex, message.lastLogTerm);
  if (!isRepeated) {
    roles.advanceTerm(state, message.term, now, effects);
    if (voteGranted) {
      state.votedFor = message.from;
      persistence.persistHardState(state, now, effects);
    }
  }
  if (voteGranted) roles.resetElectionTimeout(state, now);
  const body: MessageBody = { type: 'request_vote_response', term: message.term, voteGranted };
  messaging.sendOnceDurable(state, state.hardStateToken, message.from, message.fromAddress, body, effects);
}

/** Counts a vote; a quorum of them elects this member. */
function onRequestVoteResponse(
  state: ConsensusState,
  message: MessageOf<'request_vote_response'>,
  now: number,
  effects: Effects,
): void {
  if (message.term > state.term) return roles.advanceTerm(state, message.term, now, effects);
  if (state.role !== 'candidate' || message.term !== state.term || !message.voteGranted) return;
  state.votesReceived.add(message.from);
  if (quorum.hasQuorum(state.membership, state.votesReceived)) becomeLeader(state, now, effects);
}

/** Begins to lead with a no-op entry, since only an entry of the own term can be committed (thesis 3.6.2, 6.4). */
function becomeLeader(state: ConsensusState, now: number, effects: Effects): void {
  roles.setRole(state, 'leader', effects);
  state.leaderId = state.self.id;
  state.electedAt = now;
  state.lastHeartbeatAt = -Infinity;
  state.leadershipTransferSince = null;
  state.incomingSnapshot = null;
  state.leaseReleaseNotice = null;
  replication.reconcilePeers(state, now);
  replication.append(state, { kind: 'noop' }, now, effects);
  replication.broadcastHeartbeat(state, now, effects);
}

/** The leader transfers its leadership to this member (thesis 3.10), which begins an election without a pre-vote. */
function onTimeoutNow(state: ConsensusState, message: MessageOf<'timeout_now'>, now: number, effects: Effects): void {
  const isFromLeader = state.acknowledgedLeader?.id === message.from && state.acknowledgedLeader.term === message.term;
  if (message.term !== state.term || !isFromLeader || !roles.isVoter(state) || state.isStopping) return;
  startElection(state, { id: message.from, term: message.term }, now, effects);
}

/** Starts a pre-vote when no leader was heard for an election time-out; broadcasts the release of an earlier lease. */
function onTick(state: ConsensusState, now: number, effects: Effects): void {
  if (state.role === 'leader') return;
  broadcastLeaseRelease(state, now, effects);
  const isDiskHealthy =
    state.lastSyncedToken === state.lastWriteToken || now - state.writePendingSince < state.timing.diskStallTimeoutMs;
  if (now >= state.electionDeadline && roles.isVoter(state) && isDiskHealthy && !state.isStopping)
    startPreVote(state, now, effects);
}

function broadcastLeaseRelease(state: ConsensusState, now: number, effects: Effects): void {
  if (state.leaseReleaseNotice === null || now < state.leaseReleaseNotice.nextAt) return;
  if (now >= state.leaseReleaseNotice.until) {
    state.leaseReleaseNotice = null;
    return;
  }
  state.leaseReleaseNotice.nextAt = now + leaseReleaseIntervalMs;
  messaging.sendToVoters(state, { type: 'lease_release', term: state.leaseReleaseNotice.term }, effects);
}

/** After a start: withholds votes while a lease acknowledged earlier may run, and schedules the first pre-vote. */
function initialize(state: ConsensusState, hardState: HardState, now: number): void {
  state.leaderHeardAt = now;
  if (mayOweLease(hardState, state.self.id)) {
    state.withholdVotesUntil = now + state.timing.electionTimeoutMs;
    roles.resetElectionTimeout(state, now);
  } else {
    state.withholdVotesUntil = -Infinity;
    state.electionDeadline = now + roles.random(state) * state.timing.fastElectionDelayMs;
  }
  if (hardState.votedFor === state.self.id)
    state.leaseReleaseNotice = { term: hardState.term, until: now + leaseReleaseDurationMs, nextAt: now };
}

export const election = {
  initialize,
  onTick,
  onPreVote,
  onPreVoteResponse,
  onRequestVote,
  onRequestVoteResponse,
  onTimeoutNow,
  onLeaseRelease,
};
