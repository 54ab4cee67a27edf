/** The RPC method between members of the replicated log, and the address at which a member serves it. */
import { consensusEndpoint } from '../../protocol/rpc/consensus.js';
import { messages } from './messages.js';
import type { Message } from './types.js';

/** Requests and responses are batches of messages; each message is checked before the state machine sees it. */
export const consensusRpc = consensusEndpoint.create<Message>(messages.fault);

/** The address for RPCs of a member with the given control address: the same host, another port. */
export function rpcAddress(controlAddress: string, port: number): string {
  return `${controlAddress.slice(0, controlAddress.lastIndexOf(':'))}:${port}`;
}
