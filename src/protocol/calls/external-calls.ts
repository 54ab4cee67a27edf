/**
 * Calls to the platform, the runners and the store, each described by a value: its form on the wire and how its answer
 * is parsed. One function sends them all. The calls themselves are in `platform-calls.ts` and `runner-calls.ts`.
 */
import type { Agent } from 'node:http';
import type { Result } from '../../types.js';
import { httpClient, type HttpClientError } from '../../transport/http/client.js';

/** A call whose good answer is an `A`; `parse` gives null for a status or a body that it doesn't know. */
export type ExternalCall<A> = {
  method: 'GET' | 'POST';
  path: string;
  headers?: Record<string, string>;
  /** Sent as JSON. */
  body?: unknown;
  parse: (status: number, body: unknown) => A | null;
};

/**
 * Why there is no good answer. Beside the errors of the transport: `status`, the callee answered with an error;
 * `unreadable`, a 200 whose body has another form. After either, and after a lost answer, a call that changes
 * something may have been carried out.
 */
export type ExternalCallError = HttpClientError | { kind: 'status'; status: number } | { kind: 'unreadable' };

/** The time-out of a new connection, in ms. */
const connectTimeoutMs = 400;

function parseBody(body: Buffer): unknown {
  if (body.length === 0) return null;
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

/** Sends a call to `addr` ("host:port"); `timeoutMs` bounds it in all. Never rejects. */
async function send<A>(
  agent: Agent,
  addr: string,
  call: ExternalCall<A>,
  timeoutMs: number,
): Promise<Result<A, ExternalCallError>> {
  const body = call.body === undefined ? undefined : Buffer.from(JSON.stringify(call.body));
  const headers: Record<string, string> = { ...call.headers };
  if (body) headers['Content-Type'] = 'application/json';
  const { method, path } = call;
  const request = { agent, address: addr, method, path, headers, body, timeoutMs, connectTimeoutMs };
  const answer = await httpClient.send(request);
  if (!answer.ok) return answer;
  const { status } = answer.value;
  const value = call.parse(status, parseBody(answer.value.body));
  if (value !== null) return { ok: true, value };
  return { ok: false, error: status === 200 ? { kind: 'unreadable' } : { kind: 'status', status } };
}

export const externalCalls = { send };
