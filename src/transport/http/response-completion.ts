/**
 * Whether the response to an HTTP/1.1 request has come whole. A body with a length or in chunks says so itself. One
 * without ends with its connection (RFC 9112, 6.3): there the peer's orderly end is the only sign.
 *
 * Node sets `complete` and emits `end` however the connection ended, and libuv reports a reset as an orderly end when it
 * is noticed together with the last bytes. The system tells them apart: a connection that was reset has no peer any more.
 */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

/** `delimited`: the message tells its own end; `until_close`: its connection does. */
export type ResponseFraming = 'delimited' | 'until_close';

/** The end of one response. `isComplete` is for its `end` event: whether that was the end of the message. */
export type ResponseEnd = { framing: ResponseFraming; isComplete: () => boolean };

/** Statuses whose responses have no body. */
const bodilessStatuses = [204, 304];

const chunkedIsLast = /(^|,)\s*chunked\s*$/i;

/** How the end of the response to a request with this method is told. */
function framingOf(response: IncomingMessage, method: string): ResponseFraming {
  if (method === 'HEAD' || bodilessStatuses.includes(response.statusCode ?? 0)) return 'delimited';
  const transferEncoding = response.headers['transfer-encoding'];
  if (transferEncoding !== undefined) return chunkedIsLast.test(transferEncoding) ? 'delimited' : 'until_close';
  return response.headers['content-length'] === undefined ? 'until_close' : 'delimited';
}

/** The address is looked up at the first use and only if there is a peer: nothing may read it before. */
function hasPeer(socket: Socket): boolean {
  return socket.remoteAddress !== undefined;
}

/** Watches for the end of a response from its `response` event on, for a request with this method. */
function watch(response: IncomingMessage, method: string): ResponseEnd {
  const framing = framingOf(response, method);
  if (framing === 'delimited') return { framing, isComplete: () => response.complete };
  const { socket } = response;
  let isOrderly = socket.readableEnded && hasPeer(socket);
  // Before Node's own listener, which closes the socket.
  socket.prependListener('end', () => {
    isOrderly = hasPeer(socket);
  });
  return { framing, isComplete: () => response.complete && isOrderly };
}

export const responseCompletion = { watch };
