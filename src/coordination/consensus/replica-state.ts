/** What a replica holds beside the consensus state: the applied control state, and the callers that wait. */
import type { EventEmitter } from 'node:events';
import type { Log } from '../../logging/ring.js';
import type { FileError, Folder, Runtime, Timer } from '../../runtime.js';
import type { ApplyOutcome, ControlState } from '../../state/control/reducer.js';
import type { Storage } from '../../state/log/storage.js';
import type { Settings } from '../../types.js';
import type { Outbox } from './outbox.js';
import type { ConsensusState, Role } from './types.js';

/**
 * What became of a proposal. `unknown`: the command may or may not be committed later; only a command that is
 * idempotent may be proposed again. `not_leader`: it was not appended, another member may be asked.
 */
export type ProposalResult = { kind: 'applied'; outcome: ApplyOutcome } | { kind: 'unknown' } | { kind: 'not_leader' };

/** A command that was appended at `index` in `term` and is not applied yet. */
export type PendingProposal = { index: number; term: number; resolve: (result: ProposalResult) => void };

/** A read that waits until a quorum has confirmed leadership after `since` (ms of the steady clock). */
export type PendingRead = { since: number; resolve: (isConfirmed: boolean) => void; timer: Timer };

/** `disk_unreadable`: reading the folder failed; opening it again helps once the disk can be read. */
export type OpenError = { kind: 'disk_unreadable'; cause: FileError };

/** What a replica is opened with; the folder is that of its log and snapshots. */
export type ReplicaOptions = { settings: Settings; log: Log; runtime: Runtime; folder: Folder };

/** The events of a replica, with their arguments. */
export type ReplicaEvents = {
  /** The control state may have changed. */
  applied: [];
  /** This member became the leader, or ceased to be it. */
  role: [role: Role];
};

/** One member of the group. */
export type Replica = EventEmitter<ReplicaEvents> & {
  settings: Settings;
  log: Log;
  runtime: Runtime;
  consensus: ConsensusState;
  storage: Storage;
  /** Whether the last attempt to write failed. */
  isDiskFailing: boolean;
  state: ControlState;
  appliedIndex: number;
  appliedTerm: number;
  pendingProposals: PendingProposal[];
  pendingReads: PendingRead[];
  isConfirmationScheduled: boolean;
  outbox: Outbox;
  tickTimer: Timer | null;
};
