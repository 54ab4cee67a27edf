/**
 * What an RPC server needs of the methods that it serves: path, bounds and a function that executes a request.
 * `protocol/rpc/rpc-method.ts` makes handlers of typed methods.
 */
import type { Result } from '../../types.js';

/** Who calls: the remote IP address, and the call's identity (`incarnation` is random per process start). */
export type RpcCaller = { address: string; incarnation: string; callId: number };

/**
 * The answer to a request that is not carried out: one of `rejectionStatus`, and a message that begins with the path of
 * the fault.
 */
export type RpcRejection = { status: number; message: string };

/** One method with its handler, as servers take it. */
export type RpcHandler = {
  path: string;
  maxRequestBytes: number;
  bindsToIncarnation: boolean;
  /** Checks the decoded request and executes it. Throws only if the function that it was made of does. */
  receive: (raw: unknown, from: RpcCaller) => Promise<Result<unknown, RpcRejection>>;
};
