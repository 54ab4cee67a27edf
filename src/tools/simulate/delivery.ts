/**
 * The delivery of a simulated request: an endpoint is selected, the request goes there over the network and waits for
 * a slot; after a failure or a rejection it is retried as far as its traffic and the retry budget allow.
 */
import { siteTracker } from '../../coordination/tracking/site-tracker.js';
import { endpointSelection } from '../../dataplane/endpoint-selection/endpoint-selection.js';
import { promptDemand } from '../../dataplane/endpoint-selection/prompt-demand.js';
import { executionStatus } from '../../dataplane/execution-status.js';
import { prefixTransfers } from '../../dataplane/prefix-transfers.js';
import { retryBudget } from '../../dataplane/retry-budget.js';
import type { EndpointAssignment } from '../../dataplane/endpoint-assignment.js';
import type { RequestContext } from '../../dataplane/request-context.js';
import { cachedPrefixes } from '../../state/prefix-cache/cached-prefixes.js';
import { runnerEndpoint } from '../../state/runners/endpoint.js';
import { execution } from './execution.js';
import type { Tally, Window } from './result.js';
import type { TrafficClass } from './scenario.js';
import { modelName, type SimulatedRouter } from './simulated-router.js';
import type { SimulatedRunner } from './simulated-runner.js';
import type { Simulation } from './simulation.js';

/** How long a router takes to find out that a runner can't be connected to. */
const connectTimeoutMs = 350;

/** A request that waits for an endpoint looks for one at this interval. */
const dispatchIntervalMs = 25;

/** Share of its latency target for which a request waits for an endpoint. */
const maxQueueShareOfTarget = 0.23;

/** A request on its way at one router, and where it is counted. */
export type Delivery = {
  simulation: Simulation;
  router: SimulatedRouter;
  context: RequestContext;
  traffic: TrafficClass;
  tally: Tally;
  window: Window;
};

/** One attempt of a delivery at an endpoint; `release` returns what it reserved there. */
export type Attempt = { assignment: EndpointAssignment; release: () => void };

/** Whether the request may be sent to a runner now; a retry takes from the retry budget. */
function mayAttempt({ simulation, router, context, traffic }: Delivery): boolean {
  const { now } = simulation.clock;
  const { attemptsSent, mayHaveExecuted } = context.executionStatus;
  if (now >= context.deadlineAt || !router.isUp) return false;
  if (attemptsSent === 0) return true;
  if (attemptsSent >= traffic.maxAttempts || (mayHaveExecuted && !context.isIdempotent)) return false;
  return retryBudget.tryAcquire(router.state.retryBudget, now, router.state.endpointsSnapshot.routerCount);
}

/** Selects an endpoint and sends the request there; without one it waits a while, and is rejected then. */
function start(delivery: Delivery): void {
  const { simulation, router, context, traffic, tally } = delivery;
  const { clock } = simulation;
  if (!mayAttempt(delivery)) {
    if (context.executionStatus.mayHaveExecuted || !router.isUp) tally.failed++;
    else tally.rejected++;
    return;
  }
  if (context.executionStatus.attemptsSent > 0) simulation.result.retries++;
  const assignment = endpointSelection.select(router.state, context, clock.now);
  if (assignment) send(delivery, assignment);
  else if (clock.now - context.receivedAt < traffic.latencyTargetMs * maxQueueShareOfTarget)
    clock.after(dispatchIntervalMs, () => {
      start(delivery);
    });
  else tally.rejected++;
}

