/**
 * What is accepted can be served: requests through a real router over loopback under configurations with names that every
 * object has by nature, text of any script and numbers at the limits of their types.
 */
import { strict as assert } from 'node:assert';
import { after, before, beforeEach, test } from 'node:test';
import { configurationCheck } from '../src/protocol/configuration/check.js';
import { platformCalls } from '../src/protocol/calls/platform-calls.js';
import { endpointReservation } from '../src/dataplane/endpoint-reservation.js';
import type { EndpointAssignment } from '../src/dataplane/endpoint-assignment.js';
import { requestHeaders } from '../src/dataplane/request-headers.js';
import type { RequestContext } from '../src/dataplane/request-context.js';
import { accessRules } from '../src/state/control/access-rules.js';
import { routeTable } from '../src/state/control/route-table.js';
import { prefixIdentity } from '../src/state/prefix-cache/prefix-identity.js';
import type { Configuration, Route, Tenant } from '../src/types.js';
import { routerStandin as router, type ClientResult, type RouterWorld } from './standins/router.js';

const namesByNature = ['toString', 'constructor', 'hasOwnProperty', 'valueOf', '__defineGetter__', 'length'];
let world: RouterWorld;
let lastId = 0;
let tenantSeen: string | undefined;

before(async () => {
  world = await router.create(6, 2);
});

after(() => router.stop(world));

beforeEach(() => {
  tenantSeen = undefined;
});

function configuration(route: Partial<Route>, over: Partial<Configuration> = {}): Configuration {
  const base: Route = {
    label: 'r',
    hostname: 'a.example',
    path_prefix: '/r/',
    variant: 'idempotent',
    deadline_ms: 5000,
    target_ms: 5000,
    target: 'pool',
  };
  return {
    revision: 1,
    route_list: [{ ...base, ...route }],
    service_list: [{ label: 'pool', max_conns: 90, engine_kind: { slot_count: 8, kv_capacity: 100_000 } }],
    ...over,
  };
}

/** Puts a valid configuration into force, as the last part of what a router is told. */
function install(document: Configuration): void {
  assert.deepEqual(configurationCheck.check(document), []);
  world.router.configuration = { document, routeTable: routeTable.build(document) };
  world.router.accessRules.state = {
    seq: 1,
    activeRules: accessRules.fromConfiguration(document),
    pendingRules: null,
    pendingRevision: 0,
  };
  world.router.accessRules.validUntil = Infinity;
}

function request(headers: Record<string, string>): Promise<ClientResult> {
  return router.send(
    world,
    '/r/x',
    `served-${++lastId}`,
    [
      (call, socket) => {
        tenantSeen = call.tenant;
        router.steps.whole('fine')(call, socket);
      },
    ],
    headers,
  );
}

test('tenants and models are served under names that every object has by nature', async () => {
  for (const name of namesByNature) {
    const tenants: Tenant[] = [
      { label: name, api_keys: ['key'] },
      { label: `${name}-ruled`, api_keys: ['key-2'], model_rule: [name] },
    ];
    install(configuration({}, { tenant_list: tenants }));
    for (const key of ['key', 'key-2']) {
      const result = await request({ 'X-Api-Key': key, 'X-Model': name });
      assert.deepEqual([result.status, tenantSeen], [200, key === 'key' ? name : `${name}-ruled`]);
    }
    assert.equal((await request({ 'X-Api-Key': 'key-2', 'X-Model': 'm' })).status, 403);
    assert.equal((await request({ 'X-Api-Key': name })).status, 401);
  }
});

// Guards against a closed connection for every request of such a tenant (review, "Seen, and no case").
test('a tenant label of any script goes to the runner in UTF-8', async () => {
  for (const label of ['مقهى', '棋院', 'café', 'Ωδείον ταβλίου', '🀄', 'x'.repeat(2000)]) {
    install(configuration({}, { tenant_list: [{ label, api_keys: ['key'] }] }));
    const result = await request({ 'X-Api-Key': 'key' });
    assert.equal(result.status, 200, label);
    assert.equal(Buffer.from(tenantSeen!, 'latin1').toString('utf8'), label);
  }
});

test('keys, hosts and prefixes of any script are recognised in UTF-8', async () => {
  const wire = (text: string): string => Buffer.from(text, 'utf8').toString('latin1');
  install(configuration({ hostname: 'نادي.example' }, { tenant_list: [{ label: 't', api_keys: ['مفتاح', 'clé'] }] }));
  const headers = { Host: wire('نادي.example'), 'X-Api-Key': wire('مفتاح') };
  assert.equal((await request(headers)).status, 200);
  for (const key of [wire('clé'), 'clé']) assert.equal((await request({ ...headers, 'X-Api-Key': key })).status, 200);
  const table = routeTable.build(configuration({ path_prefix: '/دور/' }));
  assert.equal(routeTable.find(table, 'a.example', wire('/دور/x'))?.label, 'r');
});

