/**
 * Keeps a member's hard state, entries and snapshots on disk. Batches are written in order, one at a time; a batch
 * counts as durable only once its bytes and all names that it depends on are synced. After a failed write or sync the
 * file is abandoned and the batch is written again to a new segment (`segment-writer.ts`).
 *
 * Numbers of files are never used twice. What a new root segment supersedes is removed only once that root is durable
 * (`cleanup.ts`), so that whatever reappears or is missing after a loss of power, `recovery.ts` finds either the old
 * log or the new one, complete.
 *
 * What became durable and what failed is announced by the events of `StorageEvents`.
 */
import type { Clock, FileError, Folder } from '../../runtime.js';
import type { MemberId, Result } from '../../types.js';
import { cleanup } from './cleanup.js';
import { logRecovery } from './recovery.js';
import { segmentWriter } from './segment-writer.js';
import { snapshotWriter } from './snapshot-writer.js';
import { storageState, type LogTail, type Storage, type WriteResult } from './storage-state.js';
import type { HardState, LogRecord, Recovered, Recovery, Snapshot } from './types.js';
import { writeQueue } from './write-queue.js';

export type { LogTail, Storage } from './storage-state.js';

/**
 * `installed`: the snapshot came from the leader, so that entries up to its index are replaced by it. `encoded`: its
 * bytes, where they are known already; else it is encoded when it is written.
 */
export type SnapshotOptions = { installed: boolean; encoded?: Uint8Array };

/** Pause after a write that failed, in milliseconds. */
const retryBackoffMs = 250;
const closeTimeoutMs = 1000;
const closePollIntervalMs = 5;

/** Recovers the log of a folder; `initialize` or `resume` must follow before anything is written. */
async function open(
  folder: Folder,
  clock: Clock,
): Promise<Result<{ storage: Storage; recovery: Recovery }, FileError>> {
  const reading = await logRecovery.read(folder);
  if (!reading.ok) return reading;
  const { recovery, resumePosition, lastNumber } = reading.value;
  return { ok: true, value: { storage: storageState.create(folder, clock, lastNumber, resumePosition), recovery } };
}

/** Begins a log under a new member id; the old files are ignored, and removed once the new log is durable. */
function initialize(storage: Storage, memberId: MemberId, snapshot: Snapshot, hardState: HardState): void {
  function tail(): LogTail {
    return { hardState, entries: [] };
  }
  storage.memberId = memberId;
  storage.resumePosition = null;
  storage.pendingSnapshot = { snapshot, encoded: null, tail, installed: true, isNewIdentity: true };
  storage.phase = 'running';
  scheduleFlush(storage);
}

/**
 * Continues the log after `recovered`. What was read may not have been synced by the earlier incarnation, so it is made
 * durable at once: a token written after this (with no records, if need be) tells when it is.
 */
function resume(storage: Storage, recovered: Recovered): void {
  storage.memberId = recovered.memberId;
  storage.commitIndex = recovered.commitIndex;
  storage.rewrittenBatch = storage.resumePosition?.rewrittenBatch ?? null;
  storage.logBytes = storage.resumePosition?.bytes ?? 0;
  storage.durableLog = storage.resumePosition && {
    segments: storage.resumePosition.segments,
    lastBytes: 0,
    snapshot: storage.resumePosition.snapshot,
  };
  storage.resumePosition = null;
  storage.phase = 'running';
  scheduleFlush(storage);
}

/** Queues records; `synced` with this token (or a later one) tells when they are durable. */
function write(storage: Storage, records: LogRecord[], token: number): void {
  for (const record of records)
    if (record.kind === 'commit_index') storage.commitIndex = Math.max(storage.commitIndex, record.index);
  storage.writeQueue.push({ records, token });
  scheduleFlush(storage);
}

/**
 * Replaces the log by a snapshot and what follows it. `tail` is called when the snapshot is written; its result then
 * takes the place of all records that are queued. A newer snapshot replaces one that still waits.
 */
