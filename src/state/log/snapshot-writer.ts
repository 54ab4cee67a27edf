/**
 * Writes snapshots. A snapshot is a file of its own, created under a temporary name; it takes effect once a root
 * segment that refers to it is durable, which replaces the whole log before it.
 */
import type { FileError } from '../../runtime.js';
import type { Result } from '../../types.js';
import { snapshotCodec } from './codec.js';
import { segment } from './segment.js';
import { segmentWriter } from './segment-writer.js';
import { success, type LogTail, type PendingSnapshot, type Storage, type WriteResult } from './storage-state.js';
import type { Batch, SegmentHead, Snapshot } from './types.js';
import { writeQueue } from './write-queue.js';

/** Writes a snapshot and the root segment after it; the writes that its tail covers are durable with it. */
async function flush(storage: Storage, next: PendingSnapshot): Promise<WriteResult> {
  const saved = await writeSnapshotFile(storage, next);
  if (!saved.ok) return saved;
  if (storage.pendingSnapshot !== next) return removeStaleSnapshot(storage, saved.value);
  const tail = next.tail();
  const covered = next.isNewIdentity ? [] : storage.writeQueue.splice(0);
  const opened = await segmentWriter.createSegment(storage, rootBatch(storage, next.snapshot, tail, saved.value));
  if (!opened.ok) {
    storage.writeQueue.unshift(...covered);
    await discardUnreferencedSnapshot(storage, saved.value);
    return opened;
  }
  const { number, bytes } = opened.value;
  storage.durableLog = { segments: [number], lastBytes: bytes, snapshot: saved.value };
  storage.rewrittenBatch = null;
  storage.logBytes = bytes;
  if (storage.pendingSnapshot === next) storage.pendingSnapshot = null;
  segmentWriter.replaceOpenSegment(storage, opened.value);
  writeQueue.emitSynced(storage, covered);
  return success;
}

/** A newer snapshot was asked for meanwhile, so that the tail no longer fits this one. */
async function removeStaleSnapshot(storage: Storage, number: number): Promise<WriteResult> {
  await storage.folder.remove(segment.fileName('snapshot', number));
  return success;
}

function rootBatch(storage: Storage, snapshot: Snapshot, tail: LogTail, number: number): Batch {
  const entries = tail.entries.filter((entry) => entry.index > snapshot.index);
  const last = entries.at(-1)?.index ?? snapshot.index;
  const commitIndex = Math.min(Math.max(storage.commitIndex, snapshot.index), last);
  const head: SegmentHead = {
    kind: 'root',
    memberId: storage.memberId,
    snapshot: number,
    hardState: tail.hardState,
    entries,
    commitIndex,
  };
  return { head, records: [] };
}

/** Writes a snapshot under a number of its own, durable with its name; nothing refers to it yet. */
async function writeSnapshotFile(storage: Storage, pending: PendingSnapshot): Promise<Result<number, FileError>> {
  await storage.cleanup;
  const number = ++storage.lastNumber;
  const written = await writeTemporaryFile(storage, number, pending);
  const named = written.ok ? await publishSnapshotFile(storage, number) : written;
  if (named.ok) return { ok: true, value: number };
  await storage.folder.remove(segment.temporaryName(number));
  return named;
}

async function writeTemporaryFile(storage: Storage, number: number, pending: PendingSnapshot): Promise<WriteResult> {
  const created = await storage.folder.create(segment.temporaryName(number));
  if (!created.ok) return created;
  const bytes = pending.encoded ?? snapshotCodec.encode(pending.snapshot);
  const written = await segmentWriter.appendAndSync(created.value, bytes);
  await created.value.close();
  return written;
}

async function publishSnapshotFile(storage: Storage, number: number): Promise<WriteResult> {
  const name = segment.fileName('snapshot', number);
  const renamed = await storage.folder.rename(segment.temporaryName(number), name);
  if (!renamed.ok) return renamed;
  const synced = await storage.folder.syncFolder();
  if (!synced.ok) await storage.folder.remove(name);
  return synced;
}

/**
 * Frees the space of a snapshot whose root segment failed. The root may be on the disk all the same, so the snapshot is
 * removed only once the root is known to be empty there; otherwise it stays until it is superseded.
 */
async function discardUnreferencedSnapshot(storage: Storage, number: number): Promise<void> {
  const failed = storage.failedSegment;
  const wasRootCreated = failed !== null && failed.number > number;
  if (wasRootCreated) {
    const synced = await storage.folder.syncFolder();
    if (!failed.isEmptied || !synced.ok) return;
  }
  await storage.folder.remove(segment.fileName('snapshot', number));
}

export const snapshotWriter = { flush };
