/**
 * Drawn forms of clients' requests, byte by byte through a real router over loopback: what comes whole reaches one runner
 * with method, path and body unchanged, on new and on kept connections; what is cut off reaches none.
 */
import { strict as assert } from 'node:assert';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import fc from 'fast-check';
import { routerStandin as router, type Call, type RouterWorld } from './standins/router.js';

const net = 8;
const seed = 2804;
const numRuns = 150;
const plainHost = '127.78.12.1';
const plainPort = 7002;
const headEnd = '\r\n\r\n';
const answerTimeoutMs = 10_000;
/** A target with bytes beyond ASCII. Some builds of Node's parser refuse it, as its grammar allows (RFC 9112, 3.2). */
const rawPath = '/once/é';
let acceptsRawPath: boolean;
let world: RouterWorld;
let lastId = 0;

/** Whether a plain server of this Node lets a raw target through. */
async function plainServerAccepts(path: string): Promise<boolean> {
  let isAccepted = false;
  const server = createServer((_, response) => {
    isAccepted = true;
    response.end();
  });
  await new Promise<void>((done) => server.listen(plainPort, plainHost, done));
  const socket = connect({ host: plainHost, port: plainPort });
  socket.write(`GET ${path} HTTP/1.1\r\nHost: h\r\n\r\n`);
  await once(socket, 'data');
  socket.destroy();
  await new Promise((done) => server.close(done));
  return isAccepted;
}

before(async () => {
  world = await router.create(net, 2);
  acceptsRawPath = await plainServerAccepts(rawPath);
});

after(() => router.stop(world));

/** How the body is sent: with its length, or in chunks of these sizes, the last one repeated. */
type Framing = { kind: 'length' } | { kind: 'chunks'; sizes: number[] };

type Form = {
  method: string;
  path: string;
  body: Uint8Array;
  framing: Framing;
  /** Where the bytes are divided into writes, from 0 (the first) to 1 (behind the last). */
  cuts: number[];
  upperCase: boolean;
  lastEventId: string | null;
  timeLeft: string | null;
};

const form: fc.Arbitrary<Form> = fc.record({
  method: fc.constantFrom('POST', 'PUT', 'PATCH', 'DELETE'),
  path: fc.constantFrom(
    '/once/x',
    '/once/x?a=1&b=%2F',
    '/repeat/a%20b/',
    '/repeat/x;p=1?q',
    '/once/%C3%A9?%c3',
    rawPath,
  ),
  body: fc.uint8Array({ maxLength: 3000 }),
  framing: fc.oneof(
    fc.constant<Framing>({ kind: 'length' }),
    fc.array(fc.integer({ min: 1, max: 900 }), { minLength: 1, maxLength: 4 }).map((sizes): Framing => ({
      kind: 'chunks',
      sizes,
    })),
  ),
  cuts: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 3 }),
  upperCase: fc.boolean(),
  lastEventId: fc.constantFrom(null, '7', '', 'abc', '-1', '9'.repeat(40)),
  timeLeft: fc.constantFrom(null, '9000', '9000.5', '99999999999999999999', 'soon', '-5'),
});

function chunked(body: Buffer, sizes: number[]): Buffer {
  const parts: Buffer[] = [];
  for (let offset = 0, index = 0; offset < body.length; index++) {
    const part = body.subarray(offset, offset + sizes[Math.min(index, sizes.length - 1)]!);
    parts.push(Buffer.from(`${part.length.toString(16)}\r\n`), part, Buffer.from('\r\n'));
    offset += part.length;
  }
  return Buffer.concat([...parts, Buffer.from('0\r\n\r\n')]);
}

/** The bytes of a request; each value of the repeated header is the runner's to see. */
function bytesOf(drawn: Form, id: string): Buffer {
  const fields: [string, string][] = [
    ['Host', 'a.example'],
    ['X-Attempt-Id', id],
    ['X-Other', 'one'],
    ['X-Other', 'two'],
    drawn.framing.kind === 'length' ? ['Content-Length', `${drawn.body.length}`] : ['Transfer-Encoding', 'chunked'],
  ];
  if (drawn.lastEventId !== null) fields.push(['Last-Event-Id', drawn.lastEventId]);
  if (drawn.timeLeft !== null) fields.push(['X-Time-Left-Ms', drawn.timeLeft]);
  const lines = fields.map(([name, value]) => `${drawn.upperCase ? name.toUpperCase() : name.toLowerCase()}: ${value}`);
  const head = [`${drawn.method} ${drawn.path} HTTP/1.1`, ...lines].join('\r\n') + headEnd;
  const body = Buffer.from(drawn.body);
  return Buffer.concat([
    Buffer.from(head, 'utf8'),
    drawn.framing.kind === 'length' ? body : chunked(body, drawn.framing.sizes),
  ]);
}

