// A seeded source of luck for the simulations: the same seed, the same run.
export type Luck = { s: number };

function create(seed: number): Luck {
  return { s: (seed * 2654435761) >>> 0 };
}

function next(l: Luck): number {
  l.s = (l.s + 0x6d2b79f5) >>> 0;
  let t = l.s;
  t = Math.imul(t ^ (t >>> 15), t | 1);
  t ^= t + Math.imul(t ^ (t >>> 7), t | 61);
  return ((t ^ (t >>> 14)) >>> 0) / 4294967296;
}

function below(l: Luck, n: number): number {
  return Math.floor(next(l) * n);
}

function pick<T>(l: Luck, list: T[]): T {
  return list[below(l, list.length)]!;
}

export const luck = { create, next, below, pick };
