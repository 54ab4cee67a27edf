/**
 * Isolation of cached prefixes while the configuration changes: memory that a request of one tenant made is never used
 * by a request of another tenant, if one of the two is isolated by the configuration in force.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import fc from 'fast-check';
import { authentication } from '../src/dataplane/policies/authentication.js';
import type { RoutedRequest } from '../src/dataplane/request-context.js';
import type { Router } from '../src/dataplane/router.js';
import { cacheIsolation } from '../src/state/control/cache-isolation.js';
import { orderValidation } from '../src/state/control/order-validation.js';
import { controlState, type ControlState } from '../src/state/control/reducer.js';
import { storedFormat } from '../src/state/control/stored-format.js';
import type { Configuration, Tenant } from '../src/types.js';
import { coordinators, repacked, storedAndRead } from './support/coordinators.js';
import { route } from './support/routes.js';
import { toldRouter } from './support/told-router.js';

/** What is done to one tenant, by its number. */
type Change = { tenant: number; to: 'shared' | 'isolated' | 'absent' };

const tenantCount = 3;

function tenant(number: number, isIsolated: boolean): Tenant {
  return { label: `t${number}`, api_keys: [`key ${number}`], ...(isIsolated && { isolated: true }) };
}

function configuration(revision: number, tenants: Tenant[]): Configuration {
  return { revision, route_list: [route('r')], service_list: [{ label: 's' }], tenant_list: tenants };
}

/** The state after the configuration was ordered, decided and stored as a command. */
function ordered(state: ControlState, next: Configuration): ControlState {
  const decision = orderValidation.validate(state, coordinators.order('PUT', controlState.revision(state), next));
  assert.ok(decision.kind === 'propose' && decision.rejection === null, decision.kind);
  const done = controlState.apply(state, storedAndRead(decision.command));
  assert.equal(done.outcome.kind, 'applied');
  return done.state;
}

/** The state as a member has it that installed a snapshot. */
function snapshotted(state: ControlState): ControlState {
  return storedFormat.decodeState(repacked(storedFormat.encodeState(state)));
}

function tell(router: Router, { configuration: document, cacheIsolation: { sharedSince } }: ControlState): void {
  toldRouter.tell(router, { configuration: document, sharedDomainSince: sharedSince });
}

/** The domain in which a router caches for a tenant, as its requests pass through authentication. */
function domainAt(router: Router, number: number): string {
  const routed = { route: route('r'), request: { headers: { 'x-api-key': `key ${number}` } } };
  const result = authentication.apply(router, routed as unknown as RoutedRequest);
  assert.ok('kind' in result && result.kind === 'next');
  return result.request.isolationDomain;
}

/** The tenants whose requests have cached something, by domain. */
type Memory = Map<string, Set<number>>;

function isIsolated(state: ControlState, number: number): boolean {
  return state.configuration!.tenant_list!.some(({ label, isolated }) => label === `t${number}` && isolated === true);
}

/** A request of each tenant: what it finds in its domain was made by itself, or neither of the two is isolated. */
function checkRequests(router: Router, state: ControlState, memory: Memory, present: Set<number>): void {
  for (const number of present) {
    const domain = domainAt(router, number);
    const makers = memory.get(domain) ?? new Set();
    for (const maker of makers)
      if (maker !== number)
        assert.ok(!isIsolated(state, number) && !isIsolated(state, maker), `t${number} uses what t${maker} made`);
    memory.set(domain, makers.add(number));
  }
}

function play(changes: Change[], restart: (state: ControlState) => ControlState): number {
  const tenants = new Map<number, boolean>(Array.from({ length: tenantCount }, (_, number) => [number, false]));
  const router = toldRouter.create();
  const memory: Memory = new Map();
  let state = controlState.empty();
  let revision = 0;
  function configure(): void {
    revision++;
    const list = [...tenants].map(([number, isolated]) => tenant(number, isolated));
    state = restart(ordered(state, configuration(revision, list)));
    tell(router, state);
    checkRequests(router, state, memory, new Set(tenants.keys()));
  }
  configure();
  for (const { tenant: number, to } of changes) {
    if (to === 'absent') tenants.delete(number);
    else tenants.set(number, to === 'isolated');
    configure();
  }
  return memory.size;
}

// Guards against WALL of review case 3: what a tenant had cached before it became isolated stayed open to all others.
test('a tenant that becomes isolated takes what it cached out of the reach of the others', () => {
  play([{ tenant: 0, to: 'isolated' }], (state) => state);
});

test('a tenant that is removed and comes back isolated does so too, also over a snapshot', () => {
  const changes: Change[] = [
    { tenant: 0, to: 'absent' },
    { tenant: 0, to: 'isolated' },
  ];
  play(changes, (state) => state);
  play(changes, snapshotted);
});

const drawnChange = fc.record({
  tenant: fc.nat(tenantCount - 1),
  to: fc.constantFrom('shared' as const, 'isolated' as const, 'absent' as const),
});

test('drawn changes of tenants, with snapshots between them, never mix the caches of isolated tenants', () => {
  fc.assert(
    fc.property(fc.array(drawnChange, { maxLength: 12 }), fc.boolean(), (changes, usesSnapshots) => {
      play(changes, usesSnapshots ? snapshotted : (state) => state);
    }),
    { seed: 273, numRuns: 500 },
  );
});

test('the shared domain keeps its name while none of its members becomes isolated', () => {
  const state = ordered(controlState.empty(), configuration(1, [tenant(0, false), tenant(1, true)]));
  const others = [
    [tenant(0, false)],
    [tenant(0, false), tenant(1, false)],
    [tenant(0, false), tenant(1, true), tenant(2, true)],
    [tenant(1, true), tenant(2, false)],
  ];
  for (const tenants of others)
    assert.equal(ordered(state, configuration(2, tenants)).cacheIsolation.sharedSince, 0, JSON.stringify(tenants));
  assert.equal(ordered(state, configuration(2, [tenant(0, true)])).cacheIsolation.sharedSince, 2);
});

test('former members are forgotten by a renewal once there are too many', () => {
  const many = Array.from({ length: 5000 }, (_, number) => tenant(number, false));
  const full = ordered(controlState.empty(), configuration(1, many));
  const emptied = ordered(full, configuration(2, []));
  assert.deepEqual(emptied.cacheIsolation, { sharedSince: 2, formerMembers: [] });
});

test('the names of domains are distinct, and parts of a header', () => {
  const names = [0, 1, 12].map((since) => cacheIsolation.sharedDomain(since));
  for (const label of ['all-0', 'a b', 'ä', 'محل', '']) names.push(cacheIsolation.tenantDomain(label));
  assert.equal(new Set(names).size, names.length);
  for (const name of names) assert.match(name, /^[\w-]+$/);
});
