/**
 * Judges the new version of a service by comparing it with the old one at the same time and on the same routes, as a pure
 * state machine. Two shares are tested (`share-test.ts`), each for every route, every kind of request and all of them
 * together: of requests that failed, and of those that took several times the median of the old version on their route.
 */
import type { VersionSample } from '../../types.js';
import { durationHistogram, type DurationHistogram } from './duration-histogram.js';
import { shareTest, type ShareTest } from './share-test.js';

/** The tests of one route, kind of request, or all; and how many requests each version had. */
type RouteRecord = { failures: ShareTest; slowness: ShareTest; oldTotal: number; newTotal: number };

/** The record of one roll-out: the tests by their keys, and the recent durations of the old version by route. */
export type VersionJudge = {
  toVersion: string;
  records: Map<string, RouteRecord>;
  oldDurations: Map<string, DurationHistogram>;
};

/** `bad`: the new version fails or is slow on this route, or, with `*`, this kind of request or all. */
export type Verdict = { kind: 'bad'; route: string; bad: number; total: number } | { kind: 'undecided' };

/** The key of all requests, and what stands before that of a kind of request. */
const allRoutes = '*';
const kindPrefix = '* ';

/** A request is slow past this many half octaves above the median of the old version: four times as long. */
const slowBuckets = 4;

/** Durations of the old version on a route before its median is used, and past which all counts are halved. */
const minOldDurations = 20;
const maxOldDurations = 200;

/** Nothing seen yet. */
function create(toVersion: string): VersionJudge {
  return { toVersion, records: new Map(), oldDurations: new Map() };
}

function recordOf(judge: VersionJudge, key: string): RouteRecord {
  let record = judge.records.get(key);
  if (!record) {
    record = { failures: shareTest.create(), slowness: shareTest.create(), oldTotal: 0, newTotal: 0 };
    judge.records.set(key, record);
  }
  return record;
}

/** The bucket from which on a request on the route is slow; `Infinity` while too little is known of the old version. */
function slowFrom(judge: VersionJudge, route: string): number {
  const durations = judge.oldDurations.get(route);
  if (!durations || durationHistogram.total(durations) < minOldDurations) return Infinity;
  return (durationHistogram.medianBucket(durations) ?? Infinity) + slowBuckets;
}

function addOldDurations(judge: VersionJudge, sample: VersionSample): void {
  const durations = judge.oldDurations.get(sample.route) ?? new Map<number, number>();
  judge.oldDurations.set(sample.route, durations);
  for (const [bucket, count] of sample.durations) durationHistogram.add(durations, bucket, count);
  if (durationHistogram.total(durations) <= maxOldDurations) return;
  for (const [bucket, count] of durations) durations.set(bucket, count / 2);
}

/** Adds what one router reported of one runner on one route. */
function record(judge: VersionJudge, sample: VersionSample): void {
  const isNew = sample.version === judge.toVersion;
  const from = slowFrom(judge, sample.route);
  const timed = sample.durations.reduce((sum, [, count]) => sum + count, 0);
  const slow = sample.durations.reduce((sum, [bucket, count]) => sum + (bucket >= from ? count : 0), 0);
  const total = timed + sample.failed;
  for (const key of [sample.route, kindPrefix + sample.kind, allRoutes]) {
    const each = recordOf(judge, key);
    if (isNew) {
      shareTest.addCandidate(each.failures, sample.runner, total, sample.failed);
      shareTest.addCandidate(each.slowness, sample.runner, timed, slow);
      each.newTotal += total;
    } else {
      shareTest.addControl(each.failures, total, sample.failed);
      shareTest.addControl(each.slowness, timed, slow);
      each.oldTotal += total;
    }
  }
  if (!isNew) addOldDurations(judge, sample);
}

/** What the samples so far say of the new version. */
function verdict(judge: VersionJudge): Verdict {
  for (const [route, { failures, slowness }] of judge.records)
    for (const test of [failures, slowness])
      if (shareTest.isAlarmed(test)) return { kind: 'bad', route, bad: test.hits, total: test.total };
  return { kind: 'undecided' };
}

/** The least requests of the new version on any route that has `minShare` (0 to 1) or more of the old version's. */
function leastSamples(judge: VersionJudge, minShare: number): number {
  const all = judge.records.get(allRoutes);
  if (!all) return 0;
  let least = all.newTotal;
  for (const [route, each] of judge.records)
    if (!route.startsWith(allRoutes) && each.oldTotal >= all.oldTotal * minShare)
      least = Math.min(least, each.newTotal);
  return least;
}

export const versionJudge = { create, record, verdict, leastSamples };
