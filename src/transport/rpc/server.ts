/** The server side of RPC: listens for the other processes of the fleet until it is closed. */
import { createServer, type Server } from 'node:http';
import type { RpcHandler } from './rpc-handler.js';
import { serverIdleTimeoutMs } from './connection-pool.js';
import { requestHandling } from './request-handling.js';
import { serverState, type RpcServerCounters, type RpcServerOptions } from './server-state.js';

/** Owns its socket and connections until `close`, which resolves once they are gone. */
export type RpcServer = { server: Server; counters: RpcServerCounters; close: () => Promise<void> };

/** The most that receiving one request may take, in milliseconds; as long as a bulk call. */
const requestTimeoutMs = 60_000;
/** Reported for bytes that are no HTTP request. */
const unreadableStatus = 400;

function close(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}

/** Serves the handlers at an address; rejects with the system's error if it cannot listen there. */
function listen(host: string, port: number, handlers: RpcHandler[], options: RpcServerOptions): Promise<RpcServer> {
  const state = serverState.create(handlers, options);
  const { counters } = state;
  const server = createServer((request, response) => {
    void requestHandling.accept(state, request, response);
  });
  server.keepAliveTimeout = serverIdleTimeoutMs;
  server.requestTimeout = requestTimeoutMs;
  server.on('clientError', (error: Error, socket) => {
    counters.unreadable++;
    options.onFault?.({ path: '', from: '', status: unreadableStatus, message: error.message });
    socket.destroy();
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve({ server, counters, close: () => close(server) });
    });
  });
}

export const rpcServer = { listen };
