/**
 * The RPCs from one coordinator to another. None rejects; `rpcErrors` says what may be retried. Time-outs are in ms.
 */
import {
  publishEndpointsMethod,
  type PublishEndpointsResponse,
  type PublishEndpointsRequest,
} from '../protocol/rpc/endpoints.js';
import { rpc } from '../protocol/rpc/rpc-method.js';
import { operatorMethod, type OperatorReply, type OperatorRequest } from '../protocol/rpc/operator.js';
import { statusMethod, type StatusReply } from '../protocol/rpc/status.js';
import type { RpcError } from '../runtime/rpc-errors.js';
import type { Result } from '../types.js';
import type { Coordinator } from './coordinator-context.js';

type Response<T> = Promise<Result<T, RpcError>>;

/** Publishes the leader's endpoints snapshot and progress to another member (`endpoints-replication.ts`). */
function publishEndpoints(
  coordinator: Coordinator,
  address: string,
  request: PublishEndpointsRequest,
  timeoutMs: number,
): Response<PublishEndpointsResponse> {
  return rpc.call(coordinator.runtime.network, address, publishEndpointsMethod, request, { timeoutMs });
}

/** Forwards an order or a read to the leader; null when the callee does not lead. */
function forwardOperatorCall(
  coordinator: Coordinator,
  address: string,
  request: OperatorRequest,
  timeoutMs: number,
): Response<OperatorReply | null> {
  return rpc.call(coordinator.runtime.network, address, operatorMethod, request, { timeoutMs });
}

/** The status as the callee sees it. */
function getStatus(coordinator: Coordinator, address: string, timeoutMs: number): Response<StatusReply> {
  return rpc.call(coordinator.runtime.network, address, statusMethod, {}, { timeoutMs });
}

export const rpcClient = {
  publishEndpoints,
  forwardOperatorCall,
  getStatus,
};
