/**
 * The client side of RPC: calls to other processes of the fleet as MessagePack over HTTP on pooled connections, a pool
 * for each channel. Every call carries its identity; a response that does not echo it is dropped with its connection,
 * and the call fails.
 */
import type { Agent } from 'node:http';
import type { Network, RpcCallOptions, RpcChannel } from '../../runtime.js';
import type { RpcError } from '../../runtime/rpc-errors.js';
import type { Result } from '../../types.js';
import { httpClient } from '../http/client.js';
import { callIdentity, identityHeader, type RequestIdentity } from './call-identity.js';
import { rpcCodec } from './codec.js';
import { connectionPool } from './connection-pool.js';
import { httpExchange, type HttpResponse } from './http-exchange.js';
import { incarnations, type KnownIncarnations } from './incarnations.js';

/** The most that a call on the bulk channel may take, however steadily its bytes move, in milliseconds. */
export const bulkMaxDurationMs = 60_000;
const maxResponseBytes = 64 * 1024 * 1024;
/** How much of the body of a rejection becomes the message of the error. */
const maxRejectionBytes = 500;
const statusOk = 200;

/** Counts the calls of a network since it was created, failed ones by the kind of their `RpcError`. */
export type NetworkCounters = {
  calls: number;
  unreachable: number;
  timed_out: number;
  transport_failed: number;
  rejected: number;
  /** Responses without the id and incarnation of the call they came to; dropped. */
  mismatchedResponses: number;
  /** Responses of an incarnation of the callee that had been followed by another; dropped. */
  earlierIncarnationResponses: number;
  /** Connections destroyed for bytes that came while no call was in progress on them. */
  unexpectedDataConnections: number;
  /** Responses that could not be decoded. */
  undecodableResponses: number;
  /** Responses that could be decoded but were of the wrong shape. */
  malformedResponses: number;
  /** How often a response from a known address stated a new incarnation. */
  newIncarnations: number;
};

/** `incarnation` is the process's own, also given to its server; drawn anew if left out. */
export type NetworkOptions = { incarnation?: string };

/** Owns its connections until `close`. */
export type RpcNetwork = Network & {
  incarnation: string;
  counters: NetworkCounters;
  pools: Record<RpcChannel, Agent>;
  /** Destroys all connections; calls under way end as `transport_failed` or `unreachable`. */
  close: () => void;
};

type NetworkState = {
  incarnation: string;
  counters: NetworkCounters;
  pools: Record<RpcChannel, Agent>;
  incarnations: KnownIncarnations;
  lastCallId: number;
};

function emptyCounters(): NetworkCounters {
  return {
    calls: 0,
    unreachable: 0,
    timed_out: 0,
    transport_failed: 0,
    rejected: 0,
    mismatchedResponses: 0,
    earlierIncarnationResponses: 0,
    unexpectedDataConnections: 0,
    undecodableResponses: 0,
    malformedResponses: 0,
    newIncarnations: 0,
  };
}

/** Why the response with this header is not the one to the call, or null. Learns the callee's incarnation. */
function rejectionReason(
  state: NetworkState,
  address: string,
  path: string,
  sentIdentity: RequestIdentity,
  responseHeader: unknown,
): string | null {
  const responseIdentity = callIdentity.parseResponse(responseHeader);
  if (!callIdentity.isResponseTo(responseIdentity, sentIdentity)) {
    state.counters.mismatchedResponses++;
    return 'a response to another call';
  }
  const check = incarnations.observe(state.incarnations, address, path, responseIdentity.calleeIncarnation);
  if (check === 'new') state.counters.newIncarnations++;
  if (check !== 'earlier') return null;
  state.counters.earlierIncarnationResponses++;
  return 'a response of an earlier incarnation';
}

function decodeResponse(state: NetworkState, response: HttpResponse): Result<unknown, RpcError> {
  if (response.status !== statusOk) {
    const message = response.body.toString('utf8', 0, maxRejectionBytes);
    return { ok: false, error: { kind: 'rejected', status: response.status, message } };
  }
  const decoded = rpcCodec.decode(response.body);
  if (decoded.ok) return decoded;
  state.counters.undecodableResponses++;
  const message = `undecodable response: ${decoded.error.cause.message}`;
  return { ok: false, error: { kind: 'transport_failed', message } };
}

async function call(
  state: NetworkState,
  address: string,
  path: string,
  body: unknown,
  options: RpcCallOptions,
): Promise<Result<unknown, RpcError>> {
  const channel = options.channel ?? 'control';
  state.lastCallId++;
  const sentIdentity: RequestIdentity = {
    callId: state.lastCallId,
    callerIncarnation: state.incarnation,
    calleeIncarnation: incarnations.expected(state.incarnations, address, path),
    channel,
  };
  const { host, port } = httpClient.splitAddress(address);
  const response = await httpExchange.send({
    agent: state.pools[channel],
    host,
    port,
    path,
    headers: { [identityHeader]: callIdentity.formatRequest(sentIdentity) },
    body: rpcCodec.encode(body),
    idleTimeoutMs: options.timeoutMs,
    maxDurationMs: channel === 'bulk' ? Math.max(bulkMaxDurationMs, options.timeoutMs) : options.timeoutMs,
    maxResponseBytes,
    rejectionReason: (head) => rejectionReason(state, address, path, sentIdentity, head.headers[identityHeader]),
  });
  return response.ok ? decodeResponse(state, response.value) : response;
}

/** A client with connections and counters of its own. */
export function createNetwork(options: NetworkOptions = {}): RpcNetwork {
  const counters = emptyCounters();
  function onUnexpectedData(): void {
    counters.unexpectedDataConnections++;
  }
  const pools = { control: connectionPool.create(onUnexpectedData), bulk: connectionPool.create(onUnexpectedData) };
  const state: NetworkState = {
    incarnation: options.incarnation ?? callIdentity.createIncarnation(),
    counters,
    pools,
    incarnations: incarnations.create(),
    lastCallId: 0,
  };
  return {
    incarnation: state.incarnation,
    counters,
    pools,
    call: async (address, path, body, callOptions) => {
      counters.calls++;
      const outcome = await call(state, address, path, body, callOptions);
      if (!outcome.ok) counters[outcome.error.kind]++;
      return outcome;
    },
    onMalformedResponse: () => {
      counters.malformedResponses++;
    },
    close: () => {
      pools.control.destroy();
      pools.bulk.destroy();
    },
  };
}
