/** Bodies read under a budget: what comes whole is what was sent, and every end gives back what was held. */
import { strict as assert } from 'node:assert';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { Readable } from 'node:stream';
import { test } from 'node:test';
import fc from 'fast-check';
import { resourceBudget, type ResourceBudget } from '../src/runtime/resource-budget.js';
import { bodies, BodyReader } from '../src/transport/http/body.js';

const seed = 3102;
const numRuns = 3000;
const largeCapacity = 64 * 1024 * 1024;
const limits = { maxBytes: 1024 * 1024, timeoutMs: 60_000 };

/** A request whose bytes come when the test says so. */
function requestWith(headers: Record<string, string>): IncomingMessage {
  const stream = new Readable({
    read: () => {
      /* pushed by the test */
    },
  });
  return Object.assign(stream, { headers }) as unknown as IncomingMessage;
}

function budgetOf(capacityBytes = largeCapacity): ResourceBudget {
  return resourceBudget.create(capacityBytes);
}

function assertNothingHeld(budget: ResourceBudget): void {
  assert.deepEqual([budget.heldBytes, budget.reservations.size], [0, 0]);
}

test('a body in pieces of one byte holds little more than its bytes', async () => {
  const budget = budgetOf();
  const request = requestWith({ 'transfer-encoding': 'chunked' });
  const reader = new BodyReader(request, budget, limits);
  const length = 100_000;
  for (let sent = 0; sent < length; sent++) request.push(Buffer.from([sent % 256]));
  request.push(null);
  const result = await reader.result;
  assert.equal(result.kind, 'complete');
  assert.equal(result.kind === 'complete' && result.body.length, length);
  assert.ok(budget.heldBytes < 2 * length, `${budget.heldBytes}`);
  reader.release();
  assertNothingHeld(budget);
});

test('a small body gets the room that larger ones hold', async () => {
  const budget = budgetOf(256 * 1024);
  const large = Array.from(
    { length: 3 },
    () => new BodyReader(requestWith({ 'content-length': '220000' }), budget, limits),
  );
  assert.equal(budget.heldBytes, 220_000);
  const request = requestWith({ 'content-length': '50000' });
  const small = new BodyReader(request, budget, limits);
  const sent = Buffer.alloc(50_000, 'x');
  request.push(sent);
  request.push(null);
  const result = await small.result;
  assert.deepEqual(result.kind === 'complete' && bodies.joined(result.body), sent);
  assert.equal(budget.counters.revoked, 1);
  for (const reader of [small, ...large]) reader.release();
  assertNothingHeld(budget);
});

test('a body that could never fit is too large, also where the operator sets no limit', async () => {
  const budget = budgetOf(100_000);
  const request = requestWith({ 'transfer-encoding': 'chunked' });
  const reader = new BodyReader(request, budget, { ...limits, maxBytes: Infinity });
  request.push(Buffer.alloc(90_000));
  assert.deepEqual(await reader.result, { kind: 'too_large' });
  assertNothingHeld(budget);
});

test('a body waits for room that is given back in time', async () => {
  const budget = budgetOf(100_000);
  const first = requestWith({ 'content-length': '60000' });
  const holder = new BodyReader(first, budget, limits);
  first.push(Buffer.alloc(60_000));
  first.push(null);
  assert.equal((await holder.result).kind, 'complete');
  const second = requestWith({ 'content-length': '60000' });
  const waiting = new BodyReader(second, budget, limits);
  assert.equal([...budget.reservations].filter(({ state }) => state === 'waiting').length, 1);
  holder.release();
  second.push(Buffer.alloc(60_000));
  second.push(null);
  assert.equal((await waiting.result).kind, 'complete');
  waiting.release();
  assertNothingHeld(budget);
});

test('of bodies in very small pieces two are received at a time, and the connection of a third ends', async () => {
  const budget = budgetOf();
  const ended: number[] = [];
  const requests = [0, 1, 2].map((index) =>
    Object.assign(requestWith({ 'transfer-encoding': 'chunked' }), {
      socket: { destroy: () => ended.push(index) } as unknown as Socket,
    }),
  );
  const readers = requests.map((request) => new BodyReader(request, budget, limits));
  for (const request of requests) for (let piece = 0; piece < 5000; piece++) request.push('x');
  assert.deepEqual(await readers[2]!.result, { kind: 'no_capacity' });
  assert.deepEqual(ended, [2]);
  for (const request of requests.slice(0, 2)) request.push(null);
  for (const reader of readers.slice(0, 2)) assert.equal((await reader.result).kind, 'complete');
  for (const reader of readers) reader.release();
  assertNothingHeld(budget);
});

type Ending = 'whole' | 'cut' | 'error' | 'left' | 'lowered';

type DrawnBody = { pieces: Uint8Array[]; announces: boolean; ending: Ending };

const drawnBody: fc.Arbitrary<DrawnBody> = fc.record({
  pieces: fc.array(fc.uint8Array({ maxLength: 3000, size: 'max' }), { maxLength: 12 }),
  announces: fc.boolean(),
  ending: fc.constantFrom<Ending>('whole', 'whole', 'cut', 'error', 'left', 'lowered'),
});

async function play({ pieces, announces, ending }: DrawnBody, budget: ResourceBudget): Promise<void> {
  const sent = Buffer.concat(pieces);
  const request = requestWith(
    announces ? { 'content-length': String(sent.length) } : { 'transfer-encoding': 'chunked' },
  );
  request.on('error', () => {
    /* told by the reader */
  });
  const reader = new BodyReader(request, budget, limits);
  for (const piece of pieces) request.push(piece);
  if (ending === 'whole') request.push(null);
  else if (ending === 'cut') request.destroy();
  else if (ending === 'error') request.destroy(new Error('reset'));
  else if (ending === 'left') reader.release();
  else {
    reader.limitTo(0);
    request.push(null);
  }
  const result = await reader.result;
  if (ending === 'whole') {
    assert.equal(result.kind, 'complete');
    if (result.kind === 'complete') assert.deepEqual(bodies.joined(result.body), sent);
  } else if (ending !== 'lowered') assert.equal(result.kind, 'aborted');
  reader.release();
}

test('drawn bodies with drawn ends come whole or not at all, and leave nothing behind', async () => {
  const budget = budgetOf();
  await fc.assert(
    fc.asyncProperty(fc.array(drawnBody, { minLength: 1, maxLength: 3 }), async (drawn) => {
      await Promise.all(drawn.map((one) => play(one, budget)));
      assertNothingHeld(budget);
    }),
    { seed, numRuns },
  );
});

test('the time for a body ends it, and what comes later is dropped', async () => {
  const budget = budgetOf();
  const request = requestWith({ 'transfer-encoding': 'chunked' });
  const reader = new BodyReader(request, budget, { ...limits, timeoutMs: 20 });
  request.push('part');
  assert.deepEqual(await reader.result, { kind: 'timed_out' });
  assertNothingHeld(budget);
  request.push('more');
  request.push(null);
  await once(request, 'end');
  assertNothingHeld(budget);
});
