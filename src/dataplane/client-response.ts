/**
 * The response to a client. Nothing is sent before there is a part of an answer to forward, and what has been sent is
 * recorded, since it decides whether the request may still be retried. An answer that can't be completed ends with its
 * connection, so that it never looks complete.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { httpHeaders } from '../protocol/calls/headers.js';
import type { ServerSentEvent } from '../protocol/stream/event-stream-parser.js';
import type { ResponseProgress } from './execution-status.js';

/** A response with the record of what has been sent of it. */
export type ClientResponse = {
  raw: ServerResponse;
  progress: ResponseProgress;
  /** The status that has been sent, or null. */
  status: number | null;
  /** The last event that the client has: of those sent, or else as its request says (`Last-Event-Id`). */
  lastEventId: string | null;
};

/** A response of which nothing has been sent. */
function create(raw: ServerResponse): ClientResponse {
  return { raw, progress: 'none', status: null, lastEventId: null };
}

function writeHead(response: ClientResponse, upstream: IncomingMessage, closesConnection: boolean): void {
  if (response.status !== null) return;
  const headers = httpHeaders.responseHeaders(upstream.rawHeaders, upstream.headers.connection);
  if (closesConnection) headers.push('Connection', 'close');
  response.status = upstream.statusCode ?? 0;
  response.raw.writeHead(response.status, headers);
}

/** Sends one complete event. After one with data but without an id no other runner could resume the stream. */
function sendEvent(
  response: ClientResponse,
  upstream: IncomingMessage,
  closesConnection: boolean,
  event: ServerSentEvent,
): void {
  writeHead(response, upstream, closesConnection);
  response.raw.write(event.bytes);
  if (response.progress === 'none') response.progress = 'events';
  if (event.id !== null) response.lastEventId = event.id;
  else if (event.hasData) response.progress = 'bytes';
}

/** Sends bytes that only the runner they come from can complete. */
function sendBytes(
  response: ClientResponse,
  upstream: IncomingMessage,
  closesConnection: boolean,
  bytes: Buffer,
): void {
  writeHead(response, upstream, closesConnection);
  response.progress = 'bytes';
  response.raw.write(bytes);
}

/** Ends an answer that is complete. */
function end(response: ClientResponse, upstream: IncomingMessage, closesConnection: boolean): void {
  writeHead(response, upstream, closesConnection);
  response.progress = 'bytes';
  response.raw.end();
}

export const clientResponse = { create, sendEvent, sendBytes, end };
