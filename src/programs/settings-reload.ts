/**
 * Reads the settings file again while a process has lost touch with the coordinators: the file may change
 * without a signal, and the seeds in it are then the only way to members it has never heard of.
 */
import type { Clock } from '../runtime.js';

const checkIntervalMs = 500;
const rereadAfterMs = 2000;

/** Asks `isInTouch` every `checkIntervalMs`; calls `reread` after `rereadAfterMs` without touch, and again at that pace. */
function start(clock: Clock, isInTouch: () => boolean, reread: () => void): void {
  let lastInTouchAt = clock.now();
  clock.every(checkIntervalMs, () => {
    const now = clock.now();
    if (isInTouch()) lastInTouchAt = now;
    if (now - lastInTouchAt < rereadAfterMs) return;
    lastInTouchAt = now;
    reread();
  });
}

export const settingsReload = { start };
