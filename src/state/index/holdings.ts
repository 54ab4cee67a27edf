// What a site believes the runners and the store keep: parts by identity, each with the places that are
// said to hold it. A place's own report is *sure*; what a site has sent there, or another site says it
// has, is an *expectation*: it may be priced for some time, but nothing is fetched on the word of it.
// A belief that proves wrong costs a miss, never a wrong answer.
import { identity } from './identity.js';

export type Held = { tokens: number; isSure: boolean; until: number; generation: number };
export type Holdings = { parts: Map<string, Map<number, Held>>; most: number };

export const storePlace = -1;
const expectMs = 3000;

function create(most: number): Holdings {
  return { parts: new Map(), most };
}

function placesOf(h: Holdings, k: string): Map<number, Held> {
  let places = h.parts.get(k);
  if (places) h.parts.delete(k);
  else places = new Map();
  h.parts.set(k, places);
  if (h.parts.size > h.most) h.parts.delete(h.parts.keys().next().value!);
  return places;
}

// The place itself reports that it keeps the part.
function put(h: Holdings, salt: string, part: string, place: number, tokens: number, generation = 0): void {
  placesOf(h, identity.key(salt, part)).set(place, { tokens, isSure: true, until: Infinity, generation });
}

// The part was sent to be read there, and should be kept soon.
function expect(h: Holdings, salt: string, part: string, place: number, tokens: number, now: number): void {
  const places = placesOf(h, identity.key(salt, part));
  const was = places.get(place);
  if (was?.isSure && was.tokens >= tokens) return;
  places.set(place, { tokens, isSure: false, until: now + expectMs, generation: was?.generation ?? 0 });
}

function drop(h: Holdings, salt: string, part: string, place: number): void {
  const k = identity.key(salt, part);
  const places = h.parts.get(k);
  if (!places) return;
  places.delete(place);
  if (places.size === 0) h.parts.delete(k);
}

function dropPlace(h: Holdings, place: number): void {
  for (const [k, places] of h.parts) {
    if (places.delete(place) && places.size === 0) h.parts.delete(k);
  }
}

// The place has not reported for long: what it said is an expectation from now on.
function doubt(h: Holdings, place: number, now: number): void {
  for (const places of h.parts.values()) {
    const held = places.get(place);
    if (held?.isSure) places.set(place, { ...held, isSure: false, until: now + expectMs });
  }
}

function heldAt(h: Holdings, salt: string, part: string, place: number): Held | null {
  return h.parts.get(identity.key(salt, part))?.get(place) ?? null;
}

function tokensAt(h: Holdings, salt: string, part: string, place: number, now: number): number {
  const held = heldAt(h, salt, part, place);
  return held && now < held.until ? held.tokens : 0;
}

function places(h: Holdings, salt: string, part: string): Map<number, Held> | null {
  return h.parts.get(identity.key(salt, part)) ?? null;
}

// Tokens of the prompt, counted from its start along the chain, that a place keeps without a gap: what
// may be expected there, or only what the place itself has reported.
function prefixAt(
  h: Holdings,
  salt: string,
  parts: { id: string; tokens: number }[],
  place: number,
  now: number,
  onlySure = false,
): number {
  let n = 0;
  for (const p of parts) {
    const held = heldAt(h, salt, p.id, place);
    const has = held && now < held.until && (held.isSure || !onlySure) ? held.tokens : 0;
    n += Math.min(has, p.tokens);
    if (has < p.tokens) break;
  }
  return n;
}

export const holdings = { create, put, expect, drop, dropPlace, doubt, heldAt, tokensAt, places, prefixAt };
