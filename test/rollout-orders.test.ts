/**
 * Roll-outs of versions at the coordinators: an order is acknowledged at any member and recognised when it is sent again,
 * what is acknowledged is carried out by whoever leads, and bad orders change nothing.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import type { OperatorRequest } from '../src/protocol/rpc/operator.js';
import { controlState, type Command } from '../src/state/control/reducer.js';
import { rollouts } from '../src/state/control/rollouts.js';
import { storedFormat } from '../src/state/control/stored-format.js';
import type { Runner, ServiceRollout } from '../src/types.js';
import { coordinators, repacked, virtualTime, type Group } from './support/coordinators.js';
import { route } from './support/routes.js';

const { order, send } = coordinators;

function runner(id: string, version: string): Runner {
  const listing = { service: 's', addr: `${id}:1`, zone: 'z', slotCount: 4, draining: false, paused: false };
  return { id, ...listing, version, models: [] };
}

async function led(nodeCount = 3): Promise<Group> {
  const group = coordinators.create(5, nodeCount);
  group.runners = ['a', 'b', 'c', 'd'].map((id) => runner(id, 'v1'));
  coordinators.elect(group, group.nodes[0]!);
  const configuration = { revision: 1, route_list: [route('r')], service_list: [{ label: 's' }, { label: 't' }] };
  const change = { kind: 'full', configuration } as const;
  coordinators.commit(group, { kind: 'configure', baseRevision: 0, revision: 1, change, orderDigest: 'first' });
  await virtualTime.advance(group.time, 1000);
  return group;
}

function rolloutOrder(body: unknown = { target: 's', to_version: 'v2', over_s: 16 }): OperatorRequest {
  return order('POST', null, body, '/v1/rollouts');
}

async function answered(group: Group, node: number, call: OperatorRequest): Promise<{ status: number; body: string }> {
  const result = await virtualTime.timed(group.time, send(group.nodes[node]!, call));
  assert.ok(result.ms < 1000, `answered after ${result.ms} ms`);
  return result.value;
}

async function conditionAt(group: Group, node: number): Promise<string> {
  const reply = await answered(group, node, order('GET', null, '', '/v1/rollouts/s'));
  assert.equal(reply.status, 200);
  const body = JSON.parse(reply.body) as { condition: string; to_version: string };
  assert.equal(body.to_version, 'v2');
  return body.condition;
}

function current(group: Group): ServiceRollout {
  return rollouts.of(group.leader!.state.rollouts, 's')!;
}

function startNewRunners(group: Group): void {
  for (const id of ['e', 'f', 'g', 'h']) group.runners.push(runner(id, 'v2'));
}

test('SHORT: the order of a roll-out is acknowledged at every member, and again when it is resent', async () => {
  const group = await led();
  for (const node of [0, 1, 2]) assert.equal((await answered(group, node, rolloutOrder())).status, 200);
  assert.equal(group.commands.filter(({ kind }) => kind === 'start_rollout').length, 1);
  coordinators.elect(group, group.nodes[1]!);
  assert.equal((await answered(group, 2, rolloutOrder())).status, 200);
  assert.equal(group.commands.filter(({ kind }) => kind === 'start_rollout').length, 1);
  for (const node of [0, 1, 2]) assert.equal(await conditionAt(group, node), 'rolling');
});

test('an acknowledged roll-out is carried to its end by whoever leads, within its term', async () => {
  for (let changes = 0; changes < 4; changes++) {
    const group = await led();
    assert.equal((await answered(group, 1, rolloutOrder())).status, 200);
    startNewRunners(group);
    const shares = [0];
    for (let second = 1; second <= 16; second++) {
      if (changes > 0 && [2 * changes, 2 * changes + 5].includes(second))
        coordinators.elect(group, group.nodes[second % 3]!);
      await virtualTime.advance(group.time, 1000);
      assert.ok(current(group).share >= shares.at(-1)!, 'the share only rises');
      shares.push(current(group).share);
    }
    assert.equal(current(group).condition, 'complete', `${changes}: ${shares.join(' ')}`);
    assert.deepEqual(current(group).fromVersions, ['v1']);
    assert.ok(new Set(shares).size >= 4, 'by stages');
  }
});

test('a leader that was just elected ends nothing before it can know all routers', async () => {
  const group = await led();
  await answered(group, 1, rolloutOrder());
  startNewRunners(group);
  await virtualTime.advance(group.time, 4000);
  const { number, share: fromShare } = current(group);
  const last = { share: 1, elapsedMs: 12_000, reason: 'test' };
  coordinators.commit(group, { kind: 'advance_rollout', service: 's', number, fromShare, ...last });
  coordinators.elect(group, group.nodes[2]!);
  await virtualTime.advance(group.time, 2900);
  assert.equal(current(group).condition, 'rolling');
  await virtualTime.advance(group.time, 1000);
  assert.equal(current(group).condition, 'complete');
});

test('a roll-out without any new runner is reverted, and may be ordered again', async () => {
  const group = await led();
  await answered(group, 0, rolloutOrder());
  await virtualTime.advance(group.time, 31_000);
  assert.equal(current(group).condition, 'rolling');
  await virtualTime.advance(group.time, 3000);
  assert.equal(await conditionAt(group, 2), 'reverted');
  assert.equal((await answered(group, 0, rolloutOrder())).status, 200);
  assert.equal(current(group).condition, 'rolling');
  assert.equal(group.commands.filter(({ kind }) => kind === 'start_rollout').length, 2);
});

test('a copy that arrives after the end is acknowledged and starts nothing', async () => {
  const group = await led();
  await answered(group, 0, rolloutOrder());
  const { number } = current(group);
  const end: Command = {
    ...{ kind: 'end_rollout', service: 's', number, condition: 'reverted' },
    ...{ fromVersions: [], elapsedMs: 5, reason: 'bad' },
  };
  coordinators.commit(group, end);
  assert.equal((await answered(group, 1, rolloutOrder())).status, 200);
  assert.equal(current(group).condition, 'reverted');
});

test('another order for a service that is rolling gets 409, for another service it is taken', async () => {
  const group = await led();
  await answered(group, 0, rolloutOrder());
  const other = rolloutOrder({ target: 's', to_version: 'v3', over_s: 16 });
  assert.equal((await answered(group, 1, other)).status, 409);
  const elsewhere = rolloutOrder({ target: 't', to_version: 'v3', over_s: 16 });
  assert.equal((await answered(group, 1, elsewhere)).status, 200);
  assert.equal(current(group).toVersion, 'v2');
});

test('orders that can never be carried out get 400 with a place, and change nothing', async () => {
  const group = await led();
  const bodies = [
    null,
    [],
    { target: 's', to_version: 'v2' },
    { target: 's', to_version: 2, over_s: 1 },
    { target: 's', to_version: '', over_s: 1 },
    { target: 's', to_version: 'v2', over_s: 0 },
    { target: 's', to_version: 'v2', over_s: -5 },
    { target: 's', to_version: 'v2', over_s: 1e12 },
    { target: 's', to_version: 'v2', over_s: '16' },
    { target: 'nobody', to_version: 'v2', over_s: 16 },
    { target: '__proto__', to_version: 'v2', over_s: 16 },
  ];
  const before = group.commands.length;
  for (const body of bodies) {
    const reply = await answered(group, 0, rolloutOrder(body));
    assert.equal(reply.status, 400, JSON.stringify(body));
    assert.match(reply.body, /"place"/);
  }
  assert.equal(group.commands.length, before);
  assert.equal((await answered(group, 0, order('GET', null, '', '/v1/rollouts/s'))).status, 404);
  assert.equal((await answered(group, 0, order('GET', null, '', '/v1/rollouts/%'))).status, 404);
  assert.equal((await answered(group, 0, order('PUT', null, '', '/v1/rollouts'))).status, 405);
});

test('an earlier controller can neither widen nor end a roll-out that has moved on, nor touch a later one', () => {
  let state = controlState.empty();
  function apply(command: Parameters<typeof controlState.apply>[1]): string {
    const done = controlState.apply(state, storedFormat.decodeCommand(repacked(storedFormat.encodeCommand(command)))!);
    state = done.state;
    return done.outcome.kind;
  }
  const start = { kind: 'start_rollout', service: 's', toVersion: 'v2', overMs: 16_000, orderDigest: 'd' } as const;
  const stage = { kind: 'advance_rollout', service: 's', elapsedMs: 1, reason: '' } as const;
  const fromVersions: string[] = ['v1'];
  const end = { kind: 'end_rollout' as const, service: 's', fromVersions, elapsedMs: 2, reason: '' };
  assert.equal(apply(start), 'applied');
  assert.equal(apply(start), 'superseded');
  assert.equal(apply({ ...stage, number: 1, fromShare: 0, share: 0.1 }), 'applied');
  assert.equal(apply({ ...stage, number: 1, fromShare: 0, share: 0.5 }), 'superseded');
  assert.equal(apply({ ...stage, number: 1, fromShare: 0.1, share: 0.1 }), 'superseded');
  assert.equal(apply({ ...end, number: 1, condition: 'reverted' }), 'applied');
  assert.equal(apply({ ...end, number: 1, condition: 'complete' }), 'superseded');
  assert.equal(apply({ ...stage, number: 1, fromShare: 0.1, share: 1 }), 'superseded');
  assert.equal(apply({ ...start, orderDigest: 'e' }), 'applied');
  assert.equal(apply({ ...end, number: 1, condition: 'reverted' }), 'superseded');
  assert.equal(rollouts.of(state.rollouts, 's')!.condition, 'rolling');
  assert.deepEqual(storedFormat.decodeState(repacked(storedFormat.encodeState(state))), state);
});
