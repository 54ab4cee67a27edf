/**
 * The types of the consensus state machine: its state, its messages, its events and the effects that it asks the
 * replica to execute. The algorithm is Raft with pre-vote, leases, learners, joint consensus, leadership transfer and
 * snapshots in chunks; `docs/control.md` argues why it is safe. "Thesis" with a section, here and in the modules
 * beside, is Ongaro, Consensus: Bridging Theory and Practice, 2014 (https://github.com/ongardie/dissertation).
 */
import type { RpcChannel } from '../../runtime.js';
import type { Member, MemberId } from '../../types.js';
import type { Entry, AcknowledgedLeader, LogRecord, Membership } from '../../state/log/types.js';

/** All in milliseconds of the steady clock. */
export type ConsensusTiming = {
  /** Pause between two heartbeats of a leader. */
  heartbeatIntervalMs: number;
  /** For so long after a heartbeat a follower votes for nobody; a lease is shorter by `leaseMarginMs`. */
  electionTimeoutMs: number;
  /** The election time-out is `electionTimeoutMs` and up to this much more, drawn anew each time. */
  electionJitterMs: number;
  /** Upper bound of the time until the next election when no lease can be running any more. */
  fastElectionDelayMs: number;
  /** What is not answered after this, and a time that grows with its size, is sent again. */
  retransmitTimeoutMs: number;
  /** A voter unheard for so long is replaced by a learner that has caught up. */
  peerTimeoutMs: number;
  /** A leader whose writes have not come back for so long steps down. */
  diskStallTimeoutMs: number;
  /** How long a member's request to leave is valid after it was last heard. */
  leaveRequestLifetimeMs: number;
};

/** The safety margin by which a lease ends before the followers may vote again, in milliseconds. */
export const leaseMarginMs = 50;

/** A snapshot as it is sent and stored: `data` is the encoded snapshot, `checksum` its CRC-32. */
export type StoredSnapshot = {
  index: number;
  term: number;
  membership: Membership;
  data: Uint8Array;
  checksum: number;
};

/**
 * Messages between members, named as in the thesis where it has them. Terms and indices count from 1; 0 stands for
 * "none yet". Sizes and offsets are in bytes.
 */
export type MessageBody =
  /** Would you vote for me in `term`? Changes nothing at the receiver. */
  | { type: 'pre_vote'; term: number; lastLogIndex: number; lastLogTerm: number }
  | { type: 'pre_vote_response'; term: number; voteGranted: boolean }
  /** `leaseReleasedBy` names a leader that released its lease in favour of this candidate. */
  | {
      type: 'request_vote';
      term: number;
      lastLogIndex: number;
      lastLogTerm: number;
      leaseReleasedBy: AcknowledgedLeader | null;
    }
  | { type: 'request_vote_response'; term: number; voteGranted: boolean }
  /**
   * `commitIndex` is bounded by the receiver's match index, `leaderCommitIndex` is how far the sender has committed.
   * `leaseLeftMs`: how long the sender's lease still lasted when it sent this, 0 before an entry of its own term is
   * committed. `sequence` counts the sender's heartbeats and is echoed in the response.
   */
  | {
      type: 'heartbeat';
      term: number;
      sequence: number;
      commitIndex: number;
      leaderCommitIndex: number;
      leaseLeftMs: number;
    }
  | { type: 'heartbeat_response'; term: number; sequence: number }
  | {
      type: 'append_entries';
      term: number;
      prevLogIndex: number;
      prevLogTerm: number;
      entries: Entry[];
      commitIndex: number;
    }
  /**
   * `matchIndex`: up to where the sender durably holds the leader's log; if `rejected`, up to where the logs may match.
   */
  | { type: 'append_entries_response'; term: number; rejected: boolean; prevLogIndex: number; matchIndex: number }
  | {
      type: 'install_snapshot';
      term: number;
      lastIncludedIndex: number;
      lastIncludedTerm: number;
      membership: Membership;
      totalBytes: number;
      checksum: number;
      offset: number;
      data: Uint8Array;
    }
  /**
   * `receivedBytes`: how much of the snapshot is held, where the next chunk has to begin. `matchIndex`: 0 until
   * installed.
   */
  | {
      type: 'install_snapshot_response';
      term: number;
      lastIncludedIndex: number;
      receivedBytes: number;
      matchIndex: number;
    }
  /** The sender leads no longer in any term up to `term`, and holds no lease from them. */
  | { type: 'lease_release'; term: number }
  /** The receiver, which has caught up, shall become a candidate at once for the term after `term` (TimeoutNow). */
  | { type: 'timeout_now'; term: number }
  /** The sender wants to be added as a learner. */
  | { type: 'join'; member: Member }
  /** The sender is about to stop and may be replaced by a learner that has caught up. */
  | { type: 'leave' };

/** The receiver of a `join` whose id the sender does not know. */
export const anyMemberId: MemberId = '*';

/** `from` and `to` are member ids, `fromAddress` is the sender's RPC address; `to` may be `anyMemberId` in a `join`. */
export type Message = { from: MemberId; fromAddress: string; to: MemberId } & MessageBody;

/** The messages of one type. */
export type MessageOf<Type extends MessageBody['type']> = Message & { type: Type };

/** `pre_candidate` asks whether it could win, `candidate` has voted for itself in its term. */
export type Role = 'learner' | 'follower' | 'pre_candidate' | 'candidate' | 'leader';

