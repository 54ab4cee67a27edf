/**
 * The simulated network between the system's own processes. A call is a request and an answer, each of
 * which takes time by size and distance, may be lost, delayed, doubled, overtaken or cut off; a cut has
 * a direction. A connection that rested may be gone without notice; an answer may be lost though the
 * call was carried out; messages that were recorded long ago may reach whoever has the address now.
 */
import { Packr } from 'msgpackr';
import type { CallError, CallOptions, Network } from '../../src/runtime.js';
import type { Outcome } from '../../src/types.js';
import { luck, type Luck } from '../support/random.js';
import { links, type Link } from './link.js';
import { machines, type Machine } from './machine.js';
import { simulatedTime, type Scheduler } from './scheduler.js';

/** What a process does with a call; `from` is the caller's address. */
export type Serve = (path: string, body: unknown, from: string) => unknown;

/** A process that can be called. `serve` is null until it listens. */
export type Endpoint = {
  address: string;
  machine: Machine;
  life: number;
  serve: Serve | null;
  uplink: Link;
  downlink: Link;
  lastUsed: Map<string, number>;
};

/** Shares are chances per message. `idleMs` is how long a connection may rest before it is gone. */
export type Conditions = {
  latencyMs: [number, number];
  lossShare: number;
  duplicateShare: number;
  overtakeShare: number;
  overtakeMs: number;
  resetShare: number;
  misdirectShare: number;
  idleMs: number;
};

type Recorded = { path: string; bytes: Uint8Array; from: string };
type Held = { from: string; to: string; arrive: () => void };
type InProgress = { address: string; life: number; broken: (kind: 'reset' | 'silent') => void };

export type SimulatedNetwork = {
  scheduler: Scheduler;
  luck: Luck;
  endpoints: Map<string, Endpoint>;
  conditions: Conditions;
  cuts: Set<string>;
  held: Held[];
  recorded: Map<string, Recorded[]>;
  answers: Map<string, Uint8Array>;
  inProgress: Set<InProgress>;
  onCall: ((from: string, to: string, path: string, body: unknown) => void) | null;
  counters: { calls: number; bytes: number; lost: number; doubled: number; replayed: number; misdirected: number };
};

type Call = {
  from: Endpoint;
  fromLife: number;
  to: string;
  path: string;
  bytes: Uint8Array;
  options: CallOptions;
  isOver: boolean;
  finish: (outcome: Outcome<unknown, CallError>) => void;
};

const packr = new Packr({ useRecords: false });
const headBytes = 200;
const heldShare = 0.3;
const retransmitShare = 0.5;
const retransmitMs = 900;
const mostRecorded = 24;
const recordShare = 0.1;
const calm: Conditions = {
  latencyMs: [0.3, 2],
  lossShare: 0,
  duplicateShare: 0,
  overtakeShare: 0,
  overtakeMs: 0,
  resetShare: 0,
  misdirectShare: 0,
  idleMs: Infinity,
};

function create(scheduler: Scheduler, seed: number): SimulatedNetwork {
  return {
    scheduler,
    luck: luck.create(seed),
    endpoints: new Map(),
    conditions: { ...calm },
    cuts: new Set(),
    held: [],
    recorded: new Map(),
    answers: new Map(),
    inProgress: new Set(),
    onCall: null,
    counters: { calls: 0, bytes: 0, lost: 0, doubled: 0, replayed: 0, misdirected: 0 },
  };
}

/** Puts a machine at an address; whoever had the address before can't be called any more. */
function attach(network: SimulatedNetwork, address: string, machine: Machine, bytesPerMs = Infinity): Endpoint {
  const endpoint: Endpoint = {
    address,
    machine,
    life: 0,
    serve: null,
    uplink: links.create(bytesPerMs),
    downlink: links.create(bytesPerMs),
    lastUsed: new Map(),
  };
  network.endpoints.set(address, endpoint);
  return endpoint;
}

/** Lets the life of the endpoint's machine that runs now take calls. */
function listen(endpoint: Endpoint, serve: Serve): void {
  endpoint.life = endpoint.machine.life;
  endpoint.serve = serve;
  endpoint.lastUsed.clear();
}

function chance(network: SimulatedNetwork, share: number): boolean {
  return share > 0 && luck.next(network.luck) < share;
}

function between(network: SimulatedNetwork, low: number, high: number): number {
  return low + luck.next(network.luck) * (high - low);
}

function cutKey(from: string, to: string): string {
  return `${from}>${to}`;
}

/** Cuts the way from one address to another. */
function cut(network: SimulatedNetwork, from: string, to: string): void {
  network.cuts.add(cutKey(from, to));
}

