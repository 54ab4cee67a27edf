/**
 * The outgoing messages of a replica, by address and channel. Those to one address that come up in one turn of the
 * event loop go in one call, small ones and bulk data on channels of their own. Nothing is retried here: the state
 * machine sends again what was lost. Messages that exceed the bounds below are dropped, the oldest first.
 */
import { maxConsensusMessages } from '../../protocol/rpc/consensus.js';
import { rpc } from '../../protocol/rpc/rpc-method.js';
import type { RpcCallOptions, RpcChannel, Runtime } from '../../runtime.js';
import { consensusRpc } from './consensus-rpc.js';
import type { Message } from './types.js';

/** The most calls to one address that are open at a time, by channel; messages beyond them are dropped. */
const maxOpenCalls: Record<RpcChannel, number> = { control: 8, bulk: 2 };
/** By channel; see `RpcCallOptions`. */
const timeoutMs: Record<RpcChannel, number> = { control: 600, bulk: 2000 };

/** `inFlight`: the bulk messages of the calls that are open. */
type SendQueue = { address: string; channel: RpcChannel; queued: Message[]; openCalls: number; inFlight: Message[] };

/** Owned by its replica. */
export type Outbox = {
  runtime: Runtime;
  /** By channel and address. */
  queues: Map<string, SendQueue>;
  /** Called with the messages that came back in the response to a call. */
  onResponses: (messages: Message[]) => void;
};

/** An empty outbox. */
function create(runtime: Runtime, onResponses: (messages: Message[]) => void): Outbox {
  return { runtime, queues: new Map(), onResponses };
}

function queueFor(outbox: Outbox, address: string, channel: RpcChannel): SendQueue {
  const key = `${channel} ${address}`;
  const existing = outbox.queues.get(key);
  if (existing) return existing;
  const created: SendQueue = { address, channel, queued: [], openCalls: 0, inFlight: [] };
  outbox.queues.set(key, created);
  return created;
}

/**
 * Whether a message carries entries or a chunk from the same position as another one. On a slow link the state machine
 * sends again what is still in flight; the copy would compete with the original, whose call times out by itself once
 * none of its bytes move.
 */
function isDuplicate(message: Message, other: Message): boolean {
  if (message.to !== other.to) return false;
  if (message.type === 'append_entries' && other.type === 'append_entries')
    return message.term === other.term && message.prevLogIndex === other.prevLogIndex;
  if (message.type === 'install_snapshot' && other.type === 'install_snapshot')
    return (
      message.term === other.term &&
      message.lastIncludedIndex === other.lastIncludedIndex &&
      message.offset === other.offset
    );
  return false;
}

/** Sends a message together with what else comes up for the same address in this turn of the event loop. */
function send(outbox: Outbox, address: string, message: Message, channel: RpcChannel): void {
  const queue = queueFor(outbox, address, channel);
  const isInFlight = queue.inFlight.some((other) => isDuplicate(message, other));
  if (isInFlight) return;
  queue.queued.push(message);
  if (queue.queued.length > 1) return;
  outbox.runtime.clock.after(0, () => {
    void flush(outbox, queue);
  });
}

async function flush(outbox: Outbox, queue: SendQueue): Promise<void> {
  const batch = queue.queued.splice(0).slice(-maxConsensusMessages);
  if (batch.length === 0 || queue.openCalls >= maxOpenCalls[queue.channel]) return;
  queue.openCalls++;
  if (queue.channel === 'bulk') queue.inFlight.push(...batch);
  const options: RpcCallOptions = { timeoutMs: timeoutMs[queue.channel], channel: queue.channel };
  const reply = await rpc.call(outbox.runtime.network, queue.address, consensusRpc, { messages: batch }, options);
  queue.openCalls--;
  queue.inFlight = queue.inFlight.filter((message) => !batch.includes(message));
  if (queue.openCalls === 0 && queue.queued.length === 0) outbox.queues.delete(`${queue.channel} ${queue.address}`);
  if (reply.ok && reply.value.messages.length > 0) outbox.onResponses(reply.value.messages);
}

/** Takes the queued messages to an address, to return them in the response to a call from it. */
function drainResponses(outbox: Outbox, address: string): Message[] {
  const queue = outbox.queues.get(`control ${address}`);
  return queue ? queue.queued.splice(0) : [];
}

export const outbox = { create, send, drainResponses };
