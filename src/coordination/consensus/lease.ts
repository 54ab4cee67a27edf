/**
 * A leader's lease (thesis 6.4.1): each of a majority that answered a heartbeat votes for nobody for
 * `electionTimeoutMs` from when it received it, which is not before it was sent. A read is confirmed by a majority that
 * answered a heartbeat sent after the read began (read index, thesis 6.4). All times are in ms of the leader's own
 * steady clock.
 */
import { roles } from './roles.js';
import { quorum } from './quorum.js';
import { leaseMarginMs, type ConsensusState, type Peer } from './types.js';

/** The greatest value that a majority has reached; `own` is this member's, and one that is no peer has reached none. */
function quorumValueOf(state: ConsensusState, valueOf: (peer: Peer) => number, own: number): number {
  return quorum.quorumValue(state.membership, (id) => {
    if (id === state.self.id) return own;
    const peer = state.peers.get(id);
    return peer ? valueOf(peer) : -Infinity;
  });
}

/** The latest time such that a majority has answered heartbeats sent at or after it. */
function ackedHeartbeatSentAt(state: ConsensusState, now: number): number {
  return quorumValueOf(state, (peer) => peer.ackedHeartbeatSentAt, now);
}

/** When the lease of this member as the leader ends; in the past when it does not lead. */
function expiresAt(state: ConsensusState, now: number): number {
  if (state.role !== 'leader') return -Infinity;
  return ackedHeartbeatSentAt(state, now) + state.timing.electionTimeoutMs - leaseMarginMs;
}

/** A read that began at or before this time may be answered from the applied state. */
function confirmedUpTo(state: ConsensusState, now: number): number {
  if (state.role !== 'leader' || state.leadershipTransferSince !== null || !roles.hasCommittedInTerm(state))
    return -Infinity;
  return ackedHeartbeatSentAt(state, now);
}

/** When a majority was last heard. */
function quorumHeardAt(state: ConsensusState, now: number): number {
  return quorumValueOf(state, (peer) => peer.lastHeardAt, now);
}

export const lease = { expiresAt, confirmedUpTo, quorumHeardAt };
