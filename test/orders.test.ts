/**
 * Orders of the operator: an accepted one is recognised whatever happened since, exactly one of several on one
 * base is acknowledged, no rejected one comes into force, and there is always an answer in time.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import fc from 'fast-check';
import { operator } from '../src/controlplane/operator.js';
import { shutdown } from '../src/controlplane/shutdown.js';
import { orderValidation } from '../src/state/control/order-validation.js';
import { orderMemory } from '../src/state/control/order-memory.js';
import { controlState, type ControlState } from '../src/state/control/reducer.js';
import { storedFormat } from '../src/state/control/stored-format.js';
import { configurationChange } from '../src/state/history/configuration-change.js';
import type { OperatorRequest } from '../src/protocol/rpc/operator.js';
import type { Configuration, Route } from '../src/types.js';
import { coordinators, repacked, storedAndRead, virtualTime, type Group } from './support/coordinators.js';
import { route } from './support/routes.js';
import { luck } from './support/random.js';

const { order, send } = coordinators;

function configuration(revision: number, routes: Route[] = [route('a')]): Configuration {
  return { revision, route_list: routes, service_list: [{ label: 's' }] };
}

function put(match: number, body: Configuration): OperatorRequest {
  return order('PUT', match, body);
}

function accepted(state: ControlState, call: OperatorRequest): ControlState {
  const verdict = orderValidation.validate(state, call);
  assert.ok(verdict.kind === 'propose' && verdict.rejection === null, verdict.kind);
  const done = controlState.apply(state, storedAndRead(verdict.command));
  assert.equal(done.outcome.kind, 'applied');
  return done.state;
}

async function answered(group: Group, node: number, call: OperatorRequest): Promise<number> {
  const result = await virtualTime.timed(group.time, send(group.nodes[node]!, call));
  assert.ok(result.ms < 1000, `answered after ${result.ms} ms`);
  return result.value.status;
}

function led(seed = 1): Group {
  const group = coordinators.create(seed, 3);
  coordinators.elect(group, group.nodes[0]!);
  return group;
}

const drawnItems = fc.uniqueArray(fc.tuple(fc.integer({ min: 0, max: 9 }), fc.integer({ min: 1, max: 2 })), {
  selector: (one) => one[0],
  maxLength: 10,
});
const drawn = fc.record({
  routes: drawnItems,
  services: drawnItems,
  tenants: fc.option(drawnItems, { nil: undefined }),
  limit: fc.integer({ min: 1, max: 3 }),
  extra: fc.option(fc.array(fc.integer(), { maxLength: 3 }), { nil: undefined }),
});

test('a change by items gives exactly the validated configuration, order included', () => {
  let byItems = 0;
  fc.assert(
    fc.property(fc.array(drawn, { minLength: 2, maxLength: 8 }), (list) => {
      let state: Configuration | null = null;
      list.forEach((one, index) => {
        const target = {
          revision: index + 1,
          route_list: one.routes.map(([number, deadlineMs]) => route(`r${number}`, deadlineMs)),
          service_list: one.services.map(([number, max]) => ({ label: `s${number}`, max_conns: max })),
          limits: { header_bytes: one.limit },
          ...(one.tenants && {
            tenant_list: one.tenants.map(([number, key]) => ({ label: `t${number}`, api_keys: [`${number}${key}`] })),
          }),
          ...(one.extra && { extra: one.extra }),
        } as Configuration;
        const { change } = storedAndRead({
          kind: 'configure',
          baseRevision: index,
          revision: index + 1,
          change: configurationChange.diff(state, target),
          orderDigest: '',
        });
        if (change.kind === 'items') byItems++;
        state = configurationChange.apply(state, change);
        assert.deepEqual(state, target);
      });
    }),
    { seed: 11, numRuns: 400 },
  );
  assert.ok(byItems > 100, `${byItems} changes by items`);
});

test('one changed route among many makes a small command, a re-ordered list a full one', () => {
  const many = Array.from({ length: 1400 }, (_, index) => route(`r${index}`));
  const first = configuration(1, many);
  const state = accepted(controlState.empty(), put(0, first));
  const next = configuration(2, [...many.slice(0, 7), route('r7', 5), ...many.slice(8), route('new')]);
  const verdict = orderValidation.validate(state, put(1, next));
  assert.ok(verdict.kind === 'propose');
  assert.ok(JSON.stringify(storedFormat.encodeCommand(verdict.command)).length < 1000);
  assert.deepEqual(controlState.apply(state, verdict.command).state.configuration, next);
  const reversed = orderValidation.validate(state, put(1, configuration(2, many.toReversed())));
  assert.ok(reversed.kind === 'propose' && reversed.command.kind === 'configure');
  assert.equal(reversed.command.change.kind, 'full');
});

test('an order is recognised after thousands of changes and from a snapshot, and never rejected', () => {
  const orderCount = orderMemory.maxAccepted + 300;
  const sent: OperatorRequest[] = [];
  let state = controlState.empty();
  for (let index = 0; index < orderCount; index++) {
    const call = put(index * 2, configuration(index * 2 + 2, [route('a', index + 1)]));
    sent.push(call);
    state = accepted(state, call);
  }
  for (const current of [state, storedFormat.decodeState(repacked(storedFormat.encodeState(state)))]) {
    assert.equal(orderValidation.validate(current, sent.at(-1)!).kind, 'duplicate');
    sent.forEach((call, index) => {
      assert.equal(
        orderValidation.validate(current, call).kind,
        index < 300 ? 'indeterminate' : 'duplicate',
        `order ${index}`,
      );
    });
    const never = orderValidation.validate(
      current,
      put((orderCount - 2) * 2, configuration(orderCount * 2, [route('x')])),
    );
    assert.ok(never.kind === 'rejected' && never.rejection.status === 412);
  }
  assert.ok(JSON.stringify(storedFormat.encodeState(state).orders).length < 160_000);
});

test('a resent order is acknowledged again at every member, after hundreds of changes and another leader', async () => {
  const group = led();
  const first = put(0, configuration(1));
  assert.equal(await answered(group, 1, first), 200);
  for (let revision = 1; revision < 600; revision++)
    coordinators.commit(group, commandOf(group, put(revision, configuration(revision + 1, [route('a', revision)]))));
  coordinators.elect(group, group.nodes[2]!);
  for (const node of [0, 1, 2]) assert.equal(await answered(group, node, first), 200);
});

function commandOf(group: Group, call: OperatorRequest): Parameters<typeof coordinators.commit>[1] {
  const verdict = orderValidation.validate(group.nodes[0]!.state, call);
  assert.ok(verdict.kind === 'propose');
  return verdict.command;
}

test('of eight orders on one base, sent to all members at once, exactly one is acknowledged', async () => {
  for (let seed = 1; seed <= 30; seed++) {
    const group = led(seed);
    const random = luck.create(seed);
    assert.equal(await answered(group, 0, put(0, configuration(1))), 200);
    const twins = Array.from({ length: 8 }, (_, index) => put(1, configuration(5, [route('a', index + 1)])));
    const sent = twins.map((call) => send(group.nodes[luck.below(random, 3)]!, call));
    const result = await virtualTime.timed(group.time, Promise.all(sent));
    const statuses = result.value.map((one) => one.status);
    assert.equal(statuses.filter((status) => status === 200).length, 1, statuses.join());
    assert.equal(statuses.filter((status) => status === 412).length, 7, statuses.join());
    const won = configuration(5, [route('a', statuses.indexOf(200) + 1)]);
    assert.deepEqual(group.nodes[0]!.state.configuration, won);
  }
});

test('copies of one order in flight at once share one proposal and one answer', async () => {
  const group = led();
  group.commitMs = 300;
  const call = put(0, configuration(1));
  const copies = [0, 1, 2, 0].map((node) => send(group.nodes[node]!, { ...call, id: `copy ${node}` }));
  const result = await virtualTime.timed(group.time, Promise.all(copies));
  assert.deepEqual(
    result.value.map((one) => one.status),
    [200, 200, 200, 200],
  );
  assert.equal(group.commands.length, 1);
});

test('copies of an order that is undecided wait with it and are not proposed beside it', async () => {
  const group = led();
  group.mode = 'dropped';
  const call = put(0, configuration(1));
  for (const node of [0, 1, 2]) assert.equal(await answered(group, node, call), 503);
  await virtualTime.advance(group.time, 5000);
  assert.equal(group.proposals, 1);
});

test('a command that is applied twice takes effect once, and both outcomes say so', () => {
  const call = put(0, configuration(1));
  const verdict = orderValidation.validate(controlState.empty(), call);
  assert.ok(verdict.kind === 'propose');
  const first = controlState.apply(controlState.empty(), verdict.command);
  const second = controlState.apply(first.state, verdict.command);
  assert.deepEqual([first.outcome.kind, second.outcome.kind], ['applied', 'duplicate']);
  assert.equal(second.state, first.state);
});

test('an order whose answer was lost is indeterminate in time, and acknowledged when it is sent again', async () => {
  const group = led();
  group.mode = 'lost';
  const call = put(0, configuration(1));
  assert.equal(await answered(group, 1, call), 503);
  group.mode = 'commits';
  await virtualTime.advance(group.time, 3000);
  assert.equal(await answered(group, 2, call), 200);
  assert.equal(group.commands.length, 1);
});

test('an order whose command was superseded is validated again, not acknowledged', async () => {
  const group = led();
  assert.equal(await answered(group, 0, put(0, configuration(1))), 200);
  group.commitMs = 200;
  const loser = send(group.nodes[0]!, put(1, configuration(3, [route('a', 3)])));
  await virtualTime.advance(group.time, 50);
  coordinators.commit(group, commandOf(group, put(1, configuration(2, [route('a', 2)]))));
  const result = await virtualTime.timed(group.time, loser);
  assert.equal(result.value.status, 412);
  assert.equal(group.nodes[0]!.state.configuration!.revision, 2);
});

test('a rejection is final: a late copy on a base that came into force since is not accepted', async () => {
  const group = led();
  assert.equal(await answered(group, 0, put(0, configuration(1))), 200);
  const early = put(2, configuration(3, [route('early')]));
  assert.equal(await answered(group, 0, early), 412);
  assert.equal(await answered(group, 0, put(1, configuration(2))), 200);
  coordinators.elect(group, group.nodes[1]!);
  assert.equal(await answered(group, 2, early), 412);
  assert.equal(group.nodes[1]!.state.configuration!.revision, 2);
  assert.equal(await answered(group, 2, put(2, configuration(3, [route('other')]))), 200);
});

test('a rejection for a base not in force yet is superseded when that base came into force before it', () => {
  const base = accepted(controlState.empty(), put(0, configuration(1)));
  const early = put(2, configuration(3));
  const verdict = orderValidation.validate(base, early);
  assert.ok(verdict.kind === 'propose' && verdict.rejection !== null);
  const later = accepted(base, put(1, configuration(2)));
  const skipped = controlState.apply(later, verdict.command);
  assert.deepEqual([skipped.outcome.kind, skipped.state], ['superseded', later]);
  assert.equal(accepted(later, early).configuration!.revision, 3);
});

test('a leader that is cut off neither rejects nor accepts nor reads, and answers 503 within a second', async () => {
  const group = led();
  assert.equal(await answered(group, 0, put(0, configuration(1))), 200);
  const old = group.nodes[0]!;
  group.cutOff.add(old.address);
  coordinators.elect(group, group.nodes[1]!);
  assert.equal(old.thinksLeader, true);
  assert.equal(await answered(group, 1, put(1, configuration(2))), 200);
  old.isFresh = false;
  assert.equal(await answered(group, 0, put(0, configuration(7))), 503, 'would be 412');
  assert.equal(await answered(group, 0, put(2, configuration(9))), 503);
  assert.equal(await answered(group, 0, order('GET', null, '')), 503);
  assert.equal(group.commands.length, 2);
});

test('without a majority, or without any leader, every call is answered as indeterminate within a second', async () => {
  const group = led();
  group.hasMajority = false;
  for (const node of [0, 1]) {
    assert.equal(await answered(group, node, put(0, configuration(1))), 503);
    assert.equal(await answered(group, node, put(5, configuration(6))), 503);
    assert.equal(await answered(group, node, order('GET', null, '')), 503);
  }
  coordinators.loseLeader(group);
  assert.equal(await answered(group, 2, put(0, configuration(1))), 503);
  assert.equal(group.commands.length, 0);
});

test('an order that takes long to reach the leader is answered in time, decided there and recognised later', async () => {
  const group = led();
  group.linkMs = 1500;
  group.bulkMs = 5000;
  const call = put(0, configuration(1));
  assert.equal(await answered(group, 1, call), 503);
  await virtualTime.advance(group.time, 8000);
  group.linkMs = 2;
  assert.equal(await answered(group, 2, call), 200);
  assert.equal(group.commands.length, 1);
});

test('an order that is undecided at one leader is neither rejected nor accepted twice at the next', async () => {
  const group = led();
  assert.equal(await answered(group, 0, put(0, configuration(1))), 200);
  const call = put(1, configuration(2, [route('b')]));
  group.mode = 'lost';
  assert.equal(await answered(group, 0, call), 503);
  group.mode = 'commits';
  coordinators.elect(group, group.nodes[1]!);
  const result = await virtualTime.timed(
    group.time,
    Promise.all([0, 1, 2].map((node) => send(group.nodes[node]!, call))),
  );
  for (const one of result.value) assert.notEqual(one.status, 412);
  assert.equal(await answered(group, 2, call), 200);
  assert.equal(group.commands.length, 2);
});

test('a member that leads no longer forwards the order to the one that does', async () => {
  const group = led();
  coordinators.elect(group, group.nodes[2]!);
  assert.equal(await answered(group, 0, put(0, configuration(1))), 200);
  assert.equal(await answered(group, 1, order('POST', null, { model_name: 'm', revision: 2 }, '/v1/version-put')), 200);
  assert.equal(await answered(group, 0, order('POST', null, { model_name: 'm', revision: 1 }, '/v1/version-put')), 200);
  assert.deepEqual(group.nodes[0]!.state.weights, { m: 2 });
  assert.equal(await answered(group, 1, order('GET', null, '')), 200);
});

test('random orders: one acknowledgement a base, acknowledged ones recognised for good, rejected ones never in force', async () => {
  for (let seed = 1; seed <= 25; seed++) {
    const group = led(seed);
    const random = luck.create(seed * 7);
    const acknowledged = new Map<number, string>();
    const refused = new Set<string>();
    const sent: OperatorRequest[] = [];
    for (let step = 0; step < 40; step++) {
      const now = group.nodes[luck.below(random, 3)]!.state.configuration?.revision ?? 0;
      const base = luck.next(random) < 0.7 ? now : Math.max(0, now + luck.below(random, 5) - 2);
      const fresh = put(
        base,
        configuration(base + 1 + luck.below(random, 2), [route('a', luck.below(random, 1e6) + 1)]),
      );
      const call = sent.length > 0 && luck.next(random) < 0.4 ? luck.pick(random, sent) : fresh;
      sent.push(call);
      group.mode = luck.pick(random, ['commits', 'commits', 'lost', 'dropped'] as const);
      if (luck.next(random) < 0.15) coordinators.elect(group, luck.pick(random, group.nodes));
      const result = await virtualTime.timed(group.time, send(luck.pick(random, group.nodes), call));
      const digest = orderMemory.digest(call);
      if (result.value.status === 200) {
        assert.ok(!refused.has(digest), 'a refused order was acknowledged');
        assert.equal(acknowledged.get(Number(call.ifMatch)) ?? digest, digest, 'two acknowledged on one base');
        acknowledged.set(Number(call.ifMatch), digest);
      } else if (result.value.status !== 503) {
        assert.notEqual(acknowledged.get(Number(call.ifMatch)), digest, 'an acknowledged order was refused');
        refused.add(digest);
      }
    }
    for (const { digest } of group.nodes[0]!.state.orderMemory.acceptedOrders)
      assert.ok(!refused.has(digest), 'a refused one is in force');
  }
});

test('a planned stop answers the calls in flight, accepts no new ones, and then transfers leadership', async () => {
  const group = led();
  group.commitMs = 400;
  const leader = group.nodes[0]!;
  const call = put(0, configuration(1));
  const underWay = send(leader, call);
  const sentOn = send(group.nodes[1]!, { ...call, id: 'sent on' });
  await virtualTime.advance(group.time, 20);
  const stopped = shutdown.stop(leader.coordinator);
  await virtualTime.advance(group.time, 20);
  assert.equal(leader.handedOver, false, 'not before the order is answered');
  assert.equal(await answered(group, 0, put(0, configuration(4))), 503);
  assert.equal(await operator.handleAsLeader(leader.coordinator, put(0, configuration(4))), null);
  assert.equal((await virtualTime.timed(group.time, underWay)).value.status, 200);
  assert.equal((await virtualTime.timed(group.time, sentOn)).value.status, 200);
  await virtualTime.timed(group.time, stopped);
  assert.equal(leader.handedOver, true);
});

test('a stop does not wait for an order that can not be decided', async () => {
  const group = led();
  group.mode = 'dropped';
  void send(group.nodes[0]!, put(0, configuration(1)));
  await virtualTime.advance(group.time, 20);
  const result = await virtualTime.timed(group.time, shutdown.stop(group.nodes[0]!.coordinator));
  assert.ok(result.ms <= 2000, `${result.ms} ms`);
});

// Guards against an acknowledgement by founders alone, which two lost disks of five would take back (`review/4`).
test('an order is acknowledged once all voters are there, and kept waiting for them only for a part of ack_ms', async () => {
  const group = led();
  group.hasTargetVoters = false;
  const call = put(0, configuration(1));
  assert.equal(await answered(group, 0, call), 503);
  assert.equal(group.nodes[0]!.state.configuration?.revision, 1, 'it is committed, but not acknowledged');
  group.hasTargetVoters = true;
  assert.equal(await answered(group, 0, call), 200);

  const incomplete = led();
  incomplete.hasTargetVoters = false;
  const { ack_ms: ackMs } = incomplete.nodes[0]!.coordinator.settings.bound_set;
  const electedAt = incomplete.time.now;
  const statuses = new Set<number>();
  while (incomplete.time.now - electedAt < ackMs) statuses.add(await answered(incomplete, 0, call));
  assert.deepEqual([...statuses], [503, 200], 'voters that never come are not waited for longer');
});
