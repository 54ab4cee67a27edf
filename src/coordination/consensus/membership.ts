/**
 * Changes of members by joint consensus (thesis 4.3), and transfers of leadership (3.10). A new member is a learner and
 * votes only once it has caught up (4.2.1). A voter that is gone is not removed before its successor is added: both
 * happen in one change, so that every majority before it and every majority after it have in common a member whose disk
 * still holds what it acknowledged. Only one change is under way at a time, and none before the leader has committed an
 * entry of its own term. All times are in ms of the steady clock.
 */
import type { Member } from '../../types.js';
import { messaging } from './messaging.js';
import { roles } from './roles.js';
import { raftLog } from './raft-log.js';
import { quorum } from './quorum.js';
import { replication } from './replication.js';
import { anyMemberId, type ConsensusState, type Effects, type MessageOf, type Peer } from './types.js';

/** The most learners that a leader replicates to; further ones are not added. */
const maxLearners = 32;
/** Pause between two join requests, in milliseconds. */
const joinIntervalMs = 300;
/** A leader that found no successor for so long, in milliseconds, steps down without one. */
const leadershipTransferTimeoutMs = 1500;

type JoinRequest = MessageOf<'join'>;

/** A new member may know only followers; they forward its request to the leader, which is not forwarded again. */
function forwardJoin(state: ConsensusState, message: JoinRequest, effects: Effects): void {
  const { leaderId } = state;
  if (leaderId === null || message.to !== anyMemberId) return;
  const address = messaging.addressOf(state, leaderId);
  if (address === null) return;
  effects.push({ type: 'send', address, message: { ...message, to: leaderId }, channel: 'control' });
}

/** Adds the sender as a learner, if this member leads and has room for one more. */
function onJoin(state: ConsensusState, message: JoinRequest, now: number, effects: Effects): void {
  if (message.member.id !== message.from || quorum.isVoter(state.membership, message.from)) return;
  if (state.role !== 'leader') return forwardJoin(state, message, effects);
  const known = state.peers.get(message.from);
  if (known) {
    known.lastHeardAt = now;
    return;
  }
  const learners = [...state.peers.values()].filter((peer) => peer.isLearner);
  if (learners.length >= maxLearners) return;
  state.peers.set(message.from, replication.newPeer(state, message.member, true, now));
}

/** Notes that the sender is about to stop; a learner that has caught up may replace it. */
function onLeave(state: ConsensusState, message: MessageOf<'leave'>, now: number): void {
  const peer = state.peers.get(message.from);
  if (state.role !== 'leader' || !peer) return;
  peer.leaveRequestedAt = now;
  peer.lastHeardAt = now;
}

/** The learners that have caught up and were heard within an election time-out. */
function caughtUpLearners(state: ConsensusState, now: number): Member[] {
  function hasCaughtUp(peer: Peer): boolean {
    const isHeard = now - peer.lastHeardAt < state.timing.electionTimeoutMs;
    const holdsAll = !peer.isProbing && peer.matchIndex === raftLog.lastIndex(state);
    return peer.isLearner && isHeard && holdsAll;
  }
  return [...state.peers.values()].filter(hasCaughtUp).map((peer) => peer.member);
}

function isLeaving(state: ConsensusState, member: Member, now: number): boolean {
  const peer = state.peers.get(member.id);
  return peer !== undefined && now - peer.leaveRequestedAt < state.timing.leaveRequestLifetimeMs;
}

function isUnreachable(state: ConsensusState, member: Member, now: number): boolean {
  const peer = state.peers.get(member.id);
  return peer !== undefined && now - peer.lastHeardAt > state.timing.peerTimeoutMs;
}

function without(voters: Member[], removed: Member): Member[] {
  return voters.filter((voter) => voter.id !== removed.id);
}

