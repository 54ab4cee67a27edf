// The operator's calls. Any coordinator takes them; the leader judges them one at a time, orders
// what is to be ordered and acknowledges only what a majority has synced. The others hand the call
// over inside and pass the answer on.
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Mutex } from 'async-mutex';
import { replica } from '../coordination/consensus/driver.js';
import { judge } from '../state/control/judge.js';
import { answers, type Answer } from '../transport/http/answer.js';
import { channel } from '../transport/inner/channel.js';
import { ringLog } from '../logging/ring.js';
import type { OperatorReply, OperatorRequest } from '../protocol/inner/operator.js';
import type { Coordinator } from './parts.js';
import { status } from './status.js';

const mostBytes = 16 * 1024 * 1024;
const waitMs = 2500;
const lookMs = 40;
const turns = new WeakMap<Coordinator, Mutex>();

const known: Record<string, string[]> = {
  '/v1/config': ['GET', 'PUT', 'PATCH'],
  '/v1/version-put': ['POST'],
  '/v1/status': ['GET'],
};

function turn(c: Coordinator): Mutex {
  let m = turns.get(c);
  if (!m) {
    m = new Mutex();
    turns.set(c, m);
  }
  return m;
}

function fixed(status: number, value: unknown): OperatorReply {
  return { status, body: JSON.stringify(value) };
}

const unsettled = fixed(503, { message: 'no leader is sure of its term; send the call again' });

async function read(c: Coordinator): Promise<OperatorReply> {
  if (!(await replica.confirm(c.replica, waitMs))) return unsettled;
  const now = c.replica.state.configuration;
  return now ? fixed(200, now) : fixed(404, { message: 'there is no configuration yet' });
}

async function change(c: Coordinator, call: OperatorRequest): Promise<OperatorReply> {
  return turn(c).runExclusive(async function one(): Promise<OperatorReply> {
    if (!(await replica.confirm(c.replica, waitMs))) return unsettled;
    const v = judge.call(c.replica.state, call);
    if (v.v === 'refused') return { status: v.status, body: String(answers.refusal(v.status, v.findings).body) };
    if (v.v === 'taken') return fixed(200, { message: 'taken before' });
    const ok = await replica.propose(c.replica, v.command);
    ringLog.note(
      c.log,
      {
        ok,
        kind: v.command.c,
        revision: v.command.c === 'configure' ? v.command.configuration.revision : v.command.revision,
      },
      'ordered',
    );
    return ok ? fixed(200, { message: 'taken' }) : unsettled;
  });
}

// Judges a call here, as the leader; null when this node is not it.
async function decide(c: Coordinator, call: OperatorRequest): Promise<OperatorReply | null> {
  if (!replica.isLeader(c.replica)) return null;
  return call.method === 'GET' ? read(c) : change(c, call);
}

async function handOver(c: Coordinator, call: OperatorRequest): Promise<OperatorReply> {
  const until = performance.now() + waitMs;
  for (;;) {
    const here = await decide(c, call);
    if (here && here.status !== 503) return here;
    const left = until - performance.now();
    if (left <= 0) return unsettled;
    const to = replica.leaderControl(c.replica);
    if (to !== null && to !== c.replica.machine.addr) {
      const r = await channel.post<OperatorReply | null>(c.agent, to, '/inner/operator', call, Math.min(left, 1500));
      if (r.ok && r.value !== null && r.value.status !== 503) return r.value;
    }
    await new Promise(function pause(done) {
      setTimeout(done, lookMs);
    });
  }
}

async function handle(c: Coordinator, req: IncomingMessage, res: ServerResponse): Promise<void> {
  const path = (req.url ?? '').split('?')[0] ?? '';
  const methods = known[path];
  if (!methods) return answers.send(res, answers.refusal(404, [{ place: 'path', text: `there is no ${path}` }]));
  const method = req.method ?? '';
  if (!methods.includes(method))
    return answers.send(res, answers.refusal(405, [{ place: 'method', text: `${path} takes ${methods.join(', ')}` }]));
  if (path === '/v1/status') return status.handle(c, req, res);
  const body = await channel.body(req, mostBytes);
  if (body === null)
    return answers.send(
      res,
      answers.refusal(413, [{ place: '(whole)', text: `over ${mostBytes} bytes, or cut short` }]),
      true,
    );
  const match = req.headers['if-match'];
  const r = await handOver(c, { method, path, match: typeof match === 'string' ? match : null, body });
  const a: Answer = { status: r.status, headers: { 'Content-Type': 'application/json' }, body: r.body };
  answers.send(res, a);
}

export const operator = { handle, decide };
