/** What a replica knows of the leader and of its own lease; queries only, which change nothing. */
import { roles } from './roles.js';
import { lease } from './lease.js';
import { quorum } from './quorum.js';
import type { Replica } from './replica-state.js';

/** Whether this member is the leader as far as it knows; a later term may have begun elsewhere. */
function isLeader(replica: Replica): boolean {
  return replica.consensus.role === 'leader';
}

/** The RPC address of the leader as far as this member knows, or null. */
function leaderAddress(replica: Replica): string | null {
  const { leaderId, membership, self } = replica.consensus;
  if (leaderId === self.id) return self.addr;
  const member = quorum.allVoters(membership).find((member) => member.id === leaderId);
  return member?.addr ?? null;
}

/**
 * Whether this member is in touch with a majority: a leader with a running lease and a commit in its term, or a
 * follower that, while the leader's lease lasts, had applied at a heartbeat all that the leader had committed by then.
 */
function isFresh(replica: Replica): boolean {
  const now = replica.runtime.clock.now();
  if (isLeader(replica))
    return roles.hasCommittedInTerm(replica.consensus) && now < lease.expiresAt(replica.consensus, now);
  return replica.consensus.leaderId !== null && now < replica.consensus.freshUntil;
}

/**
 * Whether this member may act alone on what is outside the group, such as runners: `leaseMs` (ms) after its election,
 * when no earlier leader can act any more, and while its own lease runs. See `docs/control.md` on fencing.
 */
function holdsExclusiveLease(replica: Replica, leaseMs: number): boolean {
  const now = replica.runtime.clock.now();
  return (
    isLeader(replica) && now - replica.consensus.electedAt >= leaseMs && now < lease.expiresAt(replica.consensus, now)
  );
}

/** Whether the newest membership no longer holds this member and is committed, so that it may stop. */
function isReplaced(replica: Replica): boolean {
  const { membership, membershipIndex, commitIndex, self } = replica.consensus;
  const remaining = membership.next ?? membership.voters;
  const isMember = remaining.some((member) => member.id === self.id);
  return !isMember && membershipIndex <= commitIndex;
}

/**
 * Whether a committed membership has as many voters as the deployment's losses ask for. What was committed before it is
 * then on the disks of a majority of them too, since that membership follows it in the log.
 */
function hasTargetVoters(replica: Replica): boolean {
  const { membership, membershipIndex, commitIndex, targetVoterCount } = replica.consensus;
  const isSettled = membership.next === null && membershipIndex <= commitIndex;
  return isSettled && membership.voters.length >= targetVoterCount;
}

export const leadership = { isLeader, leaderAddress, isFresh, holdsExclusiveLease, isReplaced, hasTargetVoters };
