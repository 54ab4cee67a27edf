/**
 * Random scripts of what runners do to a request, on each kind of route, through a real router over loopback: a
 * non-idempotent request runs at most once, a rejection is only forwarded if nothing ran, and what looks complete to the
 * client is the response of one runner, or one stream without an event twice or missing.
 */
import { strict as assert } from 'node:assert';
import { after, before, test } from 'node:test';
import type { Socket } from 'node:net';
import fc from 'fast-check';
import {
  routerStandin as router,
  type ClientResult,
  type RouterWorld,
  type Call,
  type ScriptStep,
} from './standins/router.js';

/**
 * A step by name: whether the runner executes the request, and the complete body that it sends, if any; `plainBody`: where
 * that is another one on a route without streams.
 */
type Move = { name: string; step: ScriptStep; runs: boolean; body: string | null; plainBody?: string };

const { steps, events } = router;
const allEvents = events(1, 4);
const eventFields = { 'Content-Type': 'text/event-stream' };
const largeBody = 'x'.repeat(50_000);
const seed = 7811;
const numRuns = 400;
const paths = ['/repeat/x', '/once/x', '/resume/x', '/stream/x'];
const rejectionStatuses = [408, 421, 429, 503];
const tries = 3;
const unsealed = { 'X-Not-Run': '1', 'X-Server-Seal': '' };
const late = 'HTTP/1.1 200 OK\r\nX-Attempt-Id: earlier\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nextra';
let world: RouterWorld;
let lastId = 0;

/** A stream from behind the event that the runner was given, whole or cut off in the event behind `last`. */
function streamFrom(last: number, isWhole: boolean): ScriptStep {
  return (call, socket) => {
    const text = events(Number(call.lastEventId ?? 0) + 1, last);
    (isWhole ? steps.stream(text) : steps.cutStream(`${text}id: ${last + 1}\nda`))(call, socket);
  };
}

/** The events behind the one that the runner was given, without a length. */
function unframedFrom(last: number, send: typeof steps.unframed): ScriptStep {
  return (call, socket) => {
    send(events(Number(call.lastEventId ?? 0) + 1, last), eventFields)(call, socket);
  };
}

/** A stream that a crash of the runner ends in order inside its third event. */
function unframedInsideEvent(call: Call, socket: Socket): void {
  const text = events(Number(call.lastEventId ?? 0) + 1, 2);
  steps.unframed(`${text}id: 3\nda`, eventFields)(call, socket);
}

function broken(name: string, step: ScriptStep): Move {
  return { name, step, runs: true, body: null };
}

const moves: Move[] = [
  { name: 'stream', step: streamFrom(4, true), runs: true, body: allEvents },
  { name: 'stream from its start', step: steps.stream(allEvents), runs: true, body: allEvents },
  { name: 'plain', step: steps.whole('plain body'), runs: true, body: 'plain body' },
  { name: 'failure', step: steps.whole('failed', '500 Internal Server Error'), runs: true, body: 'failed' },
  { name: 'busy', step: steps.whole('', '503 Busy', unsealed), runs: false, body: null },
  { name: 'misdirected', step: steps.whole('', '421 Misdirected', { 'X-Server-Seal': '' }), runs: false, body: null },
  { name: 'large', step: steps.whole(largeBody), runs: true, body: largeBody },
  broken('large cut', steps.cutWithLength(largeBody.slice(0, 40_000), largeBody.length)),
  broken('cut before an event', streamFrom(0, false)),
  broken('cut behind an event', streamFrom(1, false)),
  broken('cut behind two events', streamFrom(2, false)),
  broken('cut with a length', steps.cutWithLength('plain', 10)),
  broken('cut in chunks', steps.cutInChunks('plain')),
  broken('busy of another', steps.whole('', '503 Busy', { ...unsealed, 'X-Attempt-Id': 'earlier' })),
  broken('busy of nobody', steps.whole('', '503 Busy', { ...unsealed, 'X-Attempt-Id': '' })),
  broken('misdirected of nobody', steps.whole('', '421 Misdirected', { 'X-Attempt-Id': '' })),
  broken('busy without its mark', steps.whole('', '503 Busy')),
  broken('unsealed', steps.whole('plain body', '200 OK', { 'X-Server-Seal': '' })),
  broken('answer of another', steps.bytes(late)),
  broken('garbage', steps.bytes('these bytes are no answer\r\n\r\n')),
  broken('reset', steps.reset),
  {
    name: 'a second answer behind',
    step: (call, socket) => {
      socket.write(`${router.head(call, '200 OK', { 'Content-Length': '10' })}plain body${late}`);
    },
    runs: true,
    body: 'plain body',
  },
];

