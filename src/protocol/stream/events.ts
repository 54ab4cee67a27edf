/**
 * Cuts a stream of events at the blank lines that end them. Only whole events are passed on, so a stream can be
 * taken up elsewhere behind the last of them without a piece twice or missing.
 */

/** Bytes that do not yet end an event, and the id of the last whole event that had one. */
export type Cut = { rest: Buffer; lastId: string | null };

/** One whole event with the blank line that ends it; `head` is its beginning as text. */
export type Event = { bytes: Buffer; id: string | null; head: string; hasData: boolean };

const none: Buffer = Buffer.alloc(0);
const headBytes = 200;
const lineFeed = 10;
const carriageReturn = 13;

function create(): Cut {
  return { rest: none, lastId: null };
}

function endOf(bytes: Buffer, from: number): number {
  for (let i = from; i < bytes.length; i++) {
    if (bytes[i] !== lineFeed) continue;
    if (bytes[i + 1] === lineFeed) return i + 2;
    if (bytes[i + 1] === carriageReturn && bytes[i + 2] === lineFeed) return i + 3;
  }
  return -1;
}

function idOf(text: string): string | null {
  const found = /^id: ?([^\r\n]*)/m.exec(text);
  return found ? found[1]! : null;
}

function eventOf(bytes: Buffer): Event {
  const head = bytes.toString('latin1', 0, Math.min(bytes.length, headBytes));
  return { bytes, id: idOf(head), head, hasData: /^data/m.test(head) };
}

function take(cut: Cut, chunk: Buffer): Event[] {
  const bytes = cut.rest.length > 0 ? Buffer.concat([cut.rest, chunk]) : chunk;
  const events: Event[] = [];
  let start = 0;
  for (;;) {
    const end = endOf(bytes, start);
    if (end < 0) break;
    const event = eventOf(bytes.subarray(start, end));
    if (event.id !== null) cut.lastId = event.id;
    events.push(event);
    start = end;
  }
  cut.rest = start < bytes.length ? Buffer.from(bytes.subarray(start)) : none;
  return events;
}

export const eventCut = { create, take };
