/**
 * Changes of term and role (thesis 3.3 and 3.4), and when the next election begins. Used by the other parts of the
 * state machine; effects are appended to the list that one step returns.
 */
import type { MemberId } from '../../types.js';
import { messaging } from './messaging.js';
import { persistence } from './persistence.js';
import { quorum } from './quorum.js';
import { raftLog } from './raft-log.js';
import type { ConsensusState, Effects, Role } from './types.js';

/** A linear congruential generator modulo 2^32 (Numerical Recipes); its numbers only spread time-outs. */
const lcgMultiplier = 1664525;
const lcgIncrement = 1013904223;

/** A number in [0, 1) from the state machine's own generator, so that a run can be repeated from its seed. */
function random(state: ConsensusState): number {
  state.randomSeed = (Math.imul(state.randomSeed, lcgMultiplier) + lcgIncrement) >>> 0;
  return state.randomSeed / 2 ** 32;
}

/** Whether this member votes, by the newest membership in its log. */
function isVoter(state: ConsensusState): boolean {
  return quorum.isVoter(state.membership, state.self.id);
}

function passiveRole(state: ConsensusState): Role {
  return isVoter(state) ? 'follower' : 'learner';
}

/** Changes the role; the state that only a leader has is dropped when it ceases to lead. */
function setRole(state: ConsensusState, role: Role, effects: Effects): void {
  if (state.role === role) return;
  const wasLeader = state.role === 'leader';
  state.role = role;
  if (wasLeader) {
    state.peers.clear();
    state.heartbeatSentAt.clear();
    state.leadershipTransferSince = null;
  }
  if (role === 'leader' || wasLeader) effects.push({ type: 'role', role, term: state.term });
}

/** Becomes a follower, or a learner where it does not vote. */
function becomePassive(state: ConsensusState, effects: Effects): void {
  setRole(state, passiveRole(state), effects);
}

/** Schedules the next election after a new random time-out, so that votes are seldom split (thesis 3.4). */
function resetElectionTimeout(state: ConsensusState, now: number): void {
  state.electionDeadline = now + state.timing.electionTimeoutMs + random(state) * state.timing.electionJitterMs;
}

/** Schedules the next election soon, for when no lease can be running any more. */
function scheduleFastElection(state: ConsensusState, now: number): void {
  state.electionDeadline = Math.min(state.electionDeadline, now + random(state) * state.timing.fastElectionDelayMs);
}

/** Advances to a later term, in which this member has not voted yet, and steps down. */
function advanceTerm(state: ConsensusState, term: number, now: number, effects: Effects): void {
  state.term = term;
  state.votedFor = null;
  state.leaderId = null;
  state.freshUntil = 0;
  state.leaseReleasedBy = null;
  persistence.persistHardState(state, now, effects);
  becomePassive(state, effects);
}

/** Steps down as the leader and releases the lease, so that the others need not wait for its end. */
function stepDown(state: ConsensusState, now: number, effects: Effects): void {
  messaging.sendToVoters(state, { type: 'lease_release', term: state.term }, effects);
  state.leaderId = null;
  state.freshUntil = 0;
  becomePassive(state, effects);
  resetElectionTimeout(state, now);
}

/**
 * Accepts the sender of a message of the current or a later term as the leader, and withholds votes for an election
 * time-out so that its lease holds.
 */
function acceptLeader(state: ConsensusState, from: MemberId, term: number, now: number, effects: Effects): void {
  if (term > state.term) advanceTerm(state, term, now, effects);
  if (state.acknowledgedLeader?.id !== from || state.acknowledgedLeader.term !== term) {
    state.acknowledgedLeader = { id: from, term };
    persistence.persistHardState(state, now, effects);
  }
  if (state.leaderId !== from) state.freshUntil = 0;
  state.leaderId = from;
  state.leaderHeardAt = now;
  state.withholdVotesUntil = now + state.timing.electionTimeoutMs;
  state.leaseReleaseNotice = null;
  state.leaseReleasedBy = null;
  resetElectionTimeout(state, now);
  becomePassive(state, effects);
}

/** Whether entries of this leader's own term are committed, so that its commit index is current. */
function hasCommittedInTerm(state: ConsensusState): boolean {
  return raftLog.termAt(state, state.commitIndex) === state.term;
}

export const roles = {
  random,
  isVoter,
  setRole,
  becomePassive,
  resetElectionTimeout,
  scheduleFastElection,
  advanceTerm,
  stepDown,
  acceptLeader,
  hasCommittedInTerm,
};
