/**
 * Responses of runners without a length, which end with their connection (RFC 9112, 6.3): over loopback between a client
 * and scripted runners. Such a response is complete only if the connection ended in order.
 */
import { strict as assert } from 'node:assert';
import { after, before, test } from 'node:test';
import { routerStandin as router, type RouterWorld } from './standins/router.js';

const { steps, events, isIncomplete } = router;
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

test('events are told apart by each line end that the format allows', async () => {
  for (const lineEnd of ['\n', '\r\n', '\r']) {
    const [body, half] = [events(1, 4), `${events(1, 2)}id: 3\nda`].map((text) => text.replaceAll('\n', lineEnd));
    const whole = await router.send(world, '/stream/x', nextId(), [steps.unframed(body!, eventFields)]);
    assert.deepEqual([whole.body, whole.isWhole], [body, true], JSON.stringify(lineEnd));
    const cut = await router.send(world, '/resume/x', nextId(), [
      steps.unframed(half!, eventFields),
      steps.unframed(events(3, 4).replaceAll('\n', lineEnd), eventFields),
    ]);
    assert.deepEqual([cut.body, cut.isWhole], [body, true], JSON.stringify(lineEnd));
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

// Guards against a reset that libuv reports as an orderly end, since it is noticed together with the last bytes.
test('a reset that comes together with the last bytes is no end of a response without a length', async () => {
  const body = 'x'.repeat(200_000);
  for (let round = 0; round < 40; round++) {
    const path = round % 2 === 0 ? '/once/x' : '/repeat/x';
    const id = nextId();
    const result = await router.send(world, path, id, [steps.resetUnframedAtOnce(body), steps.whole('whole two')]);
    const isSecond = path === '/repeat/x' && result.body === 'whole two';
    assert.ok(isIncomplete(result) || result.status === 502 || isSecond, `round ${round}: ${result.body.length} bytes`);
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

// Guards against ORDER of review case 5: a crash inside an event of such a stream was forwarded as its end.
test('a stream without a length that ends inside an event is not complete, and is resumed where it may be', async () => {
  const half = `${events(1, 3)}id: 4\ndata`;
  const once = nextId();
  const broken = await router.send(world, '/stream/x', once, [
    steps.unframed(half, eventFields),
    steps.whole('second run'),
  ]);
  assert.ok(isIncomplete(broken), broken.body);
  assert.equal(broken.body, events(1, 3), 'nothing but complete events');
  assert.equal(router.callsOf(world, once).length, 1);
  const again = nextId();
  const resumed = await router.send(world, '/resume/x', again, [
    steps.unframed(half, eventFields),
    steps.unframed(events(4, 6), eventFields),
  ]);
  const [, second] = router.callsOf(world, again);
  assert.deepEqual([resumed.body, resumed.isWhole, second!.lastEventId], [events(1, 6), true, '3']);
});

test('a stream without a length that ends before its first event is not complete', async () => {
  const once = nextId();
  const ended = await router.send(world, '/stream/x', once, [
    steps.unframed('', eventFields),
    steps.whole('second run'),
  ]);
  assert.deepEqual([ended.status, router.callsOf(world, once).length], [502, 1]);
  const again = nextId();
  const resumed = await router.send(world, '/resume/x', again, [
    steps.cutStream(events(1, 2)),
    steps.unframed('', eventFields),
    steps.stream(events(3, 4)),
  ]);
  assert.deepEqual([resumed.body, resumed.isWhole], [events(1, 4), true]);
});

test('bytes that are no event never end a stream that another runner began', async () => {
  for (const rest of [steps.stream('no event'), steps.unframed('no event', eventFields)]) {
    const id = nextId();
    const result = await router.send(world, '/resume/x', id, [steps.cutStream(events(1, 2)), rest, steps.reset]);
    assert.ok(isIncomplete(result), result.body);
    assert.equal(result.body, events(1, 2));
  }
});

test('a stream in chunks whose last event lacks its blank line is forwarded as it is', async () => {
  const id = nextId();
  const body = `${events(1, 2)}id: 3\ndata: piece 3\n`;
  const result = await router.send(world, '/stream/x', id, [steps.stream(body)]);
  assert.deepEqual([result.body, result.isWhole], [body, true]);
});

test("a runner's failure without a length that is reset is not forwarded as complete", async () => {
  const id = nextId();
  const failure = steps.resetUnframed('half', {}, '500 Internal Server Error');
  const result = await router.send(world, '/once/x', id, [failure, steps.whole('second run')]);
  assert.ok(isIncomplete(result) || result.status === 502, `${result.status} ${result.body}`);
  assert.equal(router.callsOf(world, id).length, 1);
});
