/**
 * Recovery: reads a member's folder. The newest segment with a valid first frame is the end of the log; its head leads
 * back, segment by segment, to one that begins at a snapshot (the root). All else is superseded or was never finished.
 * A segment whose first frame is invalid was never durable, unless a valid frame stands after it or its marker is
 * there. A torn tail, which is normal after a loss of power, is thus told from lost data that a sync had confirmed
 * (Alagappan et al., Protocol-Aware Recovery for Consensus-Based Storage, FAST 2018). Nothing on the disk is changed,
 * and nothing throws on bad content.
 */
import type { FileError, Folder } from '../../runtime.js';
import type { MemberId, Result } from '../../types.js';
import { snapshotCodec } from './codec.js';
import type { DataLoss } from './errors.js';
import { replay } from './replay.js';
import { segment, type Frame, type SegmentContent } from './segment.js';
import type { Batch, Recovery, SegmentHead, Snapshot } from './types.js';

/**
 * Where the log continues. `rewrittenBatch` is what the next segment must begin with: the last frame that was read may
 * never have been synced, so it is written again, and the log continues after the frame before it.
 */
export type ResumePosition = {
  /** The segments that the log consists of, without one whose first frame is written again. */
  segments: number[];
  snapshot: number;
  rewrittenBatch: { head: SegmentHead; records: Batch['records'] };
  /** The size of the valid frames of all segments, in bytes. */
  bytes: number;
};

/** `resumePosition` is given after `recovered`; `lastNumber` is the highest number among the log's files. */
export type RecoveryResult = { recovery: Recovery; resumePosition: ResumePosition | null; lastNumber: number };

type SegmentFile = { name: string; number: number; content: SegmentContent };
type SegmentChain = { root: Extract<SegmentHead, { kind: 'root' }>; segments: { number: number; frames: Frame[] }[] };

/** Ends the recovery early: the folder could not be read, or the log is lost or was never begun. */
type ReadFailure = { kind: 'error'; error: FileError } | { kind: 'lost'; loss: DataLoss } | { kind: 'empty' };
type ReadResult<T> = Promise<Result<T, ReadFailure>>;

function dataLoss<T>(loss: DataLoss): Result<T, ReadFailure> {
  return { ok: false, error: { kind: 'lost', loss } };
}

function ioFailure<T>(error: FileError): Result<T, ReadFailure> {
  return { ok: false, error: { kind: 'error', error } };
}

async function readSegment(folder: Folder, number: number): ReadResult<SegmentFile> {
  const name = segment.fileName('segment', number);
  const bytes = await folder.read(name);
  if (!bytes.ok) return ioFailure(bytes.error);
  return { ok: true, value: { name, number, content: segment.read(number, bytes.value) } };
}

/** Finds the newest segment with a valid first frame; `torn` collects those that were never finished. */
async function findLastSegment(folder: Folder, names: string[], torn: string[]): ReadResult<SegmentFile> {
  const lastMarker = segment.filesOfKind(names, 'synced').at(-1)?.number ?? 0;
  for (const file of segment.filesOfKind(names, 'segment').reverse()) {
    if (file.number < lastMarker) break;
    const candidate = await readSegment(folder, file.number);
    if (!candidate.ok) return candidate;
    if (candidate.value.content.frames.length > 0) return candidate;
    if (candidate.value.content.isCorrupt || file.number === lastMarker)
      return dataLoss({ kind: 'segment_unreadable', file: file.name });
    torn.push(file.name);
  }
  if (lastMarker > 0) return dataLoss({ kind: 'file_missing', file: segment.fileName('segment', lastMarker) });
  return { ok: false, error: { kind: 'empty' } };
}

function headOf(frames: Frame[]): SegmentHead | null {
  return frames[0]?.batch.head ?? null;
}

/** The frames of a segment up to a byte at which one must end. */
function framesUpTo(frames: Frame[], bytes: number): Frame[] | null {
  const count = frames.findIndex((frame) => frame.endOffset === bytes);
  return count === -1 ? null : frames.slice(0, count + 1);
}

