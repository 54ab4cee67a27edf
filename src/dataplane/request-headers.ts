/** The headers of an attempt: the client's own as they may go on, and those that only the router sets. */
import { headerText } from '../protocol/calls/header-text.js';
import { headerNames, httpHeaders } from '../protocol/calls/headers.js';
import type { EndpointAssignment } from './endpoint-assignment.js';
import type { RequestContext } from './request-context.js';

const methodsWithoutBody = ['GET', 'HEAD', 'DELETE', 'OPTIONS'];

/** `X-Urgency` ranges from 0, the most urgent, to this. */
const leastUrgency = 9;

function urgencyOf(context: RequestContext): number {
  return Math.round(Math.max(0, Math.min(leastUrgency, 2 + context.rank * 2 + (context.route.rank ?? 0))));
}

/** If the client has been sent events, a further attempt resumes the stream after the last of them. */
function forwardedHeaders(context: RequestContext): string[] {
  const { lastEventId } = context.response;
  const all = httpHeaders.requestHeaders(context.request.rawHeaders, context.request.headers.connection);
  if (lastEventId === null) return all;
  const headers: string[] = [];
  for (let i = 0; i + 1 < all.length; i += 2)
    if (all[i]!.toLowerCase() !== headerNames.lastEventId) headers.push(all[i]!, all[i + 1]!);
  headers.push('Last-Event-Id', lastEventId);
  return headers;
}

/** Names and values in turn, as Node's `rawHeaders`, for an attempt at `now`; `sendsUrgency`: adds `X-Urgency`. */
function forAttempt(
  context: RequestContext,
  assignment: EndpointAssignment,
  sendsUrgency: boolean,
  now: number,
): string[] {
  const headers = forwardedHeaders(context);
  headers.push('X-Time-Left-Ms', String(Math.max(1, Math.floor(context.deadlineAt - now))));
  headers.push('X-Expect-Instance', assignment.endpoint.id);
  if (context.tenant) headers.push('X-Tenant', headerText.toWire(context.tenant.label));
  if (assignment.weightsRevision !== null) headers.push('X-Expect-Version', String(assignment.weightsRevision));
  if (assignment.cacheNamespace !== null) headers.push('X-Cache-Salt', assignment.cacheNamespace);
  if (assignment.fetchFrom !== null) headers.push('X-Kv-Fetch-From', assignment.fetchFrom);
  if (assignment.saveTo !== null) headers.push('X-Kv-Save-To', assignment.saveTo);
  if (sendsUrgency && context.model !== null) headers.push('X-Urgency', String(urgencyOf(context)));
  if (context.body.length > 0 || !methodsWithoutBody.includes(context.request.method ?? ''))
    headers.push('Content-Length', String(context.body.length));
  return headers;
}

export const requestHeaders = { forAttempt };
