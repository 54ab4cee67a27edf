/**
 * Transfers of cached prefix blocks on a simulated network: locations that cache, evict, restart and change their
 * weights, events that are lost, late and out of order, a leader and routers that die at any moment. After each step:
 * nothing is named as a source that has not itself reported the block under that identity, leases stay within their
 * bounds and all end, and nothing is left over.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import type { PrefixCacheEvent } from '../src/protocol/calls/runner-calls.js';
import { transfers, type Transfers } from '../src/coordination/transfer/transfers.js';
import { cachedPrefixes, type CachedPrefixes } from '../src/state/prefix-cache/cached-prefixes.js';
import { prefixIdentity } from '../src/state/prefix-cache/prefix-identity.js';
import { prefixCacheIndex, type PrefixCacheIndex } from '../src/state/prefix-cache/prefix-cache-index.js';
import { luck, type Luck } from './support/random.js';

const timing = { leaseMs: 1500, maxLeasesPerSource: 2, maxQueuedMs: 400 };
const tokens = 2000;

/** A runner that really caches blocks (keys), with the events that it has not reported yet. */
type Location = {
  epoch: number;
  eventNo: number;
  blocks: Set<string>;
  events: PrefixCacheEvent[];
};

/** The locations, the leader's index of what they report, and one router's view of it with its transfers. */
type World = {
  random: Luck;
  now: number;
  locations: Location[];
  index: PrefixCacheIndex;
  cache: CachedPrefixes;
  changeNo: number;
  machine: Transfers;
  everReported: Set<string>;
  revision: number;
};

function report(world: World, index: number): void {
  const location = world.locations[index]!;
  const list = location.events.splice(0).filter(() => luck.next(world.random) > 0.1);
  if (luck.next(world.random) < 0.2) list.reverse();
  for (const event of list)
    if (event.kind === 'cached')
      world.everReported.add(`${index} ${location.epoch} ${event.cacheNamespace} ${event.blockId}`);
  if (
    prefixCacheIndex.applyEvents(
      world.index,
      `p${index}`,
      { epoch: location.epoch, nextToken: location.eventNo, isLost: luck.next(world.random) < 0.05, events: list },
      world.now,
    )
  ) {
    for (const key of location.blocks) world.everReported.add(`${index} ${location.epoch} ${key}`);
    prefixCacheIndex.applyFullList(
      world.index,
      `p${index}`,
      {
        epoch: location.epoch,
        nextToken: location.eventNo,
        blocks: [...location.blocks].map((key) => {
          const { cacheNamespace, blockId } = prefixIdentity.parseBlockKey(key);
          return { cacheNamespace, blockId, tokens, model: 'm' };
        }),
      },
      world.now,
    );
  }
}

function follow(world: World): void {
  const fresh = prefixCacheIndex.changesSince(world.index, world.changeNo);
  if (fresh === null) world.cache.blocks.clear();
  for (const change of fresh ?? prefixCacheIndex.currentBlocks(world.index)) {
    const location = Number(change.location.slice(1));
    switch (change.kind) {
      case 'block_reported': {
        const { cacheNamespace, blockId, tokens: reportedTokens } = change;
        cachedPrefixes.recordConfirmed(world.cache, cacheNamespace, blockId, location, reportedTokens);
        const key = prefixIdentity.blockKey(cacheNamespace, blockId);
        transfers.step(world.machine, { type: 'block_reported', location, key }, world.now);
        break;
      }
      case 'block_removed': {
        const { cacheNamespace, blockId } = change;
        cachedPrefixes.remove(world.cache, cacheNamespace, blockId, location);
        const key = prefixIdentity.blockKey(cacheNamespace, blockId);
        transfers.step(world.machine, { type: 'block_removed', location, key }, world.now);
        break;
      }
      case 'block_expected': {
        const { cacheNamespace, blockId, tokens: expectedTokens } = change;
        cachedPrefixes.recordExpected(world.cache, cacheNamespace, blockId, location, expectedTokens, world.now);
        break;
      }
      case 'location_silent':
        cachedPrefixes.markUnconfirmed(world.cache, location, world.now);
    }
  }
  world.changeNo = prefixCacheIndex.lastChangeNo(world.index);
}

