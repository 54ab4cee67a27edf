/**
 * The selection of endpoints on seeded situations: the endpoint chosen, its cost to the last bit, what it reserves,
 * where blocks are fetched from and copied to are those of `data/endpoint-selection.jsonl` (a line a situation). The
 * figures were taken from the code of 0.3.0; since 0.5.0 the endpoints for long prompts are spread over the zones, and
 * the situations in which that changes a choice have the figures of 0.5.0.
 */
import { versionRollout } from '../src/dataplane/version-rollout.js';
import { strict as assert } from 'node:assert';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { transferCost } from '../src/coordination/transfer/transfer-cost.js';
import { transfers } from '../src/coordination/transfer/transfers.js';
import { endpointSelection } from '../src/dataplane/endpoint-selection/endpoint-selection.js';
import { selectionInputs } from '../src/dataplane/endpoint-selection/selection-inputs.js';
import { prefixTransfers } from '../src/dataplane/prefix-transfers.js';
import type { RequestContext } from '../src/dataplane/request-context.js';
import type { Router } from '../src/dataplane/router.js';
import { tuning } from '../src/protocol/settings/tuning.js';
import { routeTable } from '../src/state/control/route-table.js';
import { cachedPrefixes } from '../src/state/prefix-cache/cached-prefixes.js';
import { endpointPool } from '../src/state/runners/endpoint-pool.js';
import type { RunnerEndpoint } from '../src/state/runners/endpoint.js';
import type { Configuration, Settings } from '../src/types.js';
import { luck, type Luck } from './support/random.js';
import { bodies } from '../src/transport/http/body.js';

/** One seeded situation of a router: its runners, what is cached where, what is hot, and a few requests. */
type RunnerCase = {
  id: string;
  zone: string;
  slotCount: number;
  isDraining: boolean;
  isPaused: boolean;
  revision: number;
  health: 'healthy' | 'suspect' | 'down';
  retryAt: number;
  outlier: 'clear' | 'unhealthy' | 'probe';
  isWarm: boolean;
  own: [active: number, prefill: number, reserved: number];
  peers: [active: number, prefill: number, reserved: number, leases: number, transferMs: number];
};
type CacheCase = { at: number; domain: string; revision: number; block: string; tokens: number; isConfirmed: boolean };
type RequestCase = {
  block: string;
  shared: number;
  middle: number;
  own: number;
  maxOutput: number;
  domain: string;
  model: string | null;
  hasTokenCounts: boolean;
  isIdempotent: boolean;
  attempts: number;
  mayHaveExecuted: boolean;
  tried: number[];
  now: number;
};
type Scenario = {
  runners: RunnerCase[];
  cached: CacheCase[];
  hot: [string, number][];
  hotTotal: number;
  capacity: number | null;
  hasLink: boolean;
  hasStore: boolean;
  targetRevision: number;
  namedAt: number | null;
  storeLeases: number;
  hintsUntil: number;
  transfers: boolean;
  hotSet: boolean;
  requests: RequestCase[];
};

function chance(random: Luck, share: number): boolean {
  return luck.next(random) < share;
}

function runnerCase(random: Luck, index: number): RunnerCase {
  const isQuiet = chance(random, 0.4);
  const amount = (most: number): number => (isQuiet ? 0 : luck.below(random, most));
  return {
    id: `runner-${index}-${luck.below(random, 1e6)}`,
    zone: luck.pick(random, ['z', 'z', 'y', 'x']),
    slotCount: 1 + luck.below(random, 16),
    isDraining: chance(random, 0.05),
    isPaused: chance(random, 0.05),
    revision: luck.pick(random, [1, 2, 2, 2, 2, 2, 2, 3]),
    health: luck.pick(random, ['healthy', 'healthy', 'healthy', 'healthy', 'suspect', 'down']),
    retryAt: luck.below(random, 12_000),
    outlier: luck.pick(random, ['clear', 'clear', 'clear', 'clear', 'clear', 'unhealthy', 'probe']),
    isWarm: chance(random, 0.5),
    own: [amount(12), amount(30_000), amount(60_000)],
    peers: [amount(30), amount(80_000), amount(90_000), amount(4), chance(random, 0.1) ? 1490 : amount(400)],
  };
}

function requestCase(random: Luck, runners: number): RequestCase {
  const isLong = chance(random, 0.6);
  const isRetry = chance(random, 0.25);
  return {
    block: `b${luck.below(random, 4)}`,
    shared: isLong ? luck.pick(random, [2000, 8000, 12_000, 13_000]) : luck.below(random, 200),
    middle: chance(random, 0.3) ? luck.pick(random, [100, 1500]) : 0,
    own: luck.below(random, 3000),
    maxOutput: luck.below(random, 400),
    domain: luck.pick(random, ['all', 'all', 't-x']),
    model: chance(random, 0.95) ? 'm' : null,
    hasTokenCounts: chance(random, 0.9),
    isIdempotent: chance(random, 0.6),
    attempts: isRetry ? 1 + luck.below(random, 2) : 0,
    mayHaveExecuted: isRetry && chance(random, 0.5),
    tried: isRetry ? [luck.below(random, runners)] : [],
    now: luck.below(random, 15_000),
  };
}

