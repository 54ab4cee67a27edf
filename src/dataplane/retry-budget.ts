/**
 * The part of the fleet's retry budget that one router may use, as in gRPC's retry throttling and Finagle's
 * RetryBudget: a ratio of its own requests in a sliding window, and its share of the slack, divided by the number of
 * routers. While that number is unknown there is no slack. Requests and retries are counted in buckets, so that the
 * window slides.
 */

/** Requests and retries in `bucketMs` from `startedAt` on, in ms on the process's steady clock. */
type Bucket = { startedAt: number; requests: number; retries: number };

/** `ratio`: retries for each request. `slack`: further retries in a window, of all routers of the fleet together. */
export type RetryBudget = { windowMs: number; ratio: number; slack: number; buckets: Bucket[] };

/** The length of a bucket, in ms. */
const bucketMs = 250;

/** The share (0 to 1) of the budget that is used at all; the rest is a margin. */
const usedShare = 0.75;

/** An unused budget for windows of `windowMs`. */
function create(windowMs: number, ratio: number, slack: number): RetryBudget {
  return { windowMs, ratio, slack, buckets: [] };
}

function currentBucket({ buckets, windowMs }: RetryBudget, now: number): Bucket {
  const startedAt = Math.floor(now / bucketMs) * bucketMs;
  const last = buckets.at(-1);
  if (last && last.startedAt === startedAt) return last;
  const bucket = { startedAt, requests: 0, retries: 0 };
  buckets.push(bucket);
  while (buckets.length > 0 && buckets[0]!.startedAt < now - windowMs - bucketMs) buckets.shift();
  return bucket;
}

/** Counts a client's request, whatever its outcome; `now` in ms on the process's steady clock. */
function recordRequest(budget: RetryBudget, now: number): void {
  currentBucket(budget, now).requests++;
}

/** Takes one retry from the budget; false when there is none. `routerCount` is 0 while it is unknown. */
function tryAcquire(budget: RetryBudget, now: number, routerCount: number): boolean {
  const current = currentBucket(budget, now);
  let requests = 0;
  let retries = 0;
  for (const bucket of budget.buckets) {
    requests += bucket.requests;
    retries += bucket.retries;
  }
  const slack = routerCount > 0 ? (budget.slack * usedShare) / routerCount : 0;
  if (retries + 1 > requests * budget.ratio * usedShare + slack) return false;
  current.retries++;
  return true;
}

export const retryBudget = { create, recordRequest, tryAcquire };
