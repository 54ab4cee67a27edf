// Gives the group machine its beat, its sockets and its disk. It holds no rules of its own: it feeds
// events in, carries effects out, and tells the rest of the program what was delivered.
import { EventEmitter } from 'node:events';
import { randomBytes } from 'node:crypto';
import type { Agent } from 'node:http';
import type { Member, Settings } from '../../types.js';
import { channel } from '../../transport/inner/channel.js';
import { recovery } from '../../state/log/recover.js';
import { store, type Store } from '../../state/log/store.js';
import { control, type ApplyOutcome, type Command, type ControlState } from '../../state/control/reducer.js';
import { ringLog, type Log } from '../../logging/ring.js';
import { consensus } from './machine.js';
import { log } from './log.js';
import type { ConsensusEffect, ConsensusEvent, ConsensusState, Message, Timing, Snapshot } from './types.js';

const timing: Timing = { beatMs: 150, silenceMs: 700, spreadMs: 500, legMs: 400, goneMs: 1500, yieldMs: 700 };
const tickMs = 50;
const joinMs = 300;
const compactBytes = 4 * 1024 * 1024;
const legMs = 600;

export type ProposalResult = { kind: 'applied'; outcome: ApplyOutcome } | { kind: 'unknown' } | { kind: 'not_leader' };
type Pending = { index: number; term: number; done: (result: ProposalResult) => void };
export type Replica = EventEmitter & {
  machine: ConsensusState;
  store: Store;
  state: ControlState;
  agent: Agent;
  log: Log;
  pending: Pending[];
  outbox: Map<string, Message[]>;
  open: Map<string, number>;
  seeds: () => string[];
  beat: NodeJS.Timeout | null;
  joinAt: number;
};

function innerAddr(control: string, port: number): string {
  return `${control.slice(0, control.lastIndexOf(':'))}:${port}`;
}

function seedMembers(s: Settings): Member[] {
  return s.seed_addrs.map(function one(c) {
    const addr = innerAddr(c, s.port_range[0]);
    return { id: `${addr}#first`, addr, control: c };
  });
}

function create(s: Settings, l: Log): Replica {
  const dir = s.data_dir!;
  const control_ = s.bind_addrs.control_addr!;
  const addr = innerAddr(control_, s.port_range[0]);
  const found = recovery.recover(dir);
  const now = performance.now();
  const seeds = seedMembers(s);
  const firstly =
    found.k === 'empty' &&
    s.is_first_start &&
    seeds.some(function me(m) {
      return m.addr === addr;
    });
  const none: Snapshot = { index: 0, term: 0, members: firstly ? seeds : [], state: control.empty() };
  const me =
    found.k === 'whole' ? found.found.me : firstly ? `${addr}#first` : `${addr}#${randomBytes(6).toString('hex')}`;
  const snapshot = found.k === 'whole' ? found.found.snapshot : none;
  const entries = found.k === 'whole' ? found.found.entries : [];
  const term = found.k === 'whole' ? found.found.term : 0;
  const vote = found.k === 'whole' ? found.found.vote : null;
  if (found.k === 'lost')
    ringLog.error(l, { why: found.why }, 'the disk lost what it held: joining as a new incarnation');
  const machine = consensus.create({
    me,
    addr,
    control: control_,
    timing,
    seed: randomBytes(4).readUInt32LE(0),
    target: Math.max(1, seeds.length),
    term,
    vote,
    snapshot,
    entries,
    now,
  });
  const nextSegment = found.k === 'whole' ? found.found.nextSegment : found.nextSegment;
  const st = store.create(dir, me, nextSegment, found.k === 'whole' ? log.last(machine) : 0, term, vote);
  const d: Replica = Object.assign(new EventEmitter(), {
    machine,
    store: st,
    state: snapshot.state as ControlState,
    agent: channel.agent(),
    log: l,
    pending: [],
    outbox: new Map<string, Message[]>(),
    open: new Map<string, number>(),
    seeds: function current() {
      return seedMembers(s).map(function at(m) {
        return m.addr;
      });
    },
    beat: null,
    joinAt: 0,
  });
  store.keepSnapshot(
    st,
    snapshot,
    function tail() {
      return tailOf(d);
    },
    false,
  );
  st.on('synced', function kept(token: number) {
    step(d, { e: 'synced', token });
  });
  st.on('error', function bad(err: Error) {
    ringLog.error(l, { why: err.message }, 'the disk refused a write');
  });
  ringLog.note(l, { me, found: found.k, last: log.last(machine), term, roster: machine.roster.length }, 'group opened');
  return d;
}

