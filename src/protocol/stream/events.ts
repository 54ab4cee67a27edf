// Cuts a stream of events at the blank lines that end them. Only whole events are passed on, so a
// stream can be taken up elsewhere behind the last of them without a piece twice or missing.
export type Cut = { rest: Buffer; lastId: string | null };
export type Event = { bytes: Buffer; id: string | null; head: string };

const none: Buffer = Buffer.alloc(0);

function create(): Cut {
  return { rest: none, lastId: null };
}

function endOf(b: Buffer, from: number): number {
  for (let i = from; i < b.length; i++) {
    if (b[i] !== 10) continue;
    if (b[i + 1] === 10) return i + 2;
    if (b[i + 1] === 13 && b[i + 2] === 10) return i + 3;
  }
  return -1;
}

function idOf(text: string): string | null {
  const m = /^id: ?([^\r\n]*)/m.exec(text);
  return m ? m[1]! : null;
}

function take(c: Cut, chunk: Buffer): Event[] {
  const b = c.rest.length > 0 ? Buffer.concat([c.rest, chunk]) : chunk;
  const out: Event[] = [];
  let at = 0;
  for (;;) {
    const end = endOf(b, at);
    if (end < 0) break;
    const bytes = b.subarray(at, end);
    const head = bytes.toString('latin1', 0, Math.min(bytes.length, 200));
    const id = idOf(head);
    if (id !== null) c.lastId = id;
    out.push({ bytes, id, head });
    at = end;
  }
  c.rest = at < b.length ? Buffer.from(b.subarray(at)) : none;
  return out;
}

export const eventCut = { create, take };
