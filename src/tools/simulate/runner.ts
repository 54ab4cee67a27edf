// The simulator's runner: prompts are read one after another, answers written beside them, parts kept
// under their salt until the longest unused give way. Simpler than an engine, and meant to be.
import type { FleetFile } from './file.js';

export type SimPart = { id: string; tokens: number };
export type SimRunner = {
  id: string;
  zone: string;
  up: boolean;
  life: number;
  readFreeAt: number;
  active: number;
  queue: (() => void)[];
  kept: Map<string, number>;
  held: number;
  revision: number;
  busyUntil: number;
  room: number;
};

function create(id: string, zone: string, room: number): SimRunner {
  return {
    id,
    zone,
    up: true,
    life: 0,
    readFreeAt: 0,
    active: 0,
    queue: [],
    kept: new Map(),
    held: 0,
    revision: 1,
    busyUntil: 0,
    room,
  };
}

function keep(r: { kept: Map<string, number>; held: number; room: number }, key: string, tokens: number): string[] {
  const was = r.kept.get(key);
  if (was !== undefined) {
    r.kept.delete(key);
    r.kept.set(key, was);
    return [];
  }
  r.kept.set(key, tokens);
  r.held += tokens;
  const gone: string[] = [];
  while (r.held > r.room && r.kept.size > 1) {
    const [oldest, n] = r.kept.entries().next().value!;
    r.kept.delete(oldest);
    r.held -= n;
    gone.push(oldest);
  }
  return gone;
}

function empty(r: SimRunner): void {
  r.kept.clear();
  r.held = 0;
}

// When the first token comes and when the last one has been written, for a prompt of which `read`
// tokens must be read and `moved` are fetched.
function times(
  f: FleetFile,
  r: SimRunner,
  now: number,
  read: number,
  moved: number,
  out: number,
): { first: number; end: number } {
  const from = Math.max(now, r.readFreeAt);
  r.readFreeAt = from + read / f.runner.read_tokens_per_ms;
  const first = r.readFreeAt + moved / f.runner.move_tokens_per_ms + f.runner.step_ms;
  return { first, end: first + (out - 1) * (f.runner.step_ms + f.runner.step_ms_per_slot * r.active) };
}

export const simRunner = { create, keep, empty, times };
