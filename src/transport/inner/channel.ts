// What the system's own processes say to one another: msgpack bodies over HTTP, one agent with kept
// channels for all peers.
import { Agent, createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { Packr } from 'msgpackr';
import type { Outcome } from '../../types.js';
import { answers } from '../http/answer.js';
import { ask } from '../http/ask.js';

const packr = new Packr({ useRecords: false });
const mostBytes = 32 * 1024 * 1024;

export type Handlers = Record<string, (body: any, from: string) => unknown | Promise<unknown>>;

function agent(): Agent {
  return new Agent({ keepAlive: true, maxSockets: 64, scheduling: 'lifo' });
}

async function post<T>(
  via: Agent,
  addr: string,
  path: string,
  value: unknown,
  waitMs: number,
): Promise<Outcome<T, string>> {
  const r = await ask.send({ agent: via, addr, method: 'POST', path, body: packr.pack(value), waitMs });
  if (!r.ok) return { ok: false, error: r.error.t === 'silent' ? 'silent' : r.error.why };
  if (r.value.status !== 200) return { ok: false, error: `status ${r.value.status}` };
  try {
    return { ok: true, value: packr.unpack(r.value.body) as T };
  } catch (err) {
    return { ok: false, error: (err as Error).message };
  }
}

function body(req: IncomingMessage, most: number): Promise<Buffer | null> {
  return new Promise(function run(done) {
    const parts: Buffer[] = [];
    let n = 0;
    req.on('data', function more(b: Buffer) {
      n += b.length;
      if (n > most) {
        done(null);
        parts.length = 0;
      } else parts.push(b);
    });
    req.on('end', function whole() {
      done(Buffer.concat(parts));
    });
    req.on('close', function cut() {
      done(null);
    });
  });
}

async function handle(handlers: Handlers, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const h = handlers[req.url ?? ''];
  const raw = await body(req, mostBytes);
  if (!h || raw === null) return answers.send(res, answers.plain(h ? 413 : 404), raw === null);
  try {
    const value = await h(packr.unpack(raw), req.socket.remoteAddress ?? '');
    answers.send(res, answers.packed(packr.pack(value)));
  } catch (err) {
    answers.send(res, answers.plain(500, (err as Error).message));
  }
}

function listen(host: string, port: number, handlers: Handlers): Promise<Server> {
  return new Promise(function run(done, fail) {
    const server = createServer(function got(req, res) {
      void handle(handlers, req, res);
    });
    server.keepAliveTimeout = 60_000;
    server.on('error', fail);
    server.listen(port, host, function up() {
      done(server);
    });
  });
}

export const channel = { agent, post, listen, body };
