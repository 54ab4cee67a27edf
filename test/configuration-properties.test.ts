/**
 * Drawn configurations and drawn changes of single fields. What is accepted is stored, is read back as it was sent, comes out
 * of a snapshot, is told to a router in full and as an update, and is served there; what is refused names its faults and
 * changes nothing. `DRAWN_CONFIGURATIONS=20000 node --test target/js/test/configuration-properties.test.js` draws more.
 */
import { strict as assert } from 'node:assert';
import { validateHeaderValue } from 'node:http';
import { test } from 'node:test';
import fc from 'fast-check';
import { routers, type Router } from '../src/dataplane/router.js';
import { headerText } from '../src/protocol/calls/header-text.js';
import { orderValidation } from '../src/state/control/order-validation.js';
import { controlState, type ControlState } from '../src/state/control/reducer.js';
import { routeTable } from '../src/state/control/route-table.js';
import { storedFormat } from '../src/state/control/stored-format.js';
import { configurationHistory, type ConfigurationHistory } from '../src/state/history/configuration-history.js';
import type { OperatorRequest } from '../src/protocol/rpc/operator.js';
import type { Configuration, Tenant } from '../src/types.js';
import { repacked, storedAndRead } from './support/coordinators.js';
import { toldRouter } from './support/told-router.js';

const numRuns = Number(process.env.DRAWN_CONFIGURATIONS ?? 400);
const seed = Number(process.env.SEED ?? 2801);

/** Text as it may be in JSON: of any script and length, with what no header can hold, and names of every object. */
const text = fc.oneof(
  { arbitrary: fc.string({ unit: 'grapheme', maxLength: 12 }), weight: 4 },
  { arbitrary: fc.string({ unit: 'binary', maxLength: 12 }), weight: 1 },
  {
    arbitrary: fc.constantFrom('toString', '__proto__', 'constructor', '', ' ', 'a\r\nb', '\ud800', 'مقهى'),
    weight: 2,
  },
  { arbitrary: fc.constantFrom('x'.repeat(1200), 'ж'.repeat(3000)), weight: 1 },
);
const amount = fc.oneof(
  { arbitrary: fc.nat(20_000), weight: 6 },
  { arbitrary: fc.double({ min: 0, max: 1e6, noNaN: true }), weight: 2 },
  { arbitrary: fc.constantFrom(0, 0.5, 1, 2 ** 31, 2 ** 53 - 1, 2 ** 53, 1e300, -1), weight: 2 },
);
const anything = fc.oneof(
  text,
  amount,
  fc.boolean(),
  fc.constant(null),
  fc.constant([]),
  fc.constant({}),
  fc.jsonValue(),
);
const serviceLabel = fc.constantFrom('s', 'toString', 'услуга');
const variant = fc.constantFrom('idempotent', 'non_idempotent', 'streaming');

const route = fc.record(
  {
    label: text,
    hostname: fc.oneof(text, fc.constantFrom('a.example', 'A.example', 'a.example:80')),
    path_prefix: fc.oneof(
      text.map((part) => `/${part}/`),
      fc.constantFrom('/', '/a/', 'a', '/a'),
    ),
    variant,
    deadline_ms: amount,
    target_ms: amount,
    rank: amount,
    target: serviceLabel,
    branches: fc.array(fc.record({ target: serviceLabel, share: amount }), { maxLength: 3 }),
    tries: amount,
    public: fc.boolean(),
    resumable: fc.boolean(),
    extra: anything,
  },
  { requiredKeys: ['label', 'hostname', 'path_prefix', 'variant', 'deadline_ms', 'target'] },
);
const tenant = fc.record(
  {
    label: text,
    api_keys: fc.array(text, { maxLength: 3 }),
    rank: amount,
    isolated: fc.boolean(),
    model_rule: fc.array(text, { maxLength: 2 }),
  },
  { requiredKeys: ['label', 'api_keys'] },
);
const limits = fc.record(
  { header_bytes: amount, body_bytes: amount, header_ms: amount, idle_ms: amount },
  { requiredKeys: [] },
);
const configuration = fc.record(
  {
    revision: fc.oneof({ arbitrary: fc.integer({ min: 1, max: 5 }), weight: 9 }, { arbitrary: amount, weight: 1 }),
    route_list: fc.array(route, { maxLength: 3 }),
    service_list: fc.constant(['s', 'toString', 'услуга'].map((label) => ({ label, max_conns: 9 }))),
    limits,
    tenant_list: fc.array(tenant, { maxLength: 3 }),
    extra: anything,
  },
  { requiredKeys: ['revision', 'route_list', 'service_list'] },
);

/** The state of the members, what their routers are told by, and a router that is told each change as an update. */
type World = { state: ControlState; history: ConfigurationHistory; router: Router };

function createWorld(): World {
  return { state: controlState.empty(), history: configurationHistory.create(), router: toldRouter.create() };
}

function assertServed(router: Router, document: Configuration): void {
  const table = routers.routeTable(router);
  for (const each of document.route_list) {
    const path = `${headerText.toWire(each.path_prefix)}x`;
    const found = routeTable.find(table, headerText.toWire(each.hostname), path);
    assert.ok(found, `route ${each.label}`);
    const service = routeTable.pickService(found, 0.999);
    assert.ok(service !== null && table.services.has(service));
  }
  for (const { label, api_keys } of document.tenant_list ?? [])
    for (const key of api_keys) {
      assert.equal(table.keys.get(headerText.toWire(key))?.label, label);
      validateHeaderValue('X-Tenant', headerText.toWire(label));
    }
}

