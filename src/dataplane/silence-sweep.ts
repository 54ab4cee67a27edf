/** Passive health checking: an endpoint that sends no byte to any of its open requests becomes suspect. */
import { transfers } from '../coordination/transfer/transfers.js';
import { runnerEndpoint } from '../state/runners/endpoint.js';
import type { Router } from './router.js';

/** For how long an endpoint with open requests may be silent, in ms. */
const suspectAfterMs = 500;
const sweepIntervalMs = 100;

/** One sweep; a suspect endpoint is healthy again as soon as it sends a byte. It also ends overdue transfers. */
function sweep(router: Router): void {
  const now = performance.now();
  transfers.step(router.transfers.machine, { type: 'tick' }, now);
  for (const endpoint of router.endpointPool.byId.values()) {
    if (
      endpoint.load.activeRequests > 0 &&
      endpoint.health.state === 'healthy' &&
      now - endpoint.health.lastByteAt > suspectAfterMs
    )
      runnerEndpoint.transitionTo(endpoint, 'suspect', now);
  }
}

/** Sweeps for as long as the process runs. */
function start(router: Router): void {
  setInterval(() => sweep(router), sweepIntervalMs);
}

export const silenceSweep = { start };
