/**
 * Builds and sends the responses that the system itself makes, to clients, the platform, the operator and its own
 * processes, each with its length. Responses of runners are passed on by the data plane.
 */
import type { ServerResponse } from 'node:http';

/** A response with its body complete; `send` adds the length. */
export type HttpResponse = { status: number; headers: Record<string, string>; body: Uint8Array | string };

/** Plain text; without a body no content type. */
function text(status: number, body = ''): HttpResponse {
  return { status, headers: body ? { 'Content-Type': 'text/plain; charset=utf-8' } : {}, body };
}

/** A value as JSON. */
function json(status: number, value: unknown): HttpResponse {
  return { status, headers: { 'Content-Type': 'application/json' }, body: JSON.stringify(value) };
}

/** A 200 with an encoded MessagePack body. */
function msgpack(body: Uint8Array): HttpResponse {
  return { status: 200, headers: { 'Content-Type': 'application/msgpack' }, body };
}

/** A rejection that the client may retry after `retryAfterMs`; `Retry-After` (RFC 9110, 10.2.3) has decimals here. */
function retryLater(status: 429 | 503, retryAfterMs: number): HttpResponse {
  return { status, headers: { 'Retry-After': (Math.max(0, retryAfterMs) / 1000).toFixed(3) }, body: '' };
}

/** Sends a response; does nothing if one has begun or the connection is closed. */
function send(raw: ServerResponse, response: HttpResponse, closesConnection = false): void {
  if (raw.headersSent || raw.destroyed) return;
  const headers: Record<string, string | number> = {
    ...response.headers,
    'Content-Length': Buffer.byteLength(response.body),
  };
  if (closesConnection) headers.Connection = 'close';
  raw.writeHead(response.status, headers);
  raw.end(response.body);
}

/** The text of a response without a body that ends its connection, for a socket that has no `ServerResponse`. */
function raw(status: number, reason: string): string {
  return `HTTP/1.1 ${status} ${reason}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}

export const httpResponse = { text, json, msgpack, retryLater, send, raw };
