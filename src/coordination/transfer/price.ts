// What ways to a prompt's parts cost, in one unit: milliseconds before the first token. Starting values
// are defaults; the rate at which runners read is measured and takes their place, and the size of a
// token's memory and the speed of the link come with the configuration.
export type Prices = { readMs: number; setupMs: number; moveMs: number; zoneFactor: number; regionFactor: number };
export type Where = 'zone' | 'region' | 'far';

const readMs = 0.0164;
const setupMs = 2;
const moveMs = 0.0013;

function create(): Prices {
  return { readMs, setupMs, moveMs, zoneFactor: 2, regionFactor: 10 };
}

// A token's memory over the service's link.
function ofLink(p: Prices, tokenBytes: number | undefined, linkMbps: number | undefined): Prices {
  if (!tokenBytes || !linkMbps) return p;
  return { ...p, moveMs: (tokenBytes * 8) / (linkMbps * 1000) };
}

function move(p: Prices, tokens: number, to: Where): number {
  return p.setupMs + tokens * p.moveMs * (to === 'zone' ? 1 : to === 'region' ? p.zoneFactor : p.regionFactor);
}

function read(p: Prices, tokens: number): number {
  return tokens * p.readMs;
}

// A transfer pays when it is dearer to read: what it saves, less its own time and what is queued before it.
function gain(p: Prices, tokens: number, to: Where, queuedMs: number): number {
  return read(p, tokens) - move(p, tokens, to) - queuedMs;
}

export const prices = { create, ofLink, move, read, gain };
