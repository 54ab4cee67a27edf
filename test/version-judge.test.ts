/** The judge of new versions on drawn traffic: what is bad is seen in time, and troubles of both versions are no alarm. */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import { durationHistogram } from '../src/coordination/rollouts/duration-histogram.js';
import { versionJudge, type VersionJudge } from '../src/coordination/rollouts/version-judge.js';
import type { VersionSample } from '../src/types.js';
import { luck, type Luck } from './support/random.js';

/** What becomes of one request: how long it takes in ms, or null if it fails. */
type Behaviour = (request: {
  route: string;
  runner: string;
  index: number;
  random: Luck;
  durationMs: number;
}) => number | null;

const runners = ['n1', 'n2', 'n3', 'n4'];

function sampleOf(version: string, runner: string, route: string, durationMs: number | null): VersionSample {
  const durations: [number, number][] = durationMs === null ? [] : [[durationHistogram.bucketOf(durationMs), 1]];
  return {
    service: 's',
    version,
    runner,
    route,
    kind: route.split('-')[0]!,
    failed: durationMs === null ? 1 : 0,
    durations,
  };
}

function isLong(route: string): boolean {
  return route.startsWith('long');
}

/** A log-normal length of the answer, as drawn answers have. */
function drawnDurationMs(random: Luck, route: string): number {
  const normal = Math.sqrt(-2 * Math.log(1 - luck.next(random))) * Math.cos(2 * Math.PI * luck.next(random));
  return (isLong(route) ? 600 : 200) * Math.exp(0.7 * normal);
}

/** Plays up to `requests` of the new version beside eight times as many of the old one; the request of the alarm, or null. */
function alarmAt(
  seed: number,
  requests: number,
  newVersion: Behaviour,
  oldVersion: Behaviour = healthy,
  longRoutes = 1,
): number | null {
  const random = luck.create(seed);
  const judge: VersionJudge = versionJudge.create('v2');
  for (let index = 0; index < requests; index++) {
    for (let old = 0; old < 9; old++) {
      const isNew = old === 8;
      const isOnLong = luck.next(random) < 0.1;
      const route = isOnLong ? (longRoutes === 1 ? 'long' : `long-${luck.below(random, longRoutes)}`) : 'short';
      const runner = isNew ? luck.pick(random, runners) : '';
      const durationMs = drawnDurationMs(random, route);
      const behaviour = isNew ? newVersion : oldVersion;
      const result = behaviour({ route, runner, index, random, durationMs });
      versionJudge.record(judge, sampleOf(isNew ? 'v2' : 'v1', runner, route, result));
    }
    if (versionJudge.verdict(judge).kind === 'bad') return index;
  }
  return null;
}

const healthy: Behaviour = ({ durationMs }) => durationMs;

/** Within what brings 50 bad answers, from which the users' page counts `rollback_ms`. */
const badVersions: Record<string, { behaviour: Behaviour; withinRequests: number }> = {
  failing: {
    behaviour: ({ random, durationMs }) => (luck.next(random) < 0.5 ? null : durationMs),
    withinRequests: 100,
  },
  slow: {
    behaviour: ({ random, durationMs }) => (luck.next(random) < 0.5 ? durationMs * 8 : durationMs),
    withinRequests: 100,
  },
  'failing late': {
    behaviour: ({ random, durationMs, index }) => (index > 200 && luck.next(random) < 0.5 ? null : durationMs),
    withinRequests: 300,
  },
  'failing on one kind of request, on many routes': {
    behaviour: ({ random, durationMs, route }) => (isLong(route) && luck.next(random) < 0.5 ? null : durationMs),
    withinRequests: 1000,
  },
  'failing on one route': {
    behaviour: ({ random, durationMs, route }) => (route === 'long' && luck.next(random) < 0.5 ? null : durationMs),
    withinRequests: 1000,
  },
};

for (const [name, { behaviour, withinRequests }] of Object.entries(badVersions))
  test(`a version that is ${name} is found in each of 100 seeds`, () => {
    for (let seed = 1; seed <= 100; seed++) {
      const at = alarmAt(seed, withinRequests, behaviour, healthy, name.includes('many routes') ? 8 : 1);
      assert.ok(at !== null, `seed ${seed}: no alarm in ${withinRequests} requests`);
      if (name === 'failing late') assert.ok(at > 200, `seed ${seed}: alarm before it was bad`);
    }
  });

const goodVersions: Record<string, { newVersion: Behaviour; oldVersion: Behaviour }> = {
  good: { newVersion: healthy, oldVersion: healthy },
  'good while both versions fail a tenth': {
    newVersion: ({ random, durationMs }) => (luck.next(random) < 0.1 ? null : durationMs),
    oldVersion: ({ random, durationMs }) => (luck.next(random) < 0.1 ? null : durationMs),
  },
  'good while a burst slows both': {
    newVersion: ({ durationMs, index }) => (index > 100 ? durationMs * 3 : durationMs),
    oldVersion: ({ durationMs, index }) => (index > 100 ? durationMs * 3 : durationMs),
  },
  'good with cold caches': {
    newVersion: ({ durationMs, index, route }) => (index < 150 && route === 'long' ? durationMs + 300 : durationMs),
    oldVersion: healthy,
  },
  'good with one runner that fails all': {
    newVersion: ({ durationMs, runner }) => (runner === 'n1' ? null : durationMs),
    oldVersion: healthy,
  },
};

for (const [name, { newVersion, oldVersion }] of Object.entries(goodVersions))
  test(`a version that is ${name} raises no alarm in 100 seeds`, () => {
    const alarms = Array.from({ length: 100 }, (_, i) => alarmAt(i + 1, 500, newVersion, oldVersion));
    assert.deepEqual(
      alarms.filter((alarm) => alarm !== null),
      [],
    );
  });

test('samples of the new version alone are judged by their failures', () => {
  const judge = versionJudge.create('v2');
  for (let i = 0; i < 40; i++)
    versionJudge.record(judge, sampleOf('v2', `n${i % 2}`, 'short', i % 2 === 0 ? null : 9000));
  assert.equal(versionJudge.verdict(judge).kind, 'undecided', 'of one runner only');
  for (let i = 0; i < 80; i++)
    versionJudge.record(judge, sampleOf('v2', `n${i % 2}`, 'short', i % 3 === 0 ? null : 9000));
  assert.equal(versionJudge.verdict(judge).kind, 'bad');
});
