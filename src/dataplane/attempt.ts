/**
 * One attempt: a request sent to one runner on a pooled or new connection. It ends with the head of a response, or
 * without one; whether a byte of the request can have left decides between `not_sent` and `unanswered`.
 */
import { request as openHttpRequest, type ClientRequest, type IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import { runnerEndpoint } from '../state/runners/endpoint.js';
import type { Body } from '../transport/http/body.js';
import { httpClient } from '../transport/http/client.js';
import { responseCompletion, type ResponseEnd } from '../transport/http/response-completion.js';
import type { EndpointAssignment } from './endpoint-assignment.js';
import type { RequestContext } from './request-context.js';
import { requestHeaders } from './request-headers.js';

/**
 * - `head`: the head of a response has come; whether it answers this request has not been validated.
 * - `not_sent`: no byte of the request left; another attempt is always safe.
 * - `unanswered`: it was sent and the connection ended, so the runner may have executed it. `wasStaleConnection`:
 *   a pooled connection broke at once, which is no sign of the runner's health.
 */
export type AttemptResult =
  | { kind: 'head'; response: IncomingMessage; request: ClientRequest; end: ResponseEnd }
  | { kind: 'not_sent'; reason: string }
  | { kind: 'unanswered'; reason: string; wasStaleConnection: boolean };

/** `result` never rejects. `cancel` aborts the attempt and returns whether any of the request had been sent. */
export type Attempt = { result: Promise<AttemptResult>; cancel: () => 'not_sent' | 'unanswered' };

/** The time-out of a new connection, in ms. */
const connectTimeoutMs = 350;

/** A pooled connection that breaks within this time, in ms, had been closed by the runner before it was reused. */
const staleConnectionMs = 60;

function openRequest(
  context: RequestContext,
  assignment: EndpointAssignment,
  sendsUrgency: boolean,
  now: number,
): ClientRequest {
  const {
    addr,
    connections: { agent },
  } = assignment.endpoint;
  const { host, port } = httpClient.splitAddress(addr);
  agent.closeStale(context.isIdempotent, now);
  return openHttpRequest({
    agent,
    host,
    port,
    method: context.request.method,
    path: context.request.url,
    headers: requestHeaders.forAttempt(context, assignment, sendsUrgency, now),
    setHost: false,
  });
}

/** Owns the outgoing request until its head is handed over in `result`, or it has ended. */
class OutgoingAttempt implements Attempt {
  readonly result: Promise<AttemptResult>;
  readonly #assignment: EndpointAssignment;
  readonly #request: ClientRequest;
  readonly #startedAt = performance.now();
  readonly #connectTimer: NodeJS.Timeout;
  #resolve!: (result: AttemptResult) => void;
  #isSettled = false;
  #isSent = false;
  #isReusedConnection = false;
  #idleMs = 0;

  constructor(context: RequestContext, assignment: EndpointAssignment, sendsUrgency: boolean) {
    this.#assignment = assignment;
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    this.#request = openRequest(context, assignment, sendsUrgency, this.#startedAt);
    this.#connectTimer = setTimeout(() => {
      this.#endWithoutHead('no connection');
      this.#request.destroy();
    }, connectTimeoutMs);
    this.#request.on('socket', (socket) => this.#onSocket(socket, context.body));
    this.#request.on('error', (error) => this.#endWithoutHead(error.message));
    this.#request.on('close', () => this.#endWithoutHead('closed'));
    this.#request.on('response', (response) => this.#onResponse(response));
  }

  cancel(): 'not_sent' | 'unanswered' {
    const kind = this.#isSent ? 'unanswered' : 'not_sent';
    this.#settle({ kind, reason: 'cancelled', wasStaleConnection: false });
    this.#request.destroy();
    return kind;
  }

  /** Nothing of the request leaves before a connection is up. */
  #onSocket(socket: Socket, body: Body): void {
    this.#isReusedConnection = this.#request.reusedSocket;
    if (this.#isReusedConnection)
      this.#idleMs = this.#assignment.endpoint.connections.agent.idleMsOf(socket, this.#startedAt);
    if (!socket.connecting) return this.#send(body);
    socket.setNoDelay(true);
    socket.once('connect', () => this.#send(body));
  }

  #send(body: Body): void {
    if (this.#isSettled) return;
    this.#isSent = true;
    clearTimeout(this.#connectTimer);
    const last = body.pieces.at(-1);
    for (const piece of body.pieces.slice(0, -1)) this.#request.write(piece);
    if (last) this.#request.end(last);
    else this.#request.end();
  }

  #onResponse(response: IncomingMessage): void {
    if (this.#isSettled) return;
    runnerEndpoint.recordActivity(this.#assignment.endpoint, performance.now());
    const end = responseCompletion.watch(response, this.#request.method);
    this.#settle({ kind: 'head', response, request: this.#request, end });
  }

  #endWithoutHead(reason: string): void {
    if (this.#isSettled) return;
    if (!this.#isSent) return this.#settle({ kind: 'not_sent', reason });
    this.#settle({ kind: 'unanswered', reason, wasStaleConnection: this.#recordStaleConnection() });
  }

  #recordStaleConnection(): boolean {
    const wasStale = this.#isReusedConnection && performance.now() - this.#startedAt < staleConnectionMs;
    if (wasStale) this.#assignment.endpoint.connections.agent.recordDrop(this.#idleMs);
    return wasStale;
  }

  #settle(result: AttemptResult): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    clearTimeout(this.#connectTimer);
    this.#resolve(result);
  }
}

/** Sends the request to the endpoint assigned; `sendsUrgency`: with `X-Urgency`. */
function send(context: RequestContext, assignment: EndpointAssignment, sendsUrgency: boolean): Attempt {
  return new OutgoingAttempt(context, assignment, sendsUrgency);
}

export const attempts = { send };