/** Writes the bytes in parts, with a pause before each further one. */
async function writeInParts(socket: Socket, bytes: Buffer, cuts: number[]): Promise<void> {
  const ends = [...cuts.map((cut) => Math.floor(cut * bytes.length)), bytes.length].sort((a, b) => a - b);
  let start = 0;
  for (const end of ends) {
    if (end === start) continue;
    if (start > 0) await delay(2);
    socket.write(bytes.subarray(start, end));
    start = end;
  }
}

function connected(): Promise<Socket> {
  const socket = connect({ host: `127.78.${net}.1`, port: router.frontPort });
  socket.setNoDelay(true);
  socket.on('error', () => {
    /* told by close */
  });
  return once(socket, 'connect').then(() => socket);
}

/** The next answer with a length on the connection, as text. */
async function nextAnswer(socket: Socket): Promise<string> {
  let received = '';
  const signal = AbortSignal.timeout(answerTimeoutMs);
  for (;;) {
    const [bytes] = (await once(socket, 'data', { signal })) as [Buffer];
    received += bytes.toString('latin1');
    const end = received.indexOf(headEnd);
    const bodyLength = Number(/content-length: (\d+)/i.exec(received)?.[1]);
    if (end >= 0 && received.length >= end + headEnd.length + bodyLength) return received;
  }
}

function assertUnchanged(call: Call, drawn: Form): void {
  const wirePath = Buffer.from(drawn.path, 'utf8').toString('latin1');
  assert.deepEqual([call.method, call.path], [drawn.method, wirePath]);
  assert.equal(call.body, Buffer.from(drawn.body).toString('latin1'));
  assert.deepEqual(
    [...call.head.matchAll(/^x-other: (\w+)\r?$/gim)].map((match) => match[1]),
    ['one', 'two'],
  );
  if (drawn.lastEventId !== null) assert.equal(call.lastEventId, drawn.lastEventId);
  const timeLeftMs = Number(/^x-time-left-ms: (.*)\r?$/im.exec(call.head)?.[1]);
  assert.ok(Number.isInteger(timeLeftMs) && timeLeftMs > 0 && timeLeftMs <= 10_000, `${timeLeftMs}`);
}

/** The client gets 400, the connection ends, and nothing reaches a runner. */
async function assertRefused(ended: Promise<void>, id: string, answer: Promise<string>): Promise<void> {
  assert.match(await answer, /^HTTP\/1.1 400 Bad Request\r\n/);
  await ended;
  assert.equal(router.callsOf(world, id).length, 0);
}

test('requests of any form reach one runner unchanged, one after another on a connection', async () => {
  await fc.assert(
    fc.asyncProperty(fc.array(form, { minLength: 1, maxLength: 4 }), async (forms) => {
      const socket = await connected();
      const ended = new Promise<void>((resolve) => socket.once('close', () => resolve()));
      for (const drawn of forms) {
        const id = `form-${++lastId}`;
        const answer = nextAnswer(socket);
        await writeInParts(socket, bytesOf(drawn, id), drawn.cuts);
        if (drawn.path === rawPath && !acceptsRawPath) {
          await assertRefused(ended, id, answer);
          break;
        }
        assert.match(await answer, /^HTTP\/1.1 200 OK\r\n/);
        const calls = router.callsOf(world, id);
        assert.equal(calls.length, 1);
        assertUnchanged(calls[0]!, drawn);
      }
      socket.destroy();
    }),
    { seed, numRuns },
  );
});

test('a request that is cut off at any place reaches no runner', async () => {
  await fc.assert(
    fc.asyncProperty(
      form,
      fc.double({ min: 0, max: 0.999, noNaN: true }),
      fc.boolean(),
      async (drawn, share, isReset) => {
        const id = `cut-${++lastId}`;
        const bytes = bytesOf({ ...drawn, body: new Uint8Array([...drawn.body, 1]) }, id);
        const socket = await connected();
        socket.write(bytes.subarray(0, Math.floor(bytes.length * share)));
        await delay(5);
        if (isReset) socket.resetAndDestroy();
        else socket.end();
        await delay(5);
        assert.equal(router.callsOf(world, id).length, 0);
        socket.destroy();
      },
    ),
    { seed, numRuns },
  );
  await delay(100);
  assert.equal(world.calls.filter((call) => call.attemptId.startsWith('cut-')).length, 0);
});
