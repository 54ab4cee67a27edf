/**
 * What a runner does to an answer, and what the client may then get: a router over loopback between a client
 * and scripted runners. Nothing broken may look whole, nothing is put together from two answers, and what may
 * run once reaches one runner.
 */
import { strict as assert } from 'node:assert';
import { after, before, test } from 'node:test';
import { routerStandin as router, type ClientResult, type RouterWorld } from './standins/router.js';

const { steps, events } = router;
const largeBody = 'x'.repeat(200_000);
let world: RouterWorld;
let lastId = 0;

before(async function up() {
  world = await router.create(1, 3);
});

after(function down() {
  return router.stop(world);
});

function nextId(): string {
  return `answer-${++lastId}`;
}

function isCut(result: ClientResult): boolean {
  return result.status === 0 || !result.isWhole;
}

test('a large answer that broke off is never finished by another runner', async function run() {
  for (const broken of [
    steps.cutWithLength(largeBody.slice(0, 150_000), 200_000),
    steps.cutInChunks(largeBody.slice(0, 150_000)),
  ]) {
    const id = nextId();
    const result = await router.send(world, '/repeat/x', id, [broken, steps.whole(largeBody)]);
    assert.ok(isCut(result), 'the connection ends before the answer does');
    assert.equal(router.callsOf(world, id).length, 1, 'no other runner is asked');
  }
});

test('a small answer that may be repeated and broke off is had whole from another runner', async function run() {
  for (const broken of [steps.cutWithLength('half', 8), steps.cutInChunks('half')]) {
    const id = nextId();
    const result = await router.send(world, '/repeat/x', id, [broken, steps.whole('whole two')]);
    const [, second] = router.callsOf(world, id);
    assert.deepEqual([result.status, result.body, result.isWhole], [200, 'whole two', true]);
    assert.equal(result.headers['x-server-seal'], `seal of ${second!.runner}`, 'the head of the same answer');
  }
});

test('an answer that may not be repeated and broke off ends with the connection', async function run() {
  for (const path of ['/once/x', '/stream/x']) {
    for (const broken of [steps.cutWithLength('half', 8), steps.cutInChunks('half'), steps.cutStream(events(1, 2))]) {
      const id = nextId();
      const result = await router.send(world, path, id, [broken, steps.whole('whole two')]);
      assert.ok(isCut(result) || result.status === 502, `${path}: ${result.status} ${result.body}`);
      assert.equal(router.callsOf(world, id).length, 1);
    }
  }
});

test('a stream that was begun is not finished by a failure, a plain answer or another status', async function run() {
  const others = [
    steps.whole('failed', '500 Internal Server Error'),
    steps.whole('none', '404 Not Found'),
    steps.whole('plain'),
    steps.stream(events(3, 4), { 'X-Server-Seal': '' }),
    steps.whole(events(3, 4), '201 Created'),
  ];
  for (const other of others) {
    const id = nextId();
    const result = await router.send(world, '/resume/x', id, [
      steps.cutStream(`${events(1, 2)}id: 3\nda`),
      other,
      other,
    ]);
    assert.ok(isCut(result), result.body);
    assert.equal(result.body, events(1, 2), 'nothing but the whole events of the first runner');
  }
});

test('an answer with a length on a route of streams is not taken up in its middle', async function run() {
  const id = nextId();
  const result = await router.send(world, '/resume/x', id, [
    steps.cutWithLength(largeBody.slice(0, 150_000), 200_000),
    steps.stream(events(1, 4)),
  ]);
  assert.ok(isCut(result));
  assert.equal(router.callsOf(world, id).length, 1);
});
