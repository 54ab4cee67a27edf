// The simulator's core: the coordinators' group machine on virtual time, with disks that keep what
// was written. It says who the leader is at any moment; what hangs on that is the fleet's affair.
import { consensus } from '../../coordination/consensus/machine.js';
import type { ConsensusEvent, ConsensusState, Timing, Snapshot } from '../../coordination/consensus/types.js';
import type { Clock } from './clock.js';

const timing: Timing = { beatMs: 150, silenceMs: 700, spreadMs: 500, legMs: 400, goneMs: 1500, yieldMs: 700 };
const syncMs = 5;
const tickMs = 50;

export type SimCore = {
  nodes: { addr: string; up: boolean; machine: ConsensusState }[];
  messages: number;
  clock: Clock;
  delayMs: number;
};

function create(clock: Clock, n: number, delayMs: number): SimCore {
  const members = Array.from({ length: n }, function one(_, i) {
    return { id: `c${i}#first`, addr: `c${i}`, control: `c${i}` };
  });
  const snapshot: Snapshot = { index: 0, term: 0, members, state: null };
  const c: SimCore = {
    clock,
    delayMs,
    messages: 0,
    nodes: members.map(function node(m, i) {
      const machine = consensus.create({
        me: m.id,
        addr: m.addr,
        control: m.control,
        timing,
        seed: i * 7919 + clock.below(1e6),
        target: n,
        term: 0,
        vote: null,
        snapshot,
        entries: [],
        now: clock.now,
      });
      return { addr: m.addr, up: true, machine };
    }),
  };
  for (const node of c.nodes) tick(c, node.addr);
  return c;
}

function tick(c: SimCore, addr: string): void {
  step(c, addr, { e: 'beat' });
  c.clock.after(tickMs, function again() {
    tick(c, addr);
  });
}

function step(c: SimCore, addr: string, ev: ConsensusEvent): void {
  const node = c.nodes.find(function same(x) {
    return x.addr === addr;
  });
  if (!node?.up) return;
  for (const f of consensus.step(node.machine, ev, c.clock.now)) {
    if (f.f === 'send') {
      c.messages++;
      const copy = structuredClone(f.message);
      c.clock.after(c.delayMs, function arrive() {
        step(c, f.addr, { e: 'message', message: copy });
      });
    } else if (f.f === 'write') {
      const { token } = f;
      c.clock.after(syncMs, function kept() {
        step(c, addr, { e: 'synced', token });
      });
    }
  }
}

function leader(c: SimCore): string | null {
  return (
    c.nodes.find(function leads(n) {
      return n.up && n.machine.phase === 'leader';
    })?.addr ?? null
  );
}

function down(c: SimCore, addr: string, forMs: number): void {
  const node = c.nodes.find(function same(x) {
    return x.addr === addr;
  })!;
  if (!node.up) return;
  node.up = false;
  const m = node.machine;
  c.clock.after(forMs, function back() {
    node.machine = consensus.create({
      me: m.me,
      addr: m.addr,
      control: m.control,
      timing,
      seed: m.seed,
      target: m.target,
      term: m.term,
      vote: m.vote,
      snapshot: m.latestSnapshot!,
      entries: m.entries,
      now: c.clock.now,
    });
    node.up = true;
  });
}

export const simCore = { create, leader, down };
