/** Delays and time-outs on an injected clock, so that the simulated world governs them too. */
import type { Clock } from '../runtime.js';

/** Resolves after `delayMs` milliseconds; it can't be cancelled. */
function delay(clock: Clock, delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}

/**
 * The result of `work`, or `fallback` when it takes longer than `timeoutMs`. The work is not aborted: it
 * goes on, and its late result is dropped. Rejects if `work` does so in time.
 */
function withTimeout<T>(clock: Clock, timeoutMs: number, work: Promise<T>, fallback: T): Promise<T> {
  return new Promise((resolve, reject) => {
    const timer = clock.after(timeoutMs, () => {
      resolve(fallback);
    });
    work.finally(() => timer.cancel()).then(resolve, reject);
  });
}

export const timing = { delay, withTimeout };
