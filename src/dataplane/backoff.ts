/**
 * Exponential back-off with equal jitter: half of the delay is fixed and half is random, so that callers which failed
 * at the same moment don't retry at the same moment. See "Exponential Backoff And Jitter" (AWS Architecture Blog,
 * 2015).
 */
import type { Random } from '../runtime.js';

/** How the delay grows. */
export type BackoffPolicy = {
  /** The longest delay after the first failure, in ms. */
  initialMs: number;
  /** The factor by which it grows with each further failure. */
  multiplier: number;
  /** The longest delay at all, in ms. */
  maxMs: number;
};

/** The delay before the next attempt, in milliseconds, after so many failures in a row (at least 1). */
function delayMs(policy: BackoffPolicy, failures: number, random: Random): number {
  const limitMs = Math.min(policy.maxMs, policy.initialMs * policy.multiplier ** (failures - 1));
  return limitMs * (0.5 + random() / 2);
}

export const backoff = { delayMs };
