/**
 * The commit index, of a leader and of a follower, and the application of what is committed. A leader commits an entry
 * of its own term once a majority holds it durably, and all entries before with it; those of earlier terms are never
 * committed by counting replicas alone (thesis 3.6.2). The commit index never falls.
 */
import { raftLog } from './raft-log.js';
import { quorum } from './quorum.js';
import type { ConsensusState, Effects } from './types.js';

/** Asks the replica to apply the entries up to the commit index, in order and each once. */
function applyCommitted(state: ConsensusState, effects: Effects): void {
  while (state.lastApplied < state.commitIndex) {
    const entry = raftLog.entryAt(state, state.lastApplied + 1);
    if (entry === null) return;
    state.lastApplied++;
    effects.push({ type: 'apply', entry });
  }
}

/** Advances a leader's commit index after a match index or its own durable index rose; true when it advanced. */
function advanceLeader(state: ConsensusState, effects: Effects): boolean {
  const durableOnQuorum = quorum.quorumValue(state.membership, (id) =>
    id === state.self.id ? state.durableIndex : (state.peers.get(id)?.matchIndex ?? 0),
  );
  if (durableOnQuorum <= state.commitIndex || raftLog.termAt(state, durableOnQuorum) !== state.term) return false;
  state.commitIndex = durableOnQuorum;
  applyCommitted(state, effects);
  return true;
}

/** Advances a follower's commit index to the leader's, but not beyond the index up to which their logs surely match. */
function advanceFollower(state: ConsensusState, leaderCommitIndex: number, sharedUpTo: number, effects: Effects): void {
  const reached = Math.min(leaderCommitIndex, sharedUpTo);
  if (reached <= state.commitIndex) return;
  state.commitIndex = reached;
  applyCommitted(state, effects);
}

export const commit = { applyCommitted, advanceLeader, advanceFollower };
