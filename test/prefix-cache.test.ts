/** The identity of prefix blocks, and what a location that falls silent is still believed to hold. */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import { cachedPrefixes } from '../src/state/prefix-cache/cached-prefixes.js';
import { prefixIdentity } from '../src/state/prefix-cache/prefix-identity.js';
import { prefixCacheIndex } from '../src/state/prefix-cache/prefix-cache-index.js';

const tokens = 2000;

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
  const from = prefixCacheIndex.lastChangeNo(index);
  prefixCacheIndex.markSilentLocations(index, 10_000);
  prefixCacheIndex.markSilentLocations(index, 10_100);
  assert.deepEqual(prefixCacheIndex.changesSince(index, from), [{ kind: 'location_silent', location: 'p' }]);
  assert.deepEqual(prefixCacheIndex.currentBlocks(index), [{ kind: 'block_expected', ...block }]);
  prefixCacheIndex.applyEvents(index, 'p', { epoch: 1, nextToken: 2, isLost: false, events: [] }, 10_200);
  assert.deepEqual(prefixCacheIndex.changesSince(index, from + 1), [{ kind: 'block_reported', ...block }]);
});