/** Reserves capacity at the endpoint; returns what gives it back. */
function reserve({ simulation, router, context }: Delivery, assignment: EndpointAssignment): () => void {
  const { endpoint, prefillTokens, claimedTokens } = assignment;
  endpoint.load.activeRequests++;
  endpoint.load.prefillTokens += prefillTokens;
  endpoint.load.reservedTokens += claimedTokens;
  context.attemptedEndpoints.add(endpoint.index);
  prefixTransfers.start(router.state, assignment, simulation.clock.now);
  prefixTransfers.markSent(router.state, assignment, simulation.clock.now);
  return () => {
    prefixTransfers.markEnded(router.state, assignment, simulation.clock.now);
    endpoint.load.activeRequests--;
    endpoint.load.prefillTokens = Math.max(0, endpoint.load.prefillTokens - prefillTokens);
    endpoint.load.reservedTokens -= claimedTokens;
  };
}

/** Counts the arrivals of the request's shared blocks, and expects them to be cached at the endpoint soon. */
function recordArrivals({ simulation, router, context }: Delivery, assignment: EndpointAssignment): void {
  const cacheNamespace = assignment.cacheNamespace!;
  const { locations: cache } = router.state.prefixCache;
  for (const block of promptDemand.shareableBlocks(context)) {
    if (block.tokens < simulation.scenario.tuning.movedTokens) continue;
    simulation.result.messages.arrivals++;
    siteTracker.recordArrival(router.tracker, `${cacheNamespace} ${block.id}`, block.tokens);
    const { index } = assignment.endpoint;
    cachedPrefixes.recordExpected(cache, cacheNamespace, block.id, index, block.tokens, simulation.clock.now);
  }
}

/** Sends the request to the endpoint; there it is rejected, waits for a slot, or runs. */
function send(delivery: Delivery, assignment: EndpointAssignment): void {
  const { simulation, router } = delivery;
  const { clock, scenario } = simulation;
  const { endpoint } = assignment;
  const attempt: Attempt = { assignment, release: reserve(delivery, assignment) };
  recordArrivals(delivery, assignment);
  const { sameZoneMs, crossZoneMs } = scenario.network;
  const networkMs = endpoint.zone === router.zone ? sameZoneMs : crossZoneMs;
  clock.after(networkMs, () => {
    const runner = simulation.runners.get(endpoint.id);
    if (!runner?.isUp) retryAfterConnectFailure(delivery, attempt);
    else if (runner.weightsRevision !== assignment.weightsRevision || clock.now < runner.loadingUntil)
      retryElsewhere(delivery, attempt, runner);
    else if (runner.activeRequests >= scenario.engine.slotCount)
      runner.waiting.push(() => {
        execute(delivery, attempt, runner);
      });
    else execute(delivery, attempt, runner);
  });
}

function execute(delivery: Delivery, attempt: Attempt, runner: SimulatedRunner): void {
  execution.start(delivery, attempt, runner, () => {
    retryAfterCrash(delivery, attempt);
  });
}

function retryAfterConnectFailure(delivery: Delivery, { assignment, release }: Attempt): void {
  const { clock } = delivery.simulation;
  clock.after(connectTimeoutMs, () => {
    release();
    runnerEndpoint.transitionTo(assignment.endpoint, 'unreachable', clock.now);
    start(delivery);
  });
}

/** The runner died under the request, which may have run; it is retried if its traffic is idempotent. */
function retryAfterCrash(delivery: Delivery, { assignment }: Attempt): void {
  const { context, simulation } = delivery;
  runnerEndpoint.transitionTo(assignment.endpoint, 'suspect', simulation.clock.now);
  context.executionStatus = executionStatus.afterAttempt(context.executionStatus, { kind: 'unanswered' });
  start(delivery);
}

/** The runner rejected the request, since it has other weights or loads them: it did not run. */
function retryElsewhere(delivery: Delivery, { assignment, release }: Attempt, runner: SimulatedRunner): void {
  const { context } = delivery;
  release();
  runnerEndpoint.recordRevision(assignment.endpoint, modelName, runner.weightsRevision);
  context.executionStatus = executionStatus.afterAttempt(context.executionStatus, { kind: 'rejected' });
  context.attemptedEndpoints.delete(assignment.endpoint.index);
  start(delivery);
}

export const delivery = { start };
