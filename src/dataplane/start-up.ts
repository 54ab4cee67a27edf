/**
 * Requests that reach a router before its first configuration. Clients have few attempts, so a request waits for a
 * moment, which is short against any latency target, in case the configuration is on its way. Then it is rejected with
 * a time to retry after: past the time by which a router that finds the coordinators is usually ready, with jitter.
 */
import type { Router } from './router.js';

/** The longest wait, in ms: short against the smallest latency target, of which a quarter may pass without loss. */
const maxWaitMs = 60;
/** How long after the start of the process a router that finds an up-to-date coordinator is usually ready, in ms. */
const usualStartUpMs = 500;
/** The shortest retry time that a client is given, and the jitter that is added, in ms. */
const minRetryAfterMs = 150;
const jitterMs = 200;

/** Resolves once there is a configuration, or after `maxWaitMs`. */
function waitForConfiguration(router: Router): Promise<void> {
  return new Promise((resolve) => {
    function finish(): void {
      clearTimeout(timer);
      router.events.removeListener('configuration', finish);
      resolve();
    }
    const timer = setTimeout(finish, maxWaitMs);
    router.events.on('configuration', finish);
  });
}

/**
 * Milliseconds after which a client that is rejected for want of a configuration may retry. `upMs` is how long the
 * process has been up, `random` uniform in [0, 1).
 */
function retryAfterMs(upMs = process.uptime() * 1000, random = Math.random()): number {
  return Math.max(minRetryAfterMs, usualStartUpMs - upMs) + random * jitterMs;
}

export const startUp = { waitForConfiguration, retryAfterMs };
