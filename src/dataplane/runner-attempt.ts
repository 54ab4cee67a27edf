/**
 * Attempts a request at the endpoint that it was assigned: sends it, waits for the head of a response, passes that on
 * to be handled, and returns how the attempt ended. What the attempt shows of the runner's health is recorded.
 */
import { runnerEndpoint } from '../state/runners/endpoint.js';
import { ringLog } from '../logging/ring.js';
import { attempts, type Attempt, type AttemptResult } from './attempt.js';
import { attemptResponse } from './attempt-response.js';
import { attemptScope, type AttemptScope } from './attempt-scope.js';
import type { EndpointAssignment } from './endpoint-assignment.js';
import type { AttemptOutcome } from './execution-status.js';
import { prefixTransfers } from './prefix-transfers.js';
import { endpointReservation } from './endpoint-reservation.js';
import type { RequestContext } from './request-context.js';
import { responseHead } from './response-head.js';
import { versionRollout } from './version-rollout.js';
import type { Router } from './router.js';

type NoResponse = Exclude<AttemptResult, { kind: 'head' }>;

/** A runner that has been silent for so long when an attempt is cancelled counts as failing, in ms. */
const silentEndpointMs = 800;

/** The client has gone or the deadline passed: it counts as a failure of a runner that was silent to all requests. */
function cancel({ assignment: { endpoint } }: AttemptScope, attempt: Attempt, sentAt: number): AttemptOutcome {
  const silentForMs = performance.now() - Math.max(sentAt, endpoint.health.lastByteAt);
  if (silentForMs > silentEndpointMs) runnerEndpoint.recordOutcome(endpoint, 'failure');
  return { kind: attempt.cancel() };
}

function cancelSilent(scope: AttemptScope, attempt: Attempt): AttemptOutcome {
  const { endpoint } = scope.assignment;
  runnerEndpoint.recordOutcome(endpoint, 'failure');
  runnerEndpoint.transitionTo(endpoint, 'suspect', performance.now());
  ringLog.note(scope.router.log, 'attempt_timed_out', attemptScope.logFields(scope));
  return { kind: attempt.cancel() };
}

/** A pooled connection that the runner had closed meanwhile is no failure of the runner. */
function recordNoResponse(scope: AttemptScope, result: NoResponse): AttemptOutcome {
  const { endpoint } = scope.assignment;
  const fields = { ...attemptScope.logFields(scope), error: result.reason, end: result.kind };
  ringLog.note(scope.router.log, 'attempt_failed', fields);
  if (result.kind === 'unanswered' && result.wasStaleConnection) return { kind: 'unanswered' };
  runnerEndpoint.recordOutcome(endpoint, 'failure');
  runnerEndpoint.transitionTo(endpoint, result.kind === 'not_sent' ? 'unreachable' : 'suspect', performance.now());
  return { kind: result.kind };
}

async function perform(scope: AttemptScope): Promise<AttemptOutcome> {
  const { router, context, assignment } = scope;
  const sentAt = performance.now();
  const attempt = attempts.send(context, assignment, router.tuning.urgency);
  prefixTransfers.markSent(router, assignment, sentAt);
  const awaited = await responseHead.wait(context, assignment, attempt);
  switch (awaited.kind) {
    case 'client_disconnected':
    case 'deadline_exceeded':
      return cancel(scope, attempt, sentAt);
    case 'endpoint_silent':
      return cancelSilent(scope, attempt);
    case 'head':
      return attemptResponse.handle(scope, awaited, sentAt);
    case 'not_sent':
    case 'unanswered':
      return recordNoResponse(scope, awaited);
  }
}

/** Sends the request to the endpoint where its capacity is reserved, and releases that however the attempt ends. */
async function execute(
  router: Router,
  context: RequestContext,
  assignment: EndpointAssignment,
): Promise<AttemptOutcome> {
  const sentAt = performance.now();
  try {
    const outcome = await perform({ router, context, assignment });
    versionRollout.recordOutcome(router, context, assignment, outcome, sentAt);
    return outcome;
  } finally {
    endpointReservation.release(router, assignment);
  }
}

export const runnerAttempt = { execute };
