/**
 * Replies of the platform, the runners and the store in any form. Guards against one row or entry that can't be read which
 * takes the others, or the reader, with it.
 */
import { strict as assert } from 'node:assert';
import { Agent, createServer } from 'node:http';
import { test } from 'node:test';
import fc from 'fast-check';
import { externalCalls, type ExternalCall } from '../src/protocol/calls/external-calls.js';
import { platformCalls } from '../src/protocol/calls/platform-calls.js';
import { runnerCalls } from '../src/protocol/calls/runner-calls.js';

const seed = 2805;
const numRuns = 1000;
const ok = 200;

const host = '127.79.5.1';
const port = 18090;
const timeoutMs = 5000;
const calls: ExternalCall<unknown>[] = [
  platformCalls.listRunners('token'),
  runnerCalls.runnerReport(),
  runnerCalls.prefixCacheEvents(1, 100),
  runnerCalls.prefixCacheListing(),
];

const text = fc.string({ unit: 'grapheme', maxLength: 12 });
const tokens = fc.integer({ min: 0, max: 100_000 });
const eventRow = fc.tuple(fc.nat(), fc.constantFrom('+', '-'), text, text, tokens, text);
const listedRow = fc.tuple(text, text, tokens, text);
const instance = fc.record({
  instance_id: fc.stringMatching(/^i-[0-9a-f]{1,8}$/),
  target: text,
  address: fc.constantFrom('10.1.2.3:8080', '127.0.0.1:1'),
  zone_name: text,
  slot_count: fc.integer({ min: 1, max: 64 }),
  condition: fc.constantFrom('serving', 'draining'),
  phase: fc.jsonValue(),
});

type Drawn<Row> = { row: Row; isGood: true } | { row: unknown; isGood: false };

/** Good rows, mixed with values of any kind that are none. */
function mixed<Row>(good: fc.Arbitrary<Row>, isGood: (value: unknown) => boolean): fc.Arbitrary<Drawn<Row>[]> {
  const bad = fc.jsonValue().filter((value) => !isGood(value));
  return fc.array(
    fc.oneof(
      good.map((row): Drawn<Row> => ({ row, isGood: true })),
      bad.map((row): Drawn<Row> => ({ row, isGood: false })),
    ),
    { maxLength: 12 },
  );
}

/** Drawn values that look like a row by chance are left out of the bad ones. */
function isListOf(length: number): (value: unknown) => boolean {
  return (value) => Array.isArray(value) && value.length === length;
}

function goodRows<Row>(rows: Drawn<Row>[]): Row[] {
  return rows.flatMap((drawn) => (drawn.isGood ? [drawn.row] : []));
}

test('rows of cache events that cannot be read are left out, all others are taken', () => {
  fc.assert(
    fc.property(mixed(eventRow, isListOf(6)), fc.nat(), (rows, next) => {
      const body = { epoch_no: 1, next_token: next, is_lost: false, event_list: rows.map(({ row }) => row) };
      const parsed = runnerCalls.prefixCacheEvents(0, 100).parse(ok, body);
      const expected = goodRows(rows).map(([eventNo, sign, cacheNamespace, blockId, blockTokens, model]) => {
        const kind = sign === '-' ? 'removed' : 'cached';
        return { eventNo, kind, cacheNamespace, blockId, tokens: blockTokens, model };
      });
      assert.deepEqual(parsed, { epoch: 1, nextToken: next, isLost: false, events: expected });
    }),
    { seed, numRuns },
  );
});

test('rows of a cache listing that cannot be read are left out, all others are taken', () => {
  fc.assert(
    fc.property(mixed(listedRow, isListOf(4)), (rows) => {
      const body = { epoch_no: 1, next_token: 5, is_held: rows.map(({ row }) => row) };
      const parsed = runnerCalls.prefixCacheListing().parse(ok, body);
      const expected = goodRows(rows).map(([cacheNamespace, blockId, blockTokens, model]) => {
        return { cacheNamespace, blockId, tokens: blockTokens, model };
      });
      assert.deepEqual(parsed, { epoch: 1, nextToken: 5, blocks: expected });
    }),
    { seed, numRuns },
  );
});

test('instances whose id or address cannot be used are left out, all others are listed', () => {
  const unusable = fc.record({
    id: fc.constantFrom('', 'a\r\nb', 'ok'),
    address: fc.constantFrom('', 'nowhere', '10.1.2.3:0', '10.1.2.3:70000'),
  });
  fc.assert(
    fc.property(fc.array(instance, { maxLength: 6 }), fc.option(unusable), instance, (good, bad, model) => {
      const spoilt = bad === null ? [] : [{ ...model, instance_id: bad.id, address: bad.address }];
      const parsed = platformCalls
        .listRunners(null)
        .parse(ok, { instance_list: [...spoilt, ...good], next_token: null });
      assert.deepEqual(
        parsed?.runners.map(({ id, addr }) => [id, addr]),
        good.map((one) => [one.instance_id, one.address]),
      );
    }),
    { seed, numRuns },
  );
});

test('a reply of any other form or status is none, and nothing throws', () => {
  const statuses = fc.constantFrom(200, 204, 400, 404, 421, 429, 500, 503);
  fc.assert(
    fc.property(fc.jsonValue(), statuses, (body, status) => {
      for (const call of calls) assert.equal(call.parse(status, body), null);
    }),
    { seed, numRuns },
  );
});

// Guards against a reply that ends the leader, and the next one which asks that runner (`own-reply-ends-leader.md`).
test('a reply with fields named as what every object has is read, or is unreadable, but never rejects', async () => {
  const odd: unknown[] = [{ toString: 0 }, { valueOf: null, toString: 1 }];
  const bodies = [
    { epoch_no: 1, next_token: 1, is_lost: false, event_list: odd, is_held: odd },
    { instance_list: odd, model_list: odd, next_token: { toString: 0 } },
  ];
  for (const body of bodies) {
    const server = createServer((request, response) => {
      request.resume();
      response.end(JSON.stringify(body));
    });
    await new Promise<void>((resolve) => server.listen(port, host, resolve));
    const agent = new Agent();
    for (const call of calls) await externalCalls.send(agent, `${host}:${port}`, call, timeoutMs);
    agent.destroy();
    await new Promise((resolve) => server.close(resolve));
  }
});
