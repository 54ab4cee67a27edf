/**
 * Waits for the first of: the head of a response or its loss, the client's disconnect, the deadline, or, for idempotent
 * requests, a runner that has been silent for too long.
 */
import { timerDelay } from '../runtime/timer-delay.js';
import type { Attempt, AttemptResult } from './attempt.js';
import type { EndpointAssignment } from './endpoint-assignment.js';
import type { RequestContext } from './request-context.js';

/**
 * `endpoint_silent`: for the length of two latency targets the runner has sent no byte of any answer, or, if it is
 * ejected, none to this request.
 */
export type AwaitedResponse =
  AttemptResult | { kind: 'client_disconnected' } | { kind: 'deadline_exceeded' } | { kind: 'endpoint_silent' };

/** How often silence is checked, and the shortest time that counts as such, in ms. */
const silenceCheckMs = 50;
const minSilenceMs = 250;
/**
 * Silence is counted in latency targets of the request. One would be too few: a router of a large fleet has few
 * requests at any runner, so a runner that prefills a long prompt of another router looks silent to it. Nothing is won
 * by another attempt at that moment either, since its answer would miss the target as well.
 */
const silenceInTargets = 2;

function lastHeardAt(assignment: EndpointAssignment, sentAt: number): number {
  return assignment.endpoint.outlier.status === 'admitted'
    ? Math.max(sentAt, assignment.endpoint.health.lastByteAt)
    : sentAt;
}

/**
 * Whether the wait at `now` for an attempt sent at `sentAt` (ms on the process's own clock) is to be given up. With less
 * than another latency target left, no other attempt could be in time, so the wait goes on.
 */
function isSilent(context: RequestContext, assignment: EndpointAssignment, sentAt: number, now: number): boolean {
  const silenceMs = Math.max(minSilenceMs, context.latencyTargetMs * silenceInTargets);
  if (now - lastHeardAt(assignment, sentAt) < silenceMs) return false;
  return context.deadlineAt - now > context.latencyTargetMs;
}

/** Never rejects; the attempt goes on unless its own result is returned, and is the caller's to cancel. */
function wait(context: RequestContext, assignment: EndpointAssignment, attempt: Attempt): Promise<AwaitedResponse> {
  const { raw } = context.response;
  const sentAt = performance.now();
  return new Promise((resolve) => {
    function end(outcome: AwaitedResponse): void {
      clearTimeout(deadlineTimer);
      clearInterval(silenceTimer);
      raw.removeListener('close', onClientGone);
      resolve(outcome);
    }
    function onClientGone(): void {
      end({ kind: 'client_disconnected' });
    }
    function onDeadline(): void {
      end({ kind: 'deadline_exceeded' });
    }
    function checkSilence(): void {
      if (isSilent(context, assignment, sentAt, performance.now())) end({ kind: 'endpoint_silent' });
    }
    const deadlineTimer = setTimeout(onDeadline, timerDelay(context.deadlineAt - sentAt));
    const silenceTimer = context.isIdempotent ? setInterval(checkSilence, silenceCheckMs) : undefined;
    raw.on('close', onClientGone);
    void attempt.result.then(end);
  });
}

export const responseHead = { wait, isSilent };