/** What a leader knows of another member; times in ms of the steady clock. */
export type Peer = {
  member: Member;
  isLearner: boolean;
  /** The first entry to send next; always above `matchIndex`. */
  nextIndex: number;
  /** Up to where the peer durably holds this leader's log; never falls. */
  matchIndex: number;
  /** While it is not known whether the logs match before `nextIndex`; only empty appends are sent then. */
  isProbing: boolean;
  /** When the peer was last heard. */
  lastHeardAt: number;
  /** When the newest heartbeat was sent that the peer has answered. */
  ackedHeartbeatSentAt: number;
  /** What was sent and is not answered yet; at most one batch or chunk at a time. */
  inFlight: { sentAt: number; bytes: number } | null;
  /** The snapshot that is being sent, and how many bytes of it the peer holds. */
  snapshotTransfer: { snapshot: StoredSnapshot; offset: number } | null;
  /** When it last asked to leave. */
  leaveRequestedAt: number;
};

/** A snapshot that is being received. */
export type IncomingSnapshot = {
  index: number;
  term: number;
  totalBytes: number;
  receivedBytes: number;
  chunks: Uint8Array[];
};

/** A message that may be sent once the write of this token is durable. */
export type DeferredMessage = { token: number; to: MemberId; address: string; body: MessageBody };

/** The state of one member. Only the modules of this folder change it; times are in ms of the steady clock. */
export type ConsensusState = {
  self: Member;
  timing: ConsensusTiming;
  randomSeed: number;
  /** How many voters there should be: enough to bear the losses the deployment allows. */
  targetVoterCount: number;

  role: Role;
  term: number;
  votedFor: MemberId | null;
  /** The last leader whose heartbeat was answered, which counts on this member not to vote for a while. */
  acknowledgedLeader: AcknowledgedLeader | null;
  /** No vote is given before this time. */
  withholdVotesUntil: number;

  /** The entry before the first one in memory: its index and term, and the membership in force at it. */
  base: { index: number; term: number; membership: Membership };
  entries: Entry[];
  /** The newest membership in the log, committed or not, and the index of its entry. */
  membership: Membership;
  membershipIndex: number;
  commitIndex: number;
  /** Up to where `apply` effects were returned. */
  lastApplied: number;
  /** Up to where the own log is durable. */
  durableIndex: number;

  /** Writes are numbered by tokens: the newest that was passed to the disk, and the newest known to be durable. */
  lastWriteToken: number;
  lastSyncedToken: number;
  /** The token of the newest hard state. */
  hardStateToken: number;
  /** Since when writes are pending without any having become durable. */
  writePendingSince: number;
  deferredMessages: DeferredMessage[];
  unsyncedAppends: { token: number; lastIndex: number }[];

  leaderId: MemberId | null;
  leaderHeardAt: number;
  /** Until when a follower's applied state counts as current, by the lease of the leader. */
  freshUntil: number;
  /** When the next pre-vote begins unless a leader is heard. */
  electionDeadline: number;
  votesReceived: Set<MemberId>;
  /** Set while this member is a candidate in whose favour the previous leader released its lease. */
  leaseReleasedBy: AcknowledgedLeader | null;
  /** A member that is stopping votes, but does not become a candidate. */
  isStopping: boolean;
  /** Until when a restarted member broadcasts that its earlier incarnation leads no more, and of which term. */
  leaseReleaseNotice: { term: number; until: number; nextAt: number } | null;
  /** When this member last asked to join. */
  joinRequestedAt: number;

  /** At a leader only: all that it replicates to, learners among them. */
  peers: Map<MemberId, Peer>;
  heartbeatSequence: number;
  /** When the latest heartbeats were sent, by sequence. */
  heartbeatSentAt: Map<number, number>;
  lastHeartbeatAt: number;
  /** When this member last won an election. */
  electedAt: number;
  /** When a transfer of leadership was requested; no proposal is accepted from then on. */
  leadershipTransferSince: number | null;

  /** The newest snapshot, own or installed. */
  snapshot: StoredSnapshot | null;
  incomingSnapshot: IncomingSnapshot | null;
  /** Whether the bytes of a snapshot can be decoded here; one that can't be is not installed. */
  canDecodeSnapshot: (data: Uint8Array) => boolean;
};

/** What may happen to the state machine. */
export type ConsensusEvent =
  /** Time has passed. */
  | { type: 'tick' }
  /** A message of another member, which must have been checked (`messages.ts`). */
  | { type: 'message'; message: Message }
  /** All writes up to `token` are durable. */
  | { type: 'synced'; token: number }
  /** `command` is in stored form (`state/control/stored-format.ts`); `size` is its encoded size in bytes. */
  | { type: 'propose'; command: unknown; size: number }
  /** The replica has a snapshot of the state at `index`, which must have been applied. */
  | { type: 'compact'; index: number; data: Uint8Array }
  /** A read is to be confirmed: a leader sends a heartbeat at once. */
  | { type: 'confirm' }
  /** The member is about to stop. */
  | { type: 'prepare_stop' };

/** What the replica is asked to do, and notices for it. */
export type ConsensusEffect =
  | { type: 'send'; address: string; message: Message; channel: RpcChannel }
  /** The event `synced` brings the token back once the records are durable. */
  | { type: 'write'; records: LogRecord[]; token: number }
  /** An entry is committed: it is applied to the control state. */
  | { type: 'apply'; entry: Entry }
  /** The control state is replaced by that of a snapshot; entries after it that match were retained. */
  | { type: 'install'; snapshot: StoredSnapshot }
  /** Leadership was won or lost. */
  | { type: 'role'; role: Role; term: number }
  /** Entries from this index on conflicted with the leader's and were removed. */
  | { type: 'truncated'; from: number }
  /** The proposal of this event was appended at this index in this term. */
  | { type: 'proposed'; index: number; term: number };

/** Collects the effects of one step. */
export type Effects = ConsensusEffect[];
