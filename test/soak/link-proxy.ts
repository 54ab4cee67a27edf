/**
 * A proxy before the RPC server of one coordinator. All other processes of the fleet reach that server through it, and it
 * delays, drops, resets or holds their bytes. Callers are told apart by their incarnation, which the first request of a
 * connection carries; so a fault concerns the same callers on all their connections.
 */
import { connect, createServer, type Server, type Socket } from 'node:net';
import type { LinkEffect } from './schedule.js';

/** A fault of the links to this coordinator while it lasts. */
export type LinkFault = { effect: LinkEffect; callers: 'all' | 'half'; salt: number; delayMs: number };

type Direction = 'request' | 'response';

type Link = {
  caller: string;
  client: Socket;
  target: Socket;
  /** Bytes that wait until the fault is over. */
  held: { to: Socket; bytes: Buffer }[];
  /** Bytes of it were dropped, so that it can't go on. */
  isBroken: boolean;
};

/** As `transport/rpc/call-identity.ts` writes it. */
const callerPattern = /x-rpc-call: \d+ ([0-9a-f]{16})/i;
const halfModulus = 2;

export class LinkProxy {
  readonly #links = new Set<Link>();
  readonly #server: Server;
  #fault: LinkFault | null = null;

  private constructor(
    readonly listenHost: string,
    readonly targetHost: string,
    readonly port: number,
  ) {
    this.#server = createServer((client) => this.#accept(client));
  }

  /** Listens at `listenHost` and forwards to the same port of `targetHost`. */
  static async start(listenHost: string, targetHost: string, port: number): Promise<LinkProxy> {
    const proxy = new LinkProxy(listenHost, targetHost, port);
    await new Promise<void>((resolve) => proxy.#server.listen(port, listenHost, resolve));
    return proxy;
  }

  /** Begins a fault, or ends it with null: what was held goes out, what lost bytes is reset. */
  setFault(fault: LinkFault | null): void {
    this.#fault = fault;
    for (const link of [...this.#links]) {
      if (fault?.effect === 'reset' && this.#concerns(link)) this.#destroy(link);
      else if (link.isBroken) this.#destroy(link);
      else if (fault === null) for (const { to, bytes } of link.held.splice(0)) to.write(bytes);
    }
  }

  stop(): void {
    for (const link of [...this.#links]) this.#destroy(link);
    this.#server.close();
  }

  #accept(client: Socket): void {
    const target = connect({ host: this.targetHost, port: this.port });
    const link: Link = { caller: '', client, target, held: [], isBroken: false };
    this.#links.add(link);
    client.setNoDelay(true);
    target.setNoDelay(true);
    client.on('data', (bytes) => {
      link.caller ||= callerPattern.exec(bytes.toString('latin1'))?.[1] ?? '';
      this.#forward(link, 'request', target, bytes);
    });
    target.on('data', (bytes) => this.#forward(link, 'response', client, bytes));
    for (const [socket, other] of [
      [client, target],
      [target, client],
    ] as const) {
      socket.on('error', () => other.destroy());
      socket.on('end', () => other.end());
      socket.on('close', () => {
        other.destroy();
        this.#links.delete(link);
      });
    }
  }

  #concerns(link: Link): boolean {
    if (this.#fault === null) return false;
    if (this.#fault.callers === 'all') return true;
    const hash = [...link.caller].reduce((sum, digit) => sum * 31 + digit.charCodeAt(0), this.#fault.salt) >>> 0;
    return hash % halfModulus === 0;
  }

  #forward(link: Link, direction: Direction, to: Socket, bytes: Buffer): void {
    const fault = this.#concerns(link) ? this.#fault : null;
    switch (fault?.effect) {
      case undefined:
        if (link.held.length > 0) link.held.push({ to, bytes });
        else to.write(bytes);
        return;
      case 'delay':
        setTimeout(() => to.write(bytes), fault?.delayMs);
        return;
      case 'drop':
        link.isBroken = true;
        return;
      case 'reset':
        this.#destroy(link);
        return;
      case 'hold_requests':
      case 'hold_responses': {
        const isHeld = (fault?.effect === 'hold_requests') === (direction === 'request');
        if (isHeld) link.held.push({ to, bytes });
        else to.write(bytes);
      }
    }
  }

  #destroy(link: Link): void {
    link.client.resetAndDestroy();
    link.target.resetAndDestroy();
    this.#links.delete(link);
  }
}
