/** A router while a version is rolled out: which endpoints a request may go to, and what is counted of it. */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import { executionStatus } from '../src/dataplane/execution-status.js';
import type { EndpointAssignment } from '../src/dataplane/endpoint-assignment.js';
import type { RequestContext } from '../src/dataplane/request-context.js';
import type { Router } from '../src/dataplane/router.js';
import { versionRollout } from '../src/dataplane/version-rollout.js';
import type { Runner, ServiceRollout } from '../src/types.js';
import { toldRouter } from './support/told-router.js';

const oldIds = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j'];
const newIds = ['k', 'l', 'm', 'n', 'o', 'p', 'q', 'r', 's', 't'];

function runner(id: string, version: string): Runner {
  const listing = { service: 's', addr: `${id}:1`, zone: 'z', slotCount: 8, draining: false, paused: false };
  return { id, ...listing, version, models: [] };
}

let seq = 0;

function tellRollout(router: Router, fields: Partial<ServiceRollout>): void {
  const rollout: ServiceRollout = {
    ...{ service: 's', number: 1, toVersion: 'v2', overMs: 16_000, orderDigest: 'd', condition: 'rolling' },
    ...{ share: 0, fromVersions: [], steps: [] },
    ...fields,
  };
  toldRouter.tell(router, { rollouts: { seq: ++seq, byService: { s: rollout } } });
}

function routerWithBoth(): Router {
  const router = toldRouter.create();
  const runners = [...oldIds.map((id) => runner(id, 'v1')), ...newIds.map((id) => runner(id, 'v2'))];
  toldRouter.tell(router, { endpoints: { term: 1, seq: 1, runners, routerCount: 1 } });
  router.rollouts.validUntil = 10_000;
  return router;
}

function request(session: string): RequestContext {
  const context: Partial<RequestContext> = {
    attemptId: session,
    service: { label: 's' },
    route: { label: 'r', variant: 'streaming' } as RequestContext['route'],
    prefixBlocks: [{ id: session, tokens: 10 }],
    executionStatus: executionStatus.initial(),
    versionArm: null,
    isClientGone: false,
    deadlineAt: Infinity,
    response: { status: 200 } as RequestContext['response'],
  };
  return context as RequestContext;
}

function admittedIds(router: Router, context: RequestContext, now = 0): string[] {
  const all = [...router.endpointPool.byId.values()];
  return versionRollout.admitted(router, context, all, now).map(({ id }) => id);
}

function shareOfNew(router: Router): number {
  const sessions = Array.from({ length: 2000 }, (_, i) => request(`s${i}`));
  return sessions.filter((each) => newIds.includes(admittedIds(router, each)[0]!)).length / sessions.length;
}

test('a version gets its committed share and no more, at a few of its runners', () => {
  const router = routerWithBoth();
  for (const share of [0, 0.06, 0.25]) {
    tellRollout(router, { share });
    assert.ok(Math.abs(shareOfNew(router) - share) < 0.02, `${shareOfNew(router)} for ${share}`);
  }
  const used = new Set(Array.from({ length: 500 }, (_, i) => admittedIds(router, request(`s${i}`))).flat());
  assert.equal([...used].filter((id) => newIds.includes(id)).length, 2);
  tellRollout(router, { share: 1 });
  assert.equal(shareOfNew(router), 1);
});

test('a conversation keeps its version while the share is the same, and never goes back as it rises', () => {
  const router = routerWithBoth();
  const wasNew = new Set<string>();
  for (const share of [0.06, 0.12, 0.25, 1]) {
    tellRollout(router, { share });
    for (let i = 0; i < 500; i++) {
      const isNew = newIds.includes(admittedIds(router, request(`s${i}`))[0]!);
      assert.equal(newIds.includes(admittedIds(router, request(`s${i}`))[0]!), isNew);
      assert.ok(isNew || !wasNew.has(`s${i}`));
      if (isNew) wasNew.add(`s${i}`);
    }
  }
});

test('a further attempt keeps to the version of the first, whatever stage comes in between', () => {
  const router = routerWithBoth();
  tellRollout(router, { share: 0 });
  const context = request('x');
  assert.deepEqual(admittedIds(router, context), oldIds);
  tellRollout(router, { share: 1 });
  assert.deepEqual(admittedIds(router, context), oldIds);
});

test('a router that hears no coordinator sends nothing more to a version that has a part of the requests', () => {
  const router = routerWithBoth();
  tellRollout(router, { share: 0.25 });
  for (let i = 0; i < 200; i++) assert.deepEqual(admittedIds(router, request(`s${i}`), 10_001), oldIds);
});

test('a reverted version gets nothing, also without any other runner, and an ended one leaves the old ones alone', () => {
  const router = routerWithBoth();
  tellRollout(router, { condition: 'reverted' });
  assert.deepEqual(admittedIds(router, request('x')), oldIds);
  toldRouter.tell(router, { endpoints: { term: 1, seq: 2, runners: [runner('k', 'v2')], routerCount: 1 } });
  assert.deepEqual(admittedIds(router, request('x')), []);
  const other = routerWithBoth();
  tellRollout(other, { condition: 'complete', share: 1, fromVersions: ['v1'] });
  assert.deepEqual(admittedIds(other, request('x')), newIds);
});