test('a prefix beyond ASCII is found percent-encoded, with digits of either case, and as raw bytes', async () => {
  const wire = (text: string): string => Buffer.from(text, 'utf8').toString('latin1');
  const prefixes = ['/é/', '/a%2Fb/', '/é/%2f/', '/%c3%a0/'];
  const routes = prefixes.map((path_prefix, index) => ({
    ...configuration({ path_prefix }).route_list[0]!,
    label: `r${index}`,
  }));
  const table = routeTable.build(configuration({}, { route_list: routes }));
  const found = (path: string): string | undefined => routeTable.find(table, 'a.example', path)?.label;
  for (const path of ['/%C3%A9/x', '/%c3%a9/x', '/%c3%A9/', wire('/é/x')]) assert.equal(found(path), 'r0', path);
  for (const path of ['/%C3%A9/%2f/x', wire('/é/%2f/')]) assert.equal(found(path), 'r2', path);
  assert.deepEqual([found('/a%2Fb/x'), found('/a%2fb/x'), found('/a/b/x')], ['r1', undefined, undefined]);
  assert.deepEqual([found('/%c3%a0/x'), found('/%C3%A0/x')], ['r3', undefined]);
  install(configuration({ path_prefix: '/茶館/' }));
  const target = `${encodeURI('/茶館/x').toLowerCase()}?q=%2F`;
  const result = await router.send(world, target, 'encoded-target', [router.steps.whole('fine')]);
  assert.equal(result.status, 200);
  assert.deepEqual(
    router.callsOf(world, 'encoded-target').map(({ path }) => path),
    [target],
  );
});

test('routes whose prefixes are the same once encoded are refused with both paths; plain ASCII ones differ by bytes', () => {
  const withPrefixes = (...prefixes: string[]): unknown => {
    const routes = prefixes.map((path_prefix, index) => ({
      ...configuration({ path_prefix }).route_list[0]!,
      label: `r${index}`,
    }));
    return configuration({}, { route_list: routes });
  };
  const [finding] = configurationCheck.check(withPrefixes('/%c3%A9/', '/é/'));
  assert.equal(finding?.path, 'route_list.1');
  assert.match(finding.text, /\/é\/ and \/%c3%A9\/ are the same/);
  assert.deepEqual(configurationCheck.check(withPrefixes('/%c3%a9/', '/%C3%A9/', '/%2F/', '/%2f/')), []);
});

test('a host is found with the port that it is configured with, and without', () => {
  const routes = [configuration({ hostname: 'a.example:81', path_prefix: '/r/' }), configuration({ path_prefix: '/' })];
  const list = routes.flatMap(({ route_list }, index) => route_list.map((route) => ({ ...route, label: `r${index}` })));
  const table = routeTable.build(configuration({}, { route_list: list }));
  assert.equal(routeTable.find(table, 'A.example:81', '/r/')?.label, 'r0');
  assert.equal(routeTable.find(table, 'a.example:81', '/other')?.label, 'r1');
  assert.equal(routeTable.find(table, 'a.example:82', '/r/')?.label, 'r1');
});

test('numbers at the limits of their types are served with', async () => {
  const extremes: Partial<Route>[] = [
    { deadline_ms: 2 ** 32, target_ms: 2 ** 32 },
    { deadline_ms: Number.MAX_SAFE_INTEGER },
    { deadline_ms: 4000.75, target_ms: 0 },
    { rank: -5.5, tries: 1.9, gap_target_ms: 0 },
    { rank: 1e15, tries: 1e15 },
    {
      branches: [
        { target: 'pool', share: 1e-300 },
        { target: 'pool', share: 0 },
      ],
      target: undefined,
    },
  ];
  for (const route of extremes) {
    const limits = { header_bytes: 2 ** 40, body_bytes: 2 ** 40, header_ms: 2 ** 40, idle_ms: 2 ** 40 };
    install(configuration(JSON.parse(JSON.stringify(route)) as Partial<Route>, { limits }));
    assert.equal((await request({})).status, 200, JSON.stringify(route));
  }
});

test('a fractional number of tries is that many whole ones', async () => {
  install(configuration({ tries: 1.9 }));
  const id = 'fractional-tries';
  const rejected = router.steps.whole('', '503 Busy', { 'X-Not-Run': '1', 'X-Server-Seal': '' });
  const result = await router.send(world, '/r/x', id, [rejected, router.steps.whole('second')]);
  assert.deepEqual([result.status, router.callsOf(world, id).length], [503, 1]);
});