/** The voters to change to, or null when they are as they should be or no learner is ready. */
function targetVoters(state: ConsensusState, now: number): Member[] | null {
  const { voters } = state.membership;
  const others = voters.filter((voter) => voter.id !== state.self.id);
  const standbys = caughtUpLearners(state, now);
  for (const former of others) {
    const successor = standbys.find((member) => member.addr === former.addr);
    if (successor) return [...without(voters, former), successor];
  }
  const departing =
    others.find((voter) => isLeaving(state, voter, now)) ?? others.find((voter) => isUnreachable(state, voter, now));
  const standby = standbys[0];
  if (departing && standby) return [...without(voters, departing), standby];
  if (departing && voters.length > state.targetVoterCount) return without(voters, departing);
  const added = standbys.slice(0, Math.max(0, state.targetVoterCount - voters.length));
  return added.length > 0 ? [...voters, ...added] : null;
}

/** Begins a change of members, or finishes the one whose joint configuration is committed. */
function reconfigure(state: ConsensusState, now: number, effects: Effects): void {
  removeSilentLearners(state, now);
  if (
    state.membershipIndex > state.commitIndex ||
    !roles.hasCommittedInTerm(state) ||
    state.leadershipTransferSince !== null
  )
    return;
  if (state.membership.next !== null) {
    const membership = { voters: state.membership.next, next: null };
    replication.append(state, { kind: 'membership', membership }, now, effects);
    return;
  }
  const next = targetVoters(state, now);
  if (next === null) return;
  const membership = { voters: state.membership.voters, next };
  replication.append(state, { kind: 'membership', membership }, now, effects);
}

function removeSilentLearners(state: ConsensusState, now: number): void {
  for (const peer of [...state.peers.values()]) {
    if (peer.isLearner && now - peer.lastHeardAt > state.timing.peerTimeoutMs) state.peers.delete(peer.member.id);
  }
}

/** Transfers leadership to a voter that has caught up, and releases the lease (thesis 3.10). */
function transferLeadership(state: ConsensusState, now: number, effects: Effects): void {
  if (state.leadershipTransferSince === null) return;
  const isFullyCommitted = state.commitIndex === raftLog.lastIndex(state);
  const successor = [...state.peers.values()].find((peer) => {
    const isHeard = now - peer.lastHeardAt < state.timing.heartbeatIntervalMs * 3;
    const isVoter = !peer.isLearner && quorum.isVoter(state.membership, peer.member.id);
    return isVoter && isHeard && peer.matchIndex === raftLog.lastIndex(state) && !isLeaving(state, peer.member, now);
  });
  if (isFullyCommitted && successor) {
    messaging.send(
      state,
      successor.member.id,
      { type: 'timeout_now', term: state.term },
      effects,
      successor.member.addr,
    );
    roles.stepDown(state, now, effects);
  } else if (now - state.leadershipTransferSince > leadershipTransferTimeoutMs) {
    roles.stepDown(state, now, effects);
  }
}

/** The member is about to stop: a leader transfers its leadership, a follower asks to be replaced. */
function onPrepareStop(state: ConsensusState, now: number, effects: Effects): void {
  state.isStopping = true;
  if (state.role === 'leader') {
    state.leadershipTransferSince ??= now;
    transferLeadership(state, now, effects);
  } else if (state.leaderId !== null) {
    messaging.send(state, state.leaderId, { type: 'leave' }, effects);
  }
}

/** Whether this member has to ask to join: it is no voter, or may have been removed without hearing of it. */
function shouldRequestJoin(state: ConsensusState, now: number): boolean {
  if (state.role === 'leader' || state.isStopping) return false;
  const silentMs = now - state.leaderHeardAt;
  return roles.isVoter(state)
    ? silentMs > state.timing.peerTimeoutMs
    : silentMs > state.timing.electionTimeoutMs || state.leaderId === null;
}

/** Asks the members known from the log, and those at other addresses, to be replicated to. */
function requestJoin(state: ConsensusState, otherAddresses: string[], now: number, effects: Effects): void {
  if (!shouldRequestJoin(state, now) || now - state.joinRequestedAt < joinIntervalMs) return;
  state.joinRequestedAt = now;
  const known = quorum.allVoters(state.membership).map((member) => member.addr);
  for (const address of new Set([...known, ...otherAddresses])) {
    if (address !== state.self.addr)
      messaging.send(state, anyMemberId, { type: 'join', member: state.self }, effects, address);
  }
}

export const membership = {
  onJoin,
  onLeave,
  reconfigure,
  transferLeadership,
  onPrepareStop,
  requestJoin,
};
