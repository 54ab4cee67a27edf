/**
 * Orders of any content: each is answered in time with what is wrong with it, none ends a coordinator or keeps later
 * orders from being decided, and what is accepted is read back as it was sent.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import fc from 'fast-check';
import type { OperatorReply, OperatorRequest } from '../src/protocol/rpc/operator.js';
import { configurationCheck } from '../src/protocol/configuration/check.js';
import { jsonDocument } from '../src/protocol/json-document.js';
import { coordinators, virtualTime, type Group } from './support/coordinators.js';

const { send } = coordinators;
const answerTimeoutMs = 1000;
let callCount = 0;

function led(): Group {
  const group = coordinators.create(1, 3);
  coordinators.elect(group, group.nodes[0]!);
  return group;
}

function call(method: string, match: number, text: string): OperatorRequest {
  const path = method === 'POST' ? '/v1/version-put' : '/v1/config';
  return { id: `call-${++callCount}`, method, path, ifMatch: String(match), body: Buffer.from(text) };
}

/** The reply of a member to a call; it comes in time. */
async function replyOf(group: Group, node: number, request: OperatorRequest): Promise<OperatorReply> {
  const { value, ms } = await virtualTime.timed(group.time, send(group.nodes[node]!, request));
  assert.ok(ms < answerTimeoutMs, `${ms} ms`);
  return value;
}

function placesOf(reply: OperatorReply): string[] {
  const { findings } = JSON.parse(reply.body) as { findings: { place: string }[] };
  return findings.map((finding) => finding.place);
}

const validText = JSON.stringify({
  revision: 1,
  route_list: [{ label: 'r', hostname: 'h', path_prefix: '/', variant: 'streaming', deadline_ms: 1000, target: 's' }],
  service_list: [{ label: 's' }],
});

function nested(depth: number): string {
  return `${'['.repeat(depth)}${']'.repeat(depth)}`;
}

/** Bodies that are refused, with the places of the findings. */
const refusedBodies: [string, string[]][] = [
  [
    '{"revision":1,"route_list":"x","service_list":[],"limits":{"header_bytes":{"toString":1}}}',
    ['route_list', 'limits.header_bytes'],
  ],
  [
    '{"revision":1,"route_list":[],"service_list":[],"limits":{"header_bytes":{"toString":1}}}',
    ['limits.header_bytes'],
  ],
  [
    '{"revision":{"valueOf":1,"toString":{}},"route_list":[[{"toString":1}]],"service_list":[]}',
    ['revision', 'route_list.0.label'],
  ],
  ['{"revision":1,"route_list":[],"service_list":[],"__proto__":{"x":1}}', ['__proto__']],
  ['{"revision":1,"route_list":[],"service_list":[],"other":{"__proto__":1}}', ['other.__proto__']],
  ['{"revision":1,"route_list":[],"service_list":[],"other":"\\ud800"}', ['other']],
  ['{"revision":1,"route_list":[],"service_list":[],"other":9007199254740993}', ['other']],
  ['{"revision":1,"route_list":[],"service_list":[],"other":1e999}', ['other']],
  [`{"revision":1,"route_list":[],"service_list":[],"other":${nested(100)}}`, [`other${'.0'.repeat(63)}`]],
  [`{"revision":1,"route_list":${nested(200_000)},"service_list":[]}`, [`route_list${'.0'.repeat(63)}`]],
  ['null', ['(whole)']],
  ['[]', ['(whole)']],
  ['"text"', ['(whole)']],
  ['{', ['(whole)']],
];

// Guards against the end of a coordinator by a second wrong field that can't be turned into text (review, "Seen, and no case").
test('an order of any content is refused with the places of its faults, and the next one is decided', async () => {
  for (const node of [0, 1]) {
    const group = led();
    for (const [body, places] of refusedBodies) {
      const reply = await replyOf(group, node, call('PUT', 0, body));
      assert.equal(reply.status, 400, body.slice(0, 100));
      const found = placesOf(reply);
      for (const place of places) assert.ok(found.includes(place), `${place} in ${found.join()}`);
      assert.ok(reply.body.length < 50_000, `${reply.body.length} bytes`);
    }
    assert.equal((await replyOf(group, node, call('PUT', 0, validText))).status, 200);
  }
});

