// One leg: a request sent to one runner on a kept or new channel. It ends with the head of the
// runner's answer, or with a error that says whether the runner can have run it.
import { request, type ClientRequest, type IncomingMessage } from 'node:http';
import { ask } from '../transport/http/ask.js';
import { heads, names } from '../protocol/calls/heads.js';
import { channels } from '../state/runners/channels.js';
import { fleet } from '../state/runners/fleet.js';
import type { Assigned, Passage } from './types.js';

export type LegEnd =
  | { l: 'head'; res: IncomingMessage; req: ClientRequest }
  | { l: 'unsent'; why: string }
  | { l: 'unsure'; why: string; onOld: boolean };

export type Leg = { end: Promise<LegEnd>; cancel: () => void };

const connectMs = 350;
const droppedMs = 60;

function headersOf(p: Passage, a: Assigned, urgency: boolean, now: number): string[] {
  const list = heads.onward(p.req.rawHeaders, p.req.headers.connection);
  if (p.lastEventId !== null && p.events > 0) {
    for (let i = list.length - 2; i >= 0; i -= 2) if (list[i]!.toLowerCase() === names.lastEvent) list.splice(i, 2);
    list.push('Last-Event-Id', p.lastEventId);
  }
  list.push('X-Time-Left-Ms', String(Math.max(1, Math.floor(p.deadlineAt - now))));
  list.push('X-Expect-Instance', a.slot.id);
  if (p.tenant) list.push('X-Tenant', p.tenant.label);
  if (a.revision !== null) list.push('X-Expect-Version', String(a.revision));
  if (a.salt !== null) list.push('X-Cache-Salt', a.salt);
  if (a.fetchFrom !== null) list.push('X-Kv-Fetch-From', a.fetchFrom);
  if (a.saveTo !== null) list.push('X-Kv-Save-To', a.saveTo);
  if (urgency && p.model !== null)
    list.push('X-Urgency', String(Math.max(0, Math.min(9, 2 + p.rank * 2 + (p.route.rank ?? 0)))));
  if (p.body.length > 0 || !['GET', 'HEAD', 'DELETE', 'OPTIONS'].includes(p.req.method ?? ''))
    list.push('Content-Length', String(p.body.length));
  return list;
}

function send(p: Passage, a: Assigned, urgency: boolean): Leg {
  const { host, port } = ask.split(a.slot.addr);
  const now = performance.now();
  channels.retire(a.slot.agent, p.repeatable, now);
  const req = request({
    agent: a.slot.agent,
    host,
    port,
    method: p.req.method,
    path: p.req.url,
    headers: headersOf(p, a, urgency, now) as unknown as Record<string, string>,
    setHost: false,
  });
  let over = false;
  let written = false;
  let onOld = false;
  let idleFor = 0;
  const end = new Promise<LegEnd>(function run(done) {
    function finish(x: LegEnd): void {
      if (over) return;
      over = true;
      clearTimeout(early);
      done(x);
    }
    // A kept channel that breaks at once had been dropped by the runner while it was idle.
    function broken(): boolean {
      const isDropped = onOld && performance.now() - now < droppedMs;
      if (isDropped) channels.dropped(a.slot.agent, idleFor);
      return isDropped;
    }
    const early = setTimeout(function noChannel() {
      if (written) return;
      finish({ l: 'unsent', why: 'no channel' });
      req.destroy();
    }, connectMs);
    req.on('socket', function got(socket) {
      function up(): void {
        if (over) {
          req.destroy();
          return;
        }
        written = true;
        clearTimeout(early);
        req.end(p.body);
      }
      onOld = req.reusedSocket;
      if (onOld) idleFor = channels.idleFor(socket, now);
      if (!socket.connecting) up();
      else {
        socket.setNoDelay(true);
        socket.once('connect', up);
      }
    });
    req.on('error', function broke(err) {
      finish(written ? { l: 'unsure', why: err.message, onOld: broken() } : { l: 'unsent', why: err.message });
    });
    req.on('close', function closed() {
      finish(written ? { l: 'unsure', why: 'closed', onOld: broken() } : { l: 'unsent', why: 'closed' });
    });
    req.on('response', function head(res) {
      fleet.spoke(a.slot, performance.now());
      finish({ l: 'head', res, req });
    });
  });
  return {
    end,
    cancel: function cancel() {
      req.destroy();
    },
  };
}

export const leg = { send };