function change(world: World): void {
  const index = luck.below(world.random, world.locations.length);
  const location = world.locations[index]!;
  const key = `${luck.pick(world.random, ['all', 't-x'])}/m/${world.revision} a${luck.below(world.random, 4)}`;
  const { cacheNamespace, blockId } = prefixIdentity.parseBlockKey(key);
  const block = { cacheNamespace, blockId, model: 'm' };
  const draw = luck.next(world.random);
  if (draw < 0.45) {
    if (!location.blocks.has(key))
      location.events.push({ eventNo: ++location.eventNo, kind: 'cached', ...block, tokens });
    location.blocks.add(key);
  } else if (draw < 0.7) {
    if (location.blocks.delete(key))
      location.events.push({ eventNo: ++location.eventNo, kind: 'removed', ...block, tokens: 0 });
  } else if (draw < 0.74) {
    world.locations[index] = {
      epoch: location.epoch + 1,
      eventNo: 0,
      blocks: new Set(),
      events: [],
    };
  } else if (draw < 0.76) world.revision++;
  else if (draw < 0.78) {
    world.index = prefixCacheIndex.create(1000, 60);
    world.changeNo = -1;
  } else if (draw < 0.85)
    prefixCacheIndex.announceExpected(world.index, { location: `p${index}`, cacheNamespace, blockId, tokens });
  else cachedPrefixes.recordExpected(world.cache, cacheNamespace, blockId, index, tokens, world.now);
}

test('whatever is lost, late or out of order, only what a location itself reported under that identity is named as a source', () => {
  let named = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const world: World = {
      random: luck.create(seed),
      now: 0,
      locations: Array.from({ length: 4 }, () => ({
        epoch: 1,
        eventNo: 0,
        blocks: new Set<string>(),
        events: [],
      })),
      index: prefixCacheIndex.create(1000, 60),
      cache: cachedPrefixes.create(500),
      changeNo: 0,
      machine: transfers.create(timing),
      everReported: new Set(),
      revision: 1,
    };
    for (let i = 0; i < 400; i++) {
      world.now += 30;
      change(world);
      if (luck.next(world.random) < 0.4) report(world, luck.below(world.random, 4));
      if (luck.next(world.random) < 0.5) follow(world);
      prefixCacheIndex.markSilentLocations(world.index, world.now);
      transfers.step(world.machine, { type: 'tick' }, world.now);
      const isolationDomain = luck.pick(world.random, ['all', 't-x']);
      const cacheNamespace = prefixIdentity.formatNamespace({ isolationDomain, model: 'm', revision: world.revision });
      const blockId = `a${luck.below(world.random, 4)}`;
      for (let location = 0; location < 4; location++) {
        if (
          cachedPrefixes.prefixTokensAt(
            world.cache,
            cacheNamespace,
            [{ id: blockId, tokens }],
            location,
            world.now,
            true,
          ) < tokens
        )
          continue;
        const reported = [...world.everReported].some(
          (entry) => entry.startsWith(`${location} `) && entry.endsWith(` ${cacheNamespace} ${blockId}`),
        );
        assert.ok(reported, `seed ${seed}: ${location} never reported ${cacheNamespace} ${blockId}`);
        const transfer = transfers.start(
          world.machine,
          {
            key: prefixIdentity.blockKey(cacheNamespace, blockId),
            source: location,
            destination: (location + 1) % 4,
            tokens,
            durationMs: 30,
            hint: { isConfirmed: true, generation: world.changeNo },
            load: {
              leasesAtSource: transfers.usageAt(world.machine, location).sourceLeases,
              queuedMsAtDestination: transfers.usageAt(world.machine, (location + 1) % 4).queuedMs,
            },
          },
          world.now,
        );
        if (transfer) named++;
        if (transfer && luck.next(world.random) < 0.7)
          transfers.step(world.machine, { type: 'request_sent', id: transfer.id }, world.now);
        if (transfer && luck.next(world.random) < 0.5)
          transfers.step(world.machine, { type: 'request_ended', id: transfer.id }, world.now);
      }
      for (const usage of world.machine.usageByLocation.values())
        assert.ok(usage.sourceLeases <= timing.maxLeasesPerSource);
    }
    transfers.step(world.machine, { type: 'tick' }, world.now + timing.leaseMs);
    assert.equal(world.machine.open.size, 0);
    assert.equal(world.machine.usageByLocation.size, 0);
  }
  assert.ok(named > 200, `only ${named} were tried`);
});
