/** The identity of prefix blocks, and what a location that falls silent is still believed to hold. */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import type { PrefixCacheEvents } from '../src/protocol/calls/runner-calls.js';
import { cachedPrefixes } from '../src/state/prefix-cache/cached-prefixes.js';
import { prefixIdentity } from '../src/state/prefix-cache/prefix-identity.js';
import { prefixCacheIndex } from '../src/state/prefix-cache/prefix-cache-index.js';

const tokens = 2000;
const sharedKey = prefixIdentity.blockKey('all/m/1', 'aa');

/** Events by which the location reports that it has cached these blocks, of one namespace and model. */
function cachedEvents(blockIds: string[]): PrefixCacheEvents {
  const events = blockIds.map((blockId, i) => {
    return { eventNo: i + 1, kind: 'cached' as const, cacheNamespace: 'all/m/1', blockId, tokens, model: 'm' };
  });
  return { epoch: 1, nextToken: blockIds.length + 1, isLost: false, events };
}

test('blocks that differ in isolation domain, model, revision or id are different blocks, and a model that does not fit is rejected', () => {
  const cache = cachedPrefixes.create(100);
  const cacheNamespace = prefixIdentity.formatNamespace({ isolationDomain: 'all', model: 'm', revision: 2 });
  cachedPrefixes.recordConfirmed(cache, cacheNamespace, 'aa', 1, tokens);
  const parts = [{ id: 'aa', tokens }];
  assert.equal(cachedPrefixes.prefixTokensAt(cache, cacheNamespace, parts, 1, 0, true), tokens);
  for (const other of [
    { isolationDomain: 't-x', model: 'm', revision: 2 },
    { isolationDomain: 'all', model: 'n', revision: 2 },
    { isolationDomain: 'all', model: 'm', revision: 3 },
  ]) {
    assert.equal(cachedPrefixes.prefixTokensAt(cache, prefixIdentity.formatNamespace(other), parts, 1, 0, true), 0);
  }
  assert.equal(
    cachedPrefixes.prefixTokensAt(cache, cacheNamespace, [{ id: 'zz', tokens: 10 }, ...parts], 1, 0, true),
    0,
    'behind another block it stands elsewhere',
  );
  const index = prefixCacheIndex.create(1000, 100);
  prefixCacheIndex.markShared(index, prefixIdentity.blockKey(cacheNamespace, 'aa'));
  prefixCacheIndex.markShared(index, prefixIdentity.blockKey('no identity', 'bb'));
  prefixCacheIndex.applyEvents(
    index,
    'p',
    {
      epoch: 1,
      nextToken: 3,
      isLost: false,
      events: [
        { eventNo: 1, kind: 'cached', cacheNamespace, blockId: 'aa', tokens, model: 'other' },
        { eventNo: 2, kind: 'cached', cacheNamespace: 'no identity', blockId: 'bb', tokens, model: 'm' },
      ],
    },
    0,
  );
  prefixCacheIndex.applyFullList(
    index,
    'p',
    { epoch: 1, nextToken: 3, blocks: [{ cacheNamespace, blockId: 'aa', tokens, model: 'other' }] },
    0,
  );
  assert.deepEqual([prefixCacheIndex.currentBlocks(index), index.rejectedCount], [[], 3]);
});

test('a location that falls silent confirms nothing until it speaks again', () => {
  const index = prefixCacheIndex.create(1000, 100);
  prefixCacheIndex.applyEvents(
    index,
    'p',
    {
      epoch: 1,
      nextToken: 2,
      isLost: false,
      events: [{ eventNo: 1, kind: 'cached', cacheNamespace: 'all/m/1', blockId: 'aa', tokens, model: 'm' }],
    },
    0,
  );
  const block = { location: 'p', cacheNamespace: 'all/m/1', blockId: 'aa', tokens };
  prefixCacheIndex.markShared(index, sharedKey);
  const from = prefixCacheIndex.lastChangeNo(index);
  prefixCacheIndex.markSilentLocations(index, 10_000);
  prefixCacheIndex.markSilentLocations(index, 10_100);
  assert.deepEqual(prefixCacheIndex.changesSince(index, from), [{ kind: 'location_silent', location: 'p' }]);
  assert.deepEqual(prefixCacheIndex.currentBlocks(index), [{ kind: 'block_expected', ...block }]);
  prefixCacheIndex.applyEvents(index, 'p', { epoch: 1, nextToken: 2, isLost: false, events: [] }, 10_200);
  assert.deepEqual(prefixCacheIndex.changesSince(index, from + 1), [{ kind: 'block_reported', ...block }]);
});

test("a request's own blocks have no changes; all locations of a block are published once it is known to be shared", () => {
  const index = prefixCacheIndex.create(1000, 100);
  prefixCacheIndex.applyEvents(index, 'p', cachedEvents(['aa', 'own-1', 'own-2']), 0);
  prefixCacheIndex.applyEvents(index, 'q', cachedEvents(['aa', 'own-3']), 0);
  assert.deepEqual([prefixCacheIndex.lastChangeNo(index), prefixCacheIndex.currentBlocks(index)], [0, []]);
  prefixCacheIndex.markShared(index, sharedKey);
  prefixCacheIndex.markShared(index, sharedKey);
  const heldAt = (location: string) =>
    ({ kind: 'block_reported', location, cacheNamespace: 'all/m/1', blockId: 'aa', tokens }) as const;
  assert.deepEqual(prefixCacheIndex.changesSince(index, 0), [heldAt('p'), heldAt('q')]);
  assert.deepEqual(prefixCacheIndex.currentBlocks(index), [heldAt('p'), heldAt('q')]);
  prefixCacheIndex.removeLocation(index, 'q');
  assert.deepEqual(prefixCacheIndex.changesSince(index, 2), [
    { kind: 'block_removed', location: 'q', cacheNamespace: 'all/m/1', blockId: 'aa' },
  ]);
});

test('shared blocks beyond the bound, and those of retired weights, are withdrawn from the routers', () => {
  const index = prefixCacheIndex.create(1000, 100, 2);
  prefixCacheIndex.applyEvents(index, 'p', cachedEvents(['aa', 'bb', 'cc']), 0);
  const keyOf = (blockId: string) => prefixIdentity.blockKey('all/m/1', blockId);
  for (const blockId of ['aa', 'bb', 'aa', 'cc']) prefixCacheIndex.markShared(index, keyOf(blockId));
  const removed = (blockId: string) =>
    ({ kind: 'block_removed', location: 'p', cacheNamespace: 'all/m/1', blockId }) as const;
  assert.deepEqual(prefixCacheIndex.changesSince(index, 3), [removed('bb')]);
  prefixCacheIndex.removeRetired(index, (key) => key === keyOf('aa'));
  assert.deepEqual(prefixCacheIndex.changesSince(index, 4), [removed('aa')]);
  assert.deepEqual([...index.sharedBlocks], [keyOf('cc')]);
});
