/** Bounds of timers, for delays that come from configurations and requests. */

/** The longest delay of a timer in ms, about 24.8 days; Node fires one with a longer delay at once. */
export const maxTimerMs = 2 ** 31 - 1;

/** The delay in ms of a timer that is to fire in `ms`: at least 1, and not later than timers can. */
export function timerDelay(ms: number): number {
  return Math.max(1, Math.min(ms, maxTimerMs));
}
