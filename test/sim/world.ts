// A simulated world for the group machine: virtual time, a network that delays, loses, doubles and
// cuts, disks that sync late, stall, tear and are wiped, machines that are killed, lose power and
// freeze. It runs the machine that the coordinators run, and checks the rules after every step.
import { strict as assert } from 'node:assert';
import { consensus } from '../../src/coordination/consensus/machine.js';
import { log } from '../../src/coordination/consensus/log.js';
import { recovery, type SegmentHead } from '../../src/state/log/recover.js';
import type {
  ConsensusEffect,
  ConsensusEvent,
  ConsensusState,
  Message,
  Record_,
  Timing,
  Snapshot,
} from '../../src/coordination/consensus/types.js';
import type { Member } from '../../src/types.js';
import { luck, type Luck } from '../support/random.js';

export const timing: Timing = { beatMs: 150, silenceMs: 700, spreadMs: 500, legMs: 400, goneMs: 1500, yieldMs: 700 };
export const leaseMs = 3000;

type Disk = {
  snapshot: Snapshot;
  kept: (Record_ | SegmentHead)[];
  pending: { token: number; records: (Record_ | SegmentHead)[]; snapshot: Snapshot | null }[];
};
export type Node = {
  addr: string;
  up: boolean;
  frozenUntil: number;
  stalledUntil: number;
  life: number;
  disk: Disk | null;
  machine: ConsensusState | null;
  state: number[];
  syncing: boolean;
  held: { at: number; run: () => void }[];
};
type Due = { at: number; no: number; run: () => void };
export type World = {
  l: Luck;
  now: number;
  due: Due[];
  no: number;
  nodes: Map<string, Node>;
  cuts: Set<string>;
  loss: number;
  order: { index: number; value: number; term: number }[];
  acked: Set<number>;
  proposed: Map<string, number>;
  winners: Map<number, string>;
  lastAct: { who: string; term: number; at: number } | null;
  seeds: Member[];
  nextValue: number;
  incarnation: number;
};

function member(addr: string): Member {
  return { id: `${addr}#first`, addr, control: addr };
}

function create(seed: number, addrs: string[]): World {
  const w: World = {
    l: luck.create(seed),
    now: 1000,
    due: [],
    no: 0,
    nodes: new Map(),
    cuts: new Set(),
    loss: 0,
    order: [],
    acked: new Set(),
    proposed: new Map(),
    winners: new Map(),
    lastAct: null,
    seeds: addrs.map(member),
    nextValue: 1,
    incarnation: 0,
  };
  for (const a of addrs) {
    const n = add(w, a);
    n.disk = {
      snapshot: { index: 0, term: 0, members: w.seeds, state: [] },
      kept: [head(`${a}#first`, 0, 0, null, false)],
      pending: [],
    };
    boot(w, n);
  }
  return w;
}

function head(me: string, after: number, term: number, vote: string | null, reset: boolean): SegmentHead {
  return { r: 'head', me, after, term, vote, reset };
}

function add(w: World, addr: string): Node {
  const n: Node = {
    addr,
    up: false,
    frozenUntil: 0,
    stalledUntil: 0,
    life: 0,
    disk: null,
    machine: null,
    state: [],
    syncing: false,
    held: [],
  };
  w.nodes.set(addr, n);
  return n;
}

function at(w: World, ms: number, run: () => void): void {
  w.due.push({ at: w.now + ms, no: w.no++, run });
}

function boot(w: World, n: Node): void {
  n.up = true;
  n.life++;
  n.syncing = false;
  if (!n.disk) {
    const me = `${n.addr}#${++w.incarnation}`;
    n.disk = {
      snapshot: { index: 0, term: 0, members: [], state: [] },
      kept: [head(me, 0, 0, null, false)],
      pending: [],
    };
  }
  n.disk.pending = [];
  const r = recovery.replay(n.disk.snapshot, [{ name: 'disk', values: n.disk.kept }]);
  assert.ok(r.ok, r.ok ? '' : r.why);
  n.state = [...(n.disk.snapshot.state as number[])];
  n.machine = consensus.create({
    me: r.me,
    addr: n.addr,
    control: n.addr,
    timing,
    seed: luck.below(w.l, 1e9),
    target: w.seeds.length,
    term: r.term,
    vote: r.vote,
    snapshot: n.disk.snapshot,
    entries: r.entries,
    now: w.now,
  });
  const life = n.life;
  function tick(): void {
    if (n.life !== life || !n.up) return;
    whenAwake(w, n, life, function beat() {
      step(w, n, { e: 'beat' });
      join(w, n);
    });
    at(w, 50, tick);
  }
  at(w, luck.below(w.l, 50), tick);
}

