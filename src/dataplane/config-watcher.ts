/**
 * A router's watch of the coordinators: it asks one of them again and again with the revisions it has, and turns to the
 * next one at once when that times out, fails or is not up to date.
 *
 * A coordinator that is not up to date hands out nothing, so a router becomes ready only on an answer that is current.
 * Where no coordinator has been up to date for `contact_ms`, the router asks for what they have (`acceptsStale`): the
 * fleet must go on serving when the coordinators have lost their majority.
 */
import type { NoteEvents } from '../logging/events.js';
import { ringLog } from '../logging/ring.js';
import type { Result } from '../types.js';
import type { Runtime } from '../runtime.js';
import type { RpcError } from '../runtime/rpc-errors.js';
import { timing } from '../runtime/timing.js';
import { rolloutLease } from '../state/control/rollout-lease.js';
import { routerLeaseMs } from '../state/control/access-lease.js';
import { endpointsSnapshots } from '../state/endpoints-snapshot.js';
import { rpc } from '../protocol/rpc/rpc-method.js';
import {
  partialWatchMethod,
  type PartialWatchResponse,
  type WatchRequest,
  type WatchResponse,
} from '../protocol/rpc/watch.js';
import { backoff, type BackoffPolicy } from './backoff.js';
import { configUpdates } from './config-updates.js';
import { coordinatorList, type CoordinatorList } from './coordinator-list.js';
import type { Router } from './router.js';

type SwitchReason = NoteEvents['coordinator_switched']['reason'];

/** For how long a coordinator may hold a watch that has nothing new, in ms. */
const waitMs = 600;

/** How much later than that a response may come, in ms. */
const responseSlackMs = 350;

/**
 * The time-out of a watch before the first configuration, in ms. It is short, since a coordinator that is down or
 * partitioned doesn't answer, while the others have the response at once.
 */
const initialTimeoutMs = 400;

/**
 * The back-off once all coordinators were asked without success: short at first, since an election takes about a
 * second, then longer, so that a fleet doesn't overload coordinators that have a fault.
 */
const backoffPolicy: BackoffPolicy = { initialMs: 30, multiplier: 1.4, maxMs: 200 };

/** The state of a watch. */
export type ConfigWatcher = {
  /** The incarnation of this process. */
  incarnation: string;
  runtime: Runtime;
  coordinators: CoordinatorList;
  /** The RPC address of the leader, as the last coordinator that was up to date knew it. */
  leaderAddress: string | null;
  /** Ends the watch after the call that is under way. */
  isStopped: boolean;
  /** The last update was for another base: the full state is requested. */
  needsFullState: boolean;
  /**
   * When a coordinator that was up to date last answered, in ms of the runtime's clock; at first the time of the start.
   */
  lastUpToDateAt: number;
};

type ConfigWatcherOptions = Pick<ConfigWatcher, 'incarnation' | 'runtime'> & Pick<CoordinatorList, 'seedAddresses'>;

/** A watch that begins with the seed of number `firstSeedIndex`. */
function create(options: ConfigWatcherOptions, firstSeedIndex: number): ConfigWatcher {
  const { incarnation, runtime, seedAddresses } = options;
  return {
    incarnation,
    runtime,
    coordinators: coordinatorList.create(seedAddresses, firstSeedIndex),
    leaderAddress: null,
    isStopped: false,
    needsFullState: false,
    lastUpToDateAt: runtime.clock.now(),
  };
}

/** A coordinator that is not up to date may know members that left, and may not know the present ones. */
function applyCoordinators(watcher: ConfigWatcher, response: WatchResponse): void {
  if (!response.isUpToDate) return coordinatorList.extend(watcher.coordinators, response.coordinatorAddresses);
  watcher.leaderAddress = response.leaderAddress;
  coordinatorList.replace(watcher.coordinators, response.coordinatorAddresses);
}

function requestOf(router: Router, watcher: ConfigWatcher): WatchRequest {
  const notUpToDateMs = watcher.runtime.clock.now() - watcher.lastUpToDateAt;
  const revision = router.configuration?.document.revision ?? 0;
  return {
    routerName: router.settings.node_name,
    incarnation: watcher.incarnation,
    revision,
    endpointsVersion: endpointsSnapshots.versionOf(router.endpointsSnapshot),
    weightsSeq: router.weights.seq,
    rulesSeq: router.accessRules.state.seq,
    rolloutsSeq: router.rollouts.state.seq,
    waitMs: revision === 0 ? Math.min(waitMs, initialTimeoutMs / 2) : waitMs,
    needsFullState: watcher.needsFullState,
    acceptsStale: notUpToDateMs >= router.settings.bound_set.contact_ms,
  };
}

function callCoordinator(
  router: Router,
  watcher: ConfigWatcher,
  address: string,
): Promise<Result<PartialWatchResponse, RpcError>> {
  const request = requestOf(router, watcher);
  const timeoutMs = request.revision === 0 ? initialTimeoutMs : waitMs + responseSlackMs;
  return rpc.call(watcher.runtime.network, address, partialWatchMethod, request, { timeoutMs });
}

/** An update that can't be read is requested in full the next time. */
function applyResponse(
  router: Router,
  watcher: ConfigWatcher,
  { response, unreadable }: PartialWatchResponse,
  sentAt: number,
): void {
  const { clock } = watcher.runtime;
  watcher.needsFullState = !configUpdates.apply(router, response, clock.now()) || unreadable.length > 0;
  applyCoordinators(watcher, response);
  if (response.confirmsAccessRules)
    router.accessRules.validUntil = Math.max(router.accessRules.validUntil, sentAt + routerLeaseMs);
  if (!response.isUpToDate) return;
  watcher.lastUpToDateAt = clock.now();
  router.rollouts.validUntil = Math.max(router.rollouts.validUntil, sentAt + rolloutLease.routerMs);
}

/** Why the next coordinator is to be asked; null when this one was up to date and is to be asked again. */
function reasonToSwitch(result: Result<PartialWatchResponse, RpcError>): SwitchReason | null {
  if (!result.ok) return result.error.kind;
  if (result.value.unreadable.length > 0) return 'unreadable';
  return result.value.response.isUpToDate ? null : 'not up to date';
}

/** Asks one coordinator; true when it is to be asked again. */
async function watchOnce(router: Router, watcher: ConfigWatcher, address: string): Promise<boolean> {
  const sentAt = watcher.runtime.clock.now();
  const result = await callCoordinator(router, watcher, address);
  if (result.ok) {
    applyResponse(router, watcher, result.value, sentAt);
    const { unreadable } = result.value;
    if (unreadable.length > 0) ringLog.error(router.log, 'update_unreadable', { address, findings: unreadable });
  }
  const reason = reasonToSwitch(result);
  if (reason === null) return true;
  ringLog.note(router.log, 'coordinator_switched', { address, reason });
  return false;
}

/** Watches until the watcher is stopped. Never rejects. */
async function run(router: Router, watcher: ConfigWatcher): Promise<void> {
  const { coordinators, runtime } = watcher;
  let failedAttempts = 0;
  while (!watcher.isStopped) {
    if (await watchOnce(router, watcher, coordinatorList.current(coordinators)!)) {
      failedAttempts = 0;
      continue;
    }
    coordinatorList.advance(coordinators);
    failedAttempts++;
    if (failedAttempts % coordinators.addresses.length !== 0) continue;
    coordinatorList.refreshSeeds(coordinators);
    const failedRounds = failedAttempts / coordinators.addresses.length;
    await timing.delay(runtime.clock, backoff.delayMs(backoffPolicy, failedRounds, runtime.random));
  }
}

export const configWatcher = { create, run };
