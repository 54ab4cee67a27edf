/** The bounds of a process by the machine of its settings, and the findings on a machine that can't be. */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import { settings } from '../src/protocol/settings/check.js';
import { callerLimits } from '../src/runtime/caller-limits.js';
import { settingsOf } from './standins/fleet-settings.js';

const megabyte = 1024 * 1024;
const node = { name: 'edge-1', ip: '127.0.0.1', program: 'router' as const, dataDir: '' };

test('the smallest machine of the users holds several bodies of the usual limit, and stays below its memory', () => {
  const { bodyBytes, connections } = callerLimits.forMachine({ memory_mb: 160, max_fds: 4100 });
  assert.ok(bodyBytes >= 4 * 4_194_304);
  assert.ok(connections >= 500 && connections <= 4100 - 200);
  assert.ok(96 * megabyte + bodyBytes + connections * 24 * 1024 < 160 * megabyte);
});

test('an order of the greatest length fits on any machine, and a larger one holds more', () => {
  const [small, large] = [64, 2048].map((memory_mb) => callerLimits.forMachine({ memory_mb, max_fds: 4096 }));
  assert.ok((small!.orderBytes * 7) / 8 >= 16 * megabyte);
  assert.ok(large!.orderBytes > small!.orderBytes && large!.bodyBytes > small!.bodyBytes);
  assert.deepEqual(callerLimits.forMachine({}), callerLimits.forMachine({ memory_mb: 160, max_fds: 1024 }));
});

test('a machine without memory or descriptors is a finding with its path', () => {
  const pathsOf = (limits: object): string[] => {
    const checked = settings.check({ ...settingsOf(71, node, true), limits }, 'router');
    return checked.ok ? [] : checked.error.map(({ path }) => path);
  };
  assert.deepEqual(pathsOf({ memory_mb: 160, max_fds: 4100, link_mbps: 10 }), []);
  assert.deepEqual(pathsOf({ memory_mb: 0, max_fds: 0.5 }), ['limits.memory_mb', 'limits.max_fds']);
  assert.deepEqual(pathsOf({ memory_mb: 'much' }), ['limits.memory_mb']);
});
