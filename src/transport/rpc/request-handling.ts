/**
 * The steps of one RPC request: identity, duplicate suppression, method, incarnation, body, handler, response. Whatever
 * arrives ends as a response, a counted rejection with the path of the fault, or a counted drop. Nothing throws, and
 * nothing reaches a handler unchecked.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { rejectionStatus } from '../../runtime/rpc-errors.js';
import type { RpcCaller, RpcHandler, RpcRejection } from './rpc-handler.js';
import type { Result } from '../../types.js';
import { httpResponse } from '../http/response.js';
import { callIdentity, identityHeader, type RequestIdentity } from './call-identity.js';
import { rpcCodec } from './codec.js';
import { recentCalls } from './recent-calls.js';
import { requestBody } from './request-body.js';
import { serverState, type ServerState } from './server-state.js';

type Exchange = { request: IncomingMessage; response: ServerResponse };

/** Reported for a duplicate; the caller never gets it. */
const duplicateStatus = 409;

function reject(state: ServerState, { request, response }: Exchange, rejection: RpcRejection): void {
  serverState.reportFault(state, request, rejection.status, rejection.message);
  request.resume();
  httpResponse.send(response, httpResponse.text(rejection.status, rejection.message));
}

/**
 * A call that was seen before is dropped with its connection and not answered: its first request has, or will
 * have, the response. The connection is closed once the responses to earlier requests on it have gone out.
 */
function dropDuplicate(state: ServerState, { request, response }: Exchange): void {
  state.counters.duplicates++;
  serverState.reportFault(state, request, duplicateStatus, 'call id: seen before');
  request.resume();
  if (response.socket) response.socket.destroySoon();
  else
    response.once('socket', (socket: { destroySoon: () => void }) => {
      socket.destroySoon();
    });
}

/** Runs the handler; what it throws is reported and becomes a rejection without details. */
async function runHandler(
  state: ServerState,
  handler: RpcHandler,
  raw: unknown,
  caller: RpcCaller,
): Promise<Result<Uint8Array, RpcRejection>> {
  try {
    const outcome = await handler.receive(raw, caller);
    if (outcome.ok) return { ok: true, value: rpcCodec.encode(outcome.value) };
    if (outcome.error.status === rejectionStatus.malformed) state.counters.malformed++;
    return outcome;
  } catch (error) {
    state.counters.handlerFailures++;
    state.options.onFailure?.(handler.path, error as Error);
    return { ok: false, error: { status: rejectionStatus.failed, message: 'the handler failed' } };
  }
}

/** Reads and decodes the body and executes the request. */
async function execute(
  state: ServerState,
  handler: RpcHandler,
  call: RequestIdentity,
  exchange: Exchange,
): Promise<void> {
  const { request, response } = exchange;
  const notifyProgress = requestBody.progressNotifier(response, call);
  const body = await requestBody.read(request, handler.maxRequestBytes, notifyProgress);
  if (body.kind === 'aborted') {
    state.counters.aborted++;
    return;
  }
  if (body.kind === 'oversized') {
    state.counters.oversized++;
    const message = `(whole): over ${handler.maxRequestBytes} bytes`;
    return reject(state, exchange, { status: rejectionStatus.oversized, message });
  }
  const decoded = rpcCodec.decode(body.bytes);
  if (!decoded.ok) {
    state.counters.malformed++;
    const message = `(whole): undecodable: ${decoded.error.cause.message}`;
    return reject(state, exchange, { status: rejectionStatus.malformed, message });
  }
  const address = request.socket.remoteAddress ?? '';
  const caller = { address, incarnation: call.callerIncarnation, callId: call.callId };
  const result = await runHandler(state, handler, decoded.value, caller);
  if (result.ok) httpResponse.send(response, httpResponse.msgpack(result.value));
  else reject(state, exchange, result.error);
}

/**
 * Checks caller, duplicate, method and incarnation before the body is read; then executes the request. Never rejects.
 */
async function accept(state: ServerState, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const { counters } = state;
  const { incarnation } = state.options;
  const exchange = { request, response };
  counters.requests++;
  const call = callIdentity.parseRequest(request.headers[identityHeader]);
  if (!call) {
    counters.unidentified++;
    const message = `${identityHeader}: missing or unreadable`;
    return reject(state, exchange, { status: rejectionStatus.malformed, message });
  }
  const callerChannel = `${call.callerIncarnation} ${call.channel}`;
  if (!recentCalls.registerFirst(state.recentCalls, callerChannel, call.callId, performance.now()))
    return dropDuplicate(state, exchange);
  response.setHeader(identityHeader, callIdentity.formatResponse({ ...call, calleeIncarnation: incarnation }));
  const handler = state.handlers.get(request.url ?? '');
  if (!handler) {
    counters.unknownPaths++;
    return reject(state, exchange, { status: rejectionStatus.unknownPath, message: 'path: unknown' });
  }
  if (handler.bindsToIncarnation && call.calleeIncarnation !== null && call.calleeIncarnation !== incarnation) {
    counters.otherIncarnation++;
    const message = 'callee incarnation: this process has restarted since';
    return reject(state, exchange, { status: rejectionStatus.otherIncarnation, message });
  }
  await execute(state, handler, call, exchange);
}

export const requestHandling = { accept };
