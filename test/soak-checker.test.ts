/**
 * The checker of the soak: for each rule a history that breaks it and one beside it that is allowed. Guards against a soak
 * that finds nothing because it looks at nothing.
 */
import { strict as assert } from 'node:assert';
import { describe, test } from 'node:test';
import { checkHistory } from './soak/checker/check.js';
import type { RuleName } from './soak/checker/violation.js';
import { soakConfigurations, type SoakDocument } from './soak/configurations.js';
import type { Answered, Arrived, History, OrderSent, RequestSent, RunEnded, SoakEvent } from './soak/history.js';
import { partCount, partText } from './soak/runner-answers.js';
import { soakBounds } from './soak/soak-settings.js';
import { luck } from './support/random.js';

const first = soakConfigurations.first(luck.create(1), '127.1.1.1:1', 4);
const [isolated, shared, third] = first.tenant_list;
const key = shared!.api_keys[0]!;
const prompt = { model: 'm', tokenCounts: '1,1', prefix: 'a:1,b:1' };
/** Long after all has started, so that everybody is in touch. */
const calmAt = 20_000;

function order(name: string, document: SoakDocument, at: number, over: Partial<OrderSent> = {}): OrderSent {
  const { revision } = document;
  const all = { kind: 'order_sent' as const, at, order: name, base: 0, revision, isValid: true, document: '', ...over };
  return { ...all, document: JSON.stringify(document) };
}

function answerTo(name: string, at: number, status = 200): SoakEvent {
  return { kind: 'order_answered', at, order: name, status };
}

function finalRead(document: SoakDocument | null, at = 60_000): SoakEvent {
  const text = document && JSON.stringify(document);
  return { kind: 'configuration_read', sentAt: at, at, node: 'core-1', status: 200, document: text, isFinal: true };
}

function sent(id: string, over: Partial<RequestSent> = {}): RequestSent {
  return {
    kind: 'request_sent',
    at: calmAt,
    id,
    router: 'edge-1',
    method: 'POST',
    path: '/once/a',
    body: 'body',
    key,
    headers: prompt,
    timeLeftMs: 3500,
    lastEventId: 0,
    isOnKeptConnection: false,
    ...over,
  };
}

function arrived(id: string, over: Partial<Arrived> = {}): Arrived {
  return {
    kind: 'arrived',
    at: calmAt + 10,
    id,
    runner: 'i-1',
    service: 's-main',
    hasRun: true,
    method: 'POST',
    path: '/once/a',
    body: 'body',
    headers: prompt,
    tenant: shared!.label,
    apiKey: null,
    lastEventId: 0,
    timeLeftMs: 3000,
    weightsRevision: 1,
    used: [],
    ...over,
  };
}

function ended(id: string, body: string, over: Partial<RunEnded> = {}): RunEnded {
  return {
    kind: 'run_ended',
    at: calmAt + 20,
    id,
    runner: 'i-1',
    seal: 'seal-i-1.1',
    status: 200,
    body,
    isWhole: true,
    endsWithConnection: false,
    isCancelled: false,
    ...over,
  };
}

function answered(id: string, body: string, over: Partial<Answered> = {}): Answered {
  return {
    kind: 'answered',
    at: calmAt + 30,
    id,
    status: 200,
    seal: 'seal-i-1.1',
    echoedId: id,
    body,
    isComplete: true,
    firstByteMs: 5,
    ...over,
  };
}

function trouble(at: number, until: number, nodes: string[], what: string, isPlanned = false): SoakEvent {
  return { kind: 'trouble', at, until, nodes, what, isPlanned };
}

function stream(id: string, from: number, to: number, run: string): string {
  let text = '';
  for (let part = from; part <= to; part++) text += partText(true, part, partCount(id), run);
  return text;
}

/** A fleet that is up under the first configuration, and these events. */
function history(events: SoakEvent[], final: SoakDocument | null = first): History {
  const begin: SoakEvent[] = [
    ...['core-1', 'core-2', 'core-3', 'edge-1'].map((node) => ({
      kind: 'process_started' as const,
      at: 0,
      node,
      life: 1,
    })),
    order('first', first, 500),
    answerTo('first', 900),
  ];
  const all = [...begin, ...events, finalRead(final)];
  return { bounds: soakBounds, coreNodes: ['core-1', 'core-2', 'core-3'], events: all.sort((a, b) => a.at - b.at) };
}

type Case = { rule: RuleName; name: string; broken: SoakEvent[]; allowed: SoakEvent[]; final?: SoakDocument };