test('the time that a client has left is read with decimals too', async () => {
  install(configuration({}));
  const started = performance.now();
  const result = await router.send(world, '/r/x', 'decimals', [router.steps.silence, router.steps.silence], {
    'X-Time-Left-Ms': '400.5',
  });
  assert.equal(result.status, 504);
  assert.ok(performance.now() - started < 3000, 'not the deadline of the route');
});

test('the urgency of a request is a whole number from 0 to 9', () => {
  for (const [tenantRank, routeRank] of [
    [0.3, 0.3],
    [-7, 2],
    [1e15, 1],
  ] as const) {
    const context = {
      rank: tenantRank,
      route: { rank: routeRank },
      request: { rawHeaders: [], headers: {}, method: 'POST' },
      response: { lastEventId: null },
      body: Buffer.alloc(0),
      tenant: null,
      model: 'm',
      deadlineAt: 1000,
    } as unknown as RequestContext;
    const assignment = {
      endpoint: { id: 'i' },
      weightsRevision: null,
      cacheNamespace: null,
      fetchFrom: null,
      saveTo: null,
    } as unknown as EndpointAssignment;
    const headers = requestHeaders.forAttempt(context, assignment, true, 0);
    assert.match(headers[headers.indexOf('X-Urgency') + 1]!, /^[0-9]$/);
  }
});

test('what cannot be served is a finding with its path', () => {
  const tenant = (label: string): Partial<Configuration> => ({ tenant_list: [{ label, api_keys: ['key'] }] });
  const store = (address: string): Partial<Configuration> => ({
    service_list: [{ label: 'pool' }, { label: 'store', kv_store_addr: address }],
  });
  const shares = [
    { target: 'pool', share: 1e308 },
    { target: 'pool', share: 1e308 },
  ];
  const faults: [string, Configuration][] = [
    ['tenant_list.0.label', configuration({}, tenant('a\r\nX-Other: b'))],
    ['tenant_list.0.label', configuration({}, tenant(' a'))],
    ['tenant_list.0.label', configuration({}, tenant('__proto__'))],
    ['service_list.1.kv_store_addr', configuration({}, store(''))],
    ['service_list.1.kv_store_addr', configuration({}, store('10.0.0.1:99999'))],
    ['service_list.1.kv_store_addr', configuration({}, store('10.0.0.1:80\r\n'))],
    ['route_list.0.branches.0.share', configuration({ branches: shares })],
  ];
  for (const [path, document] of faults)
    assert.ok(
      configurationCheck.check(document).some((finding) => finding.path === path),
      path,
    );
});

test('a model name with blanks keeps its block ids apart', () => {
  const key = prefixIdentity.blockKey('all-0/my model/1', '5c1e');
  assert.deepEqual(prefixIdentity.parseBlockKey(key), { cacheNamespace: 'all-0/my model/1', blockId: '5c1e' });
});

test('a runner that could not be asked is left out of the list of the platform', () => {
  const entry = {
    instance_id: 'i-1',
    target: 's',
    address: '10.0.0.1:80',
    zone_name: 'z',
    slot_count: 4,
    condition: 'serving',
  };
  const faults = [
    { instance_id: 'i\r\n' },
    { instance_id: '' },
    { address: '10.0.0.1' },
    { address: '10.0.0.1:0' },
    { address: 'a b:80' },
  ];
  const page = { instance_list: [entry, ...faults.map((fault) => ({ ...entry, ...fault }))], next_token: null };
  const read = platformCalls.listRunners(null).parse(200, page);
  assert.deepEqual(
    read?.runners.map((runner) => runner.id),
    ['i-1'],
  );
});

// Guards against long prompts that are rejected for ever after a slow first one (review, "Seen, and no case").
test('a long prompt is not rejected at a runner that has nothing else to prefill', () => {
  const context = { executionStatus: { attemptsSent: 0 }, latencyTargetMs: 100 } as unknown as RequestContext;
  const own = { isLongPrompt: true, prefillTokens: 10_000 };
  world.router.prefillTokensPerMs = 1;
  const alone = { ...own, prefillBacklogTokens: 10_000 } as EndpointAssignment;
  const behind = { ...own, prefillBacklogTokens: 10_001 } as EndpointAssignment;
  assert.equal(endpointReservation.isTooLong(world.router, context, alone), false);
  assert.equal(endpointReservation.isTooLong(world.router, context, behind), true);
  world.router.prefillTokensPerMs = 0;
});
