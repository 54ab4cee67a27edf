// The coordinator's index of kept parts, as a pure machine: built from the events of each runner and
// the store, emptied for a place that has restarted, repaired from its list after a gap. Changes of
// parts worth moving are numbered so that sites can ask for what came since.
import { identity } from './identity.js';
import type { Kept, KeptEvents } from '../../protocol/calls/pairs.js';

// Signs: + and - as the place itself reports; ? as a site expects; ~ a place has been silent for long.
export type Change = ['+' | '-' | '?' | '~', string, string, number, string];
export type PlaceIndex = {
  epoch: number;
  next: number;
  parts: Map<string, number>;
  needsList: boolean;
  heardAt: number;
  isSilent: boolean;
};
export type KeptIndex = {
  least: number;
  places: Map<string, PlaceIndex>;
  changes: Change[];
  first: number;
  most: number;
  refused: number;
};

const silentMs = 3500;

function create(least: number, most: number): KeptIndex {
  return { least, places: new Map(), changes: [], first: 1, most, refused: 0 };
}

function placeOf(ix: KeptIndex, place: string): PlaceIndex {
  let p = ix.places.get(place);
  if (!p) {
    p = { epoch: -1, next: 0, parts: new Map(), needsList: false, heardAt: -Infinity, isSilent: false };
    ix.places.set(place, p);
  }
  return p;
}

function push(ix: KeptIndex, c: Change): void {
  ix.changes.push(c);
  if (ix.changes.length > ix.most) {
    const extra = ix.changes.length - ix.most;
    ix.changes.splice(0, extra);
    ix.first += extra;
  }
}

function set(ix: KeptIndex, place: string, p: PlaceIndex, salt: string, part: string, tokens: number): void {
  const key = identity.key(salt, part);
  const was = p.parts.get(key) ?? 0;
  if (tokens >= ix.least) {
    if (was === tokens) return;
    p.parts.set(key, tokens);
    push(ix, ['+', salt, part, tokens, place]);
  } else if (was > 0) {
    p.parts.delete(key);
    push(ix, ['-', salt, part, 0, place]);
  }
}

function clear(ix: KeptIndex, place: string, p: PlaceIndex): void {
  for (const key of [...p.parts.keys()]) {
    const [salt, part] = key.split(' ') as [string, string];
    set(ix, place, p, salt, part, 0);
  }
}

// A part whose model is not the one its salt names is refused.
function fits(ix: KeptIndex, salt: string, model: string): boolean {
  if (identity.agrees(salt, model)) return true;
  ix.refused++;
  return false;
}

// A place that speaks again after a long silence confirms anew what it keeps.
function heard(ix: KeptIndex, place: string, p: PlaceIndex, now: number): void {
  p.heardAt = now;
  if (!p.isSilent) return;
  p.isSilent = false;
  for (const [key, tokens] of p.parts) {
    const [salt, part] = key.split(' ') as [string, string];
    push(ix, ['+', salt, part, tokens, place]);
  }
}

// The word of a place that has been silent for long confirms nothing any more.
function age(ix: KeptIndex, now: number): void {
  for (const [place, p] of ix.places) {
    if (p.isSilent || now - p.heardAt <= silentMs) continue;
    p.isSilent = true;
    push(ix, ['~', '', '', 0, place]);
  }
}

// Takes an answer to the question for events; true when the place must be asked for its whole list.
function events(ix: KeptIndex, place: string, e: KeptEvents, now: number): boolean {
  const p = placeOf(ix, place);
  heard(ix, place, p, now);
  if (p.epoch !== e.epoch) {
    clear(ix, place, p);
    p.needsList = e.isLost;
    p.epoch = e.epoch;
  } else if (e.isLost) p.needsList = true;
  p.next = e.next;
  for (const [, sign, salt, part, tokens, model] of e.events)
    if (fits(ix, salt, model)) set(ix, place, p, salt, part, sign === '-' && tokens < ix.least ? 0 : tokens);
  return p.needsList;
}

function list(ix: KeptIndex, place: string, k: Kept, now: number): void {
  const p = placeOf(ix, place);
  heard(ix, place, p, now);
  const there = new Map<string, [string, string, number]>();
  for (const [salt, part, tokens, model] of k.held)
    if (tokens >= ix.least && fits(ix, salt, model)) there.set(identity.key(salt, part), [salt, part, tokens]);
  for (const key of [...p.parts.keys()]) {
    if (there.has(key)) continue;
    const [salt, part] = key.split(' ') as [string, string];
    set(ix, place, p, salt, part, 0);
  }
  for (const [salt, part, tokens] of there.values()) set(ix, place, p, salt, part, tokens);
  p.epoch = k.epoch;
  p.next = k.next;
  p.needsList = false;
}

function drop(ix: KeptIndex, place: string): void {
  const p = ix.places.get(place);
  if (!p) return;
  clear(ix, place, p);
  ix.places.delete(place);
}

// A part that a site has just sent to be read there: told on at once, and believed until the place's
// own events say otherwise.
function announce(ix: KeptIndex, place: string, salt: string, part: string, tokens: number): void {
  if (tokens >= ix.least && !ix.places.get(place)?.parts.has(identity.key(salt, part)))
    push(ix, ['?', salt, part, tokens, place]);
}

function since(ix: KeptIndex, n: number): Change[] | null {
  if (n + 1 < ix.first || n > last(ix)) return null;
  return ix.changes.slice(n + 1 - ix.first);
}

function last(ix: KeptIndex): number {
  return ix.first + ix.changes.length - 1;
}

function all(ix: KeptIndex): Change[] {
  const out: Change[] = [];
  for (const [place, p] of ix.places) {
    for (const [key, tokens] of p.parts) {
      const [salt, part] = key.split(' ') as [string, string];
      out.push([p.isSilent ? '?' : '+', salt, part, tokens, place]);
    }
  }
  return out;
}

export const keptIndex = { create, age, announce, events, list, drop, since, last, all, placeOf };
