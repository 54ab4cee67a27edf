/** What an RPC server shares among its requests: handlers, duplicate suppression, counters and fault reports. */
import type { IncomingMessage } from 'node:http';
import type { RpcHandler } from './rpc-handler.js';
import { recentCalls, type RecentCalls } from './recent-calls.js';

/** Counts the requests since the server was created, by what became of them. */
export type RpcServerCounters = {
  requests: number;
  /** Without a readable identity. */
  unidentified: number;
  duplicates: number;
  unknownPaths: number;
  /** Meant for another incarnation of this process. */
  otherIncarnation: number;
  oversized: number;
  /** The connection ended before the request did. */
  aborted: number;
  /** Not decodable, or of the wrong shape. */
  malformed: number;
  handlerFailures: number;
  /** Bytes that are no HTTP request. */
  unreadable: number;
};

/** A request that was rejected or dropped. `status` is an HTTP status; `message` begins with the path of the fault. */
export type RequestFault = { path: string; from: string; status: number; message: string };

/** The server's identity and its callbacks. */
export type RpcServerOptions = {
  /** The incarnation of this process, the same as its network's. */
  incarnation: string;
  /** Called for every rejection and drop, except when the caller aborted. */
  onFault?: (fault: RequestFault) => void;
  /** An error thrown by a handler, with its stack. */
  onFailure?: (path: string, error: Error) => void;
};

/** Owned by the server; handlers by path. */
export type ServerState = {
  handlers: Map<string, RpcHandler>;
  recentCalls: RecentCalls;
  counters: RpcServerCounters;
  options: RpcServerOptions;
};

/** The state of a server that has seen no request. */
function create(handlers: RpcHandler[], options: RpcServerOptions): ServerState {
  const counters: RpcServerCounters = {
    requests: 0,
    unidentified: 0,
    duplicates: 0,
    unknownPaths: 0,
    otherIncarnation: 0,
    oversized: 0,
    aborted: 0,
    malformed: 0,
    handlerFailures: 0,
    unreadable: 0,
  };
  const byPath = new Map(handlers.map((handler) => [handler.path, handler] as const));
  return { handlers: byPath, recentCalls: recentCalls.create(), counters, options };
}

/** Reports a request that was rejected or dropped. */
function reportFault(state: ServerState, request: IncomingMessage, status: number, message: string): void {
  state.options.onFault?.({ path: request.url ?? '', from: request.socket.remoteAddress ?? '', status, message });
}

export const serverState = { create, reportFault };
