/**
 * Typed RPC between the fleet's own processes. A method defines the request and the response at a path; both are
 * validated, so that neither a handler nor a caller ever sees a message of another shape. Nothing here throws.
 */
import type { Struct } from 'superstruct';
import type { Network, RpcCallOptions, RpcChannel } from '../../runtime.js';
import { rejectionStatus, type RpcError } from '../../runtime/rpc-errors.js';
import type { Finding, Result } from '../../types.js';
import type { RpcCaller, RpcHandler } from '../../transport/rpc/rpc-handler.js';
import { findings } from '../findings.js';
import type { Validator } from './validation.js';

/** The value as it came, seen as `T`, or the first fault with its path. */
export type Check<T> = (raw: unknown) => Result<T, Finding>;

/** One method: its path, how both directions are validated, and how it is called. */
export type RpcMethod<Request, Response> = {
  /** Begins with `/rpc/`. */
  path: string;
  checkRequest: Check<Request>;
  checkResponse: Check<Response>;
  /** Bound on the encoded request, in bytes. */
  maxRequestBytes: number;
  /** The channel of calls that name none: `bulk` for what may carry more than a few kilobytes. */
  channel: RpcChannel;
  /**
   * Whether a request is meant for one incarnation of the callee, the one whose last response the caller got at
   * this address and path. A restarted callee then rejects the request with `otherIncarnation` and the caller
   * drops what it knew of the old one. True where a request refers to something that is only in the callee's
   * memory and is not named by term, member id or revision.
   */
  bindsToIncarnation: boolean;
};

const wholeMessage = '(whole)';

function describeFinding(finding: Finding): string {
  return `${finding.path === '' ? wholeMessage : finding.path}: ${finding.text}`;
}

/** A check by a validator, for frequent methods. */
function checkWith<T>(validate: Validator<T>): Check<T> {
  return (raw) => {
    const found = validate(raw);
    return found ? { ok: false, error: found } : { ok: true, value: raw as T };
  };
}

/** A check by a superstruct, for rare methods. */
function checkWithStruct<T, S>(struct: Struct<T, S>): Check<T> {
  return (raw) => {
    const [found] = findings.fromStruct(raw, struct);
    return found ? { ok: false, error: found } : { ok: true, value: raw as T };
  };
}

/** The handler of a method: checks each request and passes it to `handle`. */
function handler<Request, Response>(
  method: RpcMethod<Request, Response>,
  handle: (request: Request, from: RpcCaller) => Response | Promise<Response>,
): RpcHandler {
  return {
    path: method.path,
    maxRequestBytes: method.maxRequestBytes,
    bindsToIncarnation: method.bindsToIncarnation,
    receive: async (raw, from) => {
      const request = method.checkRequest(raw);
      if (!request.ok)
        return { ok: false, error: { status: rejectionStatus.malformed, message: describeFinding(request.error) } };
      return { ok: true, value: await handle(request.value, from) };
    },
  };
}

/**
 * Calls the method at an address (`ip:port`), on its own channel unless the options name another. A response of the
 * wrong shape is `transport_failed`, with the path of the fault.
 */
async function call<Request, Response>(
  network: Network,
  address: string,
  method: RpcMethod<Request, Response>,
  request: Request,
  options: RpcCallOptions,
): Promise<Result<Response, RpcError>> {
  const channel = options.channel ?? method.channel;
  const response = await network.call(address, method.path, request, {
    timeoutMs: options.timeoutMs,
    channel,
  });
  if (!response.ok) return response;
  const checked = method.checkResponse(response.value);
  if (checked.ok) return checked;
  network.onMalformedResponse?.();
  return {
    ok: false,
    error: { kind: 'transport_failed', message: `malformed response: ${describeFinding(checked.error)}` },
  };
}

export const rpc = {
  handler,
  call,
  checkWith,
  checkWithStruct,
};
