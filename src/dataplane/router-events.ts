/** The events of a router, by which its parts learn of one another's changes. Listeners are called synchronously. */
import { EventEmitter } from 'node:events';
import type { EndpointAssignment } from './endpoint-assignment.js';
import type { RequestContext } from './request-context.js';

/**
 * The events with their arguments.
 * - `configuration`: a configuration has come into force.
 * - `idle`: no request is open while the router shuts down.
 * - `loadChanged`: the load that this router puts on some endpoint has changed; emitted several times a request.
 * - `endpointAssigned`: a request has reserved capacity at an endpoint and is about to be sent there.
 */
export type RouterEventMap = {
  configuration: [];
  idle: [];
  loadChanged: [];
  endpointAssigned: [context: RequestContext, assignment: EndpointAssignment];
};

/** The emitter of one router. */
export type RouterEvents = EventEmitter<RouterEventMap>;

/** An emitter without a limit of listeners: each request that waits for a configuration is one. */
function create(): RouterEvents {
  return new EventEmitter<RouterEventMap>().setMaxListeners(0);
}

export const routerEvents = { create };
