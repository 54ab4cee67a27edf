/**
 * The deadline of an HTTP exchange that may carry much: it expires after a time without progress, and in any case after
 * a maximum duration. One timer is set at a time; progress only records the time, so that it costs no timer per chunk.
 */

/** A running deadline; it never expires after `cancel`. */
export type ProgressDeadline = {
  /** Records that bytes moved. */
  progress: () => void;
  cancel: () => void;
};

/** A timer that fires earlier than its time by less than this has expired: Node rounds to whole milliseconds. */
const timerGranularityMs = 1;

/** Calls `onExpired` once, after `idleTimeoutMs` without progress, at the latest after `maxDurationMs`. */
function start(idleTimeoutMs: number, maxDurationMs: number, onExpired: () => void): ProgressDeadline {
  const startedAt = performance.now();
  let lastProgressAt = startedAt;
  let timer = setTimeout(check, idleTimeoutMs);
  function check(): void {
    const remainingMs = Math.min(lastProgressAt + idleTimeoutMs, startedAt + maxDurationMs) - performance.now();
    if (remainingMs < timerGranularityMs) return onExpired();
    timer = setTimeout(check, remainingMs);
  }
  return {
    progress: () => {
      lastProgressAt = performance.now();
    },
    cancel: () => {
      clearTimeout(timer);
    },
  };
}

export const progressDeadline = { start };
