// A site's table of runners: names are mapped to dense indices when a board comes in, and everything
// the request path keeps about a runner (burden, soundness, weight versions, channels) stands at its
// index. An index is never used again for another life of a runner.
import { Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { RouteTable } from '../control/routes.js';
import type { Runner } from '../../types.js';

type KeptAgent = { keepSocketAlive: (s: Socket) => boolean; reuseSocket: (s: Socket, r: ClientRequest) => void };

export type Phase = 'sound' | 'suspect' | 'down';
export type Slot = {
  ix: number; id: string; service: string; addr: string; zone: string; slots: number;
  listed: boolean; draining: boolean; parked: boolean; revisions: Map<string, number>;
  phase: Phase; until: number; troubles: number; lastByteAt: number;
  active: number; reading: number; claimed: number; othersActive: number; othersReading: number; othersClaimed: number;
  agent: Agent; cap: number; turnedAwayAt: number;
};
export type Fleet = { slots: Slot[]; byId: Map<string, Slot>; byService: Map<string, Slot[]> };

const plain = Agent.prototype as unknown as KeptAgent;
const firstPauseMs = 400;
const longestPauseMs = 4000;
const idleMs = 20_000;
const leastCap = 8;
const capShare = 0.9;

function create(): Fleet {
  return { slots: [], byId: new Map(), byService: new Map() };
}

// Keeps channels whose runner promised to keep them, gives them up a while before that promise runs
// out, and destroys one on which a byte comes while no request is on it.
function channelAgent(maxConns: number): Agent {
  const a = new Agent({ keepAlive: true, maxSockets: maxConns, maxFreeSockets: maxConns, scheduling: 'lifo' }) as unknown as KeptAgent;
  a.keepSocketAlive = function keep(socket) {
    const res = (socket as unknown as { _httpMessage?: { res?: IncomingMessage } })._httpMessage?.res;
    const hint = /timeout=(\d+)/.exec(String(res?.headers['keep-alive'] ?? ''))?.[1];
    const ms = hint === undefined ? idleMs : Number(hint) * 1000 * 0.75;
    if (ms <= 0) return false;
    socket.setKeepAlive(true, 1000);
    socket.setTimeout(ms);
    socket.on('timeout', destroyIdle);
    socket.on('data', destroyIdle);
    return true;
  };
  a.reuseSocket = function reuse(socket, req) {
    socket.removeListener('timeout', destroyIdle);
    socket.removeListener('data', destroyIdle);
    socket.setTimeout(0);
    plain.reuseSocket.call(a, socket, req);
  };
  return a as unknown as Agent;
}

function destroyIdle(this: Socket): void {
  this.destroy();
}

function add(f: Fleet, r: Runner): Slot {
  const s: Slot = {
    ix: f.slots.length, id: r.id, service: r.service, addr: r.addr, zone: r.zone, slots: r.slots,
    listed: true, draining: r.draining, parked: r.parked, revisions: new Map(),
    phase: 'sound', until: 0, troubles: 0, lastByteAt: performance.now(),
    active: 0, reading: 0, claimed: 0, othersActive: 0, othersReading: 0, othersClaimed: 0,
    agent: channelAgent(leastCap), cap: leastCap, turnedAwayAt: -Infinity,
  };
  f.slots.push(s);
  f.byId.set(r.id, s);
  return s;
}

function take(f: Fleet, list: Runner[]): void {
  const seen = new Set<string>();
  for (const r of list) {
    seen.add(r.id);
    const s = f.byId.get(r.id) ?? add(f, r);
    s.listed = true;
    s.draining = r.draining;
    s.parked = r.parked;
    for (const m of r.models) learn(s, m.label, m.revision);
  }
  for (const s of [...f.byId.values()]) {
    if (seen.has(s.id)) continue;
    s.listed = false;
    if (s.active === 0) {
      f.byId.delete(s.id);
      s.agent.destroy();
    }
  }
  f.byService.clear();
  for (const s of f.byId.values()) {
    if (!s.listed) continue;
    const of = f.byService.get(s.service);
    if (of) of.push(s);
    else f.byService.set(s.service, [s]);
  }
}

// A runner takes only so many channels from all callers together: each site keeps to its part, by the
// number of sites that are known to be in; while it is unknown, to a small one.
function capAll(f: Fleet, table: RouteTable | null, sites: number): void {
  for (const s of f.byId.values()) {
    const most = table?.services.get(s.service)?.max_conns;
    s.cap = most === undefined || sites === 0 ? leastCap : Math.max(1, Math.floor((most * capShare) / sites));
    s.agent.maxSockets = s.cap;
    s.agent.maxFreeSockets = s.cap;
  }
}

function learn(s: Slot, model: string, revision: number): void {
  if ((s.revisions.get(model) ?? 0) < revision) s.revisions.set(model, revision);
}

// The one place where a runner's soundness changes.
function turn(s: Slot, phase: Phase, now: number): void {
  if (phase === 'sound') {
    s.troubles = 0;
    s.until = 0;
  } else {
    s.troubles++;
    s.until = now + Math.min(longestPauseMs, firstPauseMs * 2 ** (s.troubles - 1));
  }
  s.phase = phase;
}

function spoke(s: Slot, now: number): void {
  s.lastByteAt = now;
  if (s.phase !== 'sound') turn(s, 'sound', now);
}

function usable(s: Slot, now: number): boolean {
  return s.listed && !s.draining && !s.parked && (s.phase === 'sound' || now >= s.until);
}

export const fleet = { create, take, capAll, learn, turn, spoke, usable };
