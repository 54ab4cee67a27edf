/**
 * Judges the new version of a service by comparing it with the old one at the same time and on the same routes, as a pure
 * state machine. A request is bad if it failed, or if it took several times the median of the old version on its route.
 * Whether the share of bad requests has risen is a sequential test by cumulative sums (E. S. Page, "Continuous Inspection
 * Schemes", 1954) over the log likelihood ratio of A. Wald's test, for each route and for all of them together: troubles
 * that strike both versions raise the expected share, and what begins late is seen as soon as what was there at once.
 *
 * One runner in trouble is no bad version: the sums are kept by runner, and the worst one is left out.
 */
import type { VersionSample } from '../../types.js';
import { durationHistogram, type DurationHistogram } from './duration-histogram.js';

/**
 * Requests on one route: the old version as the control group with its recent durations and share of bad requests, and the sums
 * of the new one's runners. The totals count since the beginning.
 */
type RouteRecord = {
  control: { durations: DurationHistogram; fastShare: number; slowShare: number; total: number };
  total: number;
  bad: number;
  /** The sum of each runner of the new version by itself. */
  runnerSums: Map<string, number>;
};

/** The record of one roll-out by route; `allRoutes` stands for all of them together. */
export type VersionJudge = { toVersion: string; routes: Map<string, RouteRecord> };

/** `bad`: the new version fails or is slow on this route, or on all (`*`). */
export type Verdict = { kind: 'bad'; route: string; bad: number; total: number } | { kind: 'undecided' };

const allRoutes = '*';

/** A request is slow past this many half octaves above the median of the old version: four times as long. */
const slowBuckets = 4;

/** Requests of the old version on a route before its median is used. */
const minControl = 20;

/** The share of bad requests (0 to 1) that is expected at least, and by how much that of a bad version is higher. */
const minExpectedShare = 0.03;
const badExcess = 0.25;
const maxExpectedShare = 0.7;

/** The sum at which the test decides: the logarithm of a million to one. */
const alarmSum = Math.log(1_000_000);

/** Durations of the old version that are remembered: past it all counts are halved. */
const maxControlDurations = 200;

/**
 * The weight of one request in the moving averages of the old version's bad ones: one that follows a trouble at once, and
 * one that is steady. The greater of them is what is expected.
 */
const fastWeight = 0.03;
const slowWeight = 0.005;

/** Nothing seen yet. */
function create(toVersion: string): VersionJudge {
  return { toVersion, routes: new Map() };
}

function recordOf(judge: VersionJudge, route: string): RouteRecord {
  let record = judge.routes.get(route);
  if (!record) {
    const control = { durations: new Map(), fastShare: minExpectedShare, slowShare: minExpectedShare, total: 0 };
    record = { control, total: 0, bad: 0, runnerSums: new Map() };
    judge.routes.set(route, record);
  }
  return record;
}

/** The bucket from which on a request on the route is slow; `Infinity` while too little is known of the old version. */
function slowFrom({ control }: RouteRecord): number {
  if (durationHistogram.total(control.durations) < minControl) return Infinity;
  return (durationHistogram.medianBucket(control.durations) ?? Infinity) + slowBuckets;
}

function countOf(sample: VersionSample): number {
  return sample.failed + sample.durations.reduce((sum, [, count]) => sum + count, 0);
}

function slowOf(sample: VersionSample, from: number): number {
  return sample.durations.reduce((sum, [bucket, count]) => sum + (bucket >= from ? count : 0), 0);
}

function halve(histogram: DurationHistogram): void {
  for (const [bucket, count] of histogram) histogram.set(bucket, count / 2);
}

function addDurations({ control }: RouteRecord, sample: VersionSample): void {
  for (const [bucket, count] of sample.durations) durationHistogram.add(control.durations, bucket, count);
  if (durationHistogram.total(control.durations) > maxControlDurations) halve(control.durations);
}

function movingAverage(average: number, weight: number, total: number, bad: number): number {
  const kept = (1 - weight) ** total;
  return average * kept + (bad / total) * (1 - kept);
}

function addControl({ control }: RouteRecord, total: number, bad: number): void {
  if (total === 0) return;
  control.total += total;
  control.fastShare = movingAverage(control.fastShare, fastWeight, total, bad);
  control.slowShare = movingAverage(control.slowShare, slowWeight, total, bad);
}

/** The share of bad requests that is expected of a good version, by what the old one did at the same time. */
function expectedShare({ control }: RouteRecord): number {
  return Math.min(maxExpectedShare, Math.max(minExpectedShare, control.fastShare, control.slowShare));
}

function addCandidate(record: RouteRecord, runner: string, total: number, bad: number): void {
  const expected = expectedShare(record);
  const alternative = expected + badExcess;
  const gain = bad * Math.log(alternative / expected) + (total - bad) * Math.log((1 - alternative) / (1 - expected));
  record.runnerSums.set(runner, Math.max(0, (record.runnerSums.get(runner) ?? 0) + gain));
  record.total += total;
  record.bad += bad;
}

/** Adds what one router reported of one runner on one route. */
function record(judge: VersionJudge, sample: VersionSample): void {
  const own = recordOf(judge, sample.route);
  const all = recordOf(judge, allRoutes);
  const total = countOf(sample);
  const bad = sample.failed + slowOf(sample, slowFrom(own));
  for (const each of [own, all]) {
    if (sample.version === judge.toVersion) addCandidate(each, sample.runner, total, bad);
    else addControl(each, total, bad);
  }
  if (sample.version !== judge.toVersion) addDurations(own, sample);
}

/** The sum of a route without its worst runner; with a single runner, that one's. */
function sumWithoutWorst({ runnerSums }: RouteRecord): number {
  const sums = [...runnerSums.values()];
  if (sums.length <= 1) return sums[0] ?? 0;
  return sums.reduce((total, sum) => total + sum, 0) - Math.max(...sums);
}

/** What the samples so far say of the new version. */
function verdict(judge: VersionJudge): Verdict {
  for (const [route, each] of judge.routes) {
    if (sumWithoutWorst(each) < alarmSum) continue;
    return { kind: 'bad', route, bad: each.bad, total: each.total };
  }
  return { kind: 'undecided' };
}

/** The least requests of the new version on any route that has `minShare` (0 to 1) or more of the old version's. */
function leastSamples(judge: VersionJudge, minShare: number): number {
  const all = judge.routes.get(allRoutes);
  if (!all) return 0;
  let least = all.total;
  for (const [route, each] of judge.routes)
    if (route !== allRoutes && each.control.total >= all.control.total * minShare) least = Math.min(least, each.total);
  return least;
}

export const versionJudge = { create, record, verdict, leastSamples };
