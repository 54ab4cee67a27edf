/**
 * One HTTP exchange with another process of the fleet: the complete response, or why there is none. An error tells
 * whether the request can have been sent: without a connection it is `unreachable`.
 */
import { request, type Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import type { RpcError } from '../../runtime/rpc-errors.js';
import type { Result } from '../../types.js';
import { responseCompletion } from '../http/response-completion.js';
import { progressDeadline, type ProgressDeadline } from './progress-deadline.js';

/** A complete response, whatever its status. */
export type HttpResponse = { status: number; body: Buffer };

/** A request, and the bounds of its exchange. */
export type HttpExchangeOptions = {
  agent: Agent;
  host: string;
  port: number;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  /** The exchange fails when no byte moves for so long. */
  idleTimeoutMs: number;
  /** The most that the whole exchange may take; if it equals `idleTimeoutMs`, progress extends nothing. */
  maxDurationMs: number;
  maxResponseBytes: number;
  /** Given the head of a response; returns why it is not the response to this call, or null. */
  rejectionReason: (response: IncomingMessage) => string | null;
};

type ExchangeResult = Result<HttpResponse, RpcError>;

/** Ends an exchange; the first call decides, later ones change nothing. */
type Completion = {
  deadline: ProgressDeadline;
  succeed: (response: HttpResponse) => void;
  /** Destroys the connection, since what else comes on it belongs to no call. */
  fail: (message: string) => void;
};

/** Each call between processes is a `POST`. */
const method = 'POST';

/** Larger bodies are written in chunks of this size, each of which counts as progress once it is out. */
const chunkBytes = 64 * 1024;

function writeInChunks(outgoing: ClientRequest, body: Uint8Array, onWritten: () => void): void {
  let offset = 0;
  function writeNext(): void {
    if (outgoing.destroyed) return;
    const chunk = body.subarray(offset, offset + chunkBytes);
    offset += chunk.length;
    if (offset >= body.length) {
      outgoing.end(chunk);
      return;
    }
    outgoing.write(chunk, (error) => {
      if (error) return;
      onWritten();
      writeNext();
    });
  }
  writeNext();
}

function onceConnected(outgoing: ClientRequest, onConnected: () => void): void {
  outgoing.on('socket', (socket) => {
    if (socket.connecting) socket.once('connect', onConnected);
    else onConnected();
  });
}

/** Node throws at once on what cannot be a host, port or path; addresses come out of messages. */
function openRequest(options: HttpExchangeOptions): Result<ClientRequest, RpcError> {
  try {
    const outgoing = request({
      agent: options.agent,
      host: options.host,
      port: options.port,
      method,
      path: options.path,
      headers: { ...options.headers, 'Content-Length': options.body.length },
    });
    return { ok: true, value: outgoing };
  } catch (error) {
    return { ok: false, error: { kind: 'unreachable', message: (error as Error).message } };
  }
}

/** Collects the body of a response; one that is cut short or too long fails the exchange. */
function readResponse(response: IncomingMessage, maxBytes: number, completion: Completion): void {
  const chunks: Buffer[] = [];
  const end = responseCompletion.watch(response, method);
  let receivedBytes = 0;
  let isComplete = false;
  response.on('data', (chunk: Buffer) => {
    completion.deadline.progress();
    receivedBytes += chunk.length;
    if (receivedBytes > maxBytes) return completion.fail(`a response of over ${maxBytes} bytes`);
    chunks.push(chunk);
  });
  response.on('end', () => {
    isComplete = end.isComplete();
    if (isComplete) completion.succeed({ status: response.statusCode ?? 0, body: Buffer.concat(chunks) });
  });
  response.on('error', (error) => {
    completion.fail(error.message);
  });
  response.on('close', () => {
    if (!isComplete) completion.fail('the response was cut short');
  });
}

/** Starts the deadline of an exchange; `resolve` gets its first result. */
function createCompletion(
  options: HttpExchangeOptions,
  outgoing: ClientRequest,
  resolve: (result: ExchangeResult) => void,
): Completion {
  let isConnected = false;
  function finish(result: ExchangeResult): void {
    deadline.cancel();
    resolve(result);
  }
  const deadline = progressDeadline.start(options.idleTimeoutMs, options.maxDurationMs, () => {
    finish({
      ok: false,
      error: isConnected ? { kind: 'timed_out' } : { kind: 'unreachable', message: 'no connection in time' },
    });
    outgoing.destroy();
  });
  onceConnected(outgoing, () => {
    isConnected = true;
    deadline.progress();
  });
  return {
    deadline,
    succeed: (response) => {
      finish({ ok: true, value: response });
    },
    fail: (message) => {
      finish({ ok: false, error: { kind: isConnected ? 'transport_failed' : 'unreachable', message } });
      outgoing.destroy();
    },
  };
}

/** Sends a request and resolves with its response. Never rejects; see `rpcErrors` for what an error means. */
function send(options: HttpExchangeOptions): Promise<ExchangeResult> {
  return new Promise((resolve) => {
    const opened = openRequest(options);
    if (!opened.ok) return resolve(opened);
    const outgoing = opened.value;
    const completion = createCompletion(options, outgoing, resolve);
    outgoing.on('information', completion.deadline.progress);
    outgoing.on('error', (error) => {
      completion.fail(error.message);
    });
    outgoing.on('response', (response) => {
      const rejection = options.rejectionReason(response);
      if (rejection !== null) return completion.fail(rejection);
      readResponse(response, options.maxResponseBytes, completion);
    });
    writeInChunks(outgoing, options.body, completion.deadline.progress);
  });
}

export const httpExchange = { send };