function put(state: ControlState, body: string): OperatorRequest {
  const ifMatch = String(controlState.revision(state));
  return { id: 'call', method: 'PUT', path: '/v1/config', ifMatch, body: Buffer.from(body) };
}

/** Orders the document; returns whether it was accepted, after all that must hold then. */
function order(world: World, document: object): boolean {
  const body = JSON.stringify(document);
  const before = JSON.stringify(storedFormat.encodeState(world.state));
  const decision = orderValidation.validate(world.state, put(world.state, body));
  if (decision.kind !== 'propose' || decision.rejection !== null) {
    assert.ok(decision.kind === 'rejected' && decision.rejection.findings.length > 0, decision.kind);
    for (const { path, text: why } of decision.rejection.findings) assert.ok(path !== '' && why !== '');
    assert.equal(JSON.stringify(storedFormat.encodeState(world.state)), before);
    return false;
  }
  const done = controlState.apply(world.state, storedAndRead(decision.command));
  assert.equal(done.outcome.kind, 'applied');
  world.state = done.state;
  const sent = JSON.parse(body) as unknown;
  assert.deepEqual(JSON.parse(JSON.stringify(world.state.configuration)), sent);
  const restored = storedFormat.decodeState(repacked(storedFormat.encodeState(world.state)));
  assert.deepEqual(JSON.parse(JSON.stringify(restored.configuration)), sent);
  tellBoth(world, restored.configuration!);
  return true;
}

/** The router that has been told all before gets an update where there is one, another gets all. */
function tellBoth(world: World, document: Configuration): void {
  const known = world.router.configuration?.document.revision ?? 0;
  configurationHistory.record(world.history, document);
  const configurationUpdate = configurationHistory.deltaSince(world.history, known);
  const rest = { sharedDomainSince: world.state.cacheIsolation.sharedSince, accessRules: world.state.accessRules };
  toldRouter.tell(world.router, {
    ...rest,
    ...(configurationUpdate ? { configurationUpdate } : { configuration: document }),
  });
  assertServed(world.router, document);
  const another = toldRouter.create();
  toldRouter.tell(another, { ...rest, configuration: document });
  assertServed(another, document);
}

test('a drawn configuration is refused with its faults, or stored, told and served', () => {
  let accepted = 0;
  fc.assert(
    fc.property(configuration, (document) => {
      if (order(createWorld(), document)) accepted++;
    }),
    { seed, numRuns },
  );
  assert.ok(accepted >= numRuns / 20, `${accepted} of ${numRuns} accepted`);
});

const tenants: Tenant[] = [
  { label: 't1', api_keys: ['k1'], rank: 1, isolated: false, model_rule: ['m'] },
  { label: 't2', api_keys: ['k2', 'k3'] },
];
const base = {
  revision: 1,
  route_list: ['r1', 'r2'].map((label) => ({
    label,
    hostname: 'a.example',
    path_prefix: `/${label}/`,
    variant: 'streaming',
    deadline_ms: 1000,
    target_ms: 300,
    rank: 0,
    target: 's',
    branches: [{ target: 's', share: 90 }],
    tries: 2,
    public: false,
    pinned: true,
    resumable: true,
    gap_target_ms: 250,
  })),
  service_list: [
    { label: 's', max_conns: 90, engine_kind: { slot_count: 8, kv_capacity: 1000, model_list: [{ label: 'm' }] } },
    { label: 'store', kv_store_addr: '10.0.0.9:80', zone_name: 'z', kv_capacity: 1000, link_mbps: 1.5 },
  ],
  limits: { header_bytes: 16384, body_bytes: 4194304, header_ms: 3000, idle_ms: 15000 },
  tenant_list: tenants,
};

type Path = (string | number)[];

/** The paths of all values in a document, of objects and lists too. */
function pathsIn(value: unknown, prefix: Path = []): Path[] {
  if (typeof value !== 'object' || value === null) return [prefix];
  const below = Object.entries(value).flatMap(([key, child]) => pathsIn(child, [...prefix, key]));
  return prefix.length === 0 ? below : [prefix, ...below];
}

const basePaths = pathsIn(base).filter(([first]) => first !== 'revision');

/** The base under a revision, with one value replaced, or removed where `value` is undefined. */
function changed(revision: number, path: Path, value: unknown): object {
  const document = { ...structuredClone(base), revision };
  let parent = document as unknown as Record<string | number, unknown>;
  for (const key of path.slice(0, -1)) parent = parent[key] as Record<string | number, unknown>;
  const last = path.at(-1)!;
  if (value !== undefined) parent[last] = value;
  else if (Array.isArray(parent)) parent.splice(Number(last), 1);
  else delete parent[last];
  return document;
}

test('a drawn change of one field is refused or served, and so is the way back', () => {
  let accepted = 0;
  const change = fc.tuple(fc.constantFrom(...basePaths), fc.oneof(fc.constant(undefined), anything));
  fc.assert(
    fc.property(fc.array(change, { minLength: 1, maxLength: 3 }), (changes) => {
      const world = createWorld();
      let revision = 1;
      assert.ok(order(world, base));
      for (const [path, value] of changes) {
        if (order(world, changed(++revision, path, value))) accepted++;
        assert.ok(order(world, { ...base, revision: ++revision }), 'the way back');
      }
    }),
    { seed, numRuns },
  );
  assert.ok(accepted >= numRuns / 10, `${accepted} accepted`);
});
