/** What scripted runners write to their connections, byte for byte: answers in all forms, whole and broken. */
import type { Socket } from 'node:net';

/** One request as a runner read it. `order` counts the calls on its connection from 0. */
export type Call = {
  attemptId: string;
  runner: string;
  method: string;
  path: string;
  body: string;
  lastEventId: string | undefined;
  tenant: string | undefined;
  /** The head as it came, with the request line. */
  head: string;
  connection: number;
  order: number;
};

/** What a runner does with a call: whatever it writes to the socket. */
export type ScriptStep = (call: Call, socket: Socket) => void;

/** A reset drops what the receiver has not read: so long it gets to read it, in ms. */
const resetDelayMs = 50;

/** The head of an answer that names the request, its runner's seal and these fields; an empty one is left out. */
export function head(call: Call, status: string, fields: Record<string, string> = {}): string {
  const all: Record<string, string> = {
    'X-Attempt-Id': call.attemptId,
    'X-Server-Seal': `seal of ${call.runner}`,
    ...fields,
  };
  const lines = Object.entries(all)
    .filter(([, value]) => value !== '')
    .map(([name, value]) => `${name}: ${value}\r\n`);
  return `HTTP/1.1 ${status}\r\n${lines.join('')}\r\n`;
}

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Events with rising ids from `first` to `last`. */
export function events(first: number, last: number): string {
  let text = '';
  for (let id = first; id <= last; id++) text += `id: ${id}\ndata: piece ${id}\n\n`;
  return text;
}

const eventHead = { 'Content-Type': 'text/event-stream', 'Transfer-Encoding': 'chunked' };

function whole(body: string, status = '200 OK', fields: Record<string, string> = {}): ScriptStep {
  return (call, socket) => {
    socket.write(head(call, status, { 'Content-Length': String(body.length), ...fields }) + body);
  };
}

/** A head that promises `length` bytes, fewer bytes than that, and the end of the connection. */
function cutWithLength(part: string, length: number, status = '200 OK'): ScriptStep {
  return (call, socket) => {
    socket.end(head(call, status, { 'Content-Length': String(length) }) + part);
  };
}

function cutInChunks(part: string, fields: Record<string, string> = {}): ScriptStep {
  return (call, socket) => {
    socket.end(head(call, '200 OK', { 'Transfer-Encoding': 'chunked', ...fields }) + chunk(part));
  };
}

function stream(text: string, fields: Record<string, string> = {}): ScriptStep {
  return (call, socket) => {
    socket.write(`${head(call, '200 OK', { ...eventHead, ...fields })}${chunk(text)}0\r\n\r\n`);
  };
}

/** Some events and a torn one, then the end of the connection. */
function cutStream(text: string): ScriptStep {
  return cutInChunks(text, eventHead);
}

/** A body without a length, delimited by the end of its connection, which is orderly. */
function unframed(body: string, fields: Record<string, string> = {}, status = '200 OK'): ScriptStep {
  return (call, socket) => {
    socket.end(head(call, status, fields) + body);
  };
}

/** A body without a length whose connection is reset once the router has had time to read these bytes. */
function resetUnframed(part: string, fields: Record<string, string> = {}, status = '200 OK'): ScriptStep {
  return (call, socket) => {
    socket.write(head(call, status, fields) + part);
    setTimeout(() => socket.resetAndDestroy(), resetDelayMs);
  };
}

/** The same, but the reset comes while the router still has bytes to read. */
function resetUnframedAtOnce(part: string, fields: Record<string, string> = {}): ScriptStep {
  return (call, socket) => {
    socket.write(head(call, '200 OK', fields) + part, () => socket.resetAndDestroy());
  };
}

/** Bytes as they are, with `{id}` replaced by the attempt id. */
function bytes(text: string): ScriptStep {
  return (call, socket) => {
    socket.write(text.replaceAll('{id}', call.attemptId));
  };
}

function reset(_call: Call, socket: Socket): void {
  socket.resetAndDestroy();
}

function silence(): void {
  /* no answer */
}

/** What a scripted runner may do with a call. */
export const steps = {
  whole,
  cutWithLength,
  cutInChunks,
  stream,
  cutStream,
  unframed,
  resetUnframed,
  resetUnframedAtOnce,
  bytes,
  reset,
  silence,
};