const second: SoakDocument = {
  ...first,
  revision: 2,
  tenant_list: [isolated!, { ...shared!, isolated: true, api_keys: ['the-new-key'] }, third!],
};
const secondInForce = [order('second', second, 5000, { base: 1 }), answerTo('second', 5100)];
const kept = { blockId: 'a', madeBy: third!.label, madeAtRevision: 1 };
const streamId = 'q-stream';
const count = partCount(streamId);
const resumed = { path: '/resume/a' };
const drain = { kind: 'runner_draining' as const, runner: 'i-1', at: calmAt - soakBounds.drainMs };
const cutAnswer = { status: 0, seal: null, echoedId: null, isComplete: false };
const goneIds = ['g1', 'g2', 'g3', 'g4'];

/** The same for `count` requests. */
function many(count: number, one: (id: string) => SoakEvent[]): SoakEvent[] {
  return Array.from({ length: count }, (_, index) => one(`m${index}`)).flat();
}

function runnerOrder(at: number, holder: string, fence: number): SoakEvent {
  return { kind: 'runner_ordered', at, runner: 'i-1', model: 'm', revision: 2, holder, fence, status: 202 };
}

function furtherArrivals(number: number): SoakEvent[] {
  return Array.from({ length: number }, (_, index) => arrived('b', { hasRun: false, at: calmAt + index }));
}

function gone(lateMs: number): SoakEvent[] {
  return goneIds.flatMap((id) => [
    sent(id),
    { kind: 'client_left' as const, at: calmAt + 5, id },
    arrived(id, { at: calmAt + 5 + lateMs }),
  ]);
}

function weights(revision: number, at: number): SoakEvent {
  return { kind: 'weights_named', at, model: 'm', revision };
}

function denied(number: number): SoakEvent[] {
  return Array.from({ length: number }, (_, index) => [
    sent(`d${index}`),
    answered(`d${index}`, '', { status: 403, seal: null }),
  ]).flat();
}

