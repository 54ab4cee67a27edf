/** A fast 32-bit hash (FNV-1a with a final mix) for rendezvous hashing and weighted draws, as a number in [0, 1). */
function toUnitInterval(text: string): number {
  let state = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) state = Math.imul(state ^ text.charCodeAt(i), 0x01000193);
  state = Math.imul(state ^ (state >>> 16), 0x85ebca6b);
  state = Math.imul(state ^ (state >>> 13), 0xc2b2ae35);
  return ((state ^ (state >>> 16)) >>> 0) / 4294967296;
}

export const hash = { toUnitInterval };
