/** The operator's HTTP server: reads a request, has it answered, writes the answer. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { httpResponse, type HttpResponse } from '../transport/http/response.js';
import { bodies, BodyReader } from '../transport/http/body.js';
import { callerLimits } from '../runtime/caller-limits.js';
import { connectionLimit } from '../transport/http/connection-limit.js';
import { ringLog } from '../logging/ring.js';
import { operatorPaths } from '../protocol/operator-paths.js';
import type { OperatorReply } from '../protocol/rpc/operator.js';
import { operator } from './operator.js';
import { operatorReplies } from './operator-replies.js';
import type { Coordinator } from './coordinator-context.js';
import { status } from './status.js';

const maxBodyBytes = 16 * 1024 * 1024;

/** The longest time from a call's head to the end of its body, in ms. */
const bodyTimeoutMs = 30_000;

/** A caller that got no definite answer may try again after this; an election takes about a second. */
const retryAfterMs = 200;

function unavailable(body: string): HttpResponse {
  const headers = { 'Content-Type': 'application/json', 'Retry-After': (retryAfterMs / 1000).toFixed(1) };
  return { status: 503, headers, body };
}

function jsonResponse(reply: OperatorReply): HttpResponse {
  return { status: reply.status, headers: { 'Content-Type': 'application/json' }, body: reply.body };
}

async function handle(
  coordinator: Coordinator,
  callId: string,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const path = (request.url ?? '').split('?')[0] ?? '';
  const method = request.method ?? '';
  if (path === operatorPaths.status && method === 'GET') {
    request.resume();
    return httpResponse.send(response, httpResponse.json(200, await status.query(coordinator)));
  }
  const reader = new BodyReader(request, coordinator.orderBudget, { maxBytes: maxBodyBytes, timeoutMs: bodyTimeoutMs });
  response.on('close', () => reader.release());
  const received = await reader.result;
  if (received.kind === 'no_capacity')
    return httpResponse.send(response, unavailable(operatorReplies.noCapacity.body), true);
  if (received.kind !== 'complete') {
    const finding = { path: '(whole)', text: `over ${maxBodyBytes} bytes, or cut short` };
    return httpResponse.send(response, jsonResponse(operatorReplies.rejection(413, [finding])), true);
  }
  const ifMatch = request.headers['if-match'] ?? null;
  const reply = await operator.handle(coordinator, {
    id: callId,
    method,
    path,
    ifMatch,
    body: bodies.joined(received.body),
  });
  httpResponse.send(
    response,
    reply.status === 503 ? unavailable(reply.body) : jsonResponse(reply),
    coordinator.isStopping,
  );
}

/** A server that answers the operator; it does not listen yet. */
function create(coordinator: Coordinator): Server {
  let callCount = 0;
  const server = createServer((request, response) => {
    const callId = `${coordinator.settings.node_name}/${++callCount}`;
    handle(coordinator, callId, request, response).catch((err: Error) => {
      ringLog.error(coordinator.log, 'operator_call_failed', { stack: err.stack });
      httpResponse.send(response, httpResponse.text(500, err.message), true);
    });
  });
  connectionLimit.apply(server, callerLimits.forMachine(coordinator.settings.limits ?? {}).connections);
  return server;
}

export const operatorServer = { create };
