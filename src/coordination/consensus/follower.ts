/**
 * The follower's side of replication: it takes the leader's entries, drops its own that the leader does
 * not hold, and answers only for what is on its disk.
 */
import type { Entry, LogRecord } from '../../state/log/types.js';
import { commit } from './commit.js';
import { common } from './common.js';
import { log } from './log.js';
import { snapshots } from './snapshots.js';
import type { ConsensusState, Effects, Message } from './types.js';

/** The number in a reply that only tells of a later term: no heartbeat has it, so nothing is promised. */
const noHeartbeat = 0;

function onHeartbeat(s: ConsensusState, m: Message & { type: 'heartbeat' }, now: number, effects: Effects): void {
  if (m.term < s.term) {
    const later = { type: 'heartbeat_reply' as const, term: s.term, number: noHeartbeat };
    return common.send(s, m.from, later, effects, m.fromAddress);
  }
  const body = { type: 'heartbeat_reply' as const, term: m.term, number: m.number };
  common.follow(s, m.from, m.term, now, effects);
  commit.learn(s, m.committed, log.lastIndex(s), effects);
  const hasAll = s.applied >= m.current;
  if (hasAll) s.freshUntil = Math.max(s.freshUntil, now + Math.min(m.leaseLeftMs, s.timing.electionMs));
  common.replyOnceKept(s, s.promiseToken, m.from, m.fromAddress, body, effects);
}

type Append = Message & { type: 'append' };

function reject(s: ConsensusState, m: Append, hint: number, effects: Effects): void {
  const body = {
    type: 'append_reply' as const,
    term: s.term,
    rejected: true,
    previousIndex: m.previousIndex,
    matchIndex: hint,
  };
  common.send(s, m.from, body, effects, m.fromAddress);
}

function onAppend(s: ConsensusState, m: Append, now: number, effects: Effects): void {
  if (m.term < s.term) return reject(s, m, 0, effects);
  common.follow(s, m.from, m.term, now, effects);
  const isKnownPrevious = m.previousIndex <= s.committed || log.termAt(s, m.previousIndex) === m.previousTerm;
  if (!isKnownPrevious) return reject(s, m, log.conflictHint(s, m.previousIndex), effects);
  const added = takeEntries(s, m.entries, effects);
  if (added.length > 0) {
    log.refreshMembership(s);
    common.rest(s, effects);
    const token = common.write(s, added, now, effects);
    s.pendingEntries.push({ token, lastIndex: log.lastIndex(s) });
  }
  const matchIndex = Math.min(m.previousIndex + m.entries.length, log.lastIndex(s));
  commit.learn(s, m.committed, matchIndex, effects);
  const body = {
    type: 'append_reply' as const,
    term: s.term,
    rejected: false,
    previousIndex: m.previousIndex,
    matchIndex,
  };
  common.replyOnceKept(s, s.written, m.from, m.fromAddress, body, effects);
}

/** Adds the entries that are not held yet; what stands in their way is dropped. Returns what to write. */
function takeEntries(s: ConsensusState, entries: Entry[], effects: Effects): LogRecord[] {
  const added: LogRecord[] = [];
  for (const entry of entries) {
    if (entry.index <= s.committed) continue;
    const term = log.termAt(s, entry.index);
    if (term === entry.term) continue;
    if (term !== null) {
      effects.push({ type: 'truncated', from: entry.index });
      log.truncateFrom(s, entry.index);
    }
    if (entry.index !== log.lastIndex(s) + 1) return added;
    s.entries.push(entry);
    added.push({ kind: 'entry', entry });
  }
  return added;
}

function onSnapshotChunk(
  s: ConsensusState,
  m: Message & { type: 'snapshot_chunk' },
  now: number,
  effects: Effects,
): void {
  if (m.term < s.term) {
    const body = { type: 'snapshot_reply' as const, term: s.term, index: m.index, received: 0, matchIndex: 0 };
    return common.send(s, m.from, body, effects, m.fromAddress);
  }
  common.follow(s, m.from, m.term, now, effects);
  snapshots.onChunk(s, m, now, effects);
}

export const follower = { onHeartbeat, onAppend, onSnapshotChunk };
