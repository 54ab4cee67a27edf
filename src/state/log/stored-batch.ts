/**
 * Batches of records as they stand on disk, and the mapping to those in memory. The disk format keeps the names that
 * 0.3.0 wrote: `promise` is the hard state, `committed` the commit index. They occur in this module only. Order and
 * names of the fields must stay, since logs of 0.3.0 are read and continued.
 */
import { array, literal, nullable, number, refine, string, type, union, unknown, type Describe } from 'superstruct';
import type { Batch, Entry, HardState, LogRecord, Membership, SegmentHead } from './types.js';
import { hasShape } from '../../protocol/shape-match.js';

type StoredRecord =
  { kind: 'promise'; promise: HardState } | { kind: 'entry'; entry: Entry } | { kind: 'committed'; index: number };

type StoredHead =
  | {
      kind: 'root';
      memberId: string;
      snapshot: number;
      promise: HardState;
      entries: Entry[];
      committed: number;
    }
  | Extract<SegmentHead, { kind: 'next' }>;

/** What one frame of a segment holds, by the names on disk. */
export type StoredBatch = { head: StoredHead | null; records: StoredRecord[] };

/** Terms, indices, file numbers and sizes in bytes. */
export const nonNegativeInteger = refine(number(), 'count', (value) => Number.isSafeInteger(value) && value >= 0);

const member = type({ id: string(), addr: string(), control: string() });

/** Also a part of snapshots. */
export const membership: Describe<Membership> = type({ voters: array(member), next: nullable(array(member)) });

const promise: Describe<HardState> = type({
  term: nonNegativeInteger,
  votedFor: nullable(string()),
  leader: nullable(type({ id: string(), term: nonNegativeInteger })),
});
const entryData = union([
  type({ kind: literal('noop') }),
  type({ kind: literal('membership'), membership }),
  type({ kind: literal('command'), command: unknown(), size: nonNegativeInteger }),
]);
const entry = type({ index: nonNegativeInteger, term: nonNegativeInteger, data: entryData });
const record = union([
  type({ kind: literal('promise'), promise }),
  type({ kind: literal('entry'), entry }),
  type({ kind: literal('committed'), index: nonNegativeInteger }),
]);
const segmentHead = union([
  type({
    kind: literal('root'),
    memberId: string(),
    snapshot: nonNegativeInteger,
    promise,
    entries: array(entry),
    committed: nonNegativeInteger,
  }),
  type({ kind: literal('next'), memberId: string(), previous: nonNegativeInteger, previousBytes: nonNegativeInteger }),
]);
const batch = type({ head: nullable(segmentHead), records: array(record) });

/** Whether a decoded value is a batch; unknown fields are ignored. */
function isStoredBatch(value: unknown): value is StoredBatch {
  return hasShape(value, batch);
}

function toStoredRecord(record: LogRecord): StoredRecord {
  switch (record.kind) {
    case 'hard_state':
      return { kind: 'promise', promise: record.hardState };
    case 'commit_index':
      return { kind: 'committed', index: record.index };
    case 'entry':
      return record;
  }
}

function fromStoredRecord(record: StoredRecord): LogRecord {
  switch (record.kind) {
    case 'promise':
      return { kind: 'hard_state', hardState: record.promise };
    case 'committed':
      return { kind: 'commit_index', index: record.index };
    case 'entry':
      return record;
  }
}

function toStoredHead(head: SegmentHead): StoredHead {
  if (head.kind === 'next') return head;
  const { kind, memberId, snapshot, hardState, entries, commitIndex } = head;
  return { kind, memberId, snapshot, promise: hardState, entries, committed: commitIndex };
}

function fromStoredHead(head: StoredHead): SegmentHead {
  if (head.kind === 'next') return head;
  const { kind, memberId, snapshot, promise, entries, committed } = head;
  return { kind, memberId, snapshot, hardState: promise, entries, commitIndex: committed };
}

/** The names in memory to those on disk. */
function toStored({ head, records }: Batch): StoredBatch {
  return { head: head && toStoredHead(head), records: records.map(toStoredRecord) };
}

/** The names on disk to those in memory. */
function fromStored({ head, records }: StoredBatch): Batch {
  return { head: head && fromStoredHead(head), records: records.map(fromStoredRecord) };
}

export const storedBatch = { isStoredBatch, toStored, fromStored };
