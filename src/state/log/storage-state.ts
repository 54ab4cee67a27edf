/** The state of the storage of a log: the write queue, the open segment, and what of the log is durable. */
import { EventEmitter } from 'node:events';
import type { AppendFile, Clock, FileError, Folder } from '../../runtime.js';
import type { MemberId, Result } from '../../types.js';
import type { ResumePosition } from './recovery.js';
import type { Entry, HardState, LogRecord, Snapshot } from './types.js';

/** What follows a snapshot. It must reflect every record that was passed to `write` so far. */
export type LogTail = { hardState: HardState; entries: Entry[] };

/** Records to be written together; `synced` with this token (or a later one) tells when they are durable. */
export type QueuedWrite = { records: LogRecord[]; token: number };

/**
 * A snapshot that waits to be written. `encoded`: its bytes where the caller has them already. `tail` is called when it
 * is written. `installed`: it came from the leader. `isNewIdentity`: it begins a log under a new member id, so that its
 * tail does not cover the writes that are queued.
 */
export type PendingSnapshot = {
  snapshot: Snapshot;
  encoded: Uint8Array | null;
  tail: () => LogTail;
  installed: boolean;
  isNewIdentity: boolean;
};

/** The segment that is appended to; `bytes` is its size. */
export type OpenSegment = { file: AppendFile; number: number; bytes: number };

/**
 * The log as it is durable: the numbers of its segments in order, the valid bytes of the last, the snapshot's number.
 */
export type DurableLog = { segments: number[]; lastBytes: number; snapshot: number };

/** The events of a storage, with their arguments. */
export type StorageEvents = {
  /** All that was written up to this token is durable, names included. Tokens are announced in rising order. */
  synced: [token: number];
  /** An attempt to write failed; the storage itself retries it after a pause. */
  write_failed: [error: FileError];
};

/**
 * The storage of one folder, changed by the modules of this folder only. `write` is accepted in the phase `running`,
 * between `initialize` or `resume` and `close`.
 */
export type Storage = EventEmitter<StorageEvents> & {
  folder: Folder;
  clock: Clock;
  memberId: MemberId;
  phase: 'opened' | 'running' | 'closed';
  /** The highest number given to a file so far; numbers are never used twice. */
  lastNumber: number;
  /** What was read at the start, until it is resumed or abandoned. */
  resumePosition: ResumePosition | null;
  /** What the next segment must begin with after a restart, until it is durable. */
  rewrittenBatch: ResumePosition['rewrittenBatch'] | null;
  /** Null until the first segment of a new log is durable. */
  durableLog: DurableLog | null;
  openSegment: OpenSegment | null;
  /** The last attempt at a segment that failed, until a newer one is durable; `isEmptied`: the empty file is synced. */
  failedSegment: { number: number; isEmptied: boolean } | null;
  writeQueue: QueuedWrite[];
  pendingSnapshot: PendingSnapshot | null;
  /** After a snapshot failed or was replaced the queued records go first, once. */
  isSnapshotDelayed: boolean;
  /** The highest commit index that was passed to `write`. */
  commitIndex: number;
  /** The size of the segments, in bytes. */
  logBytes: number;
  lastSyncedToken: number;
  isFlushing: boolean;
  isBackingOff: boolean;
  /** The cleanup under way, `null` without one. */
  cleanup: Promise<void> | null;
  isCleanupRequested: boolean;
};

/** The outcome of a write to the disk. A write that failed is tried again by the storage itself. */
export type WriteResult = Result<void, FileError>;

export const success: WriteResult = { ok: true, value: undefined };

/** A storage in the phase `opened`. */
function create(folder: Folder, clock: Clock, lastNumber: number, position: ResumePosition | null): Storage {
  return Object.assign(new EventEmitter<StorageEvents>(), {
    folder,
    clock,
    memberId: '',
    phase: 'opened' as const,
    lastNumber,
    resumePosition: position,
    rewrittenBatch: null,
    durableLog: null,
    openSegment: null,
    failedSegment: null,
    writeQueue: [],
    pendingSnapshot: null,
    isSnapshotDelayed: false,
    commitIndex: 0,
    logBytes: 0,
    lastSyncedToken: 0,
    isFlushing: false,
    isBackingOff: false,
    cleanup: null,
    isCleanupRequested: false,
  });
}

export const storageState = { create };
