/**
 * Updates of configuration and endpoints: applied to what a router has, they give what the full state would
 * have given; from before the history the full state is sent.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import fc from 'fast-check';
import { endpointsHistory } from '../src/state/history/endpoints-history.js';
import type { ConfigurationUpdate } from '../src/protocol/rpc/updates.js';
import { configurationHistory } from '../src/state/history/configuration-history.js';
import { itemHistory } from '../src/state/history/item-history.js';
import type { EndpointsSnapshot, Configuration, Runner } from '../src/types.js';
import { route } from './support/routes.js';

function sorted(configuration: Configuration): unknown {
  function byLabel(a: { label: string }, b: { label: string }): number {
    return a.label < b.label ? -1 : 1;
  }
  return {
    ...configuration,
    route_list: [...configuration.route_list].sort(byLabel),
    service_list: [...configuration.service_list].sort(byLabel),
    tenant_list: configuration.tenant_list && [...configuration.tenant_list].sort(byLabel),
  };
}

const drawn = fc.record({
  routes: fc.uniqueArray(fc.tuple(fc.integer({ min: 0, max: 12 }), fc.integer({ min: 1, max: 3 })), {
    selector: (item) => item[0],
    maxLength: 12,
  }),
  tenants: fc.option(fc.uniqueArray(fc.integer({ min: 0, max: 5 }), { maxLength: 5 }), { nil: undefined }),
  limit: fc.integer({ min: 1, max: 3 }),
  gap: fc.integer({ min: 1, max: 5 }),
});

test('a router at any earlier revision reaches the one in force, by an update or the full state', () => {
  fc.assert(
    fc.property(fc.array(drawn, { minLength: 2, maxLength: 12 }), (list) => {
      const history = configurationHistory.create();
      const all: Configuration[] = [];
      let revision = 0;
      for (const drawnStep of list) {
        revision += drawnStep.gap;
        const configuration: Configuration = {
          revision,
          route_list: drawnStep.routes.map(([number, deadlineMs]) => route(`r${number}`, deadlineMs)),
          service_list: [{ label: 's' }],
          limits: { header_bytes: drawnStep.limit },
          ...(drawnStep.tenants
            ? {
                tenant_list: drawnStep.tenants.map((number) => ({ label: `t${number}`, api_keys: [`k${number}`] })),
              }
            : {}),
        };
        all.push(configuration);
        configurationHistory.record(history, configuration);
        for (const was of all) {
          const delta = configurationHistory.deltaSince(history, was.revision);
          if (delta === null) continue;
          const next = configurationHistory.apply(was, JSON.parse(JSON.stringify(delta)) as ConfigurationUpdate);
          assert.ok(next);
          assert.deepEqual(sorted(next), sorted(configuration));
        }
        assert.equal(configurationHistory.deltaSince(history, revision + 1), null);
        assert.equal(configurationHistory.deltaSince(history, 0), null);
      }
    }),
    { seed: 8, numRuns: 200 },
  );
});

test('one changed route among many is sent alone', () => {
  const history = configurationHistory.create();
  const many = Array.from({ length: 1400 }, (_, index) => route(`r${index}`, 1000));
  const first: Configuration = { revision: 3, route_list: many, service_list: [{ label: 's' }] };
  configurationHistory.record(history, first);
  configurationHistory.record(history, {
    ...first,
    revision: 5,
    route_list: many.map((item) => (item.label === 'r7' ? route('r7', 2000) : { ...item })),
  });
  const delta = configurationHistory.deltaSince(history, 3)!;
  assert.equal(delta.routes.upserts.length, 1);
  assert.ok(JSON.stringify(delta).length < 600);
});

test('an update that does not fit is rejected, so that the full state is requested', () => {
  const history = configurationHistory.create();
  const first: Configuration = { revision: 1, route_list: [route('a', 1), route('b', 1)], service_list: [] };
  configurationHistory.record(history, first);
  configurationHistory.record(history, { ...first, revision: 2, route_list: [route('a', 2), route('b', 1)] });
  const delta = configurationHistory.deltaSince(history, 1)!;
  const nothing: Configuration | null = null;
  assert.equal(configurationHistory.apply(nothing, delta), null);
  assert.equal(configurationHistory.apply({ ...first, revision: 7 }, delta), null);
  assert.equal(
    configurationHistory.apply({ ...first, route_list: [route('a', 1)] }, delta),
    null,
    'one item is missing',
  );
});

function runner(id: string, parked: boolean): Runner {
  return { id, service: 's', addr: `${id}:1`, zone: 'z', slotCount: 8, draining: false, paused: parked, models: [] };
}

const boardSteps = fc.array(
  fc.tuple(
    fc.uniqueArray(fc.tuple(fc.integer({ min: 0, max: 8 }), fc.boolean()), {
      selector: (item) => item[0],
      maxLength: 8,
    }),
    fc.integer({ min: 1, max: 3 }),
    fc.integer({ min: 0, max: 9 }),
  ),
  { minLength: 2, maxLength: 15 },
);

test('snapshots of one term are sent as updates, a new term in full, also where snapshots were skipped', () => {
  fc.assert(
    fc.property(boardSteps, (list) => {
      const everything: EndpointsSnapshot[] = [];
      let board: EndpointsSnapshot = { term: 1, seq: 0, runners: [], routerCount: 0 };
      for (const [rows, gap, newTerm] of list) {
        const term = board.term + (newTerm === 0 ? 1 : 0);
        board = {
          term,
          seq: term === board.term ? board.seq + gap : 1,
          runners: rows.map(([number, parked]) => runner(`i${number}`, parked)),
          routerCount: gap,
        };
        everything.push(board);
      }
      const history = endpointsHistory.create();
      everything.forEach((snapshot, index) => {
        if (index % 2 === 1 && index < everything.length - 1) return;
        endpointsHistory.record(history, snapshot);
        for (const was of everything.slice(0, index + 1)) {
          const delta = endpointsHistory.deltaSince(history, was.term, was.seq);
          if (was.term !== snapshot.term) assert.equal(delta, null);
          if (delta === null) continue;
          const next = endpointsHistory.apply(was, delta);
          assert.ok(next);
          assert.deepEqual([...next.runners!].sort(byId), [...snapshot.runners!].sort(byId));
          assert.deepEqual(
            [next.term, next.seq, next.routerCount],
            [snapshot.term, snapshot.seq, snapshot.routerCount],
          );
        }
      });
      const before = everything.at(-1)!;
      const delta = endpointsHistory.deltaSince(history, before.term, before.seq);
      assert.equal(delta?.runners.upserts.length ?? 0, 0);
    }),
    { seed: 21, numRuns: 300 },
  );
});

function byId(a: Runner, b: Runner): number {
  return a.id < b.id ? -1 : 1;
}

test('old removals are forgotten beyond a bound, and readers from before them need the full list', () => {
  const history = itemHistory.create<{ label: string }>();
  function label(item: { label: string }): string {
    return item.label;
  }
  itemHistory.reset(history, 1, [{ label: 'stays' }], label);
  for (let step = 2; step < 3000; step++)
    itemHistory.advance(history, step, [{ label: 'stays' }, { label: `x${step}` }], label);
  assert.ok(history.removedAt.size <= 2000);
  assert.equal(itemHistory.deltaSince(history, 1), null);
  assert.deepEqual(itemHistory.deltaSince(history, 2990)!.upserts, [{ label: 'x2999' }]);
});
