/**
 * Graceful shutdown of a router: it turns unready, goes on serving while the platform takes it out of rotation, then
 * accepts no more connections, completes the open requests and exits before the platform kills it.
 */
import type { Server } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { routers, type Router } from './router.js';

/** `stopWatching` ends the session with the control plane; `exit` ends the process. */
export type ShutdownSteps = { server: Server; stopWatching: () => void; exit: () => void };

/** How long the router goes on accepting connections while unready, at most, in ms and as a share of the grace. */
const longestUnreadyMs = 2500;
const unreadyShare = 0.35;

/** The share of the grace after which the process ends, whatever is still open. */
const usedGraceShare = 0.9;

/** If no request comes for so long after the idle connections were closed, none is on its way any more; in ms. */
const quietPeriodMs = 60;

function noOpenRequest(router: Router): Promise<void> {
  return new Promise((resolve) => {
    router.events.once('idle', () => resolve());
  });
}

/**
 * A pooled connection may bring one more request while the last answer is sent, so this waits until no request has been
 * open for a while after the idle connections were closed.
 */
async function untilIdle(router: Router, server: Server): Promise<void> {
  for (;;) {
    while (router.openRequests.size > 0) await noOpenRequest(router);
    server.closeIdleConnections();
    await sleep(quietPeriodMs);
    if (router.openRequests.size === 0) return;
  }
}

/** Begins at the platform's SIGTERM; a second call does nothing. */
async function run(router: Router, { server, stopWatching, exit }: ShutdownSteps): Promise<void> {
  if (routers.isShuttingDown(router)) return;
  router.phase = 'draining';
  const graceMs = router.settings.bound_set.grace_s * 1000;
  const endAt = performance.now() + graceMs * usedGraceShare;
  await sleep(Math.min(longestUnreadyMs, graceMs * unreadyShare));
  router.phase = 'closing';
  server.close();
  server.closeIdleConnections();
  setTimeout(exit, Math.max(0, endAt - performance.now()));
  await untilIdle(router, server);
  stopWatching();
  exit();
}

export const gracefulShutdown = { run };
