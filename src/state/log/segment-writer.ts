/**
 * Appends batches to segments. A segment to which an append or a sync failed is never appended to again, since it is
 * not known what a failed sync left on the disk (Rebello et al., Can Applications Recover from fsync Failures?, ATC
 * 2020): the batch is written again as the first one of another segment.
 */
import type { AppendFile, FileError } from '../../runtime.js';
import type { Result } from '../../types.js';
import { cleanup } from './cleanup.js';
import { segment } from './segment.js';
import { success, type OpenSegment, type Storage, type WriteResult } from './storage-state.js';
import type { Batch, LogRecord, SegmentHead } from './types.js';

/** A segment of this size is not appended to any more, in bytes; offsets of frames are 32 bits wide. */
const maxSegmentBytes = 1024 * 1024 * 1024;

/** Writes records to the open segment, or to a new one; on success they are durable. */
async function writeRecords(storage: Storage, records: LogRecord[]): Promise<WriteResult> {
  if (storage.rewrittenBatch === null && records.length === 0) return success;
  if (storage.openSegment !== null && storage.openSegment.bytes < maxSegmentBytes) return appendBatch(storage, records);
  return startNextSegment(storage, records);
}

async function appendBatch(storage: Storage, records: LogRecord[]): Promise<WriteResult> {
  const current = storage.openSegment!;
  const frame = segment.encodeFrame(current.number, current.bytes, { head: null, records });
  const written = await appendAndSync(current.file, frame);
  if (!written.ok) {
    abandonOpenSegment(storage);
    return written;
  }
  current.bytes += frame.length;
  storage.durableLog!.lastBytes = current.bytes;
  storage.logBytes += frame.length;
  return success;
}

/** Closes the segment without waiting; nothing is appended to it any more. */
function abandonOpenSegment(storage: Storage): void {
  const current = storage.openSegment;
  storage.openSegment = null;
  if (current !== null) void current.file.close();
}

/** Appends bytes to a file and syncs it. */
async function appendAndSync(file: AppendFile, bytes: Uint8Array): Promise<WriteResult> {
  const appended = await file.append(bytes);
  return appended.ok ? file.sync() : appended;
}

function firstSegmentBatch(storage: Storage, records: LogRecord[]): { head: SegmentHead; records: LogRecord[] } {
  const { rewrittenBatch, durableLog } = storage;
  if (rewrittenBatch !== null) return { head: rewrittenBatch.head, records: [...rewrittenBatch.records, ...records] };
  const previous = durableLog!.segments.at(-1)!;
  return {
    head: { kind: 'next', memberId: storage.memberId, previous, previousBytes: durableLog!.lastBytes },
    records,
  };
}

async function startNextSegment(storage: Storage, records: LogRecord[]): Promise<WriteResult> {
  const batch = firstSegmentBatch(storage, records);
  const isRewritten = storage.rewrittenBatch !== null;
  const opened = await createSegment(storage, batch);
  if (!opened.ok) return opened;
  const { number, bytes } = opened.value;
  storage.rewrittenBatch = null;
  storage.durableLog = {
    ...storage.durableLog!,
    segments: [...storage.durableLog!.segments, number],
    lastBytes: bytes,
  };
  storage.logBytes = isRewritten ? Math.max(storage.logBytes, bytes) : storage.logBytes + bytes;
  replaceOpenSegment(storage, opened.value);
  return success;
}

/** Makes a segment whose first batch is durable the one that is appended to. */
function replaceOpenSegment(storage: Storage, opened: OpenSegment): void {
  abandonOpenSegment(storage);
  storage.openSegment = opened;
  storage.failedSegment = null;
  cleanup.schedule(storage);
}

/** Creates a segment with its first batch; on success the bytes and the name are durable. */
async function createSegment(storage: Storage, batch: Batch): Promise<Result<OpenSegment, FileError>> {
  await storage.cleanup;
  const number = ++storage.lastNumber;
  const name = segment.fileName('segment', number);
  const created = await storage.folder.create(name);
  if (!created.ok) return created;
  const frame = segment.encodeFrame(number, 0, batch);
  const written = await appendAndSync(created.value, frame);
  const named = written.ok ? await storage.folder.syncFolder() : written;
  if (named.ok) return { ok: true, value: { file: created.value, number, bytes: frame.length } };
  void created.value.close();
  await retireFailedSegment(storage, number);
  return named;
}

/**
 * Ends appending to any older segment: the failed one may be on the disk all the same, and recovery would then take it
 * for the end of the log. Empties the failed one, and removes the one that failed before it. The last one stays until a
 * newer segment is durable: a removal that was not synced may be undone by a loss of power, and the next incarnation
 * has to begin above all numbers that may reappear.
 */
async function retireFailedSegment(storage: Storage, number: number): Promise<void> {
  const previous = storage.failedSegment;
  abandonOpenSegment(storage);
  storage.failedSegment = { number, isEmptied: false };
  const emptied = await storage.folder.create(segment.fileName('segment', number));
  if (emptied.ok) {
    const synced = await emptied.value.sync();
    void emptied.value.close();
    storage.failedSegment.isEmptied = synced.ok;
  }
  if (previous !== null) await storage.folder.remove(segment.fileName('segment', previous.number));
}

export const segmentWriter = { writeRecords, abandonOpenSegment, appendAndSync, replaceOpenSegment, createSegment };
