// Reads a coordinator's folder back after a start: the newest whole view, then the segments in
// order. A torn tail is normal after a loss of power and ends its segment; a segment whose head
// says that more had been synced before it than was found means the disk lost what it had promised.
import { readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import type { Entry, Record_, View } from '../../coordination/group/types.js';
import { records } from './records.js';

export type SegmentHead = { r: 'head'; me: string; after: number; epoch: number; vote: string | null; reset: boolean };
export type Recovered = {
  me: string; epoch: number; vote: string | null; view: View; entries: Entry[]; nextSegment: number;
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
  return out.sort(function up(a, b) { return a.no - b.no; });
}

function newestView(dir: string, names: string[]): View | null {
  for (const f of numbered(names, 'view').reverse()) {
    const { values } = records.readAll(readFileSync(join(dir, f.name)));
    if (values.length === 1) return values[0] as View;
  }
  return null;
}

function recover(dir: string): Recovery {
  let names: string[];
  try {
    names = readdirSync(dir);
  } catch {
    return { k: 'empty', nextSegment: 1 };
  }
  const segments = numbered(names, 'segment');
  const nextSegment = (segments.at(-1)?.no ?? 0) + 1;
  const view = newestView(dir, names);
  if (!view) return segments.length === 0 ? { k: 'empty', nextSegment } : { k: 'lost', why: 'no whole view', nextSegment };
  let entries: Entry[] = [];
  let me: string | null = null;
  let epoch = 0;
  let vote: string | null = null;
  const torn: string[] = [];
  for (const seg of segments) {
    const { values, torn: isTorn } = records.readAll(readFileSync(join(dir, seg.name)));
    if (isTorn) torn.push(seg.name);
    for (const v of values as (Record_ | SegmentHead)[]) {
      if (v.r === 'head') {
        me = v.me;
        if (v.epoch >= epoch) ({ epoch, vote } = v);
        if (v.reset && v.after === view.index) entries = [];
        if (v.after > view.index + entries.length) return { k: 'lost', why: `${seg.name} follows entry ${v.after}, which is not there`, nextSegment };
      } else if (v.r === 'promise') {
        if (v.epoch >= epoch) ({ epoch, vote } = v);
      } else {
        const at = v.entry.index - view.index - 1;
        if (at < 0) continue;
        if (at > entries.length) return { k: 'lost', why: `entry ${v.entry.index} of ${seg.name} has a gap before it`, nextSegment };
        if (entries[at]?.epoch === v.entry.epoch) continue;
        entries = entries.slice(0, at);
        entries.push(v.entry);
      }
    }
  }
  if (me === null) return { k: 'lost', why: 'no whole segment', nextSegment };
  return { k: 'whole', found: { me, epoch, vote, view, entries, nextSegment }, torn };
}

export const recovery = { recover, numbered };
