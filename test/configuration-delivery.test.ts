/**
 * What a coordinator accepts it can tell every router: a configuration that passes the check passes the checks of the
 * watch response too, in full and as an update, and is in force at the router.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import fc from 'fast-check';
import { configurationCheck } from '../src/protocol/configuration/check.js';
import { configurationHistory } from '../src/state/history/configuration-history.js';
import type { Configuration } from '../src/types.js';
import { route } from './support/routes.js';
import { toldRouter } from './support/told-router.js';

const longText = 'eyJhbGciOiJSUzI1NiJ9'.repeat(60);

function configuration(over: Partial<Configuration> = {}): Configuration {
  return {
    revision: 1,
    route_list: [route('r')],
    service_list: [{ label: 's' }],
    tenant_list: [{ label: 't', api_keys: ['key'] }],
    ...over,
  };
}

/** Both ways to tell a router of `next`: in full, and as an update of `base`; as JSON, as the operator reads it back. */
function assertDelivered(base: Configuration, next: Configuration): void {
  const inFull = toldRouter.create();
  toldRouter.tell(inFull, { configuration: next });
  assert.equal(JSON.stringify(inFull.configuration?.document), JSON.stringify(next));
  const byUpdate = toldRouter.create();
  toldRouter.tell(byUpdate, { configuration: base });
  const history = configurationHistory.create();
  configurationHistory.record(history, base);
  configurationHistory.record(history, next);
  toldRouter.tell(byUpdate, { configurationUpdate: configurationHistory.deltaSince(history, base.revision) });
  const document = byUpdate.configuration?.document;
  assert.deepEqual(
    [document?.revision, document?.route_list, document?.tenant_list].map((part) => JSON.stringify(part)),
    [next.revision, next.route_list, next.tenant_list].map((part) => JSON.stringify(part)),
  );
}

// Guards against CONFIG of review case 2: a key of 1,200 characters was acknowledged and no router took it.
test('texts of any length that are accepted are delivered', () => {
  const base = configuration();
  const changes: Partial<Configuration>[] = [
    { tenant_list: [{ label: 't', api_keys: [longText] }] },
    { tenant_list: [{ label: longText, api_keys: ['key'], model_rule: [longText] }] },
    { route_list: [{ ...route('r'), label: longText, hostname: longText, path_prefix: `/${longText}/` }] },
    { route_list: [{ ...route('r'), target: longText }], service_list: [{ label: longText }] },
  ];
  for (const change of changes) {
    const next = configuration({ revision: 2, ...change });
    assert.deepEqual(configurationCheck.check(next), []);
    assertDelivered(base, next);
  }
});

test('as many keys as a call of the operator can hold are delivered', () => {
  const keys = Array.from({ length: 120_000 }, (_, index) => `k${index}`);
  assertDelivered(configuration(), configuration({ revision: 2, tenant_list: [{ label: 't', api_keys: keys }] }));
});

test('access rules, weights and runners with long names are delivered', () => {
  const router = toldRouter.create();
  const runner = { id: longText, service: longText, addr: '10.0.0.1:1', zone: longText, slotCount: 1 };
  const rules = { [longText]: [longText] };
  toldRouter.tell(router, {
    weights: { [longText]: 3 },
    weightsSeq: 1,
    accessRules: { seq: 1, activeRules: rules, pendingRules: null, pendingRevision: 0 },
    endpoints: {
      term: 1,
      seq: 1,
      routerCount: 1,
      runners: [{ ...runner, draining: false, paused: false, models: [{ label: longText, revision: 1 }] }],
    },
  });
  assert.equal(router.weights.revisions[longText], 3);
  assert.deepEqual(router.accessRules.state.activeRules, rules);
  assert.ok(router.endpointPool.byId.has(longText));
});

test('a number that no router could be told is a finding with its path', () => {
  const faults: [string, unknown][] = [
    ['revision', JSON.parse('{"revision": 1759999999999000000}')],
    ['revision', JSON.parse('{"revision": 1e999}')],
    ['route_list.0.deadline_ms', { route_list: [JSON.parse(`{"deadline_ms": 1e999}`)] }],
    ['route_list.0.rank', { route_list: [JSON.parse(`{"rank": -1e999}`)] }],
  ];
  for (const [path, over] of faults) {
    const fields = over as Partial<Configuration>;
    const next = configuration(fields);
    if (fields.route_list) next.route_list = [{ ...route('r'), ...fields.route_list[0] }];
    assert.deepEqual(
      configurationCheck.check(next).map((finding) => finding.path),
      [path],
    );
  }
});

const text = fc.string({ unit: 'grapheme', minLength: 1, maxLength: 2000 });
const amount = fc.oneof(fc.nat(), fc.double(), fc.constantFrom(0, 0.5, 2 ** 53, 2 ** 53 + 2, 1e300, -1, Infinity, NaN));
const drawn = fc.record({
  revision: fc.oneof(fc.integer({ min: 2, max: 9 }), amount),
  label: text,
  hostname: text,
  deadline_ms: amount,
  rank: amount,
  key: text,
  isolated: fc.constantFrom(undefined, true, false),
});

test('drawn configurations are delivered if they are accepted', () => {
  let accepted = 0;
  fc.assert(
    fc.property(drawn, ({ revision, label, hostname, deadline_ms, rank, key, isolated }) => {
      const next = configuration({
        revision,
        route_list: [{ ...route('r'), label, hostname, deadline_ms, rank }],
        tenant_list: [{ label, api_keys: [key], rank, ...(isolated !== undefined && { isolated }) }],
      });
      if (configurationCheck.check(next).length > 0 || revision < 2) return;
      accepted++;
      assertDelivered(configuration(), next);
    }),
    { seed: 27, numRuns: 1000 },
  );
  assert.ok(accepted > 100, `${accepted} accepted`);
});
