/**
 * Counts of durations by buckets of half an octave, so that the histograms of all routers can be added up. A quantile is
 * exact to a factor of the square root of two, and versions are told apart by far greater factors.
 */

/** Counts by bucket; bucket `n` begins at 2^(n/2) ms. */
export type DurationHistogram = Map<number, number>;

/** Durations of a day and more share the last bucket. */
const maxBucket = 54;

/** The bucket of a duration in ms. */
function bucketOf(durationMs: number): number {
  return Math.min(maxBucket, Math.max(0, Math.floor(2 * Math.log2(Math.max(1, durationMs)))));
}

/** Adds `count` durations of one bucket. */
function add(histogram: DurationHistogram, bucket: number, count: number): void {
  histogram.set(bucket, (histogram.get(bucket) ?? 0) + count);
}

/** How many durations there are. */
function total(histogram: DurationHistogram): number {
  let sum = 0;
  for (const count of histogram.values()) sum += count;
  return sum;
}

/** The bucket of the median; null for an empty histogram. */
function medianBucket(histogram: DurationHistogram): number | null {
  const half = total(histogram) / 2;
  let seen = 0;
  for (const [bucket, count] of [...histogram].sort(([a], [b]) => a - b)) {
    seen += count;
    if (seen >= half) return bucket;
  }
  return null;
}

export const durationHistogram = { maxBucket, bucketOf, add, total, medianBucket };