function whenAwake(w: World, n: Node, life: number, run: () => void): void {
  if (n.life !== life || !n.up) return;
  if (w.now < n.frozenUntil)
    at(w, n.frozenUntil - w.now + 1, function later() {
      whenAwake(w, n, life, run);
    });
  else run();
}

function join(w: World, n: Node): void {
  const s = n.machine!;
  if (log.isMember(s, s.me) || luck.next(w.l) > 0.2) return;
  for (const other of w.nodes.keys())
    if (other !== n.addr)
      deliver(w, n.addr, other, { m: 'join', from: s.me, fromAddr: n.addr, to: '*', control: n.addr });
}

function deliver(w: World, from: string, to: string, message: Message): void {
  if (w.cuts.has(`${from}>${to}`) || luck.next(w.l) < w.loss) return;
  const copies = luck.next(w.l) < 0.03 ? 2 : 1;
  const copy = structuredClone(message);
  for (let i = 0; i < copies; i++) {
    at(w, 1 + luck.below(w.l, luck.next(w.l) < 0.05 ? 300 : 8), function arrive() {
      const n = w.nodes.get(to);
      if (!n?.up) return;
      whenAwake(w, n, n.life, function take() {
        step(w, n, { e: 'message', message: copy });
      });
    });
  }
}

function step(w: World, n: Node, ev: ConsensusEvent): ConsensusEffect[] {
  const out = consensus.step(n.machine!, ev, w.now);
  for (const f of out) carry(w, n, f);
  check(w, n);
  return out;
}

function carry(w: World, n: Node, f: ConsensusEffect): void {
  const s = n.machine!;
  switch (f.f) {
    case 'send':
      return deliver(w, n.addr, f.addr, f.message);
    case 'write':
      n.disk!.pending.push({ token: f.token, records: structuredClone(f.records), snapshot: null });
      return sync(w, n);
    case 'install':
      n.state = [...(f.snapshot.state as number[])];
      n.disk!.pending.push({
        token: 0,
        records: [head(s.me, f.snapshot.index, s.term, s.vote, true)],
        snapshot: structuredClone(f.snapshot),
      });
      return sync(w, n);
    case 'deliver':
      return delivered(w, n, f.entry);
    case 'phase':
      if (f.phase === 'leader') {
        const was = w.winners.get(f.term);
        assert.ok(was === undefined || was === s.me, `term ${f.term} was won twice`);
        w.winners.set(f.term, s.me);
      }
      return;
    default:
      return;
  }
}

function delivered(w: World, n: Node, entry: import('../../src/coordination/consensus/types.js').Entry): void {
  const s = n.machine!;
  const value = entry.data.kind === 'order' ? (entry.data.command as number) : 0;
  const known = w.order[entry.index - 1];
  if (known)
    assert.deepEqual(
      { value, term: entry.term },
      { value: known.value, term: known.term },
      `entry ${entry.index} differs at ${n.addr}`,
    );
  else {
    assert.equal(entry.index, w.order.length + 1, 'entries are delivered without a gap');
    w.order.push({ index: entry.index, value, term: entry.term });
  }
  if (value > 0) n.state.push(value);
  const key = `${entry.index} ${entry.term}`;
  if (s.phase === 'leader' && w.proposed.has(key)) w.acked.add(w.proposed.get(key)!);
}

