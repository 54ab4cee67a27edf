/** The steady clock and the timers of this machine. */
import type { Clock } from '../runtime.js';

/** `now` in milliseconds since the start of the process. */
export const systemClock: Clock = {
  now: () => performance.now(),
  after: (delayMs, run) => {
    const timer = setTimeout(run, delayMs);
    return {
      cancel: () => {
        clearTimeout(timer);
      },
    };
  },
  every: (intervalMs, run) => {
    const timer = setInterval(run, intervalMs);
    return {
      cancel: () => {
        clearInterval(timer);
      },
    };
  },
};