/** Responses without a length: whole ones, such whose connection is reset, and such as a crash leaves. */
const unframedMoves: Move[] = [
  { name: 'unframed stream', step: unframedFrom(4, steps.unframed), runs: true, body: allEvents },
  { name: 'unframed plain', step: steps.unframed('plain body'), runs: true, body: 'plain body' },
  { name: 'unframed large', step: steps.unframed(largeBody), runs: true, body: largeBody },
  // On a route without streams these are whole: nothing but the orderly end tells the end of a plain body.
  { ...broken('unframed, ends inside an event', unframedInsideEvent), plainBody: `${events(1, 2)}id: 3\nda` },
  { ...broken('unframed, ends before its first event', steps.unframed('', eventFields)), plainBody: '' },
  broken('unframed, reset in the head', steps.resetUnframed('')),
  broken('unframed, reset behind an event', unframedFrom(1, steps.resetUnframed)),
  broken('unframed, reset behind the last event', unframedFrom(4, steps.resetUnframed)),
  broken('unframed, reset in plain text', steps.resetUnframed('plain')),
  broken('unframed, reset in a large body', steps.resetUnframed(largeBody.slice(0, 40_000))),
];

/** An answer byte by byte as given, after the head of `call` under the status line; then what `finish` does. */
function raw(statusLine: string, fields: Record<string, string>, body: string, finish: Finish): ScriptStep {
  return (call, socket) => {
    const head = router.head(call, '200 OK', fields).replace('HTTP/1.1 200 OK', statusLine);
    socket.write(head + body);
    finishes[finish](socket);
  };
}

type Finish = 'stay' | 'end' | 'reset';

const resetDelayMs = 50;
const finishes: Record<Finish, (socket: Socket) => void> = {
  stay: () => undefined,
  end: (socket) => socket.end(),
  reset: (socket) => void setTimeout(() => socket.resetAndDestroy(), resetDelayMs),
};

/** An answer in two writes, cut within its head or its body. */
function inTwoParts(body: string, cutAt: (text: string) => number): ScriptStep {
  return (call, socket) => {
    const text = router.head(call, '200 OK', { 'Content-Length': String(body.length) }) + body;
    socket.write(text.slice(0, cutAt(text)));
    setTimeout(() => socket.write(text.slice(cutAt(text))), partDelayMs);
  };
}

const partDelayMs = 20;
const length = { 'Content-Length': '10' };
const chunked = { 'Transfer-Encoding': 'chunked' };
const oneChunk = 'a\r\nplain body\r\n';
const interim = 'HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 200 OK';

function whole(name: string, step: ScriptStep, body = 'plain body'): Move {
  return { name, step, runs: true, body };
}

