/**
 * The consensus state machine: (state, event, now) -> effects. It has no clock, socket or file: the replica passes
 * events in and executes the effects (`effects.ts`), and the same events at the same times give the same effects. `now`
 * is in ms of the steady clock and never decreases. The parts of the algorithm are in the modules beside this one.
 */
import { commit } from './commit.js';
import { election } from './election.js';
import { initialState, type ConsensusOptions } from './initial-state.js';
import { lease } from './lease.js';
import { membership } from './membership.js';
import { messageDispatch } from './message-dispatch.js';
import { messaging } from './messaging.js';
import { persistence } from './persistence.js';
import { raftLog } from './raft-log.js';
import { replication } from './replication.js';
import { roles } from './roles.js';
import { snapshots } from './snapshots.js';
import type { ConsensusEvent, ConsensusState, DeferredMessage, Effects } from './types.js';

/**
 * The state that a member begins with, and its first effects; one of them makes durable what was read from the disk.
 */
function create(options: ConsensusOptions): { state: ConsensusState; effects: Effects } {
  const { snapshot, hardState, now } = options;
  const state = initialState.create(options);
  raftLog.refreshMembership(state);
  state.commitIndex = Math.max(snapshot.index, Math.min(options.commitIndex, raftLog.lastIndex(state)));
  state.role = roles.isVoter(state) ? 'follower' : 'learner';
  election.initialize(state, hardState, now);
  const effects: Effects = [];
  commit.applyCommitted(state, effects);
  // What was read may still be unsynced after a kill: it counts as durable only when this write comes back.
  persistence.persistHardState(state, now, effects);
  state.unsyncedAppends.push({ token: state.hardStateToken, lastIndex: raftLog.lastIndex(state) });
  return { state, effects };
}

/** Whether a deferred message is still valid: neither term nor candidacy has changed since. */
function isStillValid(state: ConsensusState, body: DeferredMessage['body']): boolean {
  if (body.type === 'request_vote') return state.role === 'candidate' && body.term === state.term;
  return !('term' in body) || body.term === state.term;
}

function onSynced(state: ConsensusState, token: number, now: number, effects: Effects): void {
  state.lastSyncedToken = Math.max(state.lastSyncedToken, token);
  state.writePendingSince = now;
  advanceDurableIndex(state);
  sendDeferredMessages(state, now, effects);
  if (state.role === 'leader' && commit.advanceLeader(state, effects))
    replication.broadcastHeartbeat(state, now, effects);
}

function advanceDurableIndex(state: ConsensusState): void {
  while (state.unsyncedAppends.length > 0 && state.unsyncedAppends[0]!.token <= state.lastSyncedToken) {
    const { lastIndex } = state.unsyncedAppends.shift()!;
    state.durableIndex = Math.max(state.durableIndex, Math.min(lastIndex, raftLog.lastIndex(state)));
  }
}

/** Sends what waited for a write that is durable now; a candidate's own vote is counted here. */
function sendDeferredMessages(state: ConsensusState, now: number, effects: Effects): void {
  const { deferredMessages, lastSyncedToken, self } = state;
  const ready = deferredMessages.filter((deferred) => deferred.token <= lastSyncedToken);
  state.deferredMessages = deferredMessages.filter((deferred) => deferred.token > lastSyncedToken);
  for (const { to, address, body } of ready) {
    if (!isStillValid(state, body)) continue;
    if (to !== self.id) messaging.send(state, to, body, effects, address);
    else messageDispatch.dispatch(state, { ...body, from: self.id, fromAddress: self.addr, to }, now, effects);
  }
}

/** Time passes: a leader that may have lost its disk, majority or vote steps down, others may begin an election. */
function onTick(state: ConsensusState, now: number, effects: Effects): void {
  if (state.role !== 'leader') return election.onTick(state, now, effects);
  const isDiskStalled =
    state.lastSyncedToken < state.lastWriteToken && now - state.writePendingSince > state.timing.diskStallTimeoutMs;
  const isIsolated = now - lease.quorumHeardAt(state, now) > state.timing.electionTimeoutMs;
  const isRemoved = !roles.isVoter(state) && state.membershipIndex <= state.commitIndex;
  if (isDiskStalled || isIsolated || isRemoved) return roles.stepDown(state, now, effects);
  membership.transferLeadership(state, now, effects);
  if (state.role !== 'leader') return;
  membership.reconfigure(state, now, effects);
  replication.onTick(state, now, effects);
}

function onPropose(
  state: ConsensusState,
  event: Extract<ConsensusEvent, { type: 'propose' }>,
  now: number,
  effects: Effects,
): void {
  if (state.role !== 'leader' || state.leadershipTransferSince !== null) return;
  const entry = replication.append(state, { kind: 'command', command: event.command, size: event.size }, now, effects);
  effects.push({ type: 'proposed', index: entry.index, term: entry.term });
}

/** Applies one event and returns its effects, which must be executed in order. Never throws on checked messages. */
function step(state: ConsensusState, event: ConsensusEvent, now: number): Effects {
  const effects: Effects = [];
  switch (event.type) {
    case 'tick':
      onTick(state, now, effects);
      break;
    case 'message':
      messageDispatch.dispatch(state, event.message, now, effects);
      break;
    case 'synced':
      onSynced(state, event.token, now, effects);
      break;
    case 'propose':
      onPropose(state, event, now, effects);
      break;
    case 'compact':
      snapshots.compact(state, event.index, event.data);
      break;
    case 'confirm':
      if (state.role === 'leader') replication.broadcastHeartbeat(state, now, effects);
      break;
    case 'prepare_stop':
      membership.onPrepareStop(state, now, effects);
      break;
  }
  return effects;
}

/** Asks to join the group where that is needed; `otherAddresses` are RPC addresses that the settings name. */
function requestJoin(state: ConsensusState, otherAddresses: string[], now: number): Effects {
  const effects: Effects = [];
  membership.requestJoin(state, otherAddresses, now, effects);
  return effects;
}

export const raft = { create, step, requestJoin };
