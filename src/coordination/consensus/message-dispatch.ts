/** Maps each type of message to the part of the state machine that handles it. */
import { election } from './election.js';
import { follower } from './follower.js';
import { membership } from './membership.js';
import { replication } from './replication.js';
import type { ConsensusState, Effects, Message, MessageOf } from './types.js';

type MessageType = Message['type'];
type Handler<Type extends MessageType> = (
  state: ConsensusState,
  message: MessageOf<Type>,
  now: number,
  effects: Effects,
) => void;

const handlers: { [Type in MessageType]: Handler<Type> } = {
  pre_vote: election.onPreVote,
  pre_vote_response: election.onPreVoteResponse,
  request_vote: election.onRequestVote,
  request_vote_response: election.onRequestVoteResponse,
  timeout_now: election.onTimeoutNow,
  lease_release: election.onLeaseRelease,
  heartbeat: follower.onHeartbeat,
  append_entries: follower.onAppendEntries,
  install_snapshot: follower.onInstallSnapshot,
  heartbeat_response: replication.onHeartbeatResponse,
  append_entries_response: replication.onAppendEntriesResponse,
  install_snapshot_response: replication.onInstallSnapshotResponse,
  join: membership.onJoin,
  leave: membership.onLeave,
};

/**
 * Whether a message is for this member. Of its own messages only its own vote comes back, once that is durable; a
 * `join` names no receiver, since the joining member may know none.
 */
function isAddressedTo(state: ConsensusState, message: Message): boolean {
  if (message.from === state.self.id && message.type !== 'request_vote_response') return false;
  return message.to === state.self.id || message.type === 'join';
}

/** Handles a message that `messages.parse` has checked; one for another member is dropped. */
function dispatch(state: ConsensusState, message: Message, now: number, effects: Effects): void {
  if (!isAddressedTo(state, message)) return;
  // Sound, though tsc can't relate the two: the handler is looked up by the type of this very message.
  const handle = handlers[message.type] as Handler<MessageType>;
  handle(state, message, now, effects);
}

export const messageDispatch = { dispatch };
