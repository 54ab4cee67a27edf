/**
 * Parses a stream of server-sent events (`text/event-stream`) at the blank lines that end them. Only complete events
 * are returned, so a stream can be resumed elsewhere after the last of them without a gap or a duplicate.
 */

/** `pending`: bytes that do not end an event yet. `lastEventId`: that of the last complete event with an id. */
export type EventStreamParser = { pending: Buffer; lastEventId: string | null };

/** One complete event with the blank line that ends it; `head` is its beginning as text. */
export type ServerSentEvent = { bytes: Buffer; id: string | null; head: string; hasData: boolean };

const emptyBuffer: Buffer = Buffer.alloc(0);

/** So much of an event is looked at for its fields: the id stands before the data. */
const maxHeadBytes = 200;

const lineFeed = 10;
const carriageReturn = 13;

/** A parser at the beginning of a stream. */
function create(): EventStreamParser {
  return { pending: emptyBuffer, lastEventId: null };
}

/** Where the event that begins at `from` ends, or -1. Lines end with LF, CR LF or CR. */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let i = from; i < bytes.length; i++) {
    if (bytes[i] === carriageReturn && bytes[i + 1] === carriageReturn) return i + 2;
    if (bytes[i] !== lineFeed) continue;
    if (bytes[i + 1] === lineFeed) return i + 2;
    if (bytes[i + 1] === carriageReturn && bytes[i + 2] === lineFeed) return i + 3;
  }
  return -1;
}

function eventId(head: string): string | null {
  const found = /^id: ?([^\r\n]*)/m.exec(head);
  return found ? found[1]! : null;
}

function parseEvent(bytes: Buffer): ServerSentEvent {
  const head = bytes.toString('latin1', 0, Math.min(bytes.length, maxHeadBytes));
  return { bytes, id: eventId(head), head, hasData: /^data/m.test(head) };
}

/** The events that `chunk` completes; the rest of it stays in `pending` until the next one. */
function push(parser: EventStreamParser, chunk: Buffer): ServerSentEvent[] {
  const bytes = parser.pending.length > 0 ? Buffer.concat([parser.pending, chunk]) : chunk;
  const events: ServerSentEvent[] = [];
  let start = 0;
  for (;;) {
    const end = findEventEnd(bytes, start);
    if (end < 0) break;
    const event = parseEvent(bytes.subarray(start, end));
    if (event.id !== null) parser.lastEventId = event.id;
    events.push(event);
    start = end;
  }
  parser.pending = start < bytes.length ? Buffer.from(bytes.subarray(start)) : emptyBuffer;
  return events;
}

export const eventStreamParser = { create, push };