const cases: Case[] = [
  {
    rule: 'UNASKED',
    name: 'an id that no client sent',
    broken: [arrived('nobody')],
    allowed: [arrived('nobody', { hasRun: false })],
  },
  {
    rule: 'UNASKED',
    name: 'another body',
    broken: [sent('a'), arrived('a', { body: 'bod' })],
    allowed: [sent('a'), arrived('a')],
  },
  {
    rule: 'UNASKED',
    name: 'a tenant that does not hold the key',
    broken: [sent('a'), arrived('a', { tenant: third!.label })],
    allowed: [sent('a'), arrived('a')],
  },
  {
    rule: 'TWICE',
    name: 'two runs of what may run once',
    broken: [sent('a'), arrived('a'), arrived('a', { runner: 'i-2' })],
    allowed: [sent('a'), arrived('a', { hasRun: false }), arrived('a', { runner: 'i-2' })],
  },
  {
    rule: 'REFUSED',
    name: 'a promise for a request that has run',
    broken: [sent('a'), arrived('a'), answered('a', '', { status: 503, seal: null })],
    allowed: [sent('a'), arrived('a'), answered('a', '', { status: 502, seal: null })],
  },
  {
    rule: 'MIXED',
    name: 'half a body that looks complete',
    broken: [sent('a'), arrived('a'), ended('a', 'whole body', { isWhole: false }), answered('a', 'whole')],
    allowed: [
      sent('a'),
      arrived('a'),
      ended('a', 'whole body', { isWhole: false }),
      answered('a', 'whole', { isComplete: false }),
    ],
  },
  {
    rule: 'MIXED',
    name: 'a whole body whose end was never told',
    broken: [sent('a'), arrived('a'), ended('a', 'whole', { isWhole: false }), answered('a', 'whole')],
    allowed: [sent('a'), arrived('a'), ended('a', 'whole'), answered('a', 'whole')],
  },
  {
    rule: 'MIXED',
    name: 'the answer to another request',
    broken: [sent('a'), arrived('a'), ended('a', 'x'), answered('a', 'x', { echoedId: 'b' })],
    allowed: [sent('a'), arrived('a'), ended('a', 'x'), answered('a', 'x')],
  },
  {
    rule: 'MIXED',
    name: 'a failure under the seal of a success',
    broken: [sent('a'), arrived('a'), ended('a', 'x'), answered('a', '', { status: 502 })],
    allowed: [sent('a'), arrived('a'), ended('a', 'x', { status: 500 }), answered('a', 'x', { status: 500 })],
  },
  {
    rule: 'ORDER',
    name: 'a stream that ends before its last event',
    broken: [
      sent(streamId, resumed),
      arrived(streamId, resumed),
      ended(streamId, '', { isWhole: false }),
      answered(streamId, stream(streamId, 1, count - 1, 'i-1.1')),
    ],
    allowed: [
      sent(streamId, resumed),
      arrived(streamId, resumed),
      ended(streamId, '', { isWhole: false }),
      answered(streamId, stream(streamId, 1, count - 1, 'i-1.1'), { isComplete: false }),
    ],
  },
  {
    rule: 'ORDER',
    name: 'events of two runs where nothing may be resumed',
    broken: twoRuns('/stream/a'),
    allowed: twoRuns('/resume/a'),
  },
  {
    rule: 'ORDER',
    name: 'a body without a length whose runner ends',
    broken: runnerEnds(false),
    allowed: runnerEnds(true),
  },
  {
    rule: 'BUDGET',
    name: 'further arrivals beyond the ratio and the slack',
    broken: [sent('b'), ...furtherArrivals(62)],
    allowed: [sent('b'), ...furtherArrivals(58)],
  },
  {
    rule: 'BUDGET',
    name: 'runners that are told more time than is left',
    broken: many(21, (id) => [sent(id), arrived(id, { timeLeftMs: 4100 })]),
    allowed: many(20, (id) => [sent(id), arrived(id, { timeLeftMs: 4100 })]),
  },
  {
    rule: 'CONFIG',
    name: 'no answer at the deadline',
    broken: many(8, (id) => [sent(id), answered(id, '', { ...cutAnswer, at: calmAt + 4600 })]),
    allowed: many(8, (id) => [sent(id), answered(id, '', { ...cutAnswer, at: calmAt + 4400 })]),
  },
  { rule: 'GONE', name: 'requests sent on after their clients had left', broken: gone(600), allowed: gone(400) },
  {
    rule: 'CONFIG',
    name: 'a key that was dropped',
    broken: [...secondInForce, sent('a'), arrived('a')],
    allowed: [...secondInForce, sent('a', { at: 7000 }), arrived('a', { at: 7010 })],
    final: second,
  },
  {
    rule: 'CONFIG',
    name: 'a key in force that is refused',
    broken: [...secondInForce, sent('a', { key: 'the-new-key' }), answered('a', '', { status: 401, seal: null })],
    allowed: [...secondInForce, sent('a'), answered('a', '', { status: 401, seal: null })],
    final: second,
  },
  {
    rule: 'CONFIG',
    name: 'two changes on one base',
    broken: [...secondInForce, order('other', { ...second, revision: 3 }, 5000, { base: 1 }), answerTo('other', 5200)],
    allowed: [
      ...secondInForce,
      order('other', { ...second, revision: 3 }, 5000, { base: 1 }),
      answerTo('other', 5200, 412),
    ],
    final: second,
  },
  {
    rule: 'CONFIG',
    name: 'an invalid configuration',
    broken: [order('bad', second, 5000, { isValid: false }), answerTo('bad', 5100)],
    allowed: [order('bad', second, 5000, { isValid: false }), answerTo('bad', 5100, 400)],
  },
  {
    rule: 'CONFIG',
    name: 'an older read',
    broken: [...secondInForce, { ...finalRead(first, 9000), isFinal: false } as SoakEvent],
    allowed: [...secondInForce, { ...finalRead(first, 7000), isFinal: false } as SoakEvent],
    final: second,
  },
  {
    rule: 'CONFIG',
    name: 'a router that goes back',
    broken: goesBack(calmAt + 400),
    allowed: goesBack(calmAt + 100),
    final: second,
  },
  {
    rule: 'DENIED',
    name: 'proper requests that are refused',
    broken: denied(6),
    allowed: denied(5),
  },
  {
    rule: 'WALL',
    name: 'memory of another tenant, one of the two isolated',
    broken: [...secondInForce, sent('a', { key: 'the-new-key' }), arrived('a', { used: [kept] })],
    allowed: [
      ...secondInForce,
      sent('a', { key: 'the-new-key' }),
      arrived('a', { used: [{ ...kept, madeBy: shared!.label }] }),
    ],
    final: second,
  },
  {
    rule: 'STALE',
    name: 'memory of other weights',
    broken: [sent('a'), arrived('a', { weightsRevision: 2, used: [{ ...kept, madeAtRevision: 1 }] })],
    allowed: [sent('a'), arrived('a', { used: [kept] })],
  },
  {
    rule: 'ONE',
    name: 'two holders of one fence',
    broken: [runnerOrder(calmAt, 'a', 5), runnerOrder(calmAt + 9000, 'b', 5)],
    allowed: [runnerOrder(calmAt, 'a', 5), runnerOrder(calmAt + 9000, 'b', 6)],
  },
  {
    rule: 'ONE',
    name: 'holders in turn within the lease',
    broken: [runnerOrder(calmAt, 'a', 5), runnerOrder(calmAt + 2000, 'b', 6)],
    allowed: [runnerOrder(calmAt, 'a', 5), runnerOrder(calmAt + 3100, 'b', 6)],
  },
  {
    rule: 'DRAIN',
    name: 'a request to a runner that leaves',
    broken: [drain, sent('a'), arrived('a')],
    allowed: [{ ...drain, at: drain.at + 20 }, sent('a'), arrived('a')],
  },
  {
    rule: 'VERSION',
    name: 'older weights',
    broken: [weights(2, calmAt - soakBounds.versionMs - 100), sent('a'), arrived('a')],
    allowed: [weights(2, calmAt - soakBounds.versionMs + 100), sent('a'), arrived('a')],
  },
  {
    rule: 'LOST',
    name: 'a request cut around planned work',
    broken: [
      trouble(calmAt - 100, calmAt + 5000, ['edge-1'], 'terminate', true),
      sent('a'),
      arrived('a'),
      answered('a', '', cutAnswer),
    ],
    allowed: [
      trouble(calmAt - 100, calmAt + 5000, ['edge-1'], 'kill'),
      sent('a'),
      arrived('a'),
      answered('a', '', cutAnswer),
    ],
  },
  {
    rule: 'LOST',
    name: 'a request cut around planned work before its deadline',
    broken: cutAfter(3700),
    allowed: cutAfter(3900),
  },
  {
    rule: 'LOST',
    name: 'kept connections closed under requests',
    broken: goneIds.flatMap((id) => [sent(id, { isOnKeptConnection: true }), arrived(id), answered(id, '', cutAnswer)]),
    allowed: goneIds.flatMap((id) => [sent(id, { isOnKeptConnection: true }), answered(id, '', cutAnswer)]),
  },
  {
    rule: 'ACKS',
    name: 'an order that is not acknowledged',
    broken: [order('second', second, 10_000, { base: 1 }), answerTo('second', 14_100)],
    allowed: [order('second', second, 10_000, { base: 1 }), answerTo('second', 13_900)],
    final: second,
  },
  {
    rule: 'FAULT',
    name: 'a process that ends by itself',
    broken: [{ kind: 'process_ended', at: calmAt, node: 'core-1', isExpected: false, code: 1, errors: '' }],
    allowed: [{ kind: 'process_ended', at: calmAt, node: 'core-1', isExpected: true, code: 0, errors: '' }],
  },
];

