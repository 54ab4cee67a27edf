/** Messages to other members. One that acknowledges something written is deferred until that is durable. */
import type { MemberId } from '../../types.js';
import { quorum } from './quorum.js';
import type { ConsensusState, Effects, Message, MessageBody } from './types.js';

/** From this size on a message goes on the channel for bulk data. */
const bulkThresholdBytes = 32 * 1024;

/** The RPC address of a peer or voter, or null for a member that is not known here. */
function addressOf(state: ConsensusState, id: MemberId): string | null {
  const peer = state.peers.get(id);
  if (peer) return peer.member.addr;
  const member = quorum.allVoters(state.membership).find((member) => member.id === id);
  return member?.addr ?? null;
}

/**
 * Sends a message; one to a member whose address is not known is dropped. `address` is given where the receiver need
 * not be a known member, `bytes` is the size of the entries or of the chunk that the message carries.
 */
function send(
  state: ConsensusState,
  to: MemberId,
  body: MessageBody,
  effects: Effects,
  address?: string,
  bytes = 0,
): void {
  const target = address ?? addressOf(state, to);
  if (target === null) return;
  const message: Message = { ...body, from: state.self.id, fromAddress: state.self.addr, to };
  effects.push({ type: 'send', address: target, message, channel: bytes >= bulkThresholdBytes ? 'bulk' : 'control' });
}

/** Sends a message to all voters but this member itself. */
function sendToVoters(state: ConsensusState, body: MessageBody, effects: Effects): void {
  for (const member of quorum.allVoters(state.membership)) {
    if (member.id !== state.self.id) send(state, member.id, body, effects, member.addr);
  }
}

/** Sends a message once all writes up to `token` are durable; one that is no longer valid by then is dropped. */
function sendOnceDurable(
  state: ConsensusState,
  token: number,
  to: MemberId,
  address: string,
  body: MessageBody,
  effects: Effects,
): void {
  if (state.lastSyncedToken >= token) send(state, to, body, effects, address);
  else state.deferredMessages.push({ token, to, address, body });
}

export const messaging = { addressOf, send, sendToVoters, sendOnceDurable };
