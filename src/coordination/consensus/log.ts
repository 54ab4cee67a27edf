// Looks into the part of the log that is held in memory: the entries behind the latest snapshot, the
// roster in force (the newest roster entry, committed or not) and the term at an index.
import type { Entry, ConsensusState } from './types.js';

function last(s: ConsensusState): number {
  return s.base.index + s.entries.length;
}

function termAt(s: ConsensusState, index: number): number | null {
  if (index === s.base.index) return s.base.term;
  return s.entries[index - s.base.index - 1]?.term ?? null;
}

function at(s: ConsensusState, index: number): Entry | null {
  return s.entries[index - s.base.index - 1] ?? null;
}

function from(s: ConsensusState, index: number, most: number): Entry[] {
  const start = index - s.base.index - 1;
  return s.entries.slice(start, start + most);
}

function findRoster(s: ConsensusState): void {
  s.roster = s.base.members;
  s.rosterAt = s.base.index;
  for (let i = s.entries.length - 1; i >= 0; i--) {
    const d = s.entries[i]!.data;
    if (d.kind === 'roster') {
      s.roster = d.members;
      s.rosterAt = s.entries[i]!.index;
      return;
    }
  }
}

function trimFrom(s: ConsensusState, index: number): void {
  s.entries.length = index - s.base.index - 1;
  findRoster(s);
}

function isMember(s: ConsensusState, id: string): boolean {
  return s.roster.some(function same(m) {
    return m.id === id;
  });
}

function majority(s: ConsensusState): number {
  return Math.floor(s.roster.length / 2) + 1;
}

export const log = { last, termAt, at, from, findRoster, trimFrom, isMember, majority };
