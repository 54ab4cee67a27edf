// Reads a coordinator's folder back after a start: the newest whole snapshot, then the segments in
// order. A torn tail is normal after a loss of power and ends its segment; a segment whose head
// says that more had been synced before it than was found means the disk lost what it had promised.
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Entry, Record_, Snapshot } from '../../coordination/consensus/types.js';
import { records } from './records.js';

export type SegmentHead = { r: 'head'; me: string; after: number; term: number; vote: string | null; reset: boolean };
export type Recovered = {
  me: string;
  term: number;
  vote: string | null;
  snapshot: Snapshot;
  entries: Entry[];
  nextSegment: number;
  committed: number;
};
export type Recovery =
  | { k: 'empty'; nextSegment: number }
  | { k: 'whole'; found: Recovered; torn: string[] }
  | { k: 'lost'; why: string; nextSegment: number };

function numbered(names: string[], prefix: string): { name: string; no: number }[] {
  const out: { name: string; no: number }[] = [];
  for (const name of names) {
    const m = new RegExp(`^${prefix}-(\\d+)$`).exec(name);
    if (m) out.push({ name, no: Number(m[1]) });
  }
  return out.sort(function up(a, b) {
    return a.no - b.no;
  });
}

function newestSnapshot(dir: string, names: string[]): Snapshot | null {
  for (const f of numbered(names, 'snapshot').reverse()) {
    const { values } = records.readAll(readFileSync(join(dir, f.name)));
    if (values.length === 1) return values[0] as Snapshot;
  }
  return null;
}

type Replayed =
  | { ok: true; me: string; term: number; vote: string | null; entries: Entry[]; committed: number }
  | { ok: false; why: string };

// Plays the records of the segments, in order, on top of a snapshot.
function replay(snapshot: Snapshot, segments: { name: string; values: (Record_ | SegmentHead)[] }[]): Replayed {
  let entries: Entry[] = [];
  let me: string | null = null;
  let term = 0;
  let vote: string | null = null;
  let committed = snapshot.index;
  function promised(p: { term: number; vote: string | null }): void {
    if (p.term >= term) ({ term, vote } = p);
  }
  for (const seg of segments) {
    for (const v of seg.values) {
      if (v.r === 'head') {
        me = v.me;
        promised(v);
        if (v.reset && v.after === snapshot.index) entries = [];
        if (v.after > snapshot.index + entries.length)
          return { ok: false, why: `${seg.name} follows entry ${v.after}, which is not there` };
      } else if (v.r === 'promise') promised(v);
      else if (v.r === 'committed') committed = Math.max(committed, v.index);
      else {
        const at = v.entry.index - snapshot.index - 1;
        if (at < 0 || entries[at]?.term === v.entry.term) continue;
        if (at > entries.length) return { ok: false, why: `entry ${v.entry.index} of ${seg.name} has a gap before it` };
        entries = entries.slice(0, at);
        entries.push(v.entry);
      }
    }
  }
  return me === null ? { ok: false, why: 'no whole segment' } : { ok: true, me, term, vote, entries, committed };
}

function recover(dir: string): Recovery {
  let names: string[];
  try {
    names = readdirSync(dir);
  } catch {
    return { k: 'empty', nextSegment: 1 };
  }
  const files = numbered(names, 'segment');
  const nextSegment = (files.at(-1)?.no ?? 0) + 1;
  const snapshot = newestSnapshot(dir, names);
  if (!snapshot)
    return files.length === 0 ? { k: 'empty', nextSegment } : { k: 'lost', why: 'no whole snapshot', nextSegment };
  const torn: string[] = [];
  const segments = files.map(function one(f) {
    const { values, torn: isTorn } = records.readAll(readFileSync(join(dir, f.name)));
    if (isTorn) torn.push(f.name);
    return { name: f.name, values: values as (Record_ | SegmentHead)[] };
  });
  const r = replay(snapshot, segments);
  if (!r.ok) return { k: 'lost', why: r.why, nextSegment };
  return {
    k: 'whole',
    found: { me: r.me, term: r.term, vote: r.vote, snapshot, entries: r.entries, nextSegment, committed: r.committed },
    torn,
  };
}

export const recovery = { recover, replay, numbered };
