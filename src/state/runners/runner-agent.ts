/**
 * Keep-alive connections to one runner. A runner may drop an idle connection without notice, and whatever is sent
 * on it next is lost: for a request that isn't idempotent that is the end. So a connection is closed a while before
 * the time that the runner announced (`Keep-Alive: timeout`) is over, and earlier once drops were seen; what may not
 * be repeated goes only on a connection that was idle for a short while, or on a new one.
 */
import { Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** The longest idle time, in ms, when the runner announces none and no drop was seen. */
const defaultMaxIdleMs = 20_000;
/** The share of the announced time that a connection may be idle. */
const announcedShare = 0.75;
/** The longest idle time, in ms, for a request that isn't idempotent. */
const defaultMaxIdleOnceMs = 2500;
/** A drop after less idle time than this, in ms, isn't taken for one of an idle connection. */
const minDropIdleMs = 400;
/** How far the limits shrink with a drop seen and grow again with each request that found a fresh connection. */
const shrinkFactor = 0.6;
const growthFactor = 1.1;
const tcpKeepAliveMs = 1000;

function destroyThis(this: Socket): void {
  this.destroy();
}

/** The answer that a socket carried last: Node's own agent has no public way to it. */
function lastAnswer(socket: Socket): IncomingMessage | undefined {
  return (socket as unknown as { _httpMessage?: { res?: IncomingMessage } })._httpMessage?.res;
}

/** The agent of one runner; owns its sockets and what was learned of how long they may be idle. */
export class RunnerAgent extends Agent {
  private maxIdleMs = defaultMaxIdleMs;
  private maxIdleOnceMs = defaultMaxIdleOnceMs;
  private readonly idleSince = new WeakMap<Socket, number>();

  constructor(maxSockets: number) {
    super({ keepAlive: true, maxSockets, maxFreeSockets: maxSockets, scheduling: 'lifo' });
  }

  /** Node calls this when an answer has ended. A byte that comes while no request is on the socket destroys it. */
  override keepSocketAlive(socket: Socket): boolean {
    const announced = /timeout=(\d+)/.exec(String(lastAnswer(socket)?.headers['keep-alive'] ?? ''))?.[1];
    const announcedMs = announced === undefined ? defaultMaxIdleMs : Number(announced) * 1000 * announcedShare;
    const idleMs = Math.min(this.maxIdleMs, announcedMs);
    if (idleMs <= 0) return false;
    this.idleSince.set(socket, performance.now());
    socket.setKeepAlive(true, tcpKeepAliveMs);
    socket.setTimeout(idleMs);
    socket.on('timeout', destroyThis);
    socket.on('data', destroyThis);
    return true;
  }

  /** Node calls this when a request gets an idle socket. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    socket.removeListener('timeout', destroyThis);
    socket.removeListener('data', destroyThis);
    socket.setTimeout(0);
    super.reuseSocket(socket, request);
  }

  /** For how long a socket was idle before it was used again or until `now`; 0 for one that never was. */
  idleMsOf(socket: Socket, now: number): number {
    const since = this.idleSince.get(socket);
    return since === undefined ? 0 : now - since;
  }

  /** Before a request goes out: closes the idle connections if all were idle for too long to be trusted with it. */
  closeStale(isIdempotent: boolean, now: number): void {
    const idle = this.idleSockets();
    if (idle.length === 0) return;
    const freshestMs = Math.min(...idle.map((socket) => this.idleMsOf(socket, now)));
    if (freshestMs > this.limitMs(isIdempotent)) {
      for (const socket of idle) socket.destroy();
      return;
    }
    this.maxIdleOnceMs = Math.min(defaultMaxIdleOnceMs, this.maxIdleOnceMs * growthFactor);
    this.maxIdleMs = Math.min(defaultMaxIdleMs, this.maxIdleMs * growthFactor);
  }

  /** Whether a request would find a connection that it may use, and so spare the runner a new one. */
  hasReusable(isIdempotent: boolean, now: number): boolean {
    const idle = this.idleSockets();
    return idle.length > 0 && this.idleMsOf(idle.at(-1)!, now) <= this.limitMs(isIdempotent);
  }

  /**
   * A connection broke as it was used again after `idleMs`: the others that were idle as long are closed, and from
   * now on connections may be idle for less. One that had hardly been idle was not dropped for its idleness.
   */
  recordDrop(idleMs: number): void {
    if (idleMs < minDropIdleMs) return;
    this.maxIdleMs = Math.max(minDropIdleMs, Math.min(this.maxIdleMs, idleMs * 2));
    this.maxIdleOnceMs = Math.max(minDropIdleMs, Math.min(this.maxIdleOnceMs, idleMs * shrinkFactor));
    const now = performance.now();
    for (const socket of this.idleSockets()) if (this.idleMsOf(socket, now) >= idleMs * shrinkFactor) socket.destroy();
  }

  private limitMs(isIdempotent: boolean): number {
    return isIdempotent ? this.maxIdleMs : Math.min(this.maxIdleOnceMs, this.maxIdleMs);
  }

  private idleSockets(): Socket[] {
    return Object.values(this.freeSockets).flatMap((sockets) => sockets ?? []);
  }
}
