/**
 * The decisions of a router without sockets: which runner a request is sent to, where prefix blocks are fetched from and
 * saved to, what counts against a runner, and the order of the admission queue.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import { type RunnerEndpoint, runnerEndpoint } from '../src/state/runners/endpoint.js';
import { transfers } from '../src/coordination/transfer/transfers.js';
import { transferCost } from '../src/coordination/transfer/transfer-cost.js';
import { versionRollout } from '../src/dataplane/version-rollout.js';
import { executionStatus } from '../src/dataplane/execution-status.js';
import type { EndpointAssignment } from '../src/dataplane/endpoint-assignment.js';
import { responseHead } from '../src/dataplane/response-head.js';
import { prefixTransfers } from '../src/dataplane/prefix-transfers.js';
import { admissionQueue } from '../src/dataplane/admission-queue.js';
import { endpointSelection } from '../src/dataplane/endpoint-selection/endpoint-selection.js';
import type { RequestContext } from '../src/dataplane/request-context.js';
import type { Router } from '../src/dataplane/router.js';
import { tuning } from '../src/protocol/settings/tuning.js';
import { routeTable } from '../src/state/control/route-table.js';
import { storeLocation } from '../src/state/prefix-cache/cache-location.js';
import { cachedPrefixes } from '../src/state/prefix-cache/cached-prefixes.js';
import { endpointPool } from '../src/state/runners/endpoint-pool.js';
import type { Configuration, Runner } from '../src/types.js';
import { bodies } from '../src/transport/http/body.js';

const configurationDocument: Configuration = {
  revision: 1,
  route_list: [{ label: 'r', hostname: 'h', path_prefix: '/', variant: 'streaming', deadline_ms: 6000, target: 's' }],
  service_list: [
    { label: 's', max_conns: 90, engine_kind: { slot_count: 8, kv_capacity: 100_000 } },
    { label: 'store', kv_store_addr: '9.9.9.9:1' },
  ],
};

function runner(id: string, revision = 1, overrides: Partial<Runner> = {}): Runner {
  return {
    id,
    service: 's',
    addr: `${id}:1`,
    zone: 'z',
    slotCount: 8,
    draining: false,
    paused: false,
    models: [{ label: 'm', revision }],
    ...overrides,
  };
}

function routerWith(runners: Runner[]): Router {
  const router: Partial<Router> = {
    settings: {
      zone_name: 'z',
      zones: { z: 'reg', y: 'reg' },
      bound_set: { version_ms: 8000 },
    } as unknown as Router['settings'],
    endpointPool: endpointPool.create(),
    configuration: { document: configurationDocument, routeTable: routeTable.build(configurationDocument) },
    weights: { revisions: { m: 1 }, seq: 0, namings: new Map() },
    rollouts: versionRollout.create(),
    prefixCache: {
      locations: cachedPrefixes.create(1000),
      hintsValidUntil: Infinity,
      hotSet: { share: new Map(), total: 100_000 },
    },
    transfers: {
      machine: transfers.create({ leaseMs: 4000, maxLeasesPerSource: 3, maxQueuedMs: 1500 }),
      costModel: transferCost.create(),
      peerStoreLeases: 0,
    },
    tuning: tuning.defaults,
    endpointsSnapshot: { term: 1, seq: 1, runners, routerCount: 3 },
  };
  endpointPool.applyList(router.endpointPool!, runners);
  endpointPool.limitConnections(router.endpointPool!, router.configuration!.routeTable, 3);
  return router as Router;
}

let requestCount = 0;

function requestTo(router: Router, shared: number, own = 300, id = 'aa'): RequestContext {
  const context: Partial<RequestContext> = {
    attemptId: `a${requestCount++}`,
    executionStatus: executionStatus.initial(),
    body: bodies.empty,
    service: router.configuration!.routeTable.services.get('s')!,
    model: 'm',
    isolationDomain: 'all',
    prefixBlocks: [
      { id, tokens: shared },
      { id: `own${requestCount}`, tokens: own },
    ],
    tokenCounts: { prompt: shared + own, maxOutput: 50 },
    attemptedEndpoints: new Set(),
    route: configurationDocument.route_list[0]!,
  };
  return context as RequestContext;
}

function endpointOf(router: Router, id: string): RunnerEndpoint {
  return router.endpointPool.byId.get(id)!;
}

const runnerIds = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];

test('the runner that caches the shared prefix is selected, unless others are far less loaded', () => {
  const router = routerWith(runnerIds.map((id) => runner(id)));
  function selectedRunners(tokens: number): string[] {
    const seen = new Set<string>();
    for (let i = 0; i < 200; i++)
      seen.add(endpointSelection.select(router, requestTo(router, tokens, 300, `x${i}`), 0)!.endpoint.id);
    return [...seen];
  }
  const longPromptRunners = selectedRunners(12_000);
  assert.equal(longPromptRunners.length, 6, 'long prompts stay with a subset of the runners');
  assert.equal(selectedRunners(60).length, 8, 'short prompts go to all runners');
  for (const id of longPromptRunners) endpointOf(router, id).load.prefillTokens = 20_000;
  assert.ok(
    selectedRunners(12_000).every((id) => !longPromptRunners.includes(id)),
    'while others have capacity',
  );
  for (const id of longPromptRunners) endpointOf(router, id).load.prefillTokens = 0;
  const [home, other] = longPromptRunners as [string, string];
  cachedPrefixes.recordConfirmed(router.prefixCache.locations, 'all/m/1', 'aa', endpointOf(router, home).index, 12_000);
  const first = endpointSelection.select(router, requestTo(router, 12_000), 0)!;
  assert.deepEqual(
    [first.endpoint.id, first.fetchFrom, first.cacheNamespace, first.weightsRevision],
    [home, null, 'all/m/1', 1],
  );
  endpointOf(router, home).peerLoad.prefillTokens = 50_000;
  const moved = endpointSelection.select(router, requestTo(router, 12_000), 0)!;
  assert.notEqual(moved.endpoint.id, home);
  assert.equal(moved.fetchFrom, `${home}:1`);
  runnerEndpoint.transitionTo(endpointOf(router, home), 'suspect', 0);
  assert.equal(
    endpointSelection.select(router, requestTo(router, 12_000), 1)!.fetchFrom,
    null,
    'nothing is fetched from an unhealthy runner',
  );
  runnerEndpoint.transitionTo(endpointOf(router, home), 'healthy', 0);
  runnerEndpoint.recordRevision(endpointOf(router, home), 'm', 2);
  assert.equal(
    endpointSelection.select(router, requestTo(router, 12_000), 1)!.fetchFrom,
    null,
    'nor from one with another revision',
  );
  cachedPrefixes.recordConfirmed(router.prefixCache.locations, 'all/m/1', 'aa', storeLocation, 12_000);
  assert.equal(endpointSelection.select(router, requestTo(router, 12_000), 1)!.fetchFrom, '9.9.9.9:1');
  assert.ok(other);
});

test('what the peers reported counts as done as far as the lag of the state sync explains, and no further', () => {
  const router = routerWith(['a', 'b'].map((id) => runner(id)));
  const home = endpointOf(router, 'a');
  cachedPrefixes.recordConfirmed(router.prefixCache.locations, 'all/m/1', 'aa', home.index, 12_000);
  Object.assign(home.peerLoad, { prefillTokens: 15_000, transferQueueMs: 100 });
  Object.assign(home, { peerLoadAsOf: 1000, peerLoadMaxLagMs: 400 });
  const left = (now: number) => [
    runnerEndpoint.peerPrefillTokens(home, 60, now),
    runnerEndpoint.peerTransferQueueMs(home, now),
  ];
  assert.deepEqual(left(900), [15_000, 100], 'a clock that is a little behind');
  assert.deepEqual(left(1050), [12_000, 50]);
  assert.deepEqual(left(1300), [0, 0]);
  assert.equal(endpointSelection.select(router, requestTo(router, 12_000), 1000)!.endpoint.id, 'b');
  assert.equal(endpointSelection.select(router, requestTo(router, 12_000), 1300)!.endpoint.id, 'a');
  home.peerLoad.prefillTokens = 60_000;
  assert.deepEqual(left(1400), left(9000), 'a runner that makes no progress keeps its backlog');
  assert.equal(endpointSelection.select(router, requestTo(router, 12_000), 9000)!.endpoint.id, 'b');
});

test('a runner counts as silent after two latency targets without a byte, or since the attempt if it is ejected', () => {
  const router = routerWith([runner('a')]);
  const endpoint = endpointOf(router, 'a');
  const context = { ...requestTo(router, 200), latencyTargetMs: 300, deadlineAt: 10_000 } as RequestContext;
  const assignment = { endpoint } as EndpointAssignment;
  const isSilent = (sentAt: number, now: number) => responseHead.isSilent(context, assignment, sentAt, now);
  endpoint.health.lastByteAt = 1000;
  assert.deepEqual([isSilent(900, 1350), isSilent(900, 1599), isSilent(900, 1600)], [false, false, true]);
  assert.deepEqual([isSilent(1200, 1799), isSilent(1200, 1800)], [false, true], 'not before it was asked');
  endpoint.health.lastByteAt = 1700;
  assert.equal(isSilent(1000, 1800), false, 'it answers others');
  endpoint.outlier.status = 'ejected';
  assert.equal(isSilent(1000, 1800), true, 'a probe needs an answer of its own');
  assert.equal(isSilent(9000, 9800), false, 'another attempt would come too late');
});

test('short prompts avoid runners with long ones', () => {
  const router = routerWith(['a', 'b'].map((id) => runner(id)));
  endpointOf(router, 'a').peerLoad.reservedTokens = 40_000;
  for (let i = 0; i < 20; i++)
    assert.equal(endpointSelection.select(router, requestTo(router, 60, 200, `p${i}`), 0)!.endpoint.id, 'b');
});

test('a runner whose KV capacity is reserved is avoided', () => {
  const router = routerWith(['a', 'b'].map((id) => runner(id)));
  const first = endpointSelection.select(router, requestTo(router, 12_000), 0)!.endpoint;
  first.peerLoad.reservedTokens = 95_000;
  assert.notEqual(endpointSelection.select(router, requestTo(router, 12_000), 0)!.endpoint.id, first.id);
});

test('draining, paused and attempted runners and those at their connection limit are not selected', () => {
  const router = routerWith([
    runner('a', 1, { draining: true }),
    runner('b', 1, { paused: true }),
    runner('c'),
    runner('d'),
  ]);
  const context = requestTo(router, 60);
  context.attemptedEndpoints.add(endpointOf(router, 'c').index);
  assert.equal(endpointSelection.select(router, context, 0)!.endpoint.id, 'd');
  endpointOf(router, 'd').load.activeRequests = endpointOf(router, 'd').connections.limit;
  assert.equal(endpointSelection.select(router, context, 0), null);
  assert.equal(endpointOf(router, 'd').connections.limit, 27);
});

test('runners with old weights are avoided once new weights have been named for long', () => {
  const router = routerWith([runner('a', 1), runner('b', 2)]);
  router.weights.revisions = { m: 2 };
  router.weights.namings.set('m', [{ revision: 2, namedAt: 0 }]);
  const seen = new Set<string>();
  for (let i = 0; i < 40; i++)
    seen.add(endpointSelection.select(router, requestTo(router, 60, 200, `q${i}`), 7000)!.endpoint.id);
  assert.deepEqual([...seen], ['b']);
  assert.equal(
    endpointSelection.select(router, requestTo(router, 60), 100)!.cacheNamespace!.startsWith('all/m/'),
    true,
  );
});

test('a hot prefix block is saved to the store unless it is there', () => {
  const router = routerWith([runner('a')]);
  assert.equal(endpointSelection.select(router, requestTo(router, 12_000), 0)!.saveTo, null, 'not hot');
  router.prefixCache.hotSet.share.set('all/m/1 aa', 0.01);
  assert.equal(endpointSelection.select(router, requestTo(router, 12_000), 0)!.saveTo, '9.9.9.9:1');
  cachedPrefixes.recordConfirmed(router.prefixCache.locations, 'all/m/1', 'aa', storeLocation, 12_000);
  assert.equal(endpointSelection.select(router, requestTo(router, 12_000), 0)!.saveTo, null);
  const isolated = requestTo(router, 12_000);
  isolated.isolationDomain = 't-x';
  assert.equal(endpointSelection.select(router, isolated, 0)!.saveTo, null, 'another isolation domain, another block');
});

test('an isolated tenant never fetches blocks of another isolation domain', () => {
  const router = routerWith([runner('a'), runner('b')]);
  for (const id of ['a', 'b'])
    cachedPrefixes.recordConfirmed(router.prefixCache.locations, 'all/m/1', 'aa', endpointOf(router, id).index, 12_000);
  const isolated = requestTo(router, 12_000);
  isolated.isolationDomain = 't-x';
  const selection = endpointSelection.select(router, isolated, 0)!;
  assert.deepEqual([selection.fetchFrom, selection.cacheNamespace], [null, 't-x/m/1']);
});

test('health: the back-off grows to its bound, and any activity ends it', () => {
  const router = routerWith([runner('a')]);
  const endpoint = endpointOf(router, 'a');
  let last = 0;
  for (let i = 0; i < 6; i++) {
    runnerEndpoint.transitionTo(endpoint, 'unreachable', 0);
    assert.ok(endpoint.health.retryAt >= last && endpoint.health.retryAt <= 4000);
    last = endpoint.health.retryAt;
  }
  assert.equal(runnerEndpoint.isUsable(endpoint, last - 1), false);
  assert.equal(runnerEndpoint.isUsable(endpoint, last), true);
  runnerEndpoint.recordActivity(endpoint, 10);
  assert.deepEqual(
    [endpoint.health.state, endpoint.health.consecutiveFailures, runnerEndpoint.isUsable(endpoint, 0)],
    ['healthy', 0, true],
  );
});

test('the admission queue serves urgent requests first and ages the others', async () => {
  const queue = admissionQueue.create();
  const order: string[] = [];
  let hasCapacity = false;
  function enqueue(name: string, rank: number, at: number): Promise<boolean> {
    return admissionQueue.enqueue(queue, admissionQueue.priorityKey(rank, at), 60_000, () => {
      if (hasCapacity) order.push(name);
      return hasCapacity;
    });
  }
  const all = [
    enqueue('late and low', 1, 100),
    enqueue('late and high', 0, 100),
    enqueue('early and low', 1, 0),
    enqueue('early and high', 0, 50),
  ];
  admissionQueue.dispatchWaiting(queue);
  hasCapacity = true;
  admissionQueue.dispatchWaiting(queue);
  assert.deepEqual(await Promise.all(all), [true, true, true, true]);
  assert.deepEqual(order, ['early and high', 'early and low', 'late and high', 'late and low']);
  assert.equal(queue.timer, null);
  assert.equal(await admissionQueue.enqueue(queue, 0, 1, () => false), false);
});

test('blocks are fetched only if confirmed, fresh, within the leases of the source, and if transfers are on', () => {
  const router = routerWith(['a', 'b'].map((id) => runner(id)));
  endpointOf(router, 'a').peerLoad.prefillTokens = 50_000;
  cachedPrefixes.recordExpected(
    router.prefixCache.locations,
    'all/m/1',
    'aa',
    endpointOf(router, 'a').index,
    12_000,
    0,
  );
  function fetchSource(): string | null {
    return endpointSelection.select(router, requestTo(router, 12_000), 1)!.fetchFrom;
  }
  assert.equal(fetchSource(), null, 'expected there, not reported');
  cachedPrefixes.recordConfirmed(router.prefixCache.locations, 'all/m/1', 'aa', endpointOf(router, 'a').index, 12_000);
  assert.equal(fetchSource(), 'a:1');
  router.prefixCache.hintsValidUntil = 0;
  assert.equal(fetchSource(), null, 'no cache update of the leader for long');
  router.prefixCache.hintsValidUntil = Infinity;
  cachedPrefixes.markUnconfirmed(router.prefixCache.locations, endpointOf(router, 'a').index, 0);
  assert.equal(fetchSource(), null, 'the runner itself has not confirmed its cache');
  cachedPrefixes.recordConfirmed(router.prefixCache.locations, 'all/m/1', 'aa', endpointOf(router, 'a').index, 12_000);
  endpointOf(router, 'a').peerLoad.transferLeases = 3;
  assert.equal(fetchSource(), null, 'others hold all leases on it');
  endpointOf(router, 'a').peerLoad.transferLeases = 0;
  endpointOf(router, 'b').peerLoad.transferQueueMs = 1490;
  assert.equal(fetchSource(), null, 'transfers queue at the destination');
  endpointOf(router, 'b').peerLoad.transferQueueMs = 0;
  endpointOf(router, 'a').outlier.status = 'ejected';
  assert.equal(fetchSource(), null, 'the source is unhealthy');
  endpointOf(router, 'a').outlier.status = 'admitted';
  router.tuning = { ...tuning.defaults, transfers: false };
  assert.equal(fetchSource(), null, 'transfers are off');
});

test('an expected block counts as cached for a limited time only', () => {
  const router = routerWith(['a', 'b'].map((id) => runner(id)));
  cachedPrefixes.recordExpected(
    router.prefixCache.locations,
    'all/m/1',
    'aa',
    endpointOf(router, 'a').index,
    12_000,
    0,
  );
  assert.equal(endpointSelection.select(router, requestTo(router, 12_000), 10)!.prefillTokens, 300);
  assert.ok(endpointSelection.select(router, requestTo(router, 12_000), 60_000)!.prefillTokens > 12_000);
});

test('a request whose transfer lease is denied proceeds without a fetch', () => {
  const router = routerWith(['a', 'b'].map((id) => runner(id)));
  endpointOf(router, 'a').peerLoad.prefillTokens = 50_000;
  cachedPrefixes.recordConfirmed(router.prefixCache.locations, 'all/m/1', 'aa', endpointOf(router, 'a').index, 12_000);
  const denied = endpointSelection.select(router, requestTo(router, 12_000), 1)!;
  endpointOf(router, 'a').peerLoad.transferLeases = 3;
  prefixTransfers.start(router, denied, 1);
  assert.deepEqual([denied.fetchFrom, denied.transferId], [null, null]);
  endpointOf(router, 'a').peerLoad.transferLeases = 0;
  const granted = endpointSelection.select(router, requestTo(router, 12_000), 1)!;
  prefixTransfers.start(router, granted, 1);
  prefixTransfers.markSent(router, granted, 1);
  assert.ok(
    granted.transferId !== null &&
      transfers.usageAt(router.transfers.machine, endpointOf(router, 'a').index).sourceLeases === 1,
  );
  prefixTransfers.markEnded(router, granted, 20);
  assert.equal(transfers.usageAt(router.transfers.machine, endpointOf(router, 'a').index).sourceLeases, 0);
});

test('an ejected runner gets nothing but one idempotent probe', () => {
  const router = routerWith(['a', 'b'].map((id) => runner(id)));
  function select(isIdempotent: boolean): string {
    const context = requestTo(router, 60);
    context.isIdempotent = isIdempotent;
    const selection = endpointSelection.select(router, context, 10_000)!;
    runnerEndpoint.markProbeSent(selection.endpoint);
    return selection.endpoint.id;
  }
  endpointPool.applyEjections(router.endpointPool, [{ runner: 'a', prober: null, probeNumber: 0 }], 'me');
  for (let i = 0; i < 20; i++) assert.equal(select(true), 'b');
  endpointPool.applyEjections(router.endpointPool, [{ runner: 'a', prober: 'me', probeNumber: 1 }], 'me');
  assert.equal(select(false), 'b', 'not with a non-idempotent request');
  assert.equal(select(true), 'a');
  endpointPool.applyEjections(router.endpointPool, [{ runner: 'a', prober: 'me', probeNumber: 1 }], 'me');
  assert.equal(select(true), 'b', 'one probe, however often it is announced');
  endpointPool.applyEjections(router.endpointPool, [], 'me');
  assert.equal(endpointOf(router, 'a').outlier.status, 'admitted');
});

test('a suspect runner is probed after its back-off by one idempotent request', () => {
  const router = routerWith(['a', 'b'].map((id) => runner(id)));
  runnerEndpoint.transitionTo(endpointOf(router, 'a'), 'suspect', 0);
  const context = requestTo(router, 60);
  context.isIdempotent = true;
  assert.equal(endpointSelection.select(router, context, 100)!.endpoint.id, 'b');
  assert.equal(endpointSelection.select(router, context, 5000)!.endpoint.id, 'a');
  endpointOf(router, 'a').load.activeRequests = 1;
  assert.equal(endpointSelection.select(router, context, 5000)!.endpoint.id, 'b', 'one probe at a time');
});

test('a retry may go to a suspect runner during its back-off, never to an unreachable one', () => {
  const router = routerWith(['a', 'b'].map((id) => runner(id)));
  const context = requestTo(router, 60);
  Object.assign(context, {
    isIdempotent: true,
    executionStatus: executionStatus.afterAttempt(executionStatus.initial(), { kind: 'unanswered' }),
  });
  context.attemptedEndpoints.add(endpointOf(router, 'a').index);
  runnerEndpoint.transitionTo(endpointOf(router, 'b'), 'suspect', 0);
  assert.equal(endpointSelection.select(router, context, 10)!.endpoint.id, 'b');
  assert.equal(
    endpointSelection.select(router, requestTo(router, 60), 10)!.endpoint.id,
    'a',
    'a new request respects the back-off',
  );
  runnerEndpoint.transitionTo(endpointOf(router, 'b'), 'unreachable', 0);
  assert.equal(endpointSelection.select(router, context, 10), null);
});