async function readPreviousSegment(
  folder: Folder,
  names: Set<string>,
  after: number,
  head: Extract<SegmentHead, { kind: 'next' }>,
): ReadResult<{ number: number; frames: Frame[] }> {
  const name = segment.fileName('segment', head.previous);
  if (head.previous >= after) return dataLoss({ kind: 'segment_order', number: after, previous: name });
  if (!names.has(name)) return dataLoss({ kind: 'file_missing', file: name });
  const read = await readSegment(folder, head.previous);
  if (!read.ok) return read;
  const frames = framesUpTo(read.value.content.frames, head.previousBytes);
  if (frames === null) return dataLoss({ kind: 'segment_incomplete', file: name, requiredBytes: head.previousBytes });
  if (headOf(frames)?.memberId !== head.memberId) return dataLoss({ kind: 'foreign_segment', file: name });
  return { ok: true, value: { number: head.previous, frames } };
}

async function readChain(folder: Folder, names: Set<string>, last: SegmentFile): ReadResult<SegmentChain> {
  if (last.content.isCorrupt)
    return dataLoss({ kind: 'segment_corrupt', file: last.name, offset: last.content.validBytes });
  const segments = [{ number: last.number, frames: last.content.frames }];
  for (;;) {
    const first = segments[0]!;
    const head = headOf(first.frames);
    if (head === null) return dataLoss({ kind: 'segment_without_head', number: first.number });
    if (head.kind === 'root') return { ok: true, value: { root: head, segments } };
    const previous = await readPreviousSegment(folder, names, first.number, head);
    if (!previous.ok) return previous;
    segments.unshift(previous.value);
  }
}

async function readSnapshot(folder: Folder, names: Set<string>, number: number): ReadResult<Snapshot> {
  const name = segment.fileName('snapshot', number);
  if (!names.has(name)) return dataLoss({ kind: 'file_missing', file: name });
  const bytes = await folder.read(name);
  if (!bytes.ok) return ioFailure(bytes.error);
  const snapshot = snapshotCodec.decode(bytes.value);
  return snapshot.ok ? snapshot : dataLoss({ kind: 'snapshot_unreadable', file: name, cause: snapshot.error });
}

function resumePositionOf(chain: SegmentChain): ResumePosition {
  const numbers = chain.segments.map((file) => file.number);
  const last = chain.segments.at(-1)!;
  const lastFrame = last.frames.at(-1)!;
  const head = headOf(last.frames)!;
  const bytes = chain.segments.reduce((sum, file) => sum + file.frames.at(-1)!.endOffset, 0);
  const common = { snapshot: chain.root.snapshot, bytes };
  const records = lastFrame.batch.records;
  if (last.frames.length === 1) return { ...common, segments: numbers.slice(0, -1), rewrittenBatch: { head, records } };
  const next: SegmentHead = {
    kind: 'next',
    memberId: head.memberId,
    previous: last.number,
    previousBytes: lastFrame.startOffset,
  };
  return { ...common, segments: numbers, rewrittenBatch: { head: next, records } };
}

type RecoveredLog = { recovery: Recovery; resumePosition: ResumePosition };

async function readLog(folder: Folder, names: string[]): ReadResult<RecoveredLog> {
  const torn: string[] = [];
  const last = await findLastSegment(folder, names, torn);
  if (!last.ok) return last;
  const nameSet = new Set(names);
  const chain = await readChain(folder, nameSet, last.value);
  if (!chain.ok) return chain;
  const snapshot = await readSnapshot(folder, nameSet, chain.value.root.snapshot);
  if (!snapshot.ok) return snapshot;
  const batches = chain.value.segments.flatMap((file) => file.frames.map((frame) => frame.batch));
  const replayed = replay.apply(snapshot.value, batches);
  if (!replayed.ok) return dataLoss({ kind: 'replay_failed', cause: replayed.error });
  if (last.value.content.validBytes < last.value.content.totalBytes) torn.push(last.value.name);
  const memberId: MemberId = chain.value.root.memberId;
  const recovered = { memberId, snapshot: snapshot.value, ...replayed.value };
  return {
    ok: true,
    value: { recovery: { kind: 'recovered', recovered, torn }, resumePosition: resumePositionOf(chain.value) },
  };
}

/** Recovers the log of a folder; an error only if the file system could not read it. */
async function read(folder: Folder): Promise<Result<RecoveryResult, FileError>> {
  const names = await folder.list();
  if (!names.ok) return names;
  const lastNumber = segment.highestNumber(names.value);
  const log = await readLog(folder, names.value);
  if (log.ok) return { ok: true, value: { ...log.value, lastNumber } };
  if (log.error.kind === 'error') return { ok: false, error: log.error.error };
  return { ok: true, value: { recovery: log.error, resumePosition: null, lastNumber } };
}

export const logRecovery = { read };