test('a stage that is older than one already seen changes nothing', () => {
  const router = routerWithBoth();
  tellRollout(router, { condition: 'reverted' });
  const older = { ...router.rollouts.state, seq: router.rollouts.state.seq - 1, byService: {} };
  toldRouter.tell(router, { rollouts: older });
  assert.deepEqual(admittedIds(router, request('x')), oldIds);
});

test('a request that no new runner can take goes to the old version, unless a runner has seen it or all have moved', () => {
  const router = routerWithBoth();
  tellRollout(router, { share: 0.25 });
  const sessions = Array.from({ length: 200 }, (_, i) => request(`s${i}`));
  const fresh = sessions.find((each) => newIds.includes(admittedIds(router, each)[0]!))!;
  assert.equal(versionRollout.fallBackToOld(router, fresh), true);
  assert.deepEqual(admittedIds(router, fresh), oldIds);
  const seen = { ...request(fresh.attemptId), executionStatus: { ...executionStatus.initial(), attemptsSent: 1 } };
  admittedIds(router, seen);
  assert.equal(versionRollout.fallBackToOld(router, seen), false);
  tellRollout(router, { share: 1 });
  const late = request('late');
  admittedIds(router, late);
  assert.equal(versionRollout.fallBackToOld(router, late), false);
});

test('outcomes are counted by version, runner and route: failures, durations, and nothing that did not run', () => {
  const router = routerWithBoth();
  tellRollout(router, { share: 0.25 });
  const endpoint = router.endpointPool.byId.get('k')!;
  const assignment = { endpoint, prefillBacklogTokens: 0 } as EndpointAssignment;
  const sentAt = performance.now();
  const failing = { ...request('x'), response: { status: 500 } as RequestContext['response'] };
  versionRollout.recordOutcome(router, request('x'), assignment, { kind: 'answered' }, sentAt);
  versionRollout.recordOutcome(router, failing, assignment, { kind: 'answered' }, sentAt);
  versionRollout.recordOutcome(router, request('x'), assignment, { kind: 'unanswered' }, sentAt);
  versionRollout.recordOutcome(
    router,
    { ...request('x'), isClientGone: true },
    assignment,
    { kind: 'incomplete' },
    sentAt,
  );
  versionRollout.recordOutcome(router, request('x'), assignment, { kind: 'rejected' }, sentAt);
  versionRollout.recordOutcome(router, request('x'), assignment, { kind: 'not_sent' }, sentAt);
  const samples = versionRollout.takeSamples(router);
  assert.equal(samples.length, 1);
  assert.deepEqual(
    { ...samples[0], durations: [] },
    {
      ...{ service: 's', version: 'v2', runner: 'k', route: 'r', kind: 'streaming 0 - -', failed: 2, durations: [] },
    },
  );
  assert.equal(
    samples[0]!.durations.reduce((sum, [, count]) => sum + count, 0),
    2,
  );
  assert.deepEqual(versionRollout.takeSamples(router), []);
});

test('what a runner had to read before a request is no part of its duration', () => {
  const router = routerWithBoth();
  tellRollout(router, { share: 0.25 });
  const endpoint = router.endpointPool.byId.get('k')!;
  const sentAt = performance.now() - 1000;
  for (const prefillBacklogTokens of [0, 30_000]) {
    const assignment = { endpoint, prefillBacklogTokens } as EndpointAssignment;
    versionRollout.recordOutcome(router, request('x'), assignment, { kind: 'answered' }, sentAt);
  }
  const buckets = versionRollout.takeSamples(router)[0]!.durations.map(([bucket]) => bucket);
  assert.deepEqual(buckets.map(Boolean), [true, true]);
  assert.equal(buckets[1], buckets[0]! - 2);
});

test('a canary whose slots are all taken gets no more, and what it takes under load says nothing of its version', () => {
  const router = routerWithBoth();
  tellRollout(router, { share: 0.25 });
  const sessions = Array.from({ length: 200 }, (_, i) => request(`s${i}`));
  const used = new Set(sessions.flatMap((each) => admittedIds(router, each)).filter((id) => newIds.includes(id)));
  const canaries = [...used].map((id) => router.endpointPool.byId.get(id)!);
  for (const endpoint of canaries) endpoint.load.activeRequests = endpoint.slotCount;
  assert.deepEqual(
    sessions.flatMap((each) => admittedIds(router, each)).filter((id) => used.has(id)),
    [],
  );
  const assignment = { endpoint: canaries[0]!, prefillBacklogTokens: 0 } as EndpointAssignment;
  versionRollout.recordOutcome(router, request('x'), assignment, { kind: 'answered' }, performance.now());
  versionRollout.recordOutcome(router, request('x'), assignment, { kind: 'unanswered' }, performance.now());
  assert.deepEqual(
    versionRollout.takeSamples(router).map(({ failed, durations }) => [failed, durations]),
    [[1, []]],
  );
});