/** Forms of HTTP/1.1 and HTTP/1.0 that are rare, and ends of a connection at each place. */
const rareMoves: Move[] = [
  whole('HTTP/1.0 with a length', raw('HTTP/1.0 200 OK', length, 'plain body', 'end')),
  { ...broken('HTTP/1.0 without', raw('HTTP/1.0 200 OK', {}, 'plain body', 'end')), plainBody: 'plain body' },
  whole('interim answer before', raw(interim, length, 'plain body', 'stay')),
  whole('continue before', raw('HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK', length, 'plain body', 'stay')),
  whole('empty with a length', raw('HTTP/1.1 200 OK', { 'Content-Length': '0' }, '', 'stay'), ''),
  whole('no content', raw('HTTP/1.1 204 No Content', {}, '', 'stay'), ''),
  whole(
    'in parts of the head',
    inTwoParts('plain body', () => 12),
  ),
  whole(
    'in parts of the body',
    inTwoParts('plain body', (text) => text.length - 4),
  ),
  whole('reset behind the last byte', raw('HTTP/1.1 200 OK', length, 'plain body', 'reset')),
  whole('ended behind the last byte', raw('HTTP/1.1 200 OK', length, 'plain body', 'end')),
  whole('closing', raw('HTTP/1.1 200 OK', { ...length, Connection: 'close' }, 'plain body', 'end')),
  { ...whole('trailers', raw('HTTP/1.1 200 OK', chunked, `${oneChunk}0\r\nX-Sum: 1\r\n\r\n`, 'stay')) },
  broken('ended in the head', (_call, socket) => void socket.end('HTTP/1.1 200 OK\r\nX-Att')),
  broken('ended between head and body', raw('HTTP/1.1 200 OK', length, '', 'end')),
  broken('reset between head and body', raw('HTTP/1.1 200 OK', length, '', 'reset')),
  broken('reset before the last byte', raw('HTTP/1.1 200 OK', length, 'plain bod', 'reset')),
  broken('reset before the last chunk', raw('HTTP/1.1 200 OK', chunked, oneChunk, 'reset')),
  broken('ended within a chunk', raw('HTTP/1.1 200 OK', chunked, 'ff\r\nplain', 'end')),
  broken('a chunk without a size', raw('HTTP/1.1 200 OK', chunked, 'zz\r\nplain', 'stay')),
  broken('two lengths', raw('HTTP/1.1 200 OK', { ...length, 'content-length': '12' }, 'plain body', 'stay')),
  broken('length and chunks', raw('HTTP/1.1 200 OK', { ...length, ...chunked }, `${oneChunk}0\r\n\r\n`, 'stay')),
];

before(async () => {
  world = await router.create(3, 3);
});

after(() => router.stop(world));

function checkOnce(attempts: Move[]): void {
  const first = attempts.findIndex((move) => move.runs);
  if (first >= 0) assert.equal(first, attempts.length - 1, 'nothing is sent after an attempt that may have run');
}

function checkBody(path: string, result: ClientResult, attempts: Move[]): void {
  const isStream = path === '/resume/x' || path === '/stream/x';
  const last = attempts.at(-1)!;
  if (result.status >= 200 && result.status < 300 && result.isWhole) {
    assert.equal(result.body, isStream ? last.body : (last.plainBody ?? last.body));
    assert.match(String(result.headers['x-server-seal']), /^seal of runner-/);
  } else if (result.status === 200) {
    const isPart = [allEvents, 'plain body', largeBody].some((body) => body.startsWith(result.body));
    assert.ok(isPart, 'a part of one response');
    if (isStream && result.body.startsWith('id')) assert.match(result.body, /\n\n$/, 'cut after a complete event');
  } else if (result.status === 500) assert.equal(result.body, 'failed');
}

async function play(path: string, script: Move[]): Promise<void> {
  const id = `random-${++lastId}`;
  const list = script.map((move) => move.step);
  const result = await router.send(world, path, id, list, { 'X-Model': router.model });
  const attempts = script.slice(0, router.callsOf(world, id).length);
  assert.ok(router.callsOf(world, id).length <= tries, 'no more runners than the route allows');
  if (path === '/once/x' || path === '/stream/x') checkOnce(attempts);
  if (rejectionStatuses.includes(result.status))
    assert.ok(
      attempts.every((move) => !move.runs),
      `rejected with ${result.status}, although it may have run`,
    );
  checkBody(path, result, attempts);
}

async function playRandomly(drawn: Move[]): Promise<void> {
  const script = fc.array(fc.constantFrom(...drawn), { minLength: tries, maxLength: tries });
  await fc.assert(
    fc.asyncProperty(fc.constantFrom(...paths), script, (path, list) => play(path, list)),
    { seed, numRuns },
  );
}

test('whatever runners do to a request, the response to the client keeps the rules', () => playRandomly(moves));

// Guards against MIXED and ORDER of review cases 1 and 5.
test('the response keeps the rules where responses of runners have no length', () =>
  playRandomly([...unframedMoves, ...unframedMoves, ...moves]));

test('the response keeps the rules whatever rare form the responses of runners have', () =>
  playRandomly([...rareMoves, ...rareMoves, ...moves]));
