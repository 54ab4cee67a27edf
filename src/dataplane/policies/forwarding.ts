/**
 * Forwards a request to a runner: assigns an endpoint, attempts it there, and lets the request's execution status
 * decide whether it may be attempted again, within the route's attempts and the router's part of the retry budget. A
 * request that cannot be forwarded is rejected at once.
 */
import { ringLog } from '../../logging/ring.js';
import { httpResponse } from '../../transport/http/response.js';
import { admissionQueue } from '../admission-queue.js';
import type { EndpointAssignment } from '../endpoint-assignment.js';
import { executionStatus } from '../execution-status.js';
import { endpointReservation } from '../endpoint-reservation.js';
import type { FinalPolicy, FinalResult } from '../policy.js';
import { requestContexts, type AuthenticatedRequest, type RequestContext } from '../request-context.js';
import { retryBudget } from '../retry-budget.js';
import type { Router } from '../router.js';
import { runnerAttempt } from '../runner-attempt.js';
import { endpointSelection } from '../endpoint-selection/endpoint-selection.js';

/** The share of its latency target for which a request waits for an endpoint, and the shortest such wait in ms. */
const maxQueueShareOfTarget = 0.23;
const minQueueMs = 20;

/** A request with less time left than this, in ms, is out of time; timers may fire that much early. */
const minTimeLeftMs = 2;

/** The `Retry-After` of a rejected client, in ms. */
const retryAfterMs = 60;

function isOutOfTime(context: RequestContext, now: number): boolean {
  return context.deadlineAt - now < minTimeLeftMs;
}

/** The runner may have executed the request, so the status must not say that it did not. */
function indeterminate(context: RequestContext, now: number): FinalResult {
  const answer = isOutOfTime(context, now)
    ? httpResponse.text(504, 'out of time')
    : httpResponse.text(502, 'the runner did not finish');
  return { kind: 'answer', answer };
}

/** The end of a request that gets no further attempt. */
function finalResult(context: RequestContext, now: number): FinalResult {
  switch (executionStatus.requestOutcome(context.executionStatus, context.response.progress)) {
    case 'completed':
    case 'aborted':
      return { kind: 'done' };
    case 'indeterminate':
      return indeterminate(context, now);
    case 'rejected':
      return { kind: 'answer', answer: httpResponse.retryLater(503, retryAfterMs) };
  }
}

/** The retry budget is checked last, since it counts what it grants. */
function mayAttempt(router: Router, context: RequestContext, now: number): boolean {
  if (context.isClientGone || isOutOfTime(context, now)) return false;
  const { executionStatus: status, answerTerms, response } = context;
  if (!executionStatus.mayRetry(status, answerTerms, response.progress)) return false;
  return (
    status.attemptsSent === 0 || retryBudget.tryAcquire(router.retryBudget, now, router.endpointsSnapshot.routerCount)
  );
}

/** Assigns an endpoint and takes capacity there, waiting for some for a while if there is none. */
async function acquireEndpoint(router: Router, context: RequestContext): Promise<EndpointAssignment | null> {
  const { receivedAt, latencyTargetMs, deadlineAt, rank } = context;
  let acquired: EndpointAssignment | null = null;
  function tryAcquire(): boolean {
    if (context.isClientGone) return true;
    const assignment = endpointSelection.select(router, context, performance.now());
    if (!assignment || endpointReservation.isTooLong(router, context, assignment)) return false;
    endpointReservation.reserve(router, context, assignment);
    acquired = assignment;
    return true;
  }
  if (tryAcquire()) return acquired;
  const waitUntil = Math.min(
    deadlineAt - 1,
    receivedAt + Math.max(minQueueMs, latencyTargetMs * maxQueueShareOfTarget),
  );
  const waitMs = waitUntil - performance.now();
  const key = admissionQueue.priorityKey(rank, receivedAt);
  if (waitMs > 0) await admissionQueue.enqueue(router.admissionQueue, key, waitMs, tryAcquire);
  return acquired;
}

/** Attempts the request until it is answered or may not be attempted again. */
async function apply(router: Router, request: AuthenticatedRequest): Promise<FinalResult> {
  const context = requestContexts.withForwardingState(request);
  retryBudget.recordRequest(router.retryBudget, context.receivedAt);
  while (mayAttempt(router, context, performance.now())) {
    const assignment = await acquireEndpoint(router, context);
    if (!assignment) {
      ringLog.note(router.log, 'no_runner_available', { attempt: context.attemptId, service: context.service.label });
      break;
    }
    const outcome = await runnerAttempt.execute(router, context, assignment);
    context.executionStatus = executionStatus.afterAttempt(context.executionStatus, outcome);
  }
  if (context.isClientGone) return { kind: 'done' };
  return finalResult(context, performance.now());
}

export const forwarding: FinalPolicy<AuthenticatedRequest> = { apply };
