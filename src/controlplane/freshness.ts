/**
 * Whether this coordinator may serve its state to routers as current. It must be in touch with a majority (the leader
 * while its lease runs, a follower that hears the leader), and a follower must also have applied what the leader of
 * this term last published as applied by itself: one that restarted or was partitioned receives heartbeats again before
 * it has caught up. The leader publishes its progress at once whenever it changes and besides with every publication of
 * endpoints, so a follower can't lag unnoticed by more than their interval (`endpoints-replication.ts`).
 */
import { coordinatorLeaseMs } from '../state/control/access-lease.js';
import { controlState } from '../state/control/reducer.js';
import type { LeaderProgress } from '../protocol/rpc/endpoints.js';
import type { Coordinator } from './coordinator-context.js';

/**
 * What the leader publishes of its progress. Before it has committed an entry of its own term it may lack what was
 * committed earlier: then it publishes term 0, which no follower counts as current.
 */
function publishedProgress(coordinator: Coordinator): LeaderProgress {
  return coordinator.group.hasCommittedInTerm()
    ? progress(coordinator)
    : { term: 0, revision: 0, weightsSeq: 0, rulesSeq: 0, rolloutsSeq: 0 };
}

/** How far this member has applied the log. */
function progress(coordinator: Coordinator): LeaderProgress {
  const state = coordinator.group.state();
  return {
    term: coordinator.group.term(),
    revision: controlState.revision(state),
    weightsSeq: state.weightsSeq,
    rulesSeq: state.accessRules.seq,
    rolloutsSeq: state.rollouts.seq,
  };
}

/** Records what the leader published; calls may overtake each other, so within a term it never decreases. */
function recordLeaderProgress(coordinator: Coordinator, received: LeaderProgress): void {
  const known = coordinator.leaderProgress;
  if (received.term < known.term) return;
  if (received.term > known.term) {
    coordinator.leaderProgress = received;
    return;
  }
  known.revision = Math.max(known.revision, received.revision);
  known.weightsSeq = Math.max(known.weightsSeq, received.weightsSeq);
  known.rulesSeq = Math.max(known.rulesSeq, received.rulesSeq);
  known.rolloutsSeq = Math.max(known.rolloutsSeq ?? 0, received.rolloutsSeq ?? 0);
}

/** Whether this follower has applied all that the leader of the current term published. */
function hasCaughtUp(coordinator: Coordinator): boolean {
  const applied = progress(coordinator);
  const leader = coordinator.leaderProgress;
  return (
    leader.term === applied.term &&
    applied.revision >= leader.revision &&
    applied.weightsSeq >= leader.weightsSeq &&
    applied.rulesSeq >= leader.rulesSeq &&
    (applied.rolloutsSeq ?? 0) >= (leader.rolloutsSeq ?? 0)
  );
}

/** Whether there is a leader: this coordinator itself with a running lease, or one in contact with it. */
function hasLeader(coordinator: Coordinator): boolean {
  return coordinator.group.hasLeaderContact();
}

/** Whether this coordinator may serve its state as current; never while it is stopping. */
function isUpToDate(coordinator: Coordinator): boolean {
  if (coordinator.isStopping || !coordinator.group.hasLeaderContact()) return false;
  return coordinator.group.isLeader() ? coordinator.group.hasCommittedInTerm() : hasCaughtUp(coordinator);
}

/**
 * Whether this coordinator may confirm to routers that they may go on honouring their access rules: the leader while
 * its lease runs, another while the leader is known to have heard it lately.
 */
function mayConfirmAccessRules(coordinator: Coordinator): boolean {
  if (!coordinator.group.hasLeaderContact()) return false;
  return (
    coordinator.group.isLeader() ||
    coordinator.runtime.clock.now() - coordinator.responsesToLeader.acknowledgedSentAt < coordinatorLeaseMs
  );
}

export const freshness = {
  publishedProgress,
  recordLeaderProgress,
  hasLeader,
  isUpToDate,
  mayConfirmAccessRules,
};