function tailOf(d: Replica): { term: number; vote: string | null; entries: ConsensusState['entries'] } {
  return { term: d.machine.term, vote: d.machine.vote, entries: d.machine.entries };
}

function start(d: Replica): void {
  d.beat = setInterval(function tick() {
    step(d, { e: 'beat' });
    join(d);
  }, tickMs);
}

function step(d: Replica, ev: ConsensusEvent): ConsensusEffect[] {
  const out = consensus.step(d.machine, ev, performance.now());
  for (const f of out) carry(d, f);
  return out;
}

function carry(d: Replica, f: ConsensusEffect): void {
  switch (f.f) {
    case 'send':
      return post(d, f.addr, f.message);
    case 'write':
      store.write(d.store, f.records, f.token);
      return;
    case 'deliver':
      return deliver(d, f);
    case 'install':
      d.state = f.snapshot.state as ControlState;
      failAll(d);
      store.keepSnapshot(
        d.store,
        f.snapshot,
        function tail() {
          return tailOf(d);
        },
        true,
      );
      d.emit('delivered');
      return;
    case 'phase':
      ringLog.note(d.log, { phase: f.phase, term: f.term }, 'phase');
      if (f.phase !== 'leader') failAll(d);
      d.emit('phase', f.phase);
      return;
    case 'trim':
      ringLog.note(d.log, { from: f.from }, 'trimmed');
      return;
    case 'proposed':
      return;
  }
}

function deliver(d: Replica, f: ConsensusEffect & { f: 'deliver' }): void {
  const { entry } = f;
  let outcome: ApplyOutcome = { kind: 'applied' };
  if (entry.data.kind === 'order') {
    const applied = control.apply(d.state, entry.data.command as Command);
    d.state = applied.state;
    outcome = applied.outcome;
  }
  if (entry.data.kind === 'roster')
    ringLog.note(
      d.log,
      {
        members: entry.data.members.map(function id(m) {
          return m.id;
        }),
      },
      'roster',
    );
  const due = d.pending.filter(function at(p) {
    return p.index <= entry.index;
  });
  if (due.length > 0) {
    d.pending = d.pending.filter(function later(p) {
      return p.index > entry.index;
    });
    for (const p of due)
      p.done(p.index === entry.index && p.term === entry.term ? { kind: 'applied', outcome } : { kind: 'unknown' });
  }
  d.emit('delivered');
  if (d.store.bytes > compactBytes && !d.store.snapshot) {
    const snapshot: Snapshot = {
      index: entry.index,
      term: entry.term,
      members: consensus.membersAt(d.machine, entry.index),
      state: d.state,
    };
    consensus.step(d.machine, { e: 'compact', snapshot }, performance.now());
    store.keepSnapshot(
      d.store,
      snapshot,
      function tail() {
        return tailOf(d);
      },
      false,
    );
  }
}

function failAll(d: Replica): void {
  const all = d.pending;
  d.pending = [];
  for (const p of all) p.done({ kind: 'unknown' });
}

// Proposes a command and tells what the reducer did with it; `unknown` says nothing about its fate.
function propose(d: Replica, command: Command): Promise<ProposalResult> {
  return new Promise(function run(done) {
    // A member alone applies within the step, so the proposal has to be known before it.
    if (d.machine.phase !== 'leader') return done({ kind: 'not_leader' });
    d.pending.push({ index: log.last(d.machine) + 1, term: d.machine.term, done });
    step(d, { e: 'propose', command });
  });
}

