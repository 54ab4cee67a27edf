/**
 * The identity of an RPC, carried in one header field, so that it can be checked and echoed before and without
 * the body. Request: call id, incarnation of the caller, incarnation of the callee that the caller means (`-` if
 * it knows none), channel. Response: call id and incarnation of the caller as they came, incarnation of the callee.
 */
import { randomBytes } from 'node:crypto';
import type { RpcChannel } from '../../runtime.js';

/** `calleeIncarnation` is null while the caller knows none; `callId` is unique within the caller's incarnation. */
export type RequestIdentity = {
  callId: number;
  callerIncarnation: string;
  calleeIncarnation: string | null;
  channel: RpcChannel;
};
/** `callId` and `callerIncarnation` are echoed from the request. */
export type ResponseIdentity = { callId: number; callerIncarnation: string; calleeIncarnation: string };

/** The header field of requests and responses that carries the identity. */
export const identityHeader = 'x-rpc-call';

const incarnationBytes = 8;
const unknownIncarnation = '-';
const requestPattern = /^(\d{1,15}) ([0-9a-f]{16}) ([0-9a-f]{16}|-) (control|bulk)$/;
const responsePattern = /^(\d{1,15}) ([0-9a-f]{16}) ([0-9a-f]{16})$/;

/** A new incarnation: 64 random bits in hexadecimal, drawn once per process start. */
function createIncarnation(): string {
  return randomBytes(incarnationBytes).toString('hex');
}

/** The value of the header field of a request. */
function formatRequest({ callId, callerIncarnation, calleeIncarnation, channel }: RequestIdentity): string {
  return `${callId} ${callerIncarnation} ${calleeIncarnation ?? unknownIncarnation} ${channel}`;
}

/** The value of the header field of a response. */
function formatResponse({ callId, callerIncarnation, calleeIncarnation }: ResponseIdentity): string {
  return `${callId} ${callerIncarnation} ${calleeIncarnation}`;
}

/** The identity of a request, or null for what is not one. */
function parseRequest(text: unknown): RequestIdentity | null {
  const fields = typeof text === 'string' ? requestPattern.exec(text) : null;
  if (!fields) return null;
  return {
    callId: Number(fields[1]),
    callerIncarnation: fields[2]!,
    calleeIncarnation: fields[3] === unknownIncarnation ? null : fields[3]!,
    channel: fields[4] as RpcChannel,
  };
}

/** The identity of a response, or null for what is not one. */
function parseResponse(text: unknown): ResponseIdentity | null {
  const fields = typeof text === 'string' ? responsePattern.exec(text) : null;
  return fields && { callId: Number(fields[1]), callerIncarnation: fields[2]!, calleeIncarnation: fields[3]! };
}

/** Whether a response is the one to this call, wherever and whenever it came. */
function isResponseTo(response: ResponseIdentity | null, call: RequestIdentity): response is ResponseIdentity {
  return response !== null && response.callId === call.callId && response.callerIncarnation === call.callerIncarnation;
}

export const callIdentity = {
  createIncarnation,
  formatRequest,
  formatResponse,
  parseRequest,
  parseResponse,
  isResponseTo,
};
