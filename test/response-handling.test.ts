/**
 * How a router handles the responses of runners, right and wrong ones, over loopback between a client and scripted
 * runners: no broken response looks complete, none is put together from two, and a non-idempotent request that may have
 * run is sent once.
 */
import { strict as assert } from 'node:assert';
import { after, before, test } from 'node:test';
import { routerStandin as router, type RouterWorld } from './standins/router.js';

const { steps, events, isIncomplete } = router;
const largeBody = 'x'.repeat(200_000);
let world: RouterWorld;
let lastId = 0;

before(async () => {
  world = await router.create(1, 3);
});

after(() => router.stop(world));

function nextId(): string {
  return `answer-${++lastId}`;
}

test('a large response that breaks off is never completed by another runner', async () => {
  for (const broken of [
    steps.cutWithLength(largeBody.slice(0, 150_000), 200_000),
    steps.cutInChunks(largeBody.slice(0, 150_000)),
  ]) {
    const id = nextId();
    const result = await router.send(world, '/repeat/x', id, [broken, steps.whole(largeBody)]);
    assert.ok(isIncomplete(result), 'the connection ends before the response does');
    assert.equal(router.callsOf(world, id).length, 1, 'no other runner is asked');
  }
});

test('a small idempotent response that breaks off is replaced by a complete one of another runner', async () => {
  for (const broken of [steps.cutWithLength('half', 8), steps.cutInChunks('half')]) {
    const id = nextId();
    const result = await router.send(world, '/repeat/x', id, [broken, steps.whole('whole two')]);
    const [, second] = router.callsOf(world, id);
    assert.deepEqual([result.status, result.body, result.isWhole], [200, 'whole two', true]);
    assert.equal(result.headers['x-server-seal'], `seal of ${second!.runner}`, 'the headers of the same response');
  }
});

test('a non-idempotent response that breaks off is not retried; the client sees it incomplete or 502', async () => {
  for (const path of ['/once/x', '/stream/x']) {
    for (const broken of [steps.cutWithLength('half', 8), steps.cutInChunks('half'), steps.cutStream(events(1, 2))]) {
      const id = nextId();
      const result = await router.send(world, path, id, [broken, steps.whole('whole two')]);
      assert.ok(isIncomplete(result) || result.status === 502, `${path}: ${result.status} ${result.body}`);
      assert.equal(router.callsOf(world, id).length, 1);
    }
  }
});

test('a stream in progress is not completed by a failure, a plain response or another status', async () => {
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
    assert.ok(isIncomplete(result), result.body);
    assert.equal(result.body, events(1, 2), 'nothing but the complete events of the first runner');
  }
});

test('a response with a length on a streaming route is not resumed', async () => {
  const id = nextId();
  const result = await router.send(world, '/resume/x', id, [
    steps.cutWithLength(largeBody.slice(0, 150_000), 200_000),
    steps.stream(events(1, 4)),
  ]);
  assert.ok(isIncomplete(result));
  assert.equal(router.callsOf(world, id).length, 1);
});

test('a stream resumes after the last forwarded event, and only if the resumed ids continue there', async () => {
  const interrupted = steps.cutStream(`${events(1, 2)}id: 3\nda`);
  for (const rest of [events(3, 4), events(1, 4), events(2, 4)]) {
    const id = nextId();
    const result = await router.send(world, '/resume/x', id, [interrupted, steps.stream(rest)]);
    const [first, second] = router.callsOf(world, id);
    assert.deepEqual([result.body, result.isWhole, second!.lastEventId], [events(1, 4), true, '2']);
    assert.equal(result.headers['x-server-seal'], `seal of ${first!.runner}`, 'the headers of the first runner');
  }
  const mismatches = [
    { rest: events(1, 1) + events(3, 4), forwarded: events(1, 2) },
    { rest: events(3, 4) + events(4, 5), forwarded: events(1, 4) },
    { rest: `data: no id\n\n${events(3, 4)}`, forwarded: events(1, 2) },
  ];
  for (const { rest, forwarded } of mismatches) {
    const id = nextId();
    const result = await router.send(world, '/resume/x', id, [interrupted, steps.stream(rest), steps.reset]);
    assert.ok(isIncomplete(result), rest);
    assert.equal(result.body, forwarded, 'nothing after the point where the ids do not continue');
    assert.equal(router.callsOf(world, id).length, 3);
  }
});

test('a stream is not resumed after a forwarded event without id', async () => {
  const id = nextId();
  const result = await router.send(world, '/resume/x', id, [
    steps.cutStream(`${events(1, 1)}data: unnamed\n\nid: 3`),
    steps.stream(events(2, 4)),
  ]);
  assert.ok(isIncomplete(result));
  assert.equal(router.callsOf(world, id).length, 1);
});

test('a stream that breaks off before its first event is replaced by another runner, headers included', async () => {
  const id = nextId();
  const result = await router.send(world, '/resume/x', id, [steps.cutStream('id: 1\nda'), steps.stream(events(1, 4))]);
  const [, second] = router.callsOf(world, id);
  assert.deepEqual([result.body, result.isWhole], [events(1, 4), true]);
  assert.equal(result.headers['x-server-seal'], `seal of ${second!.runner}`);
  const once = nextId();
  const indeterminate = await router.send(world, '/stream/x', once, [
    steps.cutStream('id: 1\nda'),
    steps.stream(events(1, 4)),
  ]);
  assert.deepEqual([indeterminate.status, router.callsOf(world, once).length], [502, 1]);
});

