// Reads the request whole within the operator's limits. A request that is over them, or that does
// not come in time, is answered before anything else is looked at.
import type { IncomingMessage } from 'node:http';
import { answers } from '../../transport/http/answer.js';
import type { Passage, Policy, Site, Step } from '../types.js';

const bodyMs = 10_000;

type Body = { b: 'whole'; body: Buffer } | { b: 'large' } | { b: 'late' } | { b: 'cut' };

function read(req: IncomingMessage, most: number): Promise<Body> {
  return new Promise(function run(done) {
    const list: Buffer[] = [];
    let n = 0;
    const timer = setTimeout(function late() {
      done({ b: 'late' });
    }, bodyMs);
    function end(x: Body): void {
      clearTimeout(timer);
      done(x);
    }
    req.on('data', function more(b: Buffer) {
      n += b.length;
      if (n > most) end({ b: 'large' });
      else list.push(b);
    });
    req.on('end', function whole() {
      end({ b: 'whole', body: list.length === 1 ? list[0]! : Buffer.concat(list) });
    });
    req.on('error', function cut() {
      end({ b: 'cut' });
    });
    req.on('close', function cut() {
      end({ b: 'cut' });
    });
  });
}

async function run(site: Site, p: Passage): Promise<Step> {
  const { header_bytes: headerBytes, body_bytes: bodyBytes } = site.table!.limits;
  if (headerBytes !== undefined) {
    let n = (p.req.method?.length ?? 0) + (p.req.url?.length ?? 0) + 12;
    for (const h of p.req.rawHeaders) n += h.length + 2;
    if (n > headerBytes) return { s: 'answer', answer: answers.plain(431), closing: true };
  }
  const most = bodyBytes ?? Infinity;
  if (Number(p.req.headers['content-length'] ?? 0) > most)
    return { s: 'answer', answer: answers.plain(413), closing: true };
  const got = await read(p.req, most);
  switch (got.b) {
    case 'large':
      return { s: 'answer', answer: answers.plain(413), closing: true };
    case 'late':
      return { s: 'answer', answer: answers.plain(408), closing: true };
    case 'cut':
      return { s: 'done' };
    case 'whole':
      p.body = got.body;
      return { s: 'next' };
  }
}

export const limits: Policy = { name: 'limits', run };
