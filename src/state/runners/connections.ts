// The kept connections to one runner. A runner may drop an idle connection without a word, and whatever is
// sent on it next is lost: for a request that may run only once that is the end. So a connection is given
// up a while before its promised time is over, and earlier once drops were seen; what may not be
// repeated goes only on a connection that was idle for a short while, or on a new one.
import { Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

type KeptAgent = { keepSocketAlive: (s: Socket) => boolean; reuseSocket: (s: Socket, r: ClientRequest) => void };
type Kept = { idleSince: number };
type Life = { longestMs: number; onceMs: number };

const plain = Agent.prototype as unknown as KeptAgent;
const idleMs = 20_000;
const promiseShare = 0.75;
const onceMs = 2500;
const leastMs = 400;
const droppedShare = 0.6;
const grownShare = 1.1;

const kept = new WeakMap<Socket, Kept>();
const lives = new WeakMap<Agent, Life>();

function lifeOf(a: Agent): Life {
  let l = lives.get(a);
  if (!l) {
    l = { longestMs: idleMs, onceMs };
    lives.set(a, l);
  }
  return l;
}

function destroyIdle(this: Socket): void {
  this.destroy();
}

// Keeps connections whose runner promised to keep them, gives them up a while before that promise runs
// out, and destroys one on which a byte comes while no request is on it.
function create(most: number): Agent {
  const agent = new Agent({ keepAlive: true, maxSockets: most, maxFreeSockets: most, scheduling: 'lifo' });
  const a = agent as unknown as KeptAgent;
  a.keepSocketAlive = function keep(socket) {
    const res = (socket as unknown as { _httpMessage?: { res?: IncomingMessage } })._httpMessage?.res;
    const hint = /timeout=(\d+)/.exec(String(res?.headers['keep-alive'] ?? ''))?.[1];
    const ms = Math.min(lifeOf(agent).longestMs, hint === undefined ? idleMs : Number(hint) * 1000 * promiseShare);
    if (ms <= 0) return false;
    kept.set(socket, { idleSince: performance.now() });
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
    plain.reuseSocket.call(agent, socket, req);
  };
  return agent;
}

function idleFor(s: Socket, now: number): number {
  const k = kept.get(s);
  return k ? now - k.idleSince : 0;
}

function idle(a: Agent): Socket[] {
  return Object.values(a.freeSockets).flatMap(function all(list) {
    return list ?? [];
  });
}

// Before a request goes out: gives up the connections that were idle for too long to be trusted with it.
function retire(a: Agent, isRepeatable: boolean, now: number): void {
  const l = lifeOf(a);
  const most = isRepeatable ? l.longestMs : Math.min(l.onceMs, l.longestMs);
  const free = idle(a);
  if (free.length === 0) return;
  const freshest = Math.min(
    ...free.map(function age(s) {
      return idleFor(s, now);
    }),
  );
  if (freshest > most) for (const s of free) s.destroy();
  else {
    l.onceMs = Math.min(onceMs, l.onceMs * grownShare);
    l.longestMs = Math.min(idleMs, l.longestMs * grownShare);
  }
}

// Whether a request would find a connection that it may use, and so spare the runner a new one.
function isWarm(a: Agent, isRepeatable: boolean, now: number): boolean {
  const free = idle(a);
  if (free.length === 0) return false;
  const l = lifeOf(a);
  return idleFor(free.at(-1)!, now) <= (isRepeatable ? l.longestMs : Math.min(l.onceMs, l.longestMs));
}

// A connection broke as it was used again after so long a rest: the others that rest as long are given
// up, and from now on connections rest for less. One that had hardly rested was not dropped for that.
function dropped(a: Agent, ms: number): void {
  if (ms < leastMs) return;
  const l = lifeOf(a);
  l.longestMs = Math.max(leastMs, Math.min(l.longestMs, ms * 2));
  l.onceMs = Math.max(leastMs, Math.min(l.onceMs, ms * droppedShare));
  const now = performance.now();
  for (const s of idle(a)) if (idleFor(s, now) >= ms * droppedShare) s.destroy();
}

export const connections = { create, isWarm, idleFor, retire, dropped };
