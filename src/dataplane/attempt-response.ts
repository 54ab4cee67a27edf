/**
 * Handles the response to an attempt once its head has come: validates it, relays an answer to the client, and derives
 * from anything else whether the request may have run and whether the runner fails.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { ringLog } from '../logging/ring.js';
import { ownValue } from '../runtime/own-value.js';
import { headerNames, httpHeaders } from '../protocol/calls/headers.js';
import { weightNamings } from '../state/control/weight-namings.js';
import { runnerEndpoint } from '../state/runners/endpoint.js';
import type { ResponseEnd } from '../transport/http/response-completion.js';
import { attemptScope, type AttemptScope } from './attempt-scope.js';
import type { EndpointAssignment } from './endpoint-assignment.js';
import { executionStatus, type AttemptOutcome } from './execution-status.js';
import { endpointReservation } from './endpoint-reservation.js';
import { relay, type RelayOutcome } from './relay.js';
import type { RequestContext } from './request-context.js';
import { responseValidation, type ValidatedResponse } from './response-validation.js';

/** A response whose body has not been read, the request that it answers, and how its end is told. */
export type OpenResponse = { response: IncomingMessage; request: ClientRequest; end: ResponseEnd };

type Rejection = Extract<ValidatedResponse, { kind: 'rejected' }>;

/** The longest wait for the rest of a response that is not used, before its connection is closed, in ms. */
const discardTimeoutMs = 500;

/** The runner is not the instance meant, or has other weights (RFC 9110, 15.5.20). */
const misdirectedRequest = 421;
const serviceUnavailable = 503;

/** Reads a response that is not used to its end, so that its connection can be pooled; a long one is closed. */
function discard({ response, request }: OpenResponse): void {
  const timer = setTimeout(() => request.destroy(), discardTimeoutMs);
  response.on('error', () => {
    /* the response is not used */
  });
  response.on('close', () => clearTimeout(timer));
  response.resume();
}

function recordWeightsVersion({ context, assignment }: AttemptScope, response: IncomingMessage): void {
  if (context.model === null || response.headers[headerNames.attemptId] !== context.attemptId) return;
  const revision = httpHeaders.parseWeightVersion(
    response.headers[headerNames.weightVersions] as string | undefined,
    context.model,
  );
  if (revision !== null) runnerEndpoint.recordRevision(assignment.endpoint, context.model, revision);
}

/** A runner that rejects requests although little is known to run there is not merely full. */
function hasSpareCapacity({ endpoint }: EndpointAssignment): boolean {
  return endpoint.load.activeRequests + endpoint.peerLoad.activeRequests < endpoint.slotCount / 2;
}

/** While new weights are on their way a runner rejects requests until it has loaded them. */
function isLoadingWeights({ router, context, assignment }: AttemptScope): boolean {
  if (assignment.endpoint.isPaused) return true;
  const namedAt = context.model === null ? null : weightNamings.newestNamedAt(router.weights.namings, context.model);
  return namedAt !== null && performance.now() - namedAt < router.settings.bound_set.version_ms;
}

/** The runner has other weights: its record is brought up to date, and it may be attempted again. */
function handleVersionMismatch({ router, context, assignment }: AttemptScope): void {
  const { endpoint, weightsRevision } = assignment;
  if (context.model === null || weightsRevision === null) return;
  const newest = ownValue(router.weights.revisions, context.model) ?? 0;
  if (endpoint.modelRevisions.get(context.model) === weightsRevision && newest > weightsRevision)
    runnerEndpoint.recordRevision(endpoint, context.model, newest);
  context.attemptedEndpoints.delete(endpoint.index);
}