/** Joins what was cut; what its senders still held is sent again and arrives late. */
function heal(network: SimulatedNetwork, from: string, to: string): void {
  network.cuts.delete(cutKey(from, to));
  const due = network.held.filter((held) => held.from === from && held.to === to);
  network.held = network.held.filter((held) => held.from !== from || held.to !== to);
  for (const held of due)
    simulatedTime.after(network.scheduler, between(network, 0, retransmitMs), `late ${from}>${to}`, held.arrive);
}

function healAll(network: SimulatedNetwork): void {
  for (const key of [...network.cuts]) {
    const [from, to] = key.split('>') as [string, string];
    heal(network, from, to);
  }
}

function travelMs(network: SimulatedNetwork): number {
  const { latencyMs, overtakeShare, overtakeMs, lossShare } = network.conditions;
  let delay = between(network, latencyMs[0], latencyMs[1]);
  if (chance(network, overtakeShare)) delay += between(network, 0, overtakeMs);
  if (chance(network, lossShare)) delay += between(network, retransmitMs / 4, retransmitMs);
  return delay;
}

/** Sends what left one link over the distance, with whatever happens to it there. */
function travel(network: SimulatedNetwork, from: string, to: string, label: string, arrive: () => void): void {
  const { counters, conditions, scheduler } = network;
  if (network.cuts.has(cutKey(from, to))) {
    counters.lost++;
    if (chance(network, heldShare)) network.held.push({ from, to, arrive });
    return;
  }
  if (chance(network, conditions.lossShare * (1 - retransmitShare))) {
    counters.lost++;
    return;
  }
  function arriveUnlessCut(): void {
    if (network.cuts.has(cutKey(from, to))) network.held.push({ from, to, arrive });
    else arrive();
  }
  simulatedTime.after(scheduler, travelMs(network), label, arriveUnlessCut);
  if (!chance(network, conditions.duplicateShare)) return;
  counters.doubled++;
  simulatedTime.after(scheduler, travelMs(network) + between(network, 0, retransmitMs), label, arriveUnlessCut);
}

/** Uplink, distance and downlink, one after the other. */
function transmit(
  network: SimulatedNetwork,
  from: Endpoint,
  to: Endpoint | null,
  call: Call,
  bytes: number,
  label: string,
  arrive: () => void,
): void {
  const toAddress = to?.address ?? call.to;
  const stream = `${from.address}>${toAddress} ${call.options.lane ?? 'control'}`;
  const size = bytes + headBytes;
  network.counters.bytes += size;
  function isAbandoned(): boolean {
    return call.isOver;
  }
  links.carry(network.scheduler, from.uplink, stream, size, isAbandoned, function sent() {
    travel(network, from.address, toAddress, label, function received() {
      if (to === null) return arrive();
      links.carry(network.scheduler, to.downlink, stream, size, isAbandoned, arrive);
    });
  });
}

function record(network: SimulatedNetwork, call: Call): void {
  if (!chance(network, recordShare)) return;
  const list = network.recorded.get(call.to) ?? [];
  const place = list.length < mostRecorded ? list.length : luck.below(network.luck, mostRecorded);
  list[place] = { path: call.path, bytes: call.bytes, from: call.from.address };
  network.recorded.set(call.to, list);
}

/** The connection rested too long: the request meets nothing, or a reset. */
function isConnectionGone(network: SimulatedNetwork, call: Call): boolean {
  const key = `${call.to} ${call.options.lane ?? 'control'}`;
  const last = call.from.lastUsed.get(key);
  call.from.lastUsed.set(key, network.scheduler.now);
  return last !== undefined && network.scheduler.now - last > network.conditions.idleMs;
}

/** Carries a request out at its target and sends the answer back. */
function serve(network: SimulatedNetwork, call: Call, target: Endpoint): void {
  const { machine, life } = target;
  const inProgress: InProgress = {
    address: target.address,
    life,
    broken: function broken(kind) {
      network.inProgress.delete(inProgress);
      if (kind === 'silent') return;
      reply(network, call, target, () => ({ ok: false, error: { kind: 'broken', message: 'reset' } }), 0);
    },
  };
  network.inProgress.add(inProgress);
  machines.enter(machine, life, function take() {
    void answerOf(target, call).then(function done(answer) {
      if (!machines.isAlive(machine, life)) return;
      network.inProgress.delete(inProgress);
      if (!answer.ok) return reply(network, call, target, () => answer, 0);
      deliver(network, call, target, packr.pack(answer.value));
    });
  });
}

async function answerOf(target: Endpoint, call: Call): Promise<Outcome<unknown, CallError>> {
  if (target.serve === null) return { ok: false, error: { kind: 'unreached', message: 'not listening' } };
  try {
    return { ok: true, value: await target.serve(call.path, packr.unpack(call.bytes), call.from.address) };
  } catch (error) {
    return { ok: false, error: { kind: 'rejected', status: 500, message: String((error as Error).stack) } };
  }
}