function saveSnapshot(storage: Storage, snapshot: Snapshot, tail: () => LogTail, options: SnapshotOptions): void {
  const installed = options.installed || (storage.pendingSnapshot?.installed ?? false);
  storage.pendingSnapshot = { snapshot, encoded: options.encoded ?? null, tail, installed, isNewIdentity: false };
  scheduleFlush(storage);
}

/**
 * Whether a snapshot waits or is being written. Another one in that time restarts the writing, so that under a steady
 * load none would ever be completed.
 */
function isSnapshotPending(storage: Storage): boolean {
  return storage.pendingSnapshot !== null;
}

/** The size of the log after the snapshot, in bytes. */
function logBytes(storage: Storage): number {
  return storage.logBytes;
}

function hasWork(storage: Storage): boolean {
  return storage.writeQueue.length > 0 || storage.pendingSnapshot !== null || storage.rewrittenBatch !== null;
}

function scheduleFlush(storage: Storage): void {
  if (storage.phase !== 'running' || storage.isFlushing || storage.isBackingOff) return;
  storage.isFlushing = true;
  void flushAll(storage);
}

async function flushAll(storage: Storage): Promise<void> {
  // What is queued in the same turn goes into one batch.
  await Promise.resolve();
  while (storage.phase === 'running' && hasWork(storage)) {
    const flushed = await flushOnce(storage);
    if (flushed.ok) continue;
    backOff(storage, flushed.error);
    break;
  }
  storage.isFlushing = false;
}

function backOff(storage: Storage, error: FileError): void {
  if (storage.phase !== 'running') return;
  storage.isBackingOff = true;
  storage.clock.after(retryBackoffMs, () => {
    storage.isBackingOff = false;
    scheduleFlush(storage);
  });
  cleanup.schedule(storage);
  storage.emit('write_failed', error);
}

/** Whether the snapshot is written first: it is, except that after a failure the records that can do without it are. */
function isSnapshotNext(storage: Storage): boolean {
  if (storage.pendingSnapshot === null) return false;
  const canWait = storage.durableLog !== null && !storage.pendingSnapshot.installed;
  const hasRecords = storage.writeQueue.length > 0 || storage.rewrittenBatch !== null;
  return !(storage.isSnapshotDelayed && canWait && hasRecords);
}

async function flushOnce(storage: Storage): Promise<WriteResult> {
  if (!isSnapshotNext(storage)) {
    const flushed = await flushRecords(storage);
    if (flushed.ok) storage.isSnapshotDelayed = false;
    return flushed;
  }
  const flushed = await snapshotWriter.flush(storage, storage.pendingSnapshot!);
  storage.isSnapshotDelayed = storage.pendingSnapshot !== null;
  return flushed;
}

async function flushRecords(storage: Storage): Promise<WriteResult> {
  const writes = writeQueue.dequeue(storage);
  const records = writes.flatMap((write) => write.records);
  const written = await segmentWriter.writeRecords(storage, records);
  if (written.ok) writeQueue.emitSynced(storage, writes);
  else storage.writeQueue.unshift(...writes);
  return written;
}

/** Flushes what is queued, for a second at most, then closes the files. No event is emitted after that. */
function close(storage: Storage): Promise<void> {
  const endMs = storage.clock.now() + closeTimeoutMs;
  return new Promise((resolve) => {
    function poll(): void {
      const isIdle = !storage.isFlushing && storage.cleanup === null && !hasWork(storage);
      const isOver = storage.phase !== 'running' || isIdle || storage.clock.now() >= endMs;
      if (!isOver) {
        storage.clock.after(closePollIntervalMs, poll);
        return;
      }
      storage.phase = 'closed';
      segmentWriter.abandonOpenSegment(storage);
      resolve();
    }
    poll();
  });
}

export const storage = {
  open,
  initialize,
  resume,
  write,
  saveSnapshot,
  isSnapshotPending,
  close,
  logBytes,
};