function handleRejection(scope: AttemptScope, opened: OpenResponse, rejection: Rejection): AttemptOutcome {
  const { endpoint } = scope.assignment;
  const { status, instance } = rejection;
  ringLog.note(scope.router.log, 'attempt_rejected', { ...attemptScope.logFields(scope), status, instance });
  if (status === serviceUnavailable && hasSpareCapacity(scope.assignment) && !isLoadingWeights(scope))
    runnerEndpoint.recordOutcome(endpoint, 'failure');
  if (status !== misdirectedRequest) {
    discard(opened);
    return { kind: 'rejected' };
  }
  // The same runner may be attempted again under the same id: never on the connection of this response.
  opened.request.destroy();
  if (instance !== null && instance !== endpoint.id) endpoint.isListed = false;
  else handleVersionMismatch(scope);
  return { kind: 'rejected' };
}

function handleUnexpectedResponse(scope: AttemptScope, opened: OpenResponse, reason: string): AttemptOutcome {
  opened.request.destroy();
  runnerEndpoint.recordOutcome(scope.assignment.endpoint, 'failure');
  const { headers, statusCode: status } = opened.response;
  const fields = { ...attemptScope.logFields(scope), echoed: headers[headerNames.attemptId], status, reason };
  ringLog.note(scope.router.log, 'response_unexpected', fields);
  return { kind: 'unanswered' };
}

/** A runner's failure is not forwarded to the client where another attempt is still allowed. */
function mayRetryFailure({ executionStatus: status, answerTerms, response }: RequestContext): boolean {
  const next = executionStatus.afterAttempt(status, { kind: 'failed' });
  return executionStatus.mayRetry(next, answerTerms, response.progress);
}

function hideFailure(scope: AttemptScope, opened: OpenResponse): AttemptOutcome {
  discard(opened);
  const fields = { ...attemptScope.logFields(scope), status: opened.response.statusCode };
  ringLog.note(scope.router.log, 'runner_failed', fields);
  return { kind: 'failed' };
}

function recordRelayOutcome({ endpoint }: EndpointAssignment, status: number, outcome: RelayOutcome): AttemptOutcome {
  if (outcome === 'complete') {
    if (status < 300) runnerEndpoint.recordOutcome(endpoint, 'success');
    return { kind: 'answered' };
  }
  if (outcome !== 'client_disconnected') {
    runnerEndpoint.recordOutcome(endpoint, 'failure');
    runnerEndpoint.transitionTo(endpoint, 'suspect', performance.now());
  }
  return { kind: 'incomplete' };
}

async function relayAnswer(
  scope: AttemptScope,
  { response, request, end }: OpenResponse,
  isEventStream: boolean,
  sentAt: number,
): Promise<AttemptOutcome> {
  const { router, context, assignment } = scope;
  const runnerResponse = { response, request, end, isEventStream };
  const outcome = await relay.forward(router, context, assignment, runnerResponse, () => {
    endpointReservation.recordPrefilled(router, assignment, performance.now() - sentAt);
  });
  const status = response.statusCode ?? 0;
  if (outcome !== 'complete') {
    const fields = { ...attemptScope.logFields(scope), status, outcome, framing: end.framing };
    ringLog.note(router.log, 'response_incomplete', fields);
  }
  return recordRelayOutcome(assignment, status, outcome);
}

/** Handles the response to an attempt that was sent at `sentAt`; `opened` is read to its end or destroyed. */
function handle(scope: AttemptScope, opened: OpenResponse, sentAt: number): AttemptOutcome | Promise<AttemptOutcome> {
  const { context, assignment } = scope;
  const { response } = opened;
  recordWeightsVersion(scope, response);
  const { attemptId, isStream, response: downstream } = context;
  const validated = responseValidation.validate(
    { status: response.statusCode ?? 0, headers: response.headers },
    { attemptId, isStream, continuesStatus: downstream.status },
  );
  switch (validated.kind) {
    case 'rejected':
      return handleRejection(scope, opened, validated);
    case 'unexpected':
      return handleUnexpectedResponse(scope, opened, validated.reason);
    case 'failure':
      runnerEndpoint.recordOutcome(assignment.endpoint, 'failure');
      return mayRetryFailure(context) ? hideFailure(scope, opened) : relayAnswer(scope, opened, false, sentAt);
    case 'final':
      return relayAnswer(scope, opened, validated.isEventStream, sentAt);
  }
}

export const attemptResponse = { handle };
