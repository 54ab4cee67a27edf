/**
 * Responses of runners without a length, which end with their connection (RFC 9112, 6.3): over loopback between a client
 * and scripted runners. Such a response is complete only if the connection ended in order.
 */
import { strict as assert } from 'node:assert';
import { after, before, test } from 'node:test';
import { routerStandin as router, type ClientResult, type RouterWorld } from './standins/router.js';

const { steps, events } = router;
const eventFields = { 'Content-Type': 'text/event-stream' };
const largeBody = 'x'.repeat(200_000);
let world: RouterWorld;
let lastId = 0;

before(async () => {
  world = await router.create(5, 3);
});

after(() => router.stop(world));

function nextId(): string {
  return `unframed-${++lastId}`;
}

/** Whether the client can see that the response is incomplete. */
function isIncomplete(result: ClientResult): boolean {
  return result.status === 0 || !result.isWhole;
}

test('a response without a length that ends in order is forwarded whole', async () => {
  for (const [path, body, fields] of [
    ['/repeat/x', 'whole', {}],
    ['/repeat/x', largeBody, {}],
    ['/once/x', 'whole', {}],
    ['/stream/x', events(1, 4), eventFields],
    ['/resume/x', events(1, 4), eventFields],
  ] as const) {
    const id = nextId();
    const result = await router.send(world, path, id, [steps.unframed(body, fields), steps.whole('second run')]);
    assert.deepEqual([result.status, result.body, result.isWhole], [200, body, true], path);
    assert.equal(router.callsOf(world, id).length, 1, path);
  }
});

// Guards against MIXED of review case 1: a response without a length that is reset was forwarded as a complete one.
test('a response without a length that is reset is never forwarded as complete', async () => {
  for (const [path, part, fields] of [
    ['/once/x', 'half', {}],
    ['/once/x', largeBody, {}],
    ['/repeat/x', largeBody, {}],
    ['/stream/x', events(1, 2), eventFields],
  ] as const) {
    const id = nextId();
    const result = await router.send(world, path, id, [steps.resetUnframed(part, fields), steps.whole('second run')]);
    assert.ok(isIncomplete(result) || result.status === 502, `${path}: ${result.status} ${result.body.slice(0, 80)}`);
    assert.equal(router.callsOf(world, id).length, 1, path);
  }
});

test('a small idempotent response without a length that is reset is replaced by that of another runner', async () => {
  const id = nextId();
  const result = await router.send(world, '/repeat/x', id, [steps.resetUnframed('half'), steps.whole('whole two')]);
  assert.deepEqual([result.status, result.body, result.isWhole], [200, 'whole two', true]);
});

test('a stream without a length that is reset is resumed after its last event', async () => {
  const id = nextId();
  const result = await router.send(world, '/resume/x', id, [
    steps.resetUnframed(events(1, 2), eventFields),
    steps.unframed(events(3, 4), eventFields),
  ]);
  const [, second] = router.callsOf(world, id);
  assert.deepEqual([result.body, result.isWhole, second!.lastEventId], [events(1, 4), true, '2']);
});

test("a runner's failure without a length that is reset is not forwarded as complete", async () => {
  const id = nextId();
  const failure = steps.resetUnframed('half', {}, '500 Internal Server Error');
  const result = await router.send(world, '/once/x', id, [failure, steps.whole('second run')]);
  assert.ok(isIncomplete(result) || result.status === 502, `${result.status} ${result.body}`);
  assert.equal(router.callsOf(world, id).length, 1);
});
