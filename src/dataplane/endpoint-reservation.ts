/**
 * Reservations of capacity at endpoints: made when an endpoint is assigned, partly released once the prompt has been
 * prefilled, and completely when the attempt has ended. The rate at which long prompts are prefilled is measured here.
 */
import { runnerEndpoint } from '../state/runners/endpoint.js';
import { admissionQueue } from './admission-queue.js';
import { prefixTransfers } from './prefix-transfers.js';
import type { EndpointAssignment } from './endpoint-assignment.js';
import type { RequestContext } from './request-context.js';
import type { Router } from './router.js';

/** The longest wait for a prefill that is begun at all, in latency targets of the request. */
const maxWaitInTargets = 4;
/** Weight (0 to 1) of a new measurement of the prefill rate in the moving average. */
const prefillRateSmoothing = 0.1;

/**
 * Whether a long prompt would wait for too many times its latency target: it is better rejected early than prefilled
 * late, since it would delay the requests queued after it. False until this router has measured how fast runners
 * prefill, and at a runner that has nothing else to prefill: a slow first measurement would otherwise reject all long
 * prompts, and so never be corrected.
 */
function isTooLong(router: Router, context: RequestContext, assignment: EndpointAssignment): boolean {
  const { prefillTokensPerMs } = router;
  if (!assignment.isLongPrompt || context.executionStatus.attemptsSent > 0 || prefillTokensPerMs <= 0) return false;
  const hasOthersBefore = assignment.prefillBacklogTokens > assignment.prefillTokens;
  const waitMs = assignment.prefillBacklogTokens / prefillTokensPerMs;
  return hasOthersBefore && waitMs > context.latencyTargetMs * maxWaitInTargets;
}

/** Reserves capacity at the endpoint, and a lease on the source of a transfer; `release` returns both. */
function reserve(router: Router, context: RequestContext, assignment: EndpointAssignment): void {
  const { endpoint } = assignment;
  const { load, health } = endpoint;
  if (load.activeRequests === 0) health.lastByteAt = performance.now();
  load.activeRequests++;
  load.prefillTokens += assignment.prefillTokens;
  load.reservedTokens += assignment.claimedTokens;
  context.attemptedEndpoints.add(endpoint.index);
  runnerEndpoint.markProbeSent(endpoint);
  prefixTransfers.start(router, assignment, performance.now());
  router.events.emit('endpointAssigned', context, assignment);
  router.events.emit('loadChanged');
}

/** An exponentially weighted moving average, of long prompts only: short ones wait mostly for the prefill of others. */
function measurePrefillRate(router: Router, assignment: EndpointAssignment, ms: number): void {
  if (!assignment.isLongPrompt || ms <= 0) return;
  const rate = assignment.prefillBacklogTokens / ms;
  const previous = router.prefillTokensPerMs;
  router.prefillTokensPerMs =
    previous === 0 ? rate : previous * (1 - prefillRateSmoothing) + rate * prefillRateSmoothing;
}

function releasePrefill(router: Router, assignment: EndpointAssignment): void {
  prefixTransfers.markEnded(router, assignment, performance.now());
  if (assignment.prefillTokens === 0) return;
  const { load } = assignment.endpoint;
  load.prefillTokens = Math.max(0, load.prefillTokens - assignment.prefillTokens);
  assignment.prefillTokens = 0;
  router.events.emit('loadChanged');
}

/** The prompt has been prefilled, `ms` after the request was sent: what was reserved for that is released. */
function recordPrefilled(router: Router, assignment: EndpointAssignment, ms: number): void {
  if (assignment.prefillTokens > 0) measurePrefillRate(router, assignment, ms);
  releasePrefill(router, assignment);
}

/** The attempt has ended: releases all that is still reserved, and lets waiting requests try again. */
function release(router: Router, assignment: EndpointAssignment): void {
  releasePrefill(router, assignment);
  const { load } = assignment.endpoint;
  load.activeRequests--;
  load.reservedTokens -= assignment.claimedTokens;
  router.events.emit('loadChanged');
  admissionQueue.dispatchWaiting(router.admissionQueue);
}

export const endpointReservation = { isTooLong, reserve, recordPrefilled, release };