function post(d: Replica, addr: string, message: Message): void {
  const box = d.outbox.get(addr);
  if (box) {
    box.push(message);
    return;
  }
  d.outbox.set(addr, [message]);
  setImmediate(function later() {
    sendBox(d, addr);
  });
}

function sendBox(d: Replica, addr: string): void {
  const list = d.outbox.get(addr);
  d.outbox.delete(addr);
  if (!list || list.length === 0) return;
  const open = d.open.get(addr) ?? 0;
  if (open >= 8) return;
  d.open.set(addr, open + 1);
  void channel
    .post<{ messages: Message[] }>(d.agent, addr, '/inner/consensus', { messages: list }, legMs)
    .then(function answered(r) {
      d.open.set(addr, (d.open.get(addr) ?? 1) - 1);
      if (r.ok) for (const m of r.value.messages) step(d, { e: 'message', message: m });
    });
}

// Takes the messages of a peer; what the machine says to it at once goes back in the answer.
function receive(d: Replica, messages: Message[]): { messages: Message[] } {
  const from = messages[0]?.fromAddr ?? '';
  for (const m of messages) step(d, { e: 'message', message: m });
  const back = d.outbox.get(from) ?? [];
  if (back.length > 0) d.outbox.set(from, []);
  return { messages: back };
}

function join(d: Replica): void {
  const now = performance.now();
  const s = d.machine;
  if (log.isMember(s, s.me) || now - d.joinAt < joinMs) return;
  d.joinAt = now;
  const known = new Set([
    ...d.seeds(),
    ...s.roster.map(function at(m) {
      return m.addr;
    }),
  ]);
  for (const addr of known) {
    if (addr !== s.addr) post(d, addr, { m: 'join', from: s.me, fromAddr: s.addr, to: '*', control: s.control });
  }
}

// Waits until this node, if it is the leader, is sure that no later term was running when the
// call came in.
function confirmLeadership(d: Replica, waitMs: number): Promise<boolean> {
  const since = performance.now();
  step(d, { e: 'beat' });
  return new Promise(function run(done) {
    function look(): void {
      const now = performance.now();
      if (d.machine.phase !== 'leader' || now - since > waitMs) return done(false);
      if (consensus.sureSince(d.machine, now) >= since) return done(true);
      setTimeout(look, 10);
    }
    look();
  });
}

function isLeader(d: Replica): boolean {
  return d.machine.phase === 'leader';
}

function leaderAddress(d: Replica): string | null {
  const s = d.machine;
  return (
    s.roster.find(function same(m) {
      return m.id === s.leader;
    })?.addr ?? null
  );
}

function isFresh(d: Replica): boolean {
  const now = performance.now();
  if (d.machine.phase === 'leader')
    return log.termAt(d.machine, d.machine.committed) === d.machine.term && now < consensus.holdsUntil(d.machine, now);
  return d.machine.leader !== null && now - d.machine.heardAt < timing.silenceMs;
}

function mayAct(d: Replica, leaseMs: number): boolean {
  const now = performance.now();
  return d.machine.phase === 'leader' && now - d.machine.wonAt >= leaseMs && now < consensus.holdsUntil(d.machine, now);
}

async function handOver(): Promise<void> {
  /* the next driver hands leadership over */
}

async function close(d: Replica): Promise<void> {
  if (d.beat) clearInterval(d.beat);
  await store.close(d.store);
  d.agent.destroy();
}

export const replica = {
  create,
  start,
  step,
  propose,
  receive,
  confirmLeadership,
  isLeader,
  leaderAddress,
  isFresh,
  mayAct,
  handOver: handOver as (d: Replica, timeoutMs: number) => Promise<void>,
  close,
  innerAddr,
};
