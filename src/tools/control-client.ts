/**
 * Calls a running control address as an operator does: redirects (307) are followed twice. Errors are typed;
 * their text is made by `describeError` where a tool shows it.
 */
import { Agent } from 'node:http';
import type { FindingJson } from '../protocol/findings.js';
import { httpClient, type HttpReply } from '../transport/http/client.js';
import type { Result } from '../types.js';

/** Bound on one exchange, in ms; each redirect gets it anew. */
const timeoutMs = 4000;
const connectTimeoutMs = 2000;
const maxRedirects = 2;

/**
 * Why there is no answer. All may be retried unchanged: orders of the operator are known again by their
 * content. `unreachable`, `bad_redirect` and `too_many_redirects` reached nobody who could carry the call out;
 * after `timed_out` and `aborted` it may have been.
 */
export type ControlError =
  | { kind: 'unreachable'; address: string; cause: string }
  | { kind: 'timed_out'; address: string; timeoutMs: number }
  | { kind: 'aborted'; address: string; cause: string }
  | { kind: 'bad_redirect'; address: string; location: string }
  | { kind: 'too_many_redirects'; address: string };

/** A call of the operator; `body` is sent as it is. */
export type ControlRequest = { method: string; path: string; headers?: Record<string, string>; body?: string };

async function exchange(agent: Agent, address: string, call: ControlRequest): Promise<Result<HttpReply, ControlError>> {
  const reply = await httpClient.send({
    agent,
    address,
    method: call.method,
    path: call.path,
    headers: call.headers,
    body: call.body === undefined ? undefined : Buffer.from(call.body),
    timeoutMs,
    connectTimeoutMs,
  });
  if (reply.ok) return reply;
  const { error } = reply;
  if (error.kind === 'timeout') return { ok: false, error: { kind: 'timed_out', address, timeoutMs } };
  return {
    ok: false,
    error: { kind: error.mayHaveBeenSent ? 'aborted' : 'unreachable', address, cause: error.message },
  };
}

/** The answer of the node at `address` (`ip:port`) or of the one that it redirects to. */
async function send(address: string, call: ControlRequest): Promise<Result<HttpReply, ControlError>> {
  const agent = new Agent({ keepAlive: false });
  let target = address;
  for (let redirects = 0; redirects <= maxRedirects; redirects++) {
    const reply = await exchange(agent, target, call);
    if (!reply.ok) return reply;
    const { location } = reply.value.headers;
    if (reply.value.status !== 307 || location === undefined) return reply;
    const match = /^http:\/\/([^/]+)/.exec(location);
    if (!match) return { ok: false, error: { kind: 'bad_redirect', address: target, location } };
    target = match[1]!;
  }
  return { ok: false, error: { kind: 'too_many_redirects', address } };
}

/** The error for a reader. */
function describeError(error: ControlError): string {
  switch (error.kind) {
    case 'unreachable':
      return `${error.address} cannot be reached: ${error.cause}`;
    case 'timed_out':
      return `no answer from ${error.address} within ${error.timeoutMs} ms`;
    case 'aborted':
      return `${error.address} ended the connection before its answer was complete: ${error.cause}`;
    case 'bad_redirect':
      return `${error.address} redirects to ${error.location}, which is not an HTTP address`;
    case 'too_many_redirects':
      return `${error.address} redirects more than ${maxRedirects} times`;
  }
}

/** Whether the value can be the address of a node: `host:port`. */
function isAddress(address: string | undefined): address is string {
  return address !== undefined && /^[\w.-]+:\d+$/.test(address);
}

/** The findings or the message in the body of a rejection, each on a line of its own; empty without any. */
function rejectionDetail(reply: HttpReply): string {
  try {
    const body = JSON.parse(reply.body.toString('utf8')) as { message?: string; findings?: FindingJson[] };
    if (body.findings) return body.findings.map(({ place, text }) => `\n  ${place}: ${text}`).join('');
    return body.message ? `\n  ${body.message}` : '';
  } catch {
    return '';
  }
}

/** What an answer other than 200 means for the operator. */
function describeRejection(reply: HttpReply): string {
  const detail = rejectionDetail(reply);
  switch (reply.status) {
    case 412:
      return `another revision is in place; read it again and build on that one${detail}`;
    case 400:
      return `the call is not valid; nothing was changed${detail}`;
    case 404:
      return `not found${detail}`;
    case 413:
      return `the call is too large${detail}`;
    case 503:
      return `no leader could confirm its term; the call may have been carried out or not, send it again${detail}`;
    default:
      return `status ${reply.status}${detail}`;
  }
}

export const controlClient = { send, describeError, isAddress, describeRejection };
