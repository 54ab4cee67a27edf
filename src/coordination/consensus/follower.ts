/**
 * The follower's side of replication (thesis 3.5): it appends the leader's entries, truncates those of its own that
 * conflict with them, and acknowledges only what is durable. A message of an earlier term is answered with the current
 * term and changes nothing.
 */
import type { Entry, LogRecord } from '../../state/log/types.js';
import { commit } from './commit.js';
import { messaging } from './messaging.js';
import { persistence } from './persistence.js';
import { roles } from './roles.js';
import { raftLog } from './raft-log.js';
import { snapshots } from './snapshots.js';
import type { ConsensusState, Effects, MessageBody, MessageOf } from './types.js';

/** The sequence of a response that only carries a later term: no heartbeat has it, so it renews no lease. */
const noHeartbeatSequence = 0;

/** Accepts the leader and its commit index; the response, which renews its lease, waits for the hard state. */
function onHeartbeat(state: ConsensusState, message: MessageOf<'heartbeat'>, now: number, effects: Effects): void {
  if (message.term < state.term) {
    const rejection: MessageBody = { type: 'heartbeat_response', term: state.term, sequence: noHeartbeatSequence };
    return messaging.send(state, message.from, rejection, effects, message.fromAddress);
  }
  const body: MessageBody = { type: 'heartbeat_response', term: message.term, sequence: message.sequence };
  roles.acceptLeader(state, message.from, message.term, now, effects);
  commit.advanceFollower(state, message.commitIndex, raftLog.lastIndex(state), effects);
  const hasAll = state.lastApplied >= message.leaderCommitIndex;
  if (hasAll)
    state.freshUntil = Math.max(state.freshUntil, now + Math.min(message.leaseLeftMs, state.timing.electionTimeoutMs));
  messaging.sendOnceDurable(state, state.hardStateToken, message.from, message.fromAddress, body, effects);
}

type AppendEntries = MessageOf<'append_entries'>;

function reject(state: ConsensusState, message: AppendEntries, conflictHint: number, effects: Effects): void {
  const body: MessageBody = {
    type: 'append_entries_response',
    term: state.term,
    rejected: true,
    prevLogIndex: message.prevLogIndex,
    matchIndex: conflictHint,
  };
  messaging.send(state, message.from, body, effects, message.fromAddress);
}

/** The consistency check and the append of AppendEntries (thesis 3.5, figure 3.1). */
function onAppendEntries(state: ConsensusState, message: AppendEntries, now: number, effects: Effects): void {
  if (message.term < state.term) return reject(state, message, 0, effects);
  roles.acceptLeader(state, message.from, message.term, now, effects);
  const hasPrevEntry =
    message.prevLogIndex <= state.commitIndex || raftLog.termAt(state, message.prevLogIndex) === message.prevLogTerm;
  if (!hasPrevEntry) return reject(state, message, raftLog.conflictHint(state, message.prevLogIndex), effects);
  const appended = appendEntries(state, message.entries, effects);
  if (appended.length > 0) {
    raftLog.refreshMembership(state);
    roles.becomePassive(state, effects);
    const token = persistence.persist(state, appended, now, effects);
    state.unsyncedAppends.push({ token, lastIndex: raftLog.lastIndex(state) });
  }
  const matchIndex = Math.min(message.prevLogIndex + message.entries.length, raftLog.lastIndex(state));
  commit.advanceFollower(state, message.commitIndex, matchIndex, effects);
  const body: MessageBody = {
    type: 'append_entries_response',
    term: state.term,
    rejected: false,
    prevLogIndex: message.prevLogIndex,
    matchIndex,
  };
  messaging.sendOnceDurable(state, state.lastWriteToken, message.from, message.fromAddress, body, effects);
}

/**
 * Appends the missing entries and truncates what conflicts with them; what is committed stays. Returns the records to
 * write.
 */
function appendEntries(state: ConsensusState, entries: Entry[], effects: Effects): LogRecord[] {
  const appended: LogRecord[] = [];
  for (const entry of entries) {
    if (entry.index <= state.commitIndex) continue;
    const term = raftLog.termAt(state, entry.index);
    if (term === entry.term) continue;
    if (term !== null) {
      effects.push({ type: 'truncated', from: entry.index });
      raftLog.truncateFrom(state, entry.index);
    }
    if (entry.index !== raftLog.lastIndex(state) + 1) return appended;
    state.entries.push(entry);
    appended.push({ kind: 'entry', entry });
  }
  return appended;
}

/** A snapshot chunk; see `snapshots.ts`. */
function onInstallSnapshot(
  state: ConsensusState,
  message: MessageOf<'install_snapshot'>,
  now: number,
  effects: Effects,
): void {
  if (message.term < state.term) {
    const body: MessageBody = {
      type: 'install_snapshot_response',
      term: state.term,
      lastIncludedIndex: message.lastIncludedIndex,
      receivedBytes: 0,
      matchIndex: 0,
    };
    return messaging.send(state, message.from, body, effects, message.fromAddress);
  }
  roles.acceptLeader(state, message.from, message.term, now, effects);
  snapshots.onInstallSnapshot(state, message, now, effects);
}

export const follower = { onHeartbeat, onAppendEntries, onInstallSnapshot };
