/**
 * The state sync after an election, on virtual time: every router lacks everything at once, and what goes out stays
 * within its share of the link, yet all are complete soon; nobody takes a mere acknowledgement for an answer.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import { Packr } from 'msgpackr';
import { stateSyncServer } from '../src/controlplane/state-sync.js';
import { routerSessions } from '../src/controlplane/router-sessions.js';
import { tokenBucket } from '../src/controlplane/token-bucket.js';
import type { Coordinator } from '../src/controlplane/coordinator-context.js';
import { syncResponses } from '../src/coordination/state-sync/responses.js';
import type { SyncResponse, SyncRequest } from '../src/protocol/rpc/state-sync.js';
import { stateSyncMethod } from '../src/protocol/rpc/state-sync.js';
import type { CachedBlock } from '../src/protocol/calls/runner-calls.js';
import { tuning } from '../src/protocol/settings/tuning.js';
import { stateSync } from '../src/coordination/state-sync/state-sync.js';
import { stateSyncCodec } from '../src/protocol/rpc/state-sync-codec.js';
import { prefixCacheIndex } from '../src/state/prefix-cache/prefix-cache-index.js';
import { virtualTime, type VirtualTime } from './support/coordinators.js';

const packr = new Packr({ useRecords: false });
const megabits = 120;
const bytesPerSecond = megabits * 125_000;
const holdMs = 500;

type Leader = { coordinator: Coordinator; time: VirtualTime };

function electLeader(): Leader {
  const time: VirtualTime = { now: 1000, due: [], sequence: 0 };
  const coordinator = {
    settings: { limits: { link_mbps: megabits } },
    tuning: tuning.defaults,
    runtime: { clock: virtualTime.clockOf(time) },
    group: { isLeader: () => true, term: () => 4, state: () => ({ weights: {} }) },
    endpoints: { runners: [] },
    sessions: routerSessions.create(),
    stateSync: stateSyncServer.create(),
  } as unknown as Coordinator;
  const state = stateSyncServer.state(coordinator);
  for (let location = 0; location < 40; location++) {
    const blocks = Array.from({ length: 40 }, (_, i): CachedBlock => ({
      cacheNamespace: 'all/model/1',
      blockId: `part-${location}-${i}`,
      tokens: 2000,
      model: 'model',
    }));
    prefixCacheIndex.applyFullList(
      state.prefixIndex,
      `runner-${location}`,
      { epoch: 1, nextToken: 1, blocks },
      time.now,
    );
  }
  stateSyncServer.start(coordinator);
  return { coordinator, time };
}

function request(router: string, indexVersion: [number, number]): SyncRequest {
  return {
    router,
    incarnation: router,
    indexVersion,
    hotSetRevision: 0,
    holdMs,
    load: [],
    loadReportNumber: 1,
    loadRevision: 0,
    unhealthyRunners: [],
    outcomes: [],
    ejectionsRevision: 0,
    sentPrefixes: [],
    countReport: null,
  };
}

type Received = { at: number; bytes: number };
type Routers = { received: Received[]; deferred: number; complete: number; lastAt: number };

/** `count` routers that lack everything ask until they have it. */
function ask(leader: Leader, count: number): Routers {
  const routers: Routers = { received: [], deferred: 0, complete: 0, lastAt: 0 };
  async function one(name: string): Promise<void> {
    let since: [number, number] = [-1, 0];
    while (since[0] !== 4) {
      const reply = (await stateSyncServer.handle(leader.coordinator, request(name, since))) as SyncResponse;
      assert.ok(stateSyncMethod.checkResponse(reply).ok, 'the reply passes the check of its endpoint');
      routers.received.push({ at: leader.time.now, bytes: packr.pack(reply).length });
      if (reply.term !== 4) routers.deferred++;
      since = [reply.term, reply.indexPosition];
    }
    routers.complete++;
    routers.lastAt = leader.time.now;
  }
  for (let i = 0; i < count; i++) void one(`router-${i}`);
  return routers;
}

function mostWithin(received: Received[], windowMs: number): number {
  return Math.max(
    ...received.map((first) =>
      received
        .filter((one) => one.at >= first.at && one.at < first.at + windowMs)
        .reduce((sum, one) => sum + one.bytes, 0),
    ),
  );
}

test('after an election the state sync keeps to its share of the link, and all routers become complete', async () => {
  const leader = electLeader();
  const routers = ask(leader, 240);
  await virtualTime.advance(leader.time, 12_000);
  assert.equal(routers.complete, 240);
  assert.ok(routers.deferred > 0, 'some were put off');
  const most = mostWithin(routers.received, 1000);
  assert.ok(most < bytesPerSecond * 0.5, `${most} bytes within a second`);
  assert.ok(routers.lastAt - 1000 < 8000, `the last was complete after ${routers.lastAt - 1000} ms`);
});

test('seen to fail: without the budget all is sent at once', async () => {
  const { hasTokens: originalHasTokens } = tokenBucket;
  tokenBucket.hasTokens = () => true;
  try {
    const leader = electLeader();
    const routers = ask(leader, 240);
    await virtualTime.advance(leader.time, 3000);
    assert.ok(mostWithin(routers.received, 1000) > bytesPerSecond * 0.9);
  } finally {
    tokenBucket.hasTokens = originalHasTokens;
  }
});

test('the estimate of a response is near its size on the wire', async () => {
  const leader = electLeader();
  const reply = (await stateSyncServer.handle(leader.coordinator, request('router', [-1, 0]))) as SyncResponse;
  const bytes = packr.pack(reply).length;
  const estimate = syncResponses.estimatedBytes(reply);
  assert.ok(estimate > bytes * 0.7 && estimate < bytes * 1.6, `${estimate} for ${bytes}`);
});

test('a budget fills to its reserve only, and recovers from what was sent', () => {
  const budget = tokenBucket.create(8, 0.5, 0);
  assert.equal(budget.bytesPerMs, 500);
  assert.ok(tokenBucket.hasTokens(budget, 10_000));
  tokenBucket.consume(budget, 500 * 250 + 500 * 40);
  assert.ok(
    !tokenBucket.hasTokens(budget, 10_000) &&
      !tokenBucket.hasTokens(budget, 10_040) &&
      tokenBucket.hasTokens(budget, 10_041),
  );
});

test('a new leader tells routers what runners have kept, though no router has named a block to it yet', () => {
  const sync = stateSync.create(1, tuning.defaults, 2);
  const blocks: CachedBlock[] = [{ cacheNamespace: 'all/model/1', blockId: 'kept', tokens: 2000, model: 'model' }];
  prefixCacheIndex.applyFullList(sync.prefixIndex, 'runner', { epoch: 1, nextToken: 1, blocks }, 0);
  const response = syncResponses.responseTo(sync, request('router', [0, 0]), true);
  assert.ok(response.isFullIndex);
  assert.deepEqual(stateSyncCodec.decodeIndexChanges(response.indexChanges), [
    { kind: 'block_reported', location: 'runner', cacheNamespace: 'all/model/1', blockId: 'kept', tokens: 2000 },
  ]);
});
