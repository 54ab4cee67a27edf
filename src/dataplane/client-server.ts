/**
 * The HTTP server for clients: accepts requests and applies the policies to each. An answer that can't be completed
 * ends with its connection; one that was not begun is replaced by the router's own. A request counts as open until its
 * answer has been sent or its connection has closed.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { ringLog } from '../logging/ring.js';
import { callerLimits } from '../runtime/caller-limits.js';
import { maxTimerMs } from '../runtime/timer-delay.js';
import { connectionLimit } from '../transport/http/connection-limit.js';
import { httpResponse } from '../transport/http/response.js';
import { authentication } from './policies/authentication.js';
import { authorization } from './policies/authorization.js';
import { forwarding } from './policies/forwarding.js';
import { requestLimits } from './policies/request-limits.js';
import { routing } from './policies/routing.js';
import type { FinalResult } from './policy.js';
import { requestContexts, type IncomingRequest } from './request-context.js';
import { routers, type Router } from './router.js';
import { startUp } from './start-up.js';

/** The longest head of a request that is read at all; the operator's `header_bytes` is below it. */
const maxHeaderBytes = 64 * 1024;

/** How often connections are checked for time-outs, in ms. */
const timeoutCheckIntervalMs = 500;

/** Time-outs where the configuration sets none, in ms. */
const defaultHeadersTimeoutMs = 10_000;
const defaultIdleTimeoutMs = 15_000;

/**
 * Ends a request with the last policy's result; an answer that has begun and isn't complete ends with its connection.
 */
function finish(router: Router, context: IncomingRequest, result: FinalResult): void {
  const { raw, progress } = context.response;
  if (result.kind === 'answer' && progress === 'none')
    httpResponse.send(raw, result.answer, result.closesConnection === true || routers.isShuttingDown(router));
  else if (!raw.writableEnded) raw.destroy();
}

function trackOpenRequest(router: Router, context: IncomingRequest): void {
  const { raw } = context.response;
  router.openRequests.add(context);
  raw.on('close', () => {
    if (!raw.writableFinished) context.isClientGone = true;
    context.bodyReader?.release();
    router.openRequests.delete(context);
    if (router.phase === 'closing') context.request.socket.destroySoon();
    if (routers.isShuttingDown(router) && router.openRequests.size === 0) router.events.emit('idle');
  });
}

/** Applies the policies in their order, each to the request as the one before it has left it. */
async function applyPolicies(router: Router, incoming: IncomingRequest): Promise<FinalResult> {
  const received = await requestLimits.apply(router, incoming);
  if (received.kind !== 'next') return received;
  const routed = await routing.apply(router, received.request);
  if (routed.kind !== 'next') return routed;
  const authenticated = await authentication.apply(router, routed.request);
  if (authenticated.kind !== 'next') return authenticated;
  const authorized = await authorization.apply(router, authenticated.request);
  if (authorized.kind !== 'next') return authorized;
  return forwarding.apply(router, authorized.request);
}

async function handleRequest(router: Router, request: IncomingMessage, raw: ServerResponse): Promise<void> {
  const context = requestContexts.create(request, raw, performance.now());
  trackOpenRequest(router, context);
  if (!router.configuration) {
    requestLimits.beginBody(router, context);
    await startUp.waitForConfiguration(router);
  }
  if (context.isClientGone) return;
  if (!router.configuration) return httpResponse.send(raw, httpResponse.retryLater(503, startUp.retryAfterMs()), true);
  finish(router, context, await applyPolicies(router, context));
}

/**
 * Answers what is no HTTP request. While an earlier request on the connection is being answered nothing may be written:
 * Node has that answer in a field of the socket that its types don't show.
 */
function onClientError(error: Error & { code?: string }, socket: Duplex & { _httpMessage?: unknown }): void {
  if (!socket.writable || socket._httpMessage) {
    socket.destroy();
    return;
  }
  if (error.code === 'HPE_HEADER_OVERFLOW') socket.end(httpResponse.raw(431, 'Request Header Fields Too Large'));
  else if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') socket.end(httpResponse.raw(408, 'Request Timeout'));
  else if (error.code === 'ECONNRESET') socket.destroy();
  else socket.end(httpResponse.raw(400, 'Bad Request'));
}

/** A server that does not listen yet. The time for a request's body is bounded where it is read. */
function create(router: Router): Server {
  const options = { maxHeaderSize: maxHeaderBytes, connectionsCheckingInterval: timeoutCheckIntervalMs, noDelay: true };
  const server = createServer(options, (request, raw) => {
    handleRequest(router, request, raw).catch((error: Error) => {
      ringLog.error(router.log, 'request_failed', { stack: error.stack });
      raw.destroy();
    });
  });
  server.requestTimeout = 0;
  connectionLimit.apply(server, callerLimits.forMachine(router.settings.limits ?? {}).connections);
  server.on('clientError', onClientError);
  applyLimits(router, server);
  return server;
}

/** Applies the time-outs of the configuration in force (`limits`); called again when it changes. */
function applyLimits(router: Router, server: Server): void {
  const limits = router.configuration?.routeTable.limits;
  server.headersTimeout = Math.min(limits?.header_ms ?? defaultHeadersTimeoutMs, maxTimerMs);
  server.keepAliveTimeout = Math.min(limits?.idle_ms ?? defaultIdleTimeoutMs, maxTimerMs);
}

export const clientServer = { create, applyLimits };
