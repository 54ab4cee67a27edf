/** The watches of routers that wait at this coordinator until there is something to answer, or their time is up. */
import type { Clock } from '../runtime.js';

/** A watch that waits until `isDue`; `respond` ends the wait. */
export type PendingWatch = { isDue: () => boolean; respond: () => void };
/** All watches that wait at one coordinator. */
export type PendingWatches = Set<PendingWatch>;

/** No watches. */
function create(): PendingWatches {
  return new Set();
}

/** Resolves once `respondToDue` finds the watch due, or after `timeoutMs`. */
function wait(watches: PendingWatches, clock: Clock, isDue: () => boolean, timeoutMs: number): Promise<void> {
  return new Promise((resolve) => {
    const watch: PendingWatch = {
      isDue,
      respond: () => {
        timer.cancel();
        resolve();
      },
    };
    const timer = clock.after(timeoutMs, () => {
      watches.delete(watch);
      resolve();
    });
    watches.add(watch);
  });
}

/** Ends the wait of every watch that is due. To be called after whatever may make one due. */
function respondToDue(watches: PendingWatches): void {
  for (const watch of [...watches]) {
    if (!watch.isDue()) continue;
    watches.delete(watch);
    watch.respond();
  }
}

export const pendingWatches = { create, wait, respondToDue };
