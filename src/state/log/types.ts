/**
 * The types of the replicated log: its entries, the membership that an entry may carry, the snapshots that replace a
 * prefix of it, and the records that one member writes to its disk. Consensus and storage both use them. Names on disk
 * differ in part (`stored-batch.ts`).
 */
import type { Member, MemberId } from '../../types.js';
import type { DataLoss } from './errors.js';

/**
 * The members that vote. While `next` is given, a change of members is under way (joint consensus):
 * every decision then needs a majority of `voters` and a majority of `next`.
 */
export type Membership = { voters: Member[]; next: Member[] | null };

/**
 * What an entry holds. A leader begins its term with a `noop`. A command is in the form of
 * `state/control/stored-format.ts`, which nothing here looks into; `size`: bytes of the encoded command.
 */
export type EntryData =
  | { kind: 'noop' }
  | { kind: 'membership'; membership: Membership }
  | { kind: 'command'; command: unknown; size: number };

/** One entry. `index` counts from 1 without gaps; `term` is the term of the leader that proposed it. */
export type Entry = { index: number; term: number; data: EntryData };

/** The state after all entries up to and including `index`, in the form of `state/control/stored-format.ts`. */
export type Snapshot = { index: number; term: number; membership: Membership; state: unknown };

/** The last leader whose heartbeat this member answered, and in which term. */
export type AcknowledgedLeader = { id: MemberId; term: number };

/**
 * What must be on disk before a member answers: its current term, whom it voted for in that term, and
 * the last leader it answered, since that leader counts on it not to vote for a while.
 */
export type HardState = { term: number; votedFor: MemberId | null; leader: AcknowledgedLeader | null };

/** A record of the log; `commit_index` tells up to where the log was known to be committed. */
export type LogRecord =
  | { kind: 'hard_state'; hardState: HardState }
  | { kind: 'entry'; entry: Entry }
  | { kind: 'commit_index'; index: number };

/**
 * The first record of a segment. `root`: it follows the snapshot in the file of number `snapshot`, and
 * nothing older counts. `next`: it follows segment `previous`, of which the first `previousBytes` count.
 */
export type SegmentHead =
  | {
      kind: 'root';
      memberId: MemberId;
      snapshot: number;
      hardState: HardState;
      entries: Entry[];
      commitIndex: number;
    }
  | { kind: 'next'; memberId: MemberId; previous: number; previousBytes: number };

/** What one frame of a segment holds: what was flushed together. Only the first frame has a `head`. */
export type Batch = { head: SegmentHead | null; records: LogRecord[] };

/** What a member recovers from its disk when it starts: the newest snapshot and the entries after it. */
export type Recovered = {
  memberId: MemberId;
  hardState: HardState;
  snapshot: Snapshot;
  entries: Entry[];
  commitIndex: number;
};

/**
 * The outcome of reading the disk. `empty`: no log was ever durable here. `lost`: the disk lacks something
 * that a sync had confirmed, so that the member must not vote on what it has; `loss` says what.
 * `torn` names the files whose unsynced tail was cut off, which is normal after a loss of power.
 */
export type Recovery =
  { kind: 'empty' } | { kind: 'recovered'; recovered: Recovered; torn: string[] } | { kind: 'lost'; loss: DataLoss };