test('changes and names of weights of any content are refused or accepted, and the next one is decided', async () => {
  const group = led();
  assert.equal((await replyOf(group, 0, call('PUT', 0, validText))).status, 200);
  const changes = [
    '{"revision":2,"upserts":{"toString":1}}',
    '{"revision":2,"upserts":{"__proto__":[{"label":"x"}]}}',
    '{"revision":2,"removals":{"__proto__":["x"],"constructor":["y"],"toString":3}}',
    '{"revision":2,"upserts":{"route_list":{"toString":1}}}',
    '{"revision":2,"upserts":{"route_list":[{"label":{"toString":1}}]}}',
    '{"revision":{"toString":1},"upserts":[]}',
    `{"revision":2,"upserts":${nested(100_000)}}`,
  ];
  for (const body of changes) assert.equal((await replyOf(group, 1, call('PATCH', 1, body))).status, 400, body);
  for (const body of [
    '{"model_name":{"toString":1},"revision":2}',
    '{"model_name":"m","revision":{"toString":1}}',
    nested(9),
  ])
    assert.equal((await replyOf(group, 1, call('POST', 0, body))).status, 400, body);
  const accepted = call('PATCH', 1, '{"revision":2,"upserts":{"toString":[{"label":"x"}],"constructor":{"a":1}}}');
  assert.equal((await replyOf(group, 1, accepted)).status, 200);
  const read = await replyOf(group, 2, call('GET', 0, ''));
  const expected = {
    ...(JSON.parse(validText) as object),
    revision: 2,
    toString: [{ label: 'x' }],
    constructor: { a: 1 },
  };
  assert.deepEqual(JSON.parse(read.body), JSON.parse(JSON.stringify(expected)));
});

test('bytes that are no UTF-8 are refused, and an If-Match that is no revision', async () => {
  const group = led();
  const bytes = { ...call('PUT', 0, ''), body: Buffer.from([0x22, 0xff, 0x22]) };
  assert.equal((await replyOf(group, 1, bytes)).status, 400);
  for (const ifMatch of [null, 'x', '1e3', '0'.repeat(5000)])
    assert.equal((await replyOf(group, 1, { ...call('PUT', 0, validText), ifMatch })).status, 400);
});

test('an exception while an order is decided is answered with 500, here and over another member', async () => {
  const group = led();
  const leader = group.nodes[0]!;
  const { group: replicaGroup } = leader.coordinator;
  const propose = replicaGroup.propose;
  replicaGroup.propose = () => Promise.reject(new Error('planted'));
  for (const node of [0, 1]) assert.equal((await replyOf(group, node, call('PUT', 0, validText))).status, 500);
  replicaGroup.propose = propose;
  assert.equal((await replyOf(group, 1, call('PUT', 0, validText))).status, 200);
});

const drawnValue = fc.anything({
  key: fc.oneof(fc.string(), fc.constantFrom('label', 'toString', 'valueOf', 'constructor', '__proto__', 'length')),
  maxDepth: 4,
  withNullPrototype: false,
});

test('the checks of documents never throw, and name a place for each finding', () => {
  fc.assert(
    fc.property(drawnValue, fc.constantFrom('revision', 'route_list', 'limits', 'tenant_list', 'x'), (value, field) => {
      const document = { ...(JSON.parse(validText) as object), [field]: value };
      for (const found of [jsonDocument.check(document), configurationCheck.check(document)])
        for (const { path, text } of found) assert.ok(path !== '' && text !== '');
    }),
    { seed: 28, numRuns: 3000 },
  );
});
