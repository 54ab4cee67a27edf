/**
 * Whether the response to an HTTP/1.1 request has come whole. A body with a length or in chunks says so itself. One
 * without ends with its connection (RFC 9112, 6.3): there the peer's orderly end is the only sign, since Node sets
 * `complete` and emits `end` however the connection ended.
 */
import type { IncomingMessage } from 'node:http';

/** `delimited`: the message tells its own end; `until_close`: its connection does. */
export type ResponseFraming = 'delimited' | 'until_close';

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

/** For the `end` event of a response: whether that was the end of the message, and not of its connection alone. */
function isComplete(response: IncomingMessage, framing: ResponseFraming): boolean {
  if (!response.complete) return false;
  return framing === 'delimited' || response.socket.readableEnded;
}

export const responseCompletion = { framingOf, isComplete };
