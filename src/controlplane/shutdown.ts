/**
 * The graceful shutdown of a coordinator on SIGTERM: no new orders are accepted and routers turn to other members;
 * orders in flight are answered; leadership is transferred and a caught-up learner may replace this member; then the
 * replica is closed. Every step is bounded, so that all end before the platform kills the process after `grace_s`.
 */
import { timing } from '../runtime/timing.js';
import type { Coordinator } from './coordinator-context.js';
import { pendingWatches } from './pending-watches.js';

/** Shares of `grace_s` for the orders in flight and for the transfer of leadership; the rest is for closing. */
const ordersShare = 0.25;
const transferShare = 0.5;

/** Resolves when the process may end; a second call does nothing. */
async function stop(coordinator: Coordinator): Promise<void> {
  if (coordinator.isStopping) return;
  const { clock } = coordinator.runtime;
  const graceMs = coordinator.settings.bound_set.grace_s * 1000;
  coordinator.isStopping = true;
  pendingWatches.respondToDue(coordinator.pendingWatches);
  await timing.withTimeout<void>(clock, graceMs * ordersShare, coordinator.orderAdmission.whenIdle(), undefined);
  const transferMs = graceMs * transferShare;
  await timing.withTimeout<void>(clock, transferMs, coordinator.group.transferLeadership(transferMs), undefined);
  await coordinator.group.close();
}

export const shutdown = { stop };
