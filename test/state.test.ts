/**
 * Replicated and derived state: validation of orders, the prefix cache index, the retry budget, routes and the
 * parser of event streams. The log on disk has `log-*.test.ts`.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import fc from 'fast-check';
import { retryBudget } from '../src/dataplane/retry-budget.js';
import { eventStreamParser } from '../src/protocol/stream/event-stream-parser.js';
import { httpHeaders } from '../src/protocol/calls/headers.js';
import { controlState, type ControlState } from '../src/state/control/reducer.js';
import { orderValidation } from '../src/state/control/order-validation.js';
import { routeTable } from '../src/state/control/route-table.js';
import { prefixCacheIndex } from '../src/state/prefix-cache/prefix-cache-index.js';
import { cachedPrefixes } from '../src/state/prefix-cache/cached-prefixes.js';
import type { CachedBlock } from '../src/protocol/calls/runner-calls.js';
import type { OperatorRequest } from '../src/protocol/rpc/operator.js';
import type { PrefixCacheChange } from '../src/protocol/rpc/state-sync-records.js';
import type { Configuration } from '../src/types.js';

const base: Configuration = {
  revision: 4,
  route_list: [{ label: 'r', hostname: 'h', path_prefix: '/', variant: 'idempotent', deadline_ms: 5, target: 's' }],
  service_list: [{ label: 's' }],
};

function put(match: string | null, content: unknown, method = 'PUT'): OperatorRequest {
  return {
    id: 'test',
    method,
    path: '/v1/config',
    ifMatch: match,
    body: Buffer.from(typeof content === 'string' ? content : JSON.stringify(content)),
  };
}

function accepted(state: ControlState, call: OperatorRequest): ControlState {
  const decision = orderValidation.validate(state, call);
  assert.ok(decision.kind === 'propose' && decision.rejection === null);
  return controlState.apply(state, decision.command).state;
}

function status(state: ControlState, call: OperatorRequest): number {
  const decision = orderValidation.validate(state, call);
  return decision.kind === 'rejected' ? decision.rejection.status : 200;
}

test('an order is accepted, recognised again, or rejected without a change of the state', () => {
  const first = put('0', base);
  const state = accepted(controlState.empty(), first);
  assert.equal(orderValidation.validate(state, first).kind, 'duplicate');
  assert.equal(status(state, put('0', { ...base, revision: 9 })), 412);
  assert.equal(status(state, put('4', { ...base, revision: 4 })), 400);
  assert.equal(status(state, put('4', '{"revision": 5,')), 400);
  assert.equal(status(state, put(null, { ...base, revision: 5 })), 400);
  const change = put('4', { revision: 6, removals: { route_list: ['r'] } }, 'PATCH');
  const next = accepted(state, change);
  assert.equal(next.configuration!.route_list.length, 0);
  assert.equal(orderValidation.validate(next, change).kind, 'duplicate');
  assert.equal(orderValidation.validate(next, first).kind, 'duplicate');
  assert.equal(
    status(
      state,
      put('4', { revision: 7, upserts: { route_list: [{ ...base.route_list[0], target: 'x' }] } }, 'PATCH'),
    ),
    400,
  );
});

test('weights are named once and never go back', () => {
  function name(revision: unknown): OperatorRequest {
    return {
      id: 'test',
      method: 'POST',
      path: '/v1/version-put',
      ifMatch: null,
      body: Buffer.from(JSON.stringify({ model_name: 'm', revision })),
    };
  }
  const state = accepted(controlState.empty(), name(2));
  assert.equal(orderValidation.validate(state, name(2)).kind, 'duplicate');
  assert.equal(orderValidation.validate(state, name(1)).kind, 'duplicate');
  assert.equal(status(state, name('x')), 400);
  assert.equal(accepted(state, name(3)).weights.m, 3);
});

test('the longest path prefix wins and branches follow the draw by their shares', () => {
  const table = routeTable.build({
    ...base,
    route_list: [
      { ...base.route_list[0]!, label: 'a', path_prefix: '/x/' },
      {
        ...base.route_list[0]!,
        label: 'b',
        path_prefix: '/x/y/',
        branches: [
          { target: 's', share: 1 },
          { target: 'q', share: 3 },
        ],
      },
    ],
  });
  assert.equal(routeTable.find(table, 'H:80', '/x/y/z')!.label, 'b');
  assert.equal(routeTable.find(table, 'h', '/x/yz')!.label, 'a');
  assert.equal(routeTable.find(table, 'h', '/q'), null);
  const branched = routeTable.find(table, 'h', '/x/y/')!;
  assert.deepEqual(
    [
      routeTable.pickService(branched, 0),
      routeTable.pickService(branched, 0.24),
      routeTable.pickService(branched, 0.26),
      routeTable.pickService(branched, 0.999),
    ],
    ['s', 's', 'q', 'q'],
  );
});

function cached(blockId: string, tokens: number): CachedBlock {
  return { cacheNamespace: 'all/m/1', blockId, tokens, model: 'm' };
}

function reported(blockId: string, tokens: number): PrefixCacheChange {
  return { kind: 'block_reported', location: 'p', cacheNamespace: 'all/m/1', blockId, tokens };
}

test('the index follows events, restarts, gaps and lists', () => {
  const index = prefixCacheIndex.create(1000, 50);
  assert.equal(
    prefixCacheIndex.applyEvents(
      index,
      'p',
      {
        epoch: 1,
        nextToken: 3,
        isLost: false,
        events: [
          { eventNo: 1, kind: 'cached', ...cached('aa', 2000) },
          { eventNo: 2, kind: 'cached', ...cached('bb', 20) },
        ],
      },
      0,
    ),
    false,
  );
  assert.deepEqual(prefixCacheIndex.currentBlocks(index), [reported('aa', 2000)]);
  prefixCacheIndex.applyEvents(
    index,
    'p',
    { epoch: 1, nextToken: 4, isLost: false, events: [{ eventNo: 3, kind: 'removed', ...cached('aa', 128) }] },
    0,
  );
  assert.deepEqual(prefixCacheIndex.currentBlocks(index), []);
  assert.deepEqual(prefixCacheIndex.changesSince(index, 1), [
    { kind: 'block_removed', location: 'p', cacheNamespace: 'all/m/1', blockId: 'aa' },
  ]);
  assert.equal(
    prefixCacheIndex.applyEvents(index, 'p', { epoch: 1, nextToken: 90, isLost: true, events: [] }, 0),
    true,
  );
  prefixCacheIndex.applyFullList(index, 'p', { epoch: 1, nextToken: 95, blocks: [cached('cc', 3000)] }, 0);
  assert.deepEqual(prefixCacheIndex.currentBlocks(index), [reported('cc', 3000)]);
  assert.equal(
    prefixCacheIndex.applyEvents(index, 'p', { epoch: 2, nextToken: 1, isLost: false, events: [] }, 0),
    false,
  );
  assert.deepEqual(prefixCacheIndex.currentBlocks(index), []);
  assert.equal(prefixCacheIndex.changesSince(index, 999), null);
  for (let number = 0; number < 200; number++)
    prefixCacheIndex.announceExpected(index, {
      location: 'p',
      cacheNamespace: 's',
      blockId: `k${number}`,
      tokens: 1500,
    });
  assert.equal(prefixCacheIndex.changesSince(index, 1), null);
  assert.equal(prefixCacheIndex.changesSince(index, prefixCacheIndex.lastChangeNo(index) - 3)!.length, 3);
});

test('a prefix counts only up to its first gap', () => {
  const locations = cachedPrefixes.create(10);
  cachedPrefixes.recordConfirmed(locations, 's', 'a', 1, 100);
  cachedPrefixes.recordConfirmed(locations, 's', 'c', 1, 100);
  const parts = [
    { id: 'a', tokens: 100 },
    { id: 'b', tokens: 50 },
    { id: 'c', tokens: 100 },
  ];
  assert.equal(cachedPrefixes.prefixTokensAt(locations, 's', parts, 1, 0), 100);
  cachedPrefixes.recordConfirmed(locations, 's', 'b', 1, 20);
  assert.equal(cachedPrefixes.prefixTokensAt(locations, 's', parts, 1, 0), 120);
  assert.equal(cachedPrefixes.prefixTokensAt(locations, 'other', parts, 1, 0), 0);
});

test('the routers together never exceed the retry budget in any sliding window', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 12 }),
      fc.array(fc.tuple(fc.integer({ min: 0, max: 400 }), fc.boolean()), { minLength: 50, maxLength: 400 }),
      (routerCount, steps) => {
        const sites = Array.from({ length: routerCount }, () => retryBudget.create(10_000, 0.2, 58));
        const asked: number[] = [];
        const used: number[] = [];
        let now = 0;
        steps.forEach(([gap, burst], step) => {
          now += gap;
          const budget = sites[step % routerCount]!;
          retryBudget.recordRequest(budget, now);
          asked.push(now);
          for (let attempt = 0; attempt < (burst ? 20 : 1); attempt++)
            if (retryBudget.tryAcquire(budget, now, routerCount)) used.push(now);
        });
        for (const end of used) {
          const usedCount = used.filter((usedAt) => usedAt <= end && usedAt > end - 10_000).length;
          const requestCount = asked.filter((requestedAt) => requestedAt <= end && requestedAt > end - 20_000).length;
          assert.ok(usedCount <= 0.2 * requestCount + 58, `${usedCount} of ${requestCount}`);
        }
      },
    ),
    { numRuns: 60, seed: 11 },
  );
});

test('without a known number of routers the retry budget has no slack', () => {
  const budget = retryBudget.create(10_000, 0.2, 58);
  retryBudget.recordRequest(budget, 0);
  assert.equal(retryBudget.tryAcquire(budget, 0, 0), false);
  assert.equal(retryBudget.tryAcquire(budget, 0, 1), true);
});

test('however a stream is cut into chunks, the same complete events come out', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\ndata: bb\n\nx-weight-versions: m=3\nid: 3\ndata: c\n\nid: 4\nda';
  fc.assert(
    fc.property(fc.array(fc.integer({ min: 1, max: text.length - 1 })), (cuts) => {
      const parser = eventStreamParser.create();
      const bounds = [0, ...[...new Set(cuts)].sort((a, b) => a - b), text.length];
      const got = bounds
        .slice(1)
        .flatMap((end, index) => eventStreamParser.push(parser, Buffer.from(text.slice(bounds[index], end))));
      assert.deepEqual(
        got.map((event) => event.id),
        ['1', '2', '3'],
      );
      assert.equal(got.map((event) => event.bytes.toString()).join('') + parser.pending.toString(), text);
    }),
    { seed: 3, numRuns: 200 },
  );
});

test('hop-by-hop headers and those of the system are not forwarded', () => {
  const raw = [
    'Host',
    'h',
    'Connection',
    'x-one, close',
    'X-One',
    '1',
    'X-Api-Key',
    'k',
    'X-Tenant',
    'me',
    'X-Cache-Salt',
    's',
    'X-Other',
    'o',
    'Transfer-Encoding',
    'chunked',
  ];
  assert.deepEqual(httpHeaders.requestHeaders(raw, 'x-one, close'), ['Host', 'h', 'X-Other', 'o']);
  assert.deepEqual(httpHeaders.parsePrefixBlocks('5c:800,91:410'), [
    { id: '5c', tokens: 800 },
    { id: '91', tokens: 410 },
  ]);
  assert.deepEqual(httpHeaders.parsePrefixBlocks('5c:800,zz'), []);
  assert.equal(httpHeaders.parseWeightVersion('m=3', 'm'), 3);
  assert.equal(httpHeaders.parseWeightVersion('q=3', 'm'), null);
});
