/**
 * `/rpc/operator`: a coordinator forwards an operator's call to the leader. The order itself is
 * recognised by its content, in the log, so it need not be bound to the incarnation of the callee.
 */
import { instance, integer, nullable, size, string, type } from 'superstruct';
import { rpc, type RpcMethod } from './rpc-method.js';

/**
 * `id` names one call at the coordinator that received it, for the logs; two calls are the same order when
 * the digests of the rest are equal (`state/control/order-memory.ts`). `ifMatch` is the value of If-Match;
 * `body` the bytes as the operator sent them.
 */
export type OperatorRequest = { id: string; method: string; path: string; ifMatch: string | null; body: Uint8Array };

/** The HTTP status and the JSON text for the operator. */
export type OperatorReply = { status: number; body: string };

const maxNameLength = 1024;
const maxOrderBytes = 16 * 1024 * 1024;
const envelopeBytes = 8 * 1024;
const name = size(string(), 0, maxNameLength);

const request = type({
  id: name,
  method: name,
  path: name,
  ifMatch: nullable(name),
  body: instance(Uint8Array),
});

const reply = nullable(type({ status: size(integer(), 100, 599), body: string() }));

/** The reply is null where the callee is not the leader. */
export const operatorMethod: RpcMethod<OperatorRequest, OperatorReply | null> = {
  path: '/rpc/operator',
  checkRequest: rpc.checkWithStruct(request),
  checkResponse: rpc.checkWithStruct(reply),
  maxRequestBytes: maxOrderBytes + envelopeBytes,
  channel: 'bulk',
  bindsToIncarnation: false,
};
