/** Removes the files that a newer segment or snapshot has superseded, concurrently with the appends. */
import { segment } from './segment.js';
import type { DurableLog, Storage } from './storage-state.js';

/**
 * Marks the newest segment as durable and removes what is superseded. Whoever creates a file awaits `storage.cleanup`
 * first: a failed sync of the folder in here would lose the new name unnoticed.
 */
function schedule(storage: Storage): void {
  storage.isCleanupRequested = true;
  storage.cleanup ??= run(storage);
}

async function run(storage: Storage): Promise<void> {
  // Never ends in the turn in which it began, so that `cleanup` is set before it is cleared.
  await Promise.resolve();
  while (storage.isCleanupRequested && storage.phase === 'running') {
    storage.isCleanupRequested = false;
    // Until what was read at the start is durable again, nothing that it may need is removed.
    if (storage.durableLog !== null && storage.rewrittenBatch === null)
      await removeSuperseded(storage, storage.durableLog);
  }
  storage.cleanup = null;
}

async function removeSuperseded(storage: Storage, durableLog: DurableLog): Promise<void> {
  const last = durableLog.segments.at(-1)!;
  const names = await storage.folder.list();
  if (!names.ok) return;
  const marker = segment.fileName('synced', last);
  const isMarked = names.value.includes(marker) || (await createMarker(storage, marker));
  const superseded = segment.superseded(names.value, last, referencedNames(durableLog, isMarked));
  for (const name of superseded) await storage.folder.remove(name);
  await storage.folder.syncFolder();
}

async function createMarker(storage: Storage, name: string): Promise<boolean> {
  const created = await storage.folder.create(name);
  if (!created.ok) return false;
  await created.value.close();
  return true;
}

function referencedNames(durableLog: DurableLog, isMarked: boolean): Set<string> {
  const names = durableLog.segments.map((number) => segment.fileName('segment', number));
  const marker = isMarked ? [segment.fileName('synced', durableLog.segments.at(-1)!)] : [];
  return new Set([...names, ...marker, segment.fileName('snapshot', durableLog.snapshot)]);
}

export const cleanup = { schedule };
