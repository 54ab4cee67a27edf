/** The context that the steps of one attempt share. */
import type { AttemptFields } from '../logging/events.js';
import type { EndpointAssignment } from './endpoint-assignment.js';
import type { RequestContext } from './request-context.js';
import type { Router } from './router.js';

/** One attempt: the router that makes it, the request, and the endpoint that it was assigned. */
export type AttemptScope = { router: Router; context: RequestContext; assignment: EndpointAssignment };

/** The fields of every log event about an attempt: the id of the runner, and the client's id of the request. */
function logFields({ context, assignment }: AttemptScope): AttemptFields {
  return { runner: assignment.endpoint.id, attempt: context.attemptId };
}

export const attemptScope = { logFields };
