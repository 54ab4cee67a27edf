// Passes a runner's answer on to the client, unchanged and as it comes. A stream goes event by event,
// so that what was passed on always ends behind a whole event; an answer that the runner breaks off
// is never ended as if it were whole.
import type { ClientRequest, IncomingMessage } from 'node:http';
import { heads } from '../../protocol/calls/heads.js';
import { eventCut, type Event } from '../../protocol/stream/events.js';
import { fleet } from '../../state/runners/fleet.js';
import type { Assigned, Passage, Site } from '../types.js';

export type RelayEnd = 'whole' | 'broken' | 'gone' | 'late';

const versionLine = /^x-weight-versions:\s*([^\r\n]+)/m;
const graceMs = 60;

function sendHead(site: Site, p: Passage, res: IncomingMessage): void {
  if (p.headSent) return;
  const list = heads.back(res.rawHeaders, res.headers.connection);
  if (site.leaving) list.push('Connection', 'close');
  p.res.writeHead(res.statusCode ?? 502, list as unknown as Record<string, string>);
  p.headSent = true;
}

function isBehind(p: Passage, e: Event): boolean {
  if (e.id === null || p.lastEventId === null || p.events === 0) return false;
  const a = Number(e.id);
  const b = Number(p.lastEventId);
  return Number.isFinite(a) && Number.isFinite(b) && a <= b;
}

function passOn(p: Passage, a: Assigned, e: Event): void {
  if (e.head.startsWith('x-weight-versions') && p.model !== null) {
    const seen = heads.versions(versionLine.exec(e.head)?.[1], p.model);
    if (seen !== null) fleet.learn(a.slot, p.model, seen);
  }
  if (isBehind(p, e)) return;
  p.res.write(e.bytes);
  if (e.id !== null) p.lastEventId = e.id;
  p.events++;
}

function run(
  site: Site,
  p: Passage,
  a: Assigned,
  res: IncomingMessage,
  req: ClientRequest,
  read: () => void,
): Promise<RelayEnd> {
  return new Promise(function relayed(done) {
    const status = res.statusCode ?? 0;
    const byEvent = p.isStream && status >= 200 && status < 300 && res.headers['content-length'] === undefined;
    const cut = eventCut.create();
    let over = false;
    sendHead(site, p, res);
    if (!byEvent) read();
    function end(x: RelayEnd): void {
      if (over) return;
      over = true;
      clearTimeout(late);
      p.res.removeListener('close', gone);
      p.res.removeListener('drain', drained);
      if (x !== 'whole') req.destroy();
      done(x);
    }
    function gone(): void {
      end('gone');
    }
    function drained(): void {
      res.resume();
    }
    const late = setTimeout(
      function over_() {
        end('late');
      },
      Math.max(1, p.deadlineAt + graceMs - performance.now()),
    );
    p.res.on('close', gone);
    p.res.on('drain', drained);
    res.on('data', function more(b: Buffer) {
      if (over) return;
      fleet.spoke(a.slot, performance.now());
      read();
      if (byEvent) for (const e of eventCut.take(cut, b)) passOn(p, a, e);
      else p.res.write(b);
      if (p.res.writableNeedDrain) res.pause();
    });
    res.on('end', function whole() {
      if (!res.complete) return end('broken');
      if (cut.rest.length > 0) p.res.write(cut.rest);
      p.res.end();
      end('whole');
    });
    res.on('error', function broke() {
      end('broken');
    });
    res.on('close', function closed() {
      end('broken');
    });
  });
}

export const relay = { run };
