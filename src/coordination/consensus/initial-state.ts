/**
 * The state that a member begins with, from what its disk holds. Nothing is known yet of the group: who leads, what is
 * committed behind the snapshot, what of the own log is durable. `raft.create` finds out what the log itself tells.
 */
import type { Entry, HardState } from '../../state/log/types.js';
import type { Member } from '../../types.js';
import { quorum } from './quorum.js';
import type { ConsensusState, ConsensusTiming, StoredSnapshot } from './types.js';

/** What a member begins with, from its disk or, at the very first start, from its settings. */
export type ConsensusOptions = {
  self: Member;
  timing: ConsensusTiming;
  /** Seed of the random election time-outs, from 0 to 2^32 - 1. */
  randomSeed: number;
  targetVoterCount: number;
  hardState: HardState;
  snapshot: StoredSnapshot;
  /** The entries behind the snapshot. */
  entries: Entry[];
  /** Up to where the disk knows the log to be committed. */
  commitIndex: number;
  canDecodeSnapshot: (data: Uint8Array) => boolean;
  /** The time of the start, in ms of the steady clock. */
  now: number;
};

function logState({ snapshot, entries }: ConsensusOptions) {
  return {
    snapshot,
    base: { index: snapshot.index, term: snapshot.term, membership: snapshot.membership },
    entries,
    membership: quorum.emptyMembership,
    membershipIndex: 0,
    commitIndex: snapshot.index,
    lastApplied: snapshot.index,
    incomingSnapshot: null,
  };
}

function persistenceState(now: number) {
  return {
    durableIndex: 0,
    lastWriteToken: 0,
    lastSyncedToken: 0,
    hardStateToken: 0,
    writePendingSince: now,
    deferredMessages: [],
    unsyncedAppends: [],
  };
}

function electionState({ hardState, now }: ConsensusOptions) {
  return {
    role: 'learner' as const,
    term: hardState.term,
    votedFor: hardState.votedFor,
    acknowledgedLeader: hardState.leader,
    withholdVotesUntil: -Infinity,
    leaderId: null,
    leaderHeardAt: now,
    freshUntil: 0,
    electionDeadline: Infinity,
    votesReceived: new Set<string>(),
    leaseReleasedBy: null,
    leaseReleaseNotice: null,
  };
}

/** What only a leader uses. */
function leaderState() {
  return {
    peers: new Map(),
    heartbeatSequence: 0,
    heartbeatSentAt: new Map(),
    lastHeartbeatAt: -Infinity,
    electedAt: -Infinity,
    leadershipTransferSince: null,
  };
}

/** A learner without a log in force; see `raft.create` for what follows. */
function create(options: ConsensusOptions): ConsensusState {
  const { self, timing, randomSeed, targetVoterCount, canDecodeSnapshot, now } = options;
  return {
    self,
    timing,
    randomSeed,
    targetVoterCount,
    canDecodeSnapshot,
    isStopping: false,
    joinRequestedAt: -Infinity,
    ...logState(options),
    ...persistenceState(now),
    ...electionState(options),
    ...leaderState(),
  };
}

export const initialState = { create };
