/**
 * The part of the log that is held in memory, from the entry after `base` on, and the membership in force, which is
 * that of the newest membership entry, committed or not (thesis 4.1). Indices count from 1 without gaps; before the
 * first entry `base` is at index 0 of term 0.
 */
import type { Entry, Membership } from '../../state/log/types.js';
import type { ConsensusState } from './types.js';

/** The assumed size of an entry beside that of its command, in bytes. */
const entryOverheadBytes = 256;

/** The index of the last entry, that of `base` without any. */
function lastIndex(state: ConsensusState): number {
  return state.base.index + state.entries.length;
}

/** The term of the last entry. */
function lastTerm(state: ConsensusState): number {
  return state.entries.at(-1)?.term ?? state.base.term;
}

/** The term of the entry at an index, or null when it is not in memory. */
function termAt(state: ConsensusState, index: number): number | null {
  if (index === state.base.index) return state.base.term;
  return entryAt(state, index)?.term ?? null;
}

/** The entry at an index, or null when it is not in memory. */
function entryAt(state: ConsensusState, index: number): Entry | null {
  return state.entries[index - state.base.index - 1] ?? null;
}

/** The approximate size of an entry when it is sent or stored, in bytes. */
function sizeOf(entry: Entry): number {
  return entry.data.kind === 'command' ? entry.data.size + entryOverheadBytes : entryOverheadBytes;
}

/** Entries from an index on: at least one if there is one, otherwise no more than `maxBytes`; `bytes` is their size. */
function batch(state: ConsensusState, from: number, maxBytes: number): { entries: Entry[]; bytes: number } {
  const entries: Entry[] = [];
  let bytes = 0;
  for (let position = from - state.base.index - 1; position < state.entries.length; position++) {
    const entry = state.entries[position]!;
    const size = sizeOf(entry);
    if (entries.length > 0 && bytes + size > maxBytes) break;
    entries.push(entry);
    bytes += size;
  }
  return { entries, bytes };
}

/** The membership that was in force at an index not before `base`, and the index of its entry. */
function membershipAt(state: ConsensusState, index: number): { membership: Membership; index: number } {
  for (let position = Math.min(index, lastIndex(state)); position > state.base.index; position--) {
    const data = entryAt(state, position)!.data;
    if (data.kind === 'membership') return { membership: data.membership, index: position };
  }
  return { membership: state.base.membership, index: state.base.index };
}

/** Updates `membership` after entries were appended, truncated or replaced. */
function refreshMembership(state: ConsensusState): void {
  const found = membershipAt(state, lastIndex(state));
  state.membership = found.membership;
  state.membershipIndex = found.index;
}

/** Removes the entries from an index on, which must be after the commit index. */
function truncateFrom(state: ConsensusState, index: number): void {
  state.entries.length = index - state.base.index - 1;
  state.durableIndex = Math.min(state.durableIndex, index - 1);
  state.unsyncedAppends = state.unsyncedAppends.filter((append) => append.lastIndex < index);
  refreshMembership(state);
}

/**
 * The highest index at which this log may match one that has another term at `index`: the last one before the own
 * entries of that term, so that one rejection skips a whole term (thesis 3.5, end).
 */
function conflictHint(state: ConsensusState, index: number): number {
  if (index > lastIndex(state)) return lastIndex(state);
  const term = termAt(state, index);
  let firstOfTerm = index;
  while (firstOfTerm > state.commitIndex + 1 && termAt(state, firstOfTerm - 1) === term) firstOfTerm--;
  return Math.max(state.commitIndex, firstOfTerm - 1);
}

export const raftLog = {
  lastIndex,
  lastTerm,
  termAt,
  entryAt,
  sizeOf,
  batch,
  membershipAt,
  refreshMembership,
  truncateFrom,
  conflictHint,
};
