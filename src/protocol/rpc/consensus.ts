/**
 * `/rpc/consensus`: messages between members of the replicated log. Several messages to one member go in one request;
 * its own messages to the caller come back in the response. Messages name both members by id, and their term, so that
 * calls need not be bound to an incarnation.
 */
import type { Finding } from '../../types.js';
import { rpc, type Check, type RpcMethod } from './rpc-method.js';
import { validators, type Validator } from './validation.js';

/** The body of a request and of a response. */
export type ConsensusBatch<Message> = { messages: Message[] };

/** The most messages in one request or response. */
export const maxConsensusMessages = 256;
/** Bound on an encoded request, in bytes. */
const maxBytes = 32 * 1024 * 1024;

/** The endpoint for the messages that `checkMessage` accepts. */
function create<Message>(
  checkMessage: Validator<Message>,
): RpcMethod<ConsensusBatch<Message>, ConsensusBatch<Message>> {
  const check: Check<ConsensusBatch<Message>> = rpc.checkWith(
    validators.object<ConsensusBatch<Message>>({ messages: validators.list(checkMessage, maxConsensusMessages) }),
  );
  return {
    path: '/rpc/consensus',
    checkRequest: check,
    checkResponse: check,
    maxRequestBytes: maxBytes,
    channel: 'control',
    bindsToIncarnation: false,
  };
}

/** Accepts any object: for messages that are checked later. */
function anyMessage(value: unknown): Finding | null {
  return validators.anyRecord(value);
}

export const consensusEndpoint = { create, anyMessage };
