/**
 * Persistent connections to other processes of the fleet, one pool per channel. Bytes that arrive on a connection while
 * no call is in progress on it belong to no call: the connection is destroyed.
 */
import { Agent } from 'node:http';
import type { Duplex } from 'node:stream';

const maxConnectionsPerAddress = 64;
/** In milliseconds; shorter than the server keeps an idle connection, so that the client closes it first. */
export const clientIdleTimeoutMs = 15_000;
/** How long a server keeps an idle connection, in milliseconds. */
export const serverIdleTimeoutMs = 30_000;

/** `onUnexpectedData` is called once per connection that was destroyed for bytes that belong to no call. */
function create(onUnexpectedData: () => void): Agent {
  const agent = new Agent({
    keepAlive: true,
    maxSockets: maxConnectionsPerAddress,
    scheduling: 'lifo',
    timeout: clientIdleTimeoutMs,
  });
  const idleListeners = new WeakMap<Duplex, () => void>();
  const keepSocketAlive = agent.keepSocketAlive.bind(agent);
  const reuseSocket = agent.reuseSocket.bind(agent);
  agent.keepSocketAlive = (socket) => {
    // Node's types declare no result here, its documentation does: false closes the connection.
    const isReusable = keepSocketAlive(socket) as unknown as boolean;
    function onData(): void {
      onUnexpectedData();
      socket.destroy();
    }
    if (isReusable) {
      idleListeners.set(socket, onData);
      socket.once('data', onData);
    }
    return isReusable;
  };
  agent.reuseSocket = (socket, request) => {
    const onData = idleListeners.get(socket);
    if (onData) socket.removeListener('data', onData);
    reuseSocket(socket, request);
  };
  return agent;
}

export const connectionPool = { create };
