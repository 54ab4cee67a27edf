/** Virtual time and seeded randomness: callbacks run in the order of their times, which a binary heap keeps. */
type Timer = { atMs: number; sequence: number; run: () => void };

/** `now` and all times are in virtual milliseconds from the start of the simulation. */
export type VirtualClock = {
  now: number;
  timers: Timer[];
  nextSequence: number;
  randomState: number;
  /** Runs a callback `ms` from now; callbacks of the same time run in the order in which they were set. */
  after: (ms: number, run: () => void) => void;
  /** The next random number in [0, 1). */
  random: () => number;
  /** A random integer from 0 to `limit` - 1. */
  randomBelow: (limit: number) => number;
};

function isBefore(a: Timer, b: Timer): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);
}

function push(heap: Timer[], timer: Timer): void {
  heap.push(timer);
  let index = heap.length - 1;
  while (index > 0) {
    const parent = (index - 1) >> 1;
    if (!isBefore(heap[index]!, heap[parent]!)) break;
    [heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
    index = parent;
  }
}

function pop(heap: Timer[]): Timer {
  const top = heap[0]!;
  const last = heap.pop()!;
  if (heap.length === 0) return top;
  heap[0] = last;
  let index = 0;
  for (;;) {
    const left = 2 * index + 1;
    const right = left + 1;
    let first = index;
    if (left < heap.length && isBefore(heap[left]!, heap[first]!)) first = left;
    if (right < heap.length && isBefore(heap[right]!, heap[first]!)) first = right;
    if (first === index) return top;
    [heap[index], heap[first]] = [heap[first]!, heap[index]!];
    index = first;
  }
}

/** Mulberry32, a small generator with a state of 32 bits: advances it and returns a number in [0, 1). */
function nextRandom(clock: VirtualClock): number {
  clock.randomState = (clock.randomState + 0x6d2b79f5) >>> 0;
  let mixed = clock.randomState;
  mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
  mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
  return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296;
}

function create(seed: number): VirtualClock {
  const clock: VirtualClock = {
    now: 0,
    timers: [],
    nextSequence: 0,
    randomState: (Math.imul(seed, 2654435761) ^ 0x9e3779b9) >>> 0,
    after: (ms, run) => {
      push(clock.timers, { atMs: clock.now + ms, sequence: clock.nextSequence++, run });
    },
    random: () => nextRandom(clock),
    randomBelow: (limit) => Math.floor(clock.random() * limit),
  };
  return clock;
}

/** Runs all that is due until `endMs`, and sets the time to it. */
function runUntil(clock: VirtualClock, endMs: number): void {
  while (clock.timers.length > 0 && clock.timers[0]!.atMs <= endMs) {
    const timer = pop(clock.timers);
    clock.now = timer.atMs;
    timer.run();
  }
  clock.now = endMs;
}

export const virtualClock = { create, runUntil };
