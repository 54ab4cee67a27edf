/**
 * Reads the request within the operator's limits (`limits` of the configuration), and within what the process may hold.
 * A request that exceeds them (413, 431), that is not received in time (408), or for which there is no room now (503) is
 * answered before anything else is checked.
 */
import type { IncomingMessage } from 'node:http';
import { BodyReader } from '../../transport/http/body.js';
import { httpResponse } from '../../transport/http/response.js';
import type { FinalResult, PolicyResult } from '../policy.js';
import { requestContexts, type IncomingRequest, type ReceivedRequest } from '../request-context.js';
import { routers, type Router } from '../router.js';

/** The longest time from a request's head to the end of its body, in ms. */
const bodyTimeoutMs = 10_000;

/** What a request line has besides method and target: two blanks, `HTTP/1.1` and the end of the line. */
const requestLineOverheadBytes = 12;

/** What each name or value of a header has besides itself: a colon and a blank, or the end of the line. */
const headerOverheadBytes = 2;

function headBytes(request: IncomingMessage): number {
  let bytes = (request.method?.length ?? 0) + (request.url?.length ?? 0) + requestLineOverheadBytes;
  for (const nameOrValue of request.rawHeaders) bytes += nameOrValue.length + headerOverheadBytes;
  return bytes;
}

/** The `Retry-After` of a client whose body there was no room for, in ms. */
const noCapacityRetryAfterMs = 500;

function reject(status: 408 | 413 | 431): FinalResult {
  return { kind: 'answer', answer: httpResponse.text(status), closesConnection: true };
}

/** The bounds of a body; before the first configuration only those of the process. */
function bodyBytesLimit({ configuration }: Router): number {
  return configuration?.routeTable.limits.body_bytes ?? Infinity;
}

/** Begins to read the body, if that has not begun. */
function beginBody(router: Router, incoming: IncomingRequest): BodyReader {
  const limits = { maxBytes: bodyBytesLimit(router), timeoutMs: bodyTimeoutMs };
  incoming.bodyReader ??= new BodyReader(incoming.request, router.bodyBudget, limits);
  return incoming.bodyReader;
}

/** Reads the body to its end; `done` if the client's connection ends before. */
async function apply(router: Router, incoming: IncomingRequest): Promise<PolicyResult<ReceivedRequest>> {
  const { request } = incoming;
  const { header_bytes: maxHeadBytes } = routers.routeTable(router).limits;
  const maxBodyBytes = bodyBytesLimit(router);
  if (maxHeadBytes !== undefined && headBytes(request) > maxHeadBytes) return reject(431);
  if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) return reject(413);
  const reader = beginBody(router, incoming);
  reader.limitTo(maxBodyBytes);
  const result = await reader.result;
  switch (result.kind) {
    case 'too_large':
      return reject(413);
    case 'timed_out':
      return reject(408);
    case 'no_capacity':
      return { kind: 'answer', answer: httpResponse.retryLater(503, noCapacityRetryAfterMs), closesConnection: true };
    case 'aborted':
      return { kind: 'done' };
    case 'complete':
      return { kind: 'next', request: requestContexts.withBody(incoming, result.body) };
  }
}

export const requestLimits = { apply, beginBody };
