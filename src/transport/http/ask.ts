// One request with a bounded wait on a kept channel: the answer whole, or a tagged error. Used for
// everything the programs ask of each other, of the platform and of the runners' side calls; the
// requests of clients go their own way.
import { Agent, request, type ClientRequest, type IncomingHttpHeaders } from 'node:http';
import type { Outcome } from '../../types.js';

export type Reply = { status: number; headers: IncomingHttpHeaders; body: Buffer };
export type AskError = { t: 'silent' } | { t: 'broken'; why: string; sent: boolean };
export type Ask = {
  agent: Agent;
  addr: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: Uint8Array;
  waitMs: number;
  connectMs?: number;
};

function split(addr: string): { host: string; port: number } {
  const at = addr.lastIndexOf(':');
  return { host: addr.slice(0, at), port: Number(addr.slice(at + 1)) };
}

function send(a: Ask): Promise<Outcome<Reply, AskError>> {
  return new Promise(function run(done) {
    const { host, port } = split(a.addr);
    const headers: Record<string, string | number> = { ...a.headers };
    if (a.body) headers['Content-Length'] = a.body.length;
    let req: ClientRequest;
    try {
      req = request({ agent: a.agent, host, port, method: a.method, path: a.path, headers });
    } catch (err) {
      // Not a host, port or path: addresses come out of lists and messages.
      return done({ ok: false, error: { t: 'broken', why: (err as Error).message, sent: false } });
    }
    let over = false;
    let connected = false;
    function end(o: Outcome<Reply, AskError>): void {
      if (over) return;
      over = true;
      clearTimeout(timer);
      clearTimeout(early);
      done(o);
    }
    const timer = setTimeout(function late() {
      end({ ok: false, error: { t: 'silent' } });
      req.destroy();
    }, a.waitMs);
    const early =
      a.connectMs === undefined
        ? undefined
        : setTimeout(function slow() {
            if (connected) return;
            end({ ok: false, error: { t: 'broken', why: 'no channel', sent: false } });
            req.destroy();
          }, a.connectMs);
    req.on('socket', function got(socket) {
      if (!socket.connecting) connected = true;
      else
        socket.once('connect', function up() {
          connected = true;
        });
    });
    req.on('error', function broke(err) {
      end({ ok: false, error: { t: 'broken', why: err.message, sent: connected } });
    });
    req.on('response', function got(res) {
      const parts: Buffer[] = [];
      res.on('data', function more(b: Buffer) {
        parts.push(b);
      });
      res.on('end', function whole() {
        if (!res.complete) return;
        end({ ok: true, value: { status: res.statusCode ?? 0, headers: res.headers, body: Buffer.concat(parts) } });
      });
      res.on('close', function cut() {
        end({ ok: false, error: { t: 'broken', why: 'answer cut short', sent: true } });
      });
    });
    req.end(a.body);
  });
}

/** Kept connections for calls to runners and the platform, and how many of them to one address. */
const mostConnections = 64;

function agent(): Agent {
  return new Agent({ keepAlive: true, maxSockets: mostConnections, scheduling: 'lifo' });
}

export const ask = { send, split, agent };