function sync(w: World, n: Node): void {
  if (n.syncing) return;
  n.syncing = true;
  const life = n.life;
  function done(): void {
    if (n.life !== life || !n.up) return;
    if (w.now < n.stalledUntil) return at(w, n.stalledUntil - w.now + 1, done);
    n.syncing = false;
    const batch = n.disk!.pending.splice(0);
    let token = 0;
    for (const b of batch) {
      keep(n.disk!, b.records, b.snapshot);
      token = Math.max(token, b.token);
    }
    if (token > 0)
      whenAwake(w, n, life, function told() {
        step(w, n, { e: 'synced', token });
      });
    if (n.disk!.pending.length > 0) sync(w, n);
  }
  at(w, 2 + luck.below(w.l, 12), done);
}

function keep(d: Disk, records: (Record_ | SegmentHead)[], snapshot: Snapshot | null): void {
  if (snapshot) {
    d.snapshot = snapshot;
    d.kept = [];
  }
  d.kept.push(...records);
}

function check(w: World, n: Node): void {
  const s = n.machine!;
  const acts = s.phase === 'leader' && w.now - s.wonAt >= leaseMs && w.now < consensus.holdsUntil(s, w.now);
  if (!acts) return;
  const was = w.lastAct;
  if (was && was.who !== s.me) {
    assert.ok(s.term > was.term, `fence ${s.term} follows ${was.term}`);
    assert.ok(w.now - was.at >= leaseMs, `${s.me} acts ${w.now - was.at} ms after ${was.who}`);
  }
  w.lastAct = { who: s.me, term: s.term, at: w.now };
}

function run(w: World, ms: number): void {
  const end = w.now + ms;
  for (;;) {
    let best = -1;
    for (let i = 0; i < w.due.length; i++) {
      const d = w.due[i]!;
      if (best < 0 || d.at < w.due[best]!.at || (d.at === w.due[best]!.at && d.no < w.due[best]!.no)) best = i;
    }
    if (best < 0 || w.due[best]!.at > end) break;
    const [d] = w.due.splice(best, 1);
    w.now = d!.at;
    d!.run();
  }
  w.now = end;
}

// Kill leaves the disk as written; power loss keeps what was synced and perhaps a part of the rest.
function down(w: World, n: Node, how: 'kill' | 'power' | 'wipe', ms: number): void {
  if (!n.up) return;
  n.up = false;
  n.life++;
  if (how === 'wipe') n.disk = null;
  else {
    const rest = n.disk!.pending.splice(0);
    const some = how === 'kill' ? rest.length : luck.below(w.l, rest.length + 1);
    for (const b of rest.slice(0, some)) keep(n.disk!, b.records, b.snapshot);
  }
  at(w, ms, function back() {
    boot(w, n);
  });
}

function leader(w: World): Node | null {
  let best: Node | null = null;
  for (const n of w.nodes.values()) {
    if (
      n.up &&
      n.machine!.phase === 'leader' &&
      w.now >= n.frozenUntil &&
      (!best || n.machine!.term > best.machine!.term)
    )
      best = n;
  }
  return best;
}

function propose(w: World): void {
  const n = leader(w);
  if (!n) return;
  const value = w.nextValue++;
  const out = step(w, n, { e: 'propose', command: value });
  for (const f of out) if (f.f === 'proposed') w.proposed.set(`${f.index} ${f.term}`, value);
}

function compact(w: World, n: Node): void {
  const s = n.machine!;
  if (!n.up || s.committed <= s.base.index || w.now < n.frozenUntil) return;
  const snapshot: Snapshot = {
    index: s.committed,
    term: log.termAt(s, s.committed)!,
    members: consensus.membersAt(s, s.committed),
    state: [...n.state],
  };
  step(w, n, { e: 'compact', snapshot });
  const tail = s.entries.map(function one(entry): Record_ {
    return { r: 'entry', entry: structuredClone(entry) };
  });
  n.disk!.pending.push({
    token: 0,
    records: [head(s.me, snapshot.index, s.term, s.vote, false), ...tail],
    snapshot: structuredClone(snapshot),
  });
  sync(w, n);
}

function checkAcked(w: World): void {
  const values = new Set(
    w.order.map(function value(o) {
      return o.value;
    }),
  );
  for (const v of w.acked) assert.ok(values.has(v), `acked ${v} is not in the order`);
}

export const world = { create, add, boot, at, run, down, leader, propose, compact, checkAcked };
