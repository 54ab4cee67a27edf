/**
 * A sequential test whether a share of requests is higher at the new version than at the old one at the same time: cumulative
 * sums (E. S. Page, "Continuous Inspection Schemes", 1954) over the log likelihood ratio of A. Wald's test. What is expected
 * follows the old version, so a trouble that strikes both is no alarm; what begins late is seen as soon as what was there
 * at once. One runner in trouble is no bad version: the sum that decides leaves out the runner that raises it most.
 */

/** The moving averages of the old version, and the sums of the new one: over all runners, and over all but each of them. */
export type ShareTest = {
  fastShare: number;
  slowShare: number;
  total: number;
  hits: number;
  sum: number;
  sumWithout: Map<string, number>;
};

/** The share (0 to 1) that is expected at least and at most, and by how much that of a bad version is higher. */
const minExpectedShare = 0.03;
const maxExpectedShare = 0.7;
const excess = 0.25;

/** The sum at which the test decides: the logarithm of a million to one. */
const alarmSum = Math.log(1_000_000);

/**
 * The weight of one request in the moving averages of the old version: one that follows a trouble at once, and one that is
 * steady. The greater of them is what is expected.
 */
const fastWeight = 0.03;
const slowWeight = 0.005;

/** Nothing seen yet. */
function create(): ShareTest {
  return { fastShare: minExpectedShare, slowShare: minExpectedShare, total: 0, hits: 0, sum: 0, sumWithout: new Map() };
}

function movingAverage(average: number, weight: number, total: number, hits: number): number {
  const kept = (1 - weight) ** total;
  return average * kept + (hits / total) * (1 - kept);
}

/** Adds requests of the old version, `hits` of `total`. */
function addControl(test: ShareTest, total: number, hits: number): void {
  if (total === 0) return;
  test.fastShare = movingAverage(test.fastShare, fastWeight, total, hits);
  test.slowShare = movingAverage(test.slowShare, slowWeight, total, hits);
}

/** Adds requests of a runner of the new version, `hits` of `total`. */
function addCandidate(test: ShareTest, runner: string, total: number, hits: number): void {
  const expected = Math.min(maxExpectedShare, Math.max(minExpectedShare, test.fastShare, test.slowShare));
  const alternative = expected + excess;
  const gain = hits * Math.log(alternative / expected) + (total - hits) * Math.log((1 - alternative) / (1 - expected));
  if (!test.sumWithout.has(runner)) test.sumWithout.set(runner, test.sum);
  test.sum = Math.max(0, test.sum + gain);
  for (const [other, sum] of test.sumWithout) if (other !== runner) test.sumWithout.set(other, Math.max(0, sum + gain));
  test.total += total;
  test.hits += hits;
}

/** Whether the share is higher than that of the old version; with a single runner, by that one alone. */
function isAlarmed({ sum, sumWithout }: ShareTest): boolean {
  return (sumWithout.size <= 1 ? sum : Math.min(...sumWithout.values())) >= alarmSum;
}

export const shareTest = { create, addControl, addCandidate, isAlarmed };
