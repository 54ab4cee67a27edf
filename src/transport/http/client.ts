/**
 * One HTTP request with a bounded wait on a pooled connection: the reply complete, or a typed error. Used for the
 * platform, the calls to runners that carry no client's request, and the tools; calls between the system's own
 * processes go by `transport/rpc/network.ts`, the requests of clients by `dataplane/attempt.ts`.
 */
import { Agent, request, type ClientRequest, type IncomingHttpHeaders, type IncomingMessage } from 'node:http';
import type { Result } from '../../types.js';
import { responseCompletion } from './response-completion.js';

/** A reply that came complete, whatever its status. */
export type HttpReply = { status: number; headers: IncomingHttpHeaders; body: Buffer };

/**
 * - `timeout`: no complete reply in time; the other end may have carried the request out.
 * - `connection_lost`: the connection ended first, or never came up. A retry is safe unless `mayHaveBeenSent`.
 */
export type HttpClientError =
  { kind: 'timeout' } | { kind: 'connection_lost'; message: string; mayHaveBeenSent: boolean };

/** `timeoutMs` bounds the whole exchange, `connectTimeoutMs` (if given) the time until there is a connection. */
export type HttpRequest = {
  agent: Agent;
  /** `ip:port` */
  address: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: Uint8Array;
  timeoutMs: number;
  connectTimeoutMs?: number;
};

type ExchangeResult = Result<HttpReply, HttpClientError>;

/** The most connections of one agent to one address. */
const maxConnections = 64;

const maxPort = 65_535;

/** The parts of `host:port`; a port that is none is NaN. */
function splitAddress(address: string): { host: string; port: number } {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Whether the text is `host:port` in visible ASCII characters, with a port that can be connected to. */
function isAddress(address: string): boolean {
  const { host, port } = splitAddress(address);
  return /^[!-~]+$/.test(host) && /:\d{1,5}$/.test(address) && port > 0 && port <= maxPort;
}

function lost(message: string, mayHaveBeenSent: boolean): { ok: false; error: HttpClientError } {
  return { ok: false, error: { kind: 'connection_lost', message, mayHaveBeenSent } };
}

/** Node throws at once on what cannot be a host, port or path; addresses come out of lists and messages. */
function openRequest(options: HttpRequest): Result<ClientRequest, HttpClientError> {
  const { agent, method, path } = options;
  const { host, port } = splitAddress(options.address);
  const headers: Record<string, string | number> = { ...options.headers };
  if (options.body) headers['Content-Length'] = options.body.length;
  try {
    return { ok: true, value: request({ agent, host, port, method, path, headers }) };
  } catch (error) {
    return lost((error as Error).message, false);
  }
}

/** Owns a request until its reply is complete or it has failed. */
class Exchange {
  readonly result: Promise<ExchangeResult>;
  readonly #request: ClientRequest;
  readonly #timer: NodeJS.Timeout;
  readonly #connectTimer: NodeJS.Timeout | undefined;
  #resolve!: (result: ExchangeResult) => void;
  #isConnected = false;

  constructor(opened: ClientRequest, { body, timeoutMs, connectTimeoutMs }: HttpRequest) {
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    this.#request = opened;
    this.#timer = setTimeout(() => this.#abort({ ok: false, error: { kind: 'timeout' } }), timeoutMs);
    if (connectTimeoutMs !== undefined)
      this.#connectTimer = setTimeout(() => this.#onConnectTimeout(), connectTimeoutMs);
    opened.on('socket', (socket) => {
      if (!socket.connecting) this.#isConnected = true;
      else socket.once('connect', () => (this.#isConnected = true));
    });
    opened.on('error', (error) => this.#finish(lost(error.message, this.#isConnected)));
    opened.on('response', (reply) => this.#read(reply));
    opened.end(body);
  }

  #read(reply: IncomingMessage): void {
    const chunks: Buffer[] = [];
    const end = responseCompletion.watch(reply, this.#request.method);
    reply.on('data', (chunk: Buffer) => chunks.push(chunk));
    reply.on('end', () => {
      if (!end.isComplete()) return;
      const value = { status: reply.statusCode ?? 0, headers: reply.headers, body: Buffer.concat(chunks) };
      this.#finish({ ok: true, value });
    });
    reply.on('close', () => this.#finish(lost('the reply was cut short', this.#isConnected)));
  }

  #onConnectTimeout(): void {
    if (!this.#isConnected) this.#abort(lost('no connection', false));
  }

  #abort(result: ExchangeResult): void {
    this.#finish(result);
    this.#request.destroy();
  }

  /** The first result stands. */
  #finish(result: ExchangeResult): void {
    clearTimeout(this.#timer);
    clearTimeout(this.#connectTimer);
    this.#resolve(result);
  }
}

/** Never rejects. */
function send(options: HttpRequest): Promise<ExchangeResult> {
  const opened = openRequest(options);
  return opened.ok ? new Exchange(opened.value, options).result : Promise.resolve(opened);
}

/** A pool of kept-alive connections, for its owner to destroy. */
function createAgent(): Agent {
  return new Agent({ keepAlive: true, maxSockets: maxConnections, scheduling: 'lifo' });
}

export const httpClient = { send, splitAddress, isAddress, createAgent };
