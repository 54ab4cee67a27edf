/**
 * One request of a client on its way through the policies. It is one object throughout; each policy adds the fields it
 * learns, and the type says which are there: `IncomingRequest` -> `ReceivedRequest` (request limits) ->
 * `RoutedRequest` (routing) -> `AuthenticatedRequest` (authentication) -> `RequestContext` (forwarding).
 * Times are in ms on the process's steady clock (`performance.now()`).
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Body, BodyReader } from '../transport/http/body.js';
import type { PrefixBlock, TokenCounts } from '../protocol/calls/headers.js';
import type { Route, Service, Tenant } from '../types.js';
import { clientResponse, type ClientResponse } from './client-response.js';
import { executionStatus, type AnswerTerms, type ExecutionStatus } from './execution-status.js';

/** A request whose head has been read. */
export type IncomingRequest = {
  request: IncomingMessage;
  response: ClientResponse;
  /** When its head was read. */
  receivedAt: number;
  /** The client closed its connection before its answer was complete. */
  isClientGone: boolean;
  /** Reads and holds the body; null until that has begun. */
  bodyReader: BodyReader | null;
};

/** A request that has been read to its end. */
export type ReceivedRequest = IncomingRequest & { body: Body };

/** What its route and its headers say of a request. */
export type RoutedFields = {
  /** The client's own id of the request; every attempt carries it, and every answer to one must echo it. */
  attemptId: string;
  route: Route;
  service: Service;
  /** That of the route, or of the tenant where it has one; 0 is the most urgent. */
  rank: number;
  model: string | null;
  tokenCounts: TokenCounts | null;
  /** The blocks of the prompt from its beginning; the last one is the request's own. */
  prefixBlocks: PrefixBlock[];
  /** When the client stops waiting. */
  deadlineAt: number;
  latencyTargetMs: number;
  isStream: boolean;
  /** Whether it may run more than once: idempotent, or a stream that can be resumed. */
  isIdempotent: boolean;
  answerTerms: AnswerTerms;
};

/** A request whose route and service are known. */
export type RoutedRequest = ReceivedRequest & RoutedFields;

/** Whose request it is. */
export type TenantFields = {
  /** Null where the configuration names no tenants, and on public routes. */
  tenant: Tenant | null;
  /** Prefix blocks are shared only among requests of the same domain: an isolated tenant, or all others. */
  isolationDomain: string;
};

/** A request whose tenant is known, as far as its route asks for one. */
export type AuthenticatedRequest = RoutedRequest & TenantFields;

/** Which version a request is for while one is being rolled out. */
export type VersionArm = 'old' | 'new';

/** What becomes of a request at the runners. */
export type ForwardingState = {
  /** Null until the request met a roll-out; then all its attempts keep to the version. */
  versionArm: VersionArm | null;
  executionStatus: ExecutionStatus;
  /** Indices of the endpoints that were attempted and aren't to be attempted again. */
  attemptedEndpoints: Set<number>;
};

/** A request that is being forwarded. */
export type RequestContext = AuthenticatedRequest & ForwardingState;

/** A request whose head has just been read, at `receivedAt`. */
function create(request: IncomingMessage, raw: ServerResponse, receivedAt: number): IncomingRequest {
  return { request, response: clientResponse.create(raw), receivedAt, isClientGone: false, bodyReader: null };
}

/** Adds what the request limits learnt. */
function withBody(request: IncomingRequest, body: Body): ReceivedRequest {
  return Object.assign(request, { body });
}

/** Adds what routing learnt. */
function withRoute(request: ReceivedRequest, fields: RoutedFields): RoutedRequest {
  return Object.assign(request, fields);
}

/** Adds what authentication learnt. */
function withTenant(request: RoutedRequest, fields: TenantFields): AuthenticatedRequest {
  return Object.assign(request, fields);
}

/** A request before its first attempt. */
function withForwardingState(request: AuthenticatedRequest): RequestContext {
  return Object.assign(request, {
    versionArm: null,
    executionStatus: executionStatus.initial(),
    attemptedEndpoints: new Set<number>(),
  });
}

export const requestContexts = { create, withBody, withRoute, withTenant, withForwardingState };
