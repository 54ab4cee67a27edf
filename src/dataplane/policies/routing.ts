/**
 * Finds the route of a request and with it the service, the deadline, and whether it may run more than once (400 if it
 * lacks a path, a host or an attempt id; 404 without a route or a service). The route and the service stay those of the
 * request when the configuration changes.
 */
import type { IncomingMessage } from 'node:http';
import { headerNames, httpHeaders } from '../../protocol/calls/headers.js';
import { routeTable } from '../../state/control/route-table.js';
import { hash } from '../../state/rendezvous-hash.js';
import { httpResponse } from '../../transport/http/response.js';
import type { Route, Service } from '../../types.js';
import type { FinalResult, Policy, PolicyResult } from '../policy.js';
import { requestContexts, type ReceivedRequest, type RoutedFields, type RoutedRequest } from '../request-context.js';
import { routers, type Router } from '../router.js';

type HeaderFields = Pick<RoutedFields, 'model' | 'tokenCounts' | 'prefixBlocks'>;
type RouteFields = Omit<RoutedFields, keyof HeaderFields | 'attemptId' | 'service'>;

function reject(status: 400 | 404, text: string): FinalResult {
  return { kind: 'answer', answer: httpResponse.text(status, text) };
}

/** The value of a header that node gives as one string, or null. */
function headerOf(request: IncomingMessage, name: string): string | null {
  const value = request.headers[name];
  return typeof value === 'string' ? value : null;
}

/** What the route says of the request; `route.deadline_ms` bounds the time that the client says it has left. */
function fieldsOfRoute({ request, receivedAt }: ReceivedRequest, route: Route): RouteFields {
  const isStream = route.variant === 'streaming';
  const isIdempotent = route.variant === 'idempotent' || (isStream && route.resumable === true);
  const timeLeftMs = httpHeaders.parseDurationMs(request.headers[headerNames.timeLeftMs]) ?? route.deadline_ms;
  return {
    route,
    rank: route.rank ?? 0,
    isStream,
    isIdempotent,
    answerTerms: { isIdempotent, maxAttempts: Math.floor(route.tries ?? 1) },
    latencyTargetMs: route.target_ms ?? route.deadline_ms,
    deadlineAt: receivedAt + Math.min(timeLeftMs, route.deadline_ms),
  };
}

/** What the headers say of the prompt. */
function fieldsOfHeaders({ request }: ReceivedRequest): HeaderFields {
  return {
    model: headerOf(request, headerNames.model),
    tokenCounts: httpHeaders.parseTokenCounts(headerOf(request, headerNames.tokenCounts) ?? undefined),
    prefixBlocks: httpHeaders.parsePrefixBlocks(headerOf(request, headerNames.promptPrefix) ?? undefined),
  };
}

function withRoute(received: ReceivedRequest, route: Route, service: Service, attemptId: string): RoutedRequest {
  received.response.lastEventId = headerOf(received.request, headerNames.lastEventId);
  const fields: RoutedFields = { attemptId, service, ...fieldsOfRoute(received, route), ...fieldsOfHeaders(received) };
  return requestContexts.withRoute(received, fields);
}

/** Route by host and path; service by the route's shares, drawn by the hash of the attempt id. */
function apply(router: Router, received: ReceivedRequest): PolicyResult<RoutedRequest> {
  const { request } = received;
  const table = routers.routeTable(router);
  const path = (request.url ?? '').split('?')[0]!;
  const { host } = request.headers;
  if (!path.startsWith('/') || host === undefined) return reject(400, 'a path and a host are needed');
  const route = routeTable.find(table, host, path);
  if (!route) return reject(404, 'no route');
  const attemptId = headerOf(request, headerNames.attemptId);
  if (attemptId === null || attemptId === '') return reject(400, 'an attempt id is needed');
  const label = routeTable.pickService(route, hash.toUnitInterval(attemptId));
  const service = label === null ? undefined : table.services.get(label);
  if (!service) return reject(404, 'no service');
  return { kind: 'next', request: withRoute(received, route, service, attemptId) };
}

export const routing: Policy<ReceivedRequest, RoutedRequest> = { apply };
