/**
 * Why an RPC between the fleet's own processes got no usable response, and what its caller may do: whether the call
 * may have been executed, and whether the same request may be sent again. The statuses of rejections are those of HTTP
 * (RFC 9110, section 15).
 */

/**
 * - `unreachable`: no connection was made, so the callee never saw the call.
 * - `timed_out`: no response in time; the callee may have executed the call.
 * - `transport_failed`: the connection broke, or what came was no response to this call; it may have been executed.
 * - `rejected`: the callee answered with an error; `status` is one of `rejectionStatus`.
 */
export type RpcError =
  | { kind: 'unreachable'; message: string }
  | { kind: 'timed_out' }
  | { kind: 'transport_failed'; message: string }
  | { kind: 'rejected'; status: number; message: string };

/** The statuses of rejections. All but `failed` promise that the handler did not see the request. */
export const rejectionStatus = {
  /** Not decodable, or of the wrong shape. */
  malformed: 400,
  unknownPath: 404,
  oversized: 413,
  /** Meant for another incarnation of the callee. */
  otherIncarnation: 421,
  /** The handler failed midway: the request may have been executed in part. */
  failed: 500,
} as const;

/** Whether the callee may have executed the call, wholly or in part. */
function mayHaveExecuted(error: RpcError): boolean {
  switch (error.kind) {
    case 'unreachable':
      return false;
    case 'timed_out':
    case 'transport_failed':
      return true;
    case 'rejected':
      return error.status === rejectionStatus.failed;
  }
}

/**
 * Whether the same request may be sent again and may then succeed. A rejected one would be rejected again; see
 * `isOtherIncarnation` for the case in which a new request may be made.
 */
function isRetriable(error: RpcError, isIdempotent: boolean): boolean {
  return error.kind !== 'rejected' && (isIdempotent || !mayHaveExecuted(error));
}

/**
 * Whether the callee has restarted since the caller last heard it. The caller has to forget what it knew of the earlier
 * incarnation; a request that is made anew after that may succeed.
 */
function isOtherIncarnation(error: RpcError): boolean {
  return error.kind === 'rejected' && error.status === rejectionStatus.otherIncarnation;
}

export const rpcErrors = { mayHaveExecuted, isRetriable, isOtherIncarnation };