function cacheCase(random: Luck, runners: number): CacheCase {
  return {
    at: luck.below(random, runners + 1) - 1,
    domain: luck.pick(random, ['all', 'all', 't-x']),
    revision: luck.pick(random, [1, 2, 2, 2, 2, 2, 2, 3]),
    block: `b${luck.below(random, 4)}`,
    tokens: luck.pick(random, [500, 2000, 8000, 12_000, 13_000]),
    isConfirmed: chance(random, 0.85),
  };
}

function scenario(seed: number): Scenario {
  const random = luck.create(seed);
  const count = 1 + luck.below(random, 12);
  const times = <T>(n: number, make: (index: number) => T): T[] => Array.from({ length: n }, (_, index) => make(index));
  return {
    runners: times(count, (index) => runnerCase(random, index)),
    cached: times(luck.below(random, 60), () => cacheCase(random, count)),
    hot: times(luck.below(random, 9), () => [
      `${luck.pick(random, ['all', 't-x'])}/m/2 b${luck.below(random, 4)}`,
      luck.next(random) * 0.02,
    ]),
    hotTotal: luck.below(random, 100_000),
    capacity: luck.pick(random, [null, 40_000, 120_000]),
    hasLink: chance(random, 0.5),
    hasStore: chance(random, 0.7),
    targetRevision: luck.pick(random, [2, 2, 3]),
    namedAt: chance(random, 0.5) ? luck.below(random, 8000) : null,
    storeLeases: luck.below(random, 4),
    hintsUntil: chance(random, 0.85) ? Infinity : luck.below(random, 15_000),
    transfers: chance(random, 0.9),
    hotSet: chance(random, 0.9),
    requests: times(6, () => requestCase(random, count)),
  };
}

function configurationOf({ capacity, hasLink, hasStore }: Scenario): Configuration {
  return {
    revision: 1,
    route_list: [{ label: 'r', hostname: 'h', path_prefix: '/', variant: 'streaming', deadline_ms: 6000, target: 's' }],
    service_list: [
      {
        label: 's',
        max_conns: 90,
        engine_kind: {
          slot_count: 8,
          ...(capacity === null ? {} : { kv_capacity: capacity }),
          ...(hasLink ? { token_bytes: 163_840, link_mbps: 1_100_000 } : {}),
        },
      },
      ...(hasStore ? [{ label: 'store', kv_store_addr: '9.9.9.9:1', zone_name: 'y' }] : []),
    ],
  };
}

function routerOf(scenario: Scenario): Router {
  const document = configurationOf(scenario);
  const router: Partial<Router> = {
    settings: {
      zone_name: 'z',
      zones: { z: 'reg', y: 'reg', x: 'other' },
      bound_set: { version_ms: 8000 },
    } as unknown as Settings,
    endpointPool: endpointPool.create(),
    configuration: { document, routeTable: routeTable.build(document) },
    weights: {
      revisions: { m: scenario.targetRevision },
      seq: 0,
      namings: new Map(
        scenario.namedAt === null
          ? []
          : [['m', [{ revision: scenario.targetRevision, namedAt: scenario.namedAt }]] as const],
      ),
    },
    rollouts: versionRollout.create(),
    prefixCache: {
      locations: cachedPrefixes.create(1000),
      hintsValidUntil: scenario.hintsUntil,
      hotSet: { share: new Map(scenario.hot), total: scenario.hotTotal },
    },
    transfers: {
      machine: transfers.create({ leaseMs: 4000, maxLeasesPerSource: 3, maxQueuedMs: 1500 }),
      costModel: transferCost.create(),
      peerStoreLeases: scenario.storeLeases,
    },
    tuning: { ...tuning.defaults, transfers: scenario.transfers, hotSet: scenario.hotSet },
  };
  addEndpoints(router as Router, scenario);
  addCachedBlocks(router as Router, scenario);
  return router as Router;
}

function addEndpoints(router: Router, { runners }: Scenario): void {
  const list = runners.map((runner) => ({
    id: runner.id,
    service: 's',
    addr: `${runner.id}:1`,
    zone: runner.zone,
    slotCount: runner.slotCount,
    draining: runner.isDraining,
    paused: runner.isPaused,
    models: [{ label: 'm', revision: runner.revision }],
  }));
  endpointPool.applyList(router.endpointPool, list);
  endpointPool.limitConnections(router.endpointPool, router.configuration!.routeTable, 3);
  runners.forEach((runner, index) => {
    const endpoint = router.endpointPool.endpoints[index]!;
    endpoint.health.state = runner.health === 'down' ? 'unreachable' : runner.health;
    endpoint.health.retryAt = runner.retryAt;
    endpoint.outlier.status =
      runner.outlier === 'clear' ? 'admitted' : runner.outlier === 'unhealthy' ? 'ejected' : 'probe';
    if (runner.isWarm) Object.assign(endpoint.connections.agent, { freeSockets: { to: [{}] } });
    const [activeRequests, prefillTokens, reservedTokens] = runner.own;
    Object.assign(endpoint.load, { activeRequests, prefillTokens, reservedTokens });
    const [peerActive, peerPrefill, peerReserved, transferLeases, transferQueueMs] = runner.peers;
    Object.assign(endpoint.peerLoad, {
      activeRequests: peerActive,
      prefillTokens: peerPrefill,
      reservedTokens: peerReserved,
      transferLeases,
      transferQueueMs,
    });
  });
}