function twoRuns(path: string): SoakEvent[] {
  return [
    sent(streamId, { path }),
    arrived(streamId, { path }),
    ended(streamId, '', { isWhole: false }),
    arrived(streamId, { path, runner: 'i-2', lastEventId: 1, hasRun: path.startsWith('/resume/') }),
    ended(streamId, '', { seal: 'seal-i-2.2' }),
    answered(streamId, stream(streamId, 1, 1, 'i-1.1') + stream(streamId, 2, count, 'i-2.2')),
  ];
}

/** Cut under SIGTERM so long after it was sent; its client has more time than its route gives it. */
function cutAfter(ms: number): SoakEvent[] {
  return [
    trouble(calmAt - 100, calmAt + 5000, ['edge-1'], 'terminate', true),
    sent('a', { timeLeftMs: 6000 }),
    arrived('a'),
    answered('a', '', { ...cutAnswer, at: calmAt + ms }),
  ];
}

/** A stream without a length ends between two events as its runner's process does, or with nobody ending it. */
function runnerEnds(hasEnded: boolean): SoakEvent[] {
  const end = { kind: 'runner_changed' as const, at: calmAt + 25, runner: 'i-1', service: 's-main', what: 'crash fin' };
  return [
    sent(streamId, { path: '/stream/a' }),
    arrived(streamId, { path: '/stream/a' }),
    ended(streamId, '', { isWhole: false, endsWithConnection: true, isCancelled: true }),
    answered(streamId, stream(streamId, 1, count - 1, 'i-1.1')),
    ...(hasEnded ? [end] : []),
  ];
}

/** A request that only the second configuration allows, then one that only the first one does. */
function goesBack(at: number): SoakEvent[] {
  return [
    order('second', second, calmAt - 100, { base: 1 }),
    answerTo('second', calmAt - 50),
    sent('new', { key: 'the-new-key' }),
    arrived('new'),
    sent('old', { at }),
    arrived('old', { at: at + 5 }),
  ];
}

void describe('the rules that the soak judges', () => {
  for (const { rule, name, broken, allowed, final } of cases)
    test(`${rule}: ${name}`, () => {
      const found = checkHistory(history(broken, final)).map((violation) => violation.rule);
      assert.deepEqual([...new Set(found)], [rule], 'the broken one');
      assert.deepEqual(checkHistory(history(allowed, final)), [], 'the allowed one');
    });

  test('LOST: what was acknowledged does not come any more', () => {
    const violations = checkHistory(history([], null));
    assert.deepEqual(
      violations.map(({ rule }) => rule),
      ['LOST'],
    );
  });
});