/** The answer to a call; now and then the connection yields an earlier answer in its place. */
function deliver(network: SimulatedNetwork, call: Call, target: Endpoint, bytes: Uint8Array): void {
  if (chance(network, network.conditions.resetShare)) {
    reply(network, call, target, () => ({ ok: false, error: { kind: 'broken', message: 'reset' } }), 0);
    return;
  }
  const key = `${call.from.address} ${call.path}`;
  const earlier = network.answers.get(key);
  const isMisdirected = earlier !== undefined && chance(network, network.conditions.misdirectShare);
  if (isMisdirected) network.counters.misdirected++;
  const given = isMisdirected ? earlier : bytes;
  network.answers.set(key, bytes);
  reply(network, call, target, () => ({ ok: true, value: packr.unpack(given) }), given.length);
}

function reply(
  network: SimulatedNetwork,
  call: Call,
  target: Endpoint,
  outcome: () => Outcome<unknown, CallError>,
  bytes: number,
): void {
  transmit(network, target, call.from, call, bytes, `answer ${target.address}>${call.from.address}`, function arrive() {
    if (!call.isOver) call.finish(outcome());
  });
}

/** A request has crossed the network and meets whoever has the address now. */
function arriveAt(network: SimulatedNetwork, call: Call): void {
  const target = network.endpoints.get(call.to);
  if (target === undefined || target.machine.status === 'off') return;
  if (target.machine.status === 'stopped' || target.serve === null || target.life !== target.machine.life) {
    const message = 'connection refused';
    reply(network, call, target, () => ({ ok: false, error: { kind: 'unreached', message } }), 0);
    return;
  }
  serve(network, call, target);
}

function send(network: SimulatedNetwork, call: Call): void {
  network.counters.calls++;
  record(network, call);
  const label = `${call.path} ${call.from.address}>${call.to}`;
  if (isConnectionGone(network, call)) {
    simulatedTime.after(network.scheduler, 1, label, function gone() {
      if (!call.isOver) call.finish({ ok: false, error: { kind: 'broken', message: 'the connection was closed' } });
    });
    return;
  }
  const target = network.endpoints.get(call.to) ?? null;
  transmit(network, call.from, target, call, call.bytes.length, label, function arrive() {
    arriveAt(network, call);
  });
}

/** The network as one life of a process sees it. */
function networkOf(network: SimulatedNetwork, endpoint: Endpoint): Network {
  const { machine } = endpoint;
  const life = machine.life;
  const clock = machines.clockOf(machine, life);
  function call(to: string, path: string, body: unknown, options: CallOptions): Promise<Outcome<unknown, CallError>> {
    return new Promise(function run(resolve) {
      const bytes = packr.pack(body);
      const timer = clock.after(options.timeoutMs, function late() {
        end({ ok: false, error: { kind: 'silent' } });
      });
      function end(outcome: Outcome<unknown, CallError>): void {
        if (made.isOver) return;
        made.isOver = true;
        timer.cancel();
        resolve(outcome);
      }
      function finish(outcome: Outcome<unknown, CallError>): void {
        machines.enter(machine, life, function take() {
          end(outcome);
        });
      }
      const made: Call = { from: endpoint, fromLife: life, to, path, bytes, options, isOver: false, finish };
      network.onCall?.(endpoint.address, to, path, body);
      send(network, made);
    });
  }
  return { call };
}

/** A process ended: a kill resets its connections, a loss of power leaves its callers without a word. */
function processEnded(network: SimulatedNetwork, endpoint: Endpoint, kind: 'reset' | 'silent'): void {
  endpoint.serve = null;
  for (const call of [...network.inProgress]) if (call.address === endpoint.address) call.broken(kind);
}

/** Sends messages recorded earlier to whoever is at the address now; their answers go nowhere. */
function replay(network: SimulatedNetwork, address: string, most: number): void {
  const list = network.recorded.get(address) ?? [];
  for (let i = 0; i < most && list.length > 0; i++) {
    const old = luck.pick(network.luck, list);
    network.counters.replayed++;
    simulatedTime.after(
      network.scheduler,
      between(network, 0, 200),
      `replay ${old.path} at ${address}`,
      function late() {
        const target = network.endpoints.get(address);
        const from = network.endpoints.get(old.from);
        if (!target || !from || target.serve === null || !machines.isAlive(target.machine, target.life)) return;
        const call: Call = {
          from,
          fromLife: -1,
          to: address,
          path: old.path,
          bytes: old.bytes,
          options: { timeoutMs: 0 },
          isOver: true,
          finish: () => undefined,
        };
        serve(network, call, target);
      },
    );
  }
}

export const simulatedNetwork = {
  create,
  attach,
  listen,
  cut,
  heal,
  healAll,
  networkOf,
  processEnded,
  replay,
  calm,
};
