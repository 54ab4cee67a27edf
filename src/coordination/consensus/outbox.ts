/**
 * What a replica has to say to the others. Messages to one address that come up together travel in one
 * call; small ones and bulk data go on lanes of their own. Nothing is repeated here: a message that is
 * lost is made up for by the machine.
 */
import { consensusEndpoint, maxConsensusMessages } from '../../protocol/inner/consensus.js';
import { endpoint } from '../../protocol/inner/endpoint.js';
import type { Runtime } from '../../runtime.js';
import { messages } from './messages.js';
import type { Message } from './types.js';

type Lane = 'control' | 'bulk';

/** Calls to one address that may be open at once, by lane; what exceeds them is dropped. */
const mostOpen: Record<Lane, number> = { control: 8, bulk: 2 };
const timeoutMs: Record<Lane, number> = { control: 600, bulk: 2000 };

const calls = consensusEndpoint.create<Message>(messages.fault);

type Queue = { address: string; lane: Lane; waiting: Message[]; open: number };

export type Outbox = {
  runtime: Runtime;
  queues: Map<string, Queue>;
  /** Takes the messages that came back in the reply to a call. */
  onReplies: (messages: Message[]) => void;
};

function create(runtime: Runtime, onReplies: (messages: Message[]) => void): Outbox {
  return { runtime, queues: new Map(), onReplies };
}

function queueOf(o: Outbox, address: string, lane: Lane): Queue {
  const key = `${lane} ${address}`;
  const known = o.queues.get(key);
  if (known) return known;
  const made: Queue = { address, lane, waiting: [], open: 0 };
  o.queues.set(key, made);
  return made;
}

/** Sends a message, together with what else comes up for the same address in this turn. */
function post(o: Outbox, address: string, message: Message, lane: Lane): void {
  const queue = queueOf(o, address, lane);
  queue.waiting.push(message);
  if (queue.waiting.length > 1) return;
  o.runtime.clock.after(0, function later() {
    void flush(o, queue);
  });
}

async function flush(o: Outbox, queue: Queue): Promise<void> {
  const list = queue.waiting.splice(0).slice(-maxConsensusMessages);
  if (list.length === 0 || queue.open >= mostOpen[queue.lane]) return;
  queue.open++;
  const options = { timeoutMs: timeoutMs[queue.lane], lane: queue.lane };
  const reply = await endpoint.call(o.runtime.network, queue.address, calls, { messages: list }, options);
  queue.open--;
  if (queue.open === 0 && queue.waiting.length === 0) o.queues.delete(`${queue.lane} ${queue.address}`);
  if (reply.ok && reply.value.messages.length > 0) o.onReplies(reply.value.messages);
}

/** What waits to be said to an address, to go back in the reply to its call. */
function takeReplies(o: Outbox, address: string): Message[] {
  const queue = o.queues.get(`control ${address}`);
  return queue ? queue.waiting.splice(0) : [];
}

export const outbox = { create, post, takeReplies };
