/** Replays the batches of a log on top of its snapshot, when a member starts. Pure; the batches are not changed. */
import type { Result } from '../../types.js';
import type { ReplayError } from './errors.js';
import type { Batch, Entry, HardState, LogRecord, Snapshot } from './types.js';

/** What the records add up to. */
export type Replayed = { hardState: HardState; entries: Entry[]; commitIndex: number };

function lastLogIndex(snapshot: Snapshot, replayed: Replayed): number {
  return snapshot.index + replayed.entries.length;
}

/** An entry replaces one of another term at its index, together with all entries after that. */
function applyEntry(snapshot: Snapshot, replayed: Replayed, entry: Entry): ReplayError | null {
  if (entry.index <= snapshot.index) return null;
  if (entry.index > lastLogIndex(snapshot, replayed) + 1) return { kind: 'entry_gap', index: entry.index };
  const position = entry.index - snapshot.index - 1;
  if (replayed.entries[position]?.term === entry.term) return null;
  replayed.entries.length = position;
  replayed.entries.push(entry);
  return null;
}

function applyRecord(snapshot: Snapshot, replayed: Replayed, record: LogRecord): ReplayError | null {
  switch (record.kind) {
    case 'entry':
      return applyEntry(snapshot, replayed, record.entry);
    case 'commit_index':
      replayed.commitIndex = Math.max(replayed.commitIndex, record.index);
      return null;
    case 'hard_state':
      if (record.hardState.term >= replayed.hardState.term) replayed.hardState = record.hardState;
      return null;
  }
}

function startFromRoot(snapshot: Snapshot, batch: Batch | undefined): Result<Replayed, ReplayError> {
  const head = batch?.head;
  if (head?.kind !== 'root') return { ok: false, error: { kind: 'no_root' } };
  const replayed: Replayed = {
    hardState: head.hardState,
    entries: [],
    commitIndex: Math.max(head.commitIndex, snapshot.index),
  };
  for (const entry of head.entries) {
    const error = applyEntry(snapshot, replayed, entry);
    if (error !== null) return { ok: false, error };
  }
  return { ok: true, value: replayed };
}

/** Replays batches in order, the first of which must have a root head. The error says what is missing. */
function apply(snapshot: Snapshot, batches: Batch[]): Result<Replayed, ReplayError> {
  const begun = startFromRoot(snapshot, batches[0]);
  if (!begun.ok) return begun;
  for (const batch of batches) {
    for (const record of batch.records) {
      const error = applyRecord(snapshot, begun.value, record);
      if (error !== null) return { ok: false, error };
    }
  }
  const last = lastLogIndex(snapshot, begun.value);
  const { commitIndex } = begun.value;
  if (commitIndex > last)
    return { ok: false, error: { kind: 'committed_entry_missing', commitIndex, lastIndex: last } };
  return begun;
}

export const replay = { apply };
