// What a site believes the runners and the store keep: parts by salt, each with the places that are
// said to hold it. Learned from its own requests at once and from the coordinator's index of events;
// a belief that proves wrong costs a miss, never a wrong answer.
export type Holdings = { parts: Map<string, Map<number, number>>; most: number };

export const storePlace = -1;

function create(most: number): Holdings {
  return { parts: new Map(), most };
}

function key(salt: string, part: string): string {
  return `${salt} ${part}`;
}

function put(h: Holdings, salt: string, part: string, place: number, tokens: number): void {
  const k = key(salt, part);
  let places = h.parts.get(k);
  if (places) h.parts.delete(k);
  else places = new Map();
  h.parts.set(k, places);
  places.set(place, tokens);
  if (h.parts.size > h.most) h.parts.delete(h.parts.keys().next().value!);
}

function drop(h: Holdings, salt: string, part: string, place: number): void {
  const k = key(salt, part);
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

function tokensAt(h: Holdings, salt: string, part: string, place: number): number {
  return h.parts.get(key(salt, part))?.get(place) ?? 0;
}

function places(h: Holdings, salt: string, part: string): Map<number, number> | null {
  return h.parts.get(key(salt, part)) ?? null;
}

// Tokens of the prompt, counted from its start, that a place keeps without a gap.
function prefixAt(h: Holdings, salt: string, parts: { id: string; tokens: number }[], place: number): number {
  let n = 0;
  for (const p of parts) {
    const has = tokensAt(h, salt, p.id, place);
    n += Math.min(has, p.tokens);
    if (has < p.tokens) break;
  }
  return n;
}

export const holdings = { create, put, drop, dropPlace, tokensAt, places, prefixAt };
