/**
 * Validates the head of a runner's response before anything of it is used. A response that does not echo the
 * request's own attempt id is no answer to it and proves nothing, whatever its status says.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { headerNames } from '../protocol/calls/headers.js';

/** What is validated of a response. */
export type ResponseHead = { status: number; headers: IncomingHttpHeaders };

/** What is expected: the id sent, whether events may be parsed, and the status that a resumed answer goes on under. */
export type ExpectedResponse = { attemptId: string; isStream: boolean; continuesStatus: number | null };

/**
 * - `rejected`: not executed, and never will be; `instance` names the runner that answered, if it says.
 * - `unexpected`: not a response to this request, or not one that a correct runner gives.
 * - `failure`: the runner's own failure.
 * - `final`: the answer, to be forwarded event by event or as it comes.
 */
export type ValidatedResponse =
  | { kind: 'rejected'; status: number; instance: string | null }
  | { kind: 'unexpected'; reason: string }
  | { kind: 'failure'; status: number }
  | { kind: 'final'; status: number; isEventStream: boolean };

/** Statuses that say that a request did not run; from a runner they count only with `X-Not-Run`. */
const notExecutedStatuses = [408, 429, 503];

/** The runner is not the instance meant, or has other weights (RFC 9110, 15.5.20). */
const misdirectedRequest = 421;
const gatewayTimeout = 504;

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

function provesNotExecuted(head: ResponseHead): boolean {
  if (head.status === misdirectedRequest) return true;
  return head.status >= 400 && head.headers[headerNames.notRun] !== undefined;
}

function unexpected(reason: string): ValidatedResponse {
  return { kind: 'unexpected', reason };
}

function finalResponse(head: ResponseHead, expected: ExpectedResponse): ValidatedResponse {
  const { status } = head;
  const isEventStream = expected.isStream && isSuccess(status) && head.headers['content-length'] === undefined;
  if (expected.continuesStatus !== null && (status !== expected.continuesStatus || !isEventStream))
    return unexpected('not the rest of a stream');
  // A runner's own 504 says that the time was up, which is no failure of the runner.
  if (status >= 500 && status !== gatewayTimeout) return { kind: 'failure', status };
  return { kind: 'final', status, isEventStream };
}

/** What the response is to the attempt that it came for. */
function validate(head: ResponseHead, expected: ExpectedResponse): ValidatedResponse {
  const { status, headers } = head;
  if (headers[headerNames.attemptId] !== expected.attemptId) return unexpected('not the id of this request');
  if (provesNotExecuted(head)) {
    const instance = headers[headerNames.instance];
    return { kind: 'rejected', status, instance: typeof instance === 'string' ? instance : null };
  }
  if (status < 200 || status > 599) return unexpected('no final status');
  if (notExecutedStatuses.includes(status)) return unexpected('a promise without its mark');
  if (isSuccess(status) && headers[headerNames.serverSeal] === undefined) return unexpected('a success without a seal');
  return finalResponse(head, expected);
}

export const responseValidation = { validate };