function addCachedBlocks({ prefixCache: { locations: cache } }: Router, { cached }: Scenario): void {
  for (const { domain, revision, block, at, tokens, isConfirmed } of cached) {
    const cacheNamespace = `${domain}/m/${revision}`;
    if (isConfirmed) cachedPrefixes.recordConfirmed(cache, cacheNamespace, block, at, tokens, 7);
    else cachedPrefixes.recordExpected(cache, cacheNamespace, block, at, tokens, 0);
  }
}

function contextOf(router: Router, request: RequestCase, id: string): RequestContext {
  const context: Partial<RequestContext> = {
    attemptId: id,
    executionStatus: { attemptsSent: request.attempts, mayHaveExecuted: request.mayHaveExecuted, isAnswered: false },
    body: bodies.of(Buffer.alloc(request.shared * 4)),
    service: router.configuration!.routeTable.services.get('s')!,
    model: request.model,
    isolationDomain: request.domain,
    prefixBlocks: [
      { id: request.block, tokens: request.shared },
      ...(request.middle > 0 ? [{ id: 'middle', tokens: request.middle }] : []),
      { id: `own-${id}`, tokens: request.own },
    ],
    tokenCounts: request.hasTokenCounts
      ? { prompt: request.shared + request.middle + request.own, maxOutput: request.maxOutput }
      : null,
    attemptedEndpoints: new Set(request.tried),
    isIdempotent: request.isIdempotent,
  };
  return context as RequestContext;
}

/** Endpoint, cost, prefill, claim, backlog, fetch from, tokens and milliseconds of the transfer, copy to. */
type Choice = [string, number, number, number, number, string | null, number, number, string | null] | null;

/** Selects for each request of the situation in turn, each with what the ones before it have reserved. */
function choicesOf(seed: number): Choice[] {
  const situation = scenario(seed);
  const router = routerOf(situation);
  return situation.requests.map((request, index): Choice => {
    const selected = endpointSelection.selectWithCost(
      router,
      contextOf(router, request, `${seed}-${index}`),
      request.now,
    );
    if (!selected) return null;
    const { assignment, cost } = selected;
    const { endpoint, prefillTokens, claimedTokens, prefillBacklogTokens, fetchFrom, source, saveTo } = assignment;
    const transfer = [source?.tokens ?? 0, source?.durationMs ?? 0] as const;
    prefixTransfers.start(router, assignment, request.now);
    endpoint.load.activeRequests++;
    endpoint.load.prefillTokens += prefillTokens;
    endpoint.load.reservedTokens += claimedTokens;
    return [endpoint.id, cost, prefillTokens, claimedTokens, prefillBacklogTokens, fetchFrom, ...transfer, saveTo];
  });
}

test('endpoints are selected as pinned, at the same cost, in 600 seeded cases', () => {
  const lines = readFileSync('test/data/endpoint-selection.jsonl', 'utf8').trim().split('\n');
  const pinned = lines.map((line) => JSON.parse(line) as Choice[]);
  assert.equal(pinned.length, 100);
  pinned.forEach((choices, index) => {
    assert.deepEqual(choicesOf(index + 1), choices, `seed ${index + 1}`);
  });
  const chosen = pinned.flat();
  assert.ok(chosen.filter((choice) => choice?.[5]).length >= 40, 'cases with a transfer');
  assert.ok(chosen.filter((choice) => choice?.[8]).length >= 30, 'cases with a copy to the store');
  assert.ok(chosen.filter((choice) => choice === null).length >= 40, 'cases without an endpoint');
});

test('each zone has its share of the endpoints for long prompts, whatever the hash of their names', () => {
  for (let seed = 1; seed <= 50; seed++) {
    const zones = ['z1', 'z2', 'z3', 'z4', 'z5'];
    const endpoints = Array.from({ length: 41 }, (_, index) => {
      return { id: `i-${seed}-${index}`, zone: zones[index % zones.length]! } as RunnerEndpoint;
    });
    const context = {
      prefixBlocks: [],
      body: Buffer.alloc(0),
      tokenCounts: { prompt: 17_000, maxOutput: 20 },
      service: {},
    } as unknown as RequestContext;
    const { longPromptEndpoints } = selectionInputs.create(routerOf(scenario(1)), context, endpoints, 0);
    assert.equal(longPromptEndpoints!.size, Math.ceil(41 * 0.7));
    for (const zone of zones) {
      const inZone = endpoints.filter((endpoint) => endpoint.zone === zone);
      const chosen = inZone.filter((endpoint) => longPromptEndpoints!.has(endpoint)).length;
      assert.ok(Math.abs(chosen - inZone.length * 0.7) <= 1, `seed ${seed}, ${zone}: ${chosen} of ${inZone.length}`);
    }
  }
});
