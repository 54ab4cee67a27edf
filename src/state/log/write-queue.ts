/** The queue of writes that wait for the disk, and the announcement of those that are durable. */
import type { QueuedWrite, Storage } from './storage-state.js';

const maxRecordsPerFlush = 256;

/** Takes the oldest writes that fit into one batch, at least one. */
function dequeue(storage: Storage): QueuedWrite[] {
  let records = 0;
  const firstBeyondLimit = storage.writeQueue.findIndex((write) => {
    records += write.records.length;
    return records > maxRecordsPerFlush;
  });
  return storage.writeQueue.splice(
    0,
    firstBeyondLimit === -1 ? storage.writeQueue.length : Math.max(firstBeyondLimit, 1),
  );
}

/** Announces that all these writes are durable; tokens are announced in rising order only, and none after `close`. */
function emitSynced(storage: Storage, writes: QueuedWrite[]): void {
  let token = 0;
  for (const write of writes) token = Math.max(token, write.token);
  if (token <= storage.lastSyncedToken || storage.phase === 'closed') return;
  storage.lastSyncedToken = token;
  storage.emit('synced', token);
}

export const writeQueue = { dequeue, emitSynced };