const rejection = { 'X-Not-Run': '1', 'X-Server-Seal': '' };
const invalidResponses = [
  steps.bytes('HTTP/1.1 200 OK\r\nX-Attempt-Id: earlier\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nextra'),
  steps.bytes('HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nextra'),
  steps.bytes('HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nContent-Length: 5\r\n\r\nextra'),
  steps.whole('', '503 Service Unavailable', { ...rejection, 'X-Attempt-Id': '' }),
  steps.whole('', '503 Service Unavailable', { ...rejection, 'X-Attempt-Id': 'earlier' }),
  steps.whole('', '429 Too Many Requests', { ...rejection, 'X-Attempt-Id': 'earlier' }),
  steps.whole('', '421 Misdirected Request', { 'X-Attempt-Id': '', 'X-Instance': 'other' }),
  steps.whole('', '421 Misdirected Request', { 'X-Attempt-Id': 'earlier' }),
  steps.whole('', '503 Service Unavailable'),
  steps.whole('', '429 Too Many Requests'),
  steps.whole('', '408 Request Timeout'),
  steps.bytes('these bytes are no answer\r\n\r\n'),
  steps.bytes('HTTP/1.1 099 Odd\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n'),
  steps.reset,
];

test('mismatched, unproven, malformed or missing responses: a non-idempotent request is sent once', async () => {
  for (const [index, invalid] of invalidResponses.entries()) {
    for (const path of ['/once/x', '/stream/x']) {
      const id = nextId();
      const result = await router.send(world, path, id, [invalid, steps.whole('second run')]);
      assert.equal(router.callsOf(world, id).length, 1, `invalid response ${index} on ${path}`);
      assert.ok(result.status === 502 || result.status === 0, `invalid response ${index} on ${path}: ${result.status}`);
      assert.equal(world.router.endpointPool.byId.size, 3, 'no runner is removed for it');
      for (const endpoint of world.router.endpointPool.byId.values()) assert.equal(endpoint.isListed, true);
    }
  }
});

test('mismatched, unproven, malformed or missing responses: an idempotent request is retried', async () => {
  for (const [index, invalid] of invalidResponses.entries()) {
    const id = nextId();
    const result = await router.send(world, '/repeat/x', id, [invalid, steps.whole('second run')]);
    assert.deepEqual(
      [result.status, result.body, result.isWhole],
      [200, 'second run', true],
      `invalid response ${index}`,
    );
    assert.equal(router.callsOf(world, id).length, 2);
  }
});

test('a proven rejection lets any request be retried, and becomes 503 if every runner rejects', async () => {
  const rejections = [
    steps.whole('', '503 Service Unavailable', rejection),
    steps.whole('', '429 Too Many Requests', rejection),
    steps.whole('', '421 Misdirected Request', { 'X-Server-Seal': '' }),
  ];
  for (const rejected of rejections) {
    const served = nextId();
    const result = await router.send(world, '/once/x', served, [rejected, rejected, steps.whole('third')]);
    assert.deepEqual([result.status, result.body], [200, 'third']);
    const unserved = nextId();
    const none = await router.send(world, '/once/x', unserved, [rejected, rejected, rejected]);
    assert.equal(none.status, 503);
    assert.ok(none.headers['retry-after'] !== undefined);
  }
});

test('a rejection after an indeterminate attempt is not forwarded', async () => {
  const rejected = steps.whole('', '503 Service Unavailable', rejection);
  const id = nextId();
  const result = await router.send(world, '/repeat/x', id, [steps.reset, rejected, rejected]);
  assert.equal(result.status, 502);
});

test('no response: an idempotent request is retried, a non-idempotent one waits for its deadline', async () => {
  const id = nextId();
  const result = await router.send(world, '/impatient/x', id, [steps.silence, steps.whole('second run')]);
  assert.deepEqual([result.status, result.body, router.callsOf(world, id).length], [200, 'second run', 2]);
  const once = nextId();
  const late = await router.send(world, '/once/x', once, [steps.silence, steps.whole('second run')], {
    'X-Time-Left-Ms': '3000',
  });
  assert.deepEqual([late.status, router.callsOf(world, once).length], [504, 1]);
});

test('a 500 of the runner is forwarded unless the request is idempotent and can be retried', async () => {
  const failure = steps.whole('failed', '500 Internal Server Error');
  const once = nextId();
  const result = await router.send(world, '/once/x', once, [failure, steps.whole('second run')]);
  assert.deepEqual([result.status, result.body, router.callsOf(world, once).length], [500, 'failed', 1]);
  const id = nextId();
  const retried = await router.send(world, '/repeat/x', id, [failure, steps.whole('second run')]);
  assert.deepEqual([retried.status, retried.body], [200, 'second run']);
});

test('a response whose body never completes ends at the deadline of the request', async () => {
  const id = nextId();
  const result = await router.send(
    world,
    '/once/x',
    id,
    [
      (call, socket) => {
        socket.write(router.head(call, '200 OK', { 'Content-Length': '10' }) + 'half');
      },
    ],
    { 'X-Time-Left-Ms': '2000' },
  );
  assert.ok(isIncomplete(result));
  assert.equal(router.callsOf(world, id).length, 1);
});
