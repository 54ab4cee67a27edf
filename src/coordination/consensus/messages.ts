/**
 * Validates what arrives from other members before the state machine sees it. Nothing is copied and no path of a fault
 * is built: appends are frequent, and validation takes processor time from them.
 */
import type { Finding, Member } from '../../types.js';
import type { Entry, Membership } from '../../state/log/types.js';
import type { Message, MessageBody } from './types.js';

/** Bounds on member ids and addresses, in UTF-16 units, and on the members of one configuration. */
const maxTextLength = 200;
const maxMembers = 64;

type Fields = Record<string, unknown>;
type Check = (fields: Fields) => boolean;

function isFields(value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isText(value: unknown): value is string {
  return typeof value === 'string' && value.length > 0 && value.length <= maxTextLength;
}

function isCount(value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}

function isDuration(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isMember(value: unknown): value is Member {
  return isFields(value) && isText(value.id) && isText(value.addr) && isText(value.control);
}

function isMemberList(value: unknown): value is Member[] {
  return Array.isArray(value) && value.length <= maxMembers && value.every(isMember);
}

function isMembership(value: unknown): value is Membership {
  return isFields(value) && isMemberList(value.voters) && (value.next === null || isMemberList(value.next));
}

function isEntry(value: unknown): value is Entry {
  if (!isFields(value) || !isCount(value.index) || !isCount(value.term) || !isFields(value.data)) return false;
  const { data } = value;
  if (data.kind === 'noop') return true;
  if (data.kind === 'command') return isCount(data.size) && data.command !== undefined;
  return data.kind === 'membership' && isMembership(data.membership);
}

/** Entries follow one another, and the one before them, without a gap; terms do not decrease. */
function areEntries(value: unknown, previousIndex: number, previousTerm: number): value is Entry[] {
  if (!Array.isArray(value)) return false;
  let index = previousIndex;
  let term = previousTerm;
  for (const entry of value as unknown[]) {
    if (!isEntry(entry) || entry.index !== index + 1 || entry.term < term) return false;
    index = entry.index;
    term = entry.term;
  }
  return true;
}

function isLeaderReference(value: unknown): boolean {
  return value === null || (isFields(value) && isText(value.id) && isCount(value.term));
}

function isVoteRequest(fields: Fields): boolean {
  return isCount(fields.term) && isCount(fields.lastLogIndex) && isCount(fields.lastLogTerm);
}

function isVoteResponse(fields: Fields): boolean {
  return isCount(fields.term) && typeof fields.voteGranted === 'boolean';
}

function isInstallSnapshot(fields: Fields): boolean {
  return (
    isCount(fields.term) &&
    isCount(fields.lastIncludedIndex) &&
    isCount(fields.lastIncludedTerm) &&
    isMembership(fields.membership) &&
    isCount(fields.totalBytes) &&
    isCount(fields.checksum) &&
    isCount(fields.offset) &&
    fields.data instanceof Uint8Array &&
    fields.offset + fields.data.length <= fields.totalBytes
  );
}

function isAppendEntries(fields: Fields): boolean {
  return (
    isCount(fields.term) &&
    isCount(fields.prevLogIndex) &&
    isCount(fields.prevLogTerm) &&
    isCount(fields.commitIndex) &&
    areEntries(fields.entries, fields.prevLogIndex, fields.prevLogTerm)
  );
}

const messageChecks: Record<MessageBody['type'], Check> = {
  pre_vote: isVoteRequest,
  pre_vote_response: isVoteResponse,
  request_vote: (fields) => isVoteRequest(fields) && isLeaderReference(fields.leaseReleasedBy),
  request_vote_response: isVoteResponse,
  heartbeat: (fields) =>
    isCount(fields.term) &&
    isCount(fields.sequence) &&
    isCount(fields.commitIndex) &&
    isCount(fields.leaderCommitIndex) &&
    isDuration(fields.leaseLeftMs),
  heartbeat_response: (fields) => isCount(fields.term) && isCount(fields.sequence),
  append_entries: isAppendEntries,
  append_entries_response: (fields) =>
    isCount(fields.term) &&
    typeof fields.rejected === 'boolean' &&
    isCount(fields.prevLogIndex) &&
    isCount(fields.matchIndex),
  install_snapshot: isInstallSnapshot,
  install_snapshot_response: (fields) =>
    isCount(fields.term) &&
    isCount(fields.lastIncludedIndex) &&
    isCount(fields.receivedBytes) &&
    isCount(fields.matchIndex),
  lease_release: (fields) => isCount(fields.term),
  timeout_now: (fields) => isCount(fields.term),
  join: (fields) => isMember(fields.member),
  leave: () => true,
};

/** The message that a received value is, or null when it is none. The cast is sound: each field has been checked. */
function parse(value: unknown): Message | null {
  if (!isFields(value) || !isText(value.from) || !isText(value.fromAddress) || !isText(value.to)) return null;
  const { type } = value;
  if (typeof type !== 'string' || !Object.hasOwn(messageChecks, type)) return null;
  return messageChecks[type as MessageBody['type']](value) ? (value as unknown as Message) : null;
}

/** For the RPC: what is wrong with a message, or null; the RPC adds the path of the message. */
function fault(value: unknown): Finding | null {
  return parse(value) === null ? { path: '', text: 'not a consensus message' } : null;
}

export const messages = { parse, fault };
