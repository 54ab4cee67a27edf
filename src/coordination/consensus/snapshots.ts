/**
 * Snapshots: created by the replica (`compaction.ts`), sent in chunks that resume at the receiver's offset, and
 * installed there without losing the entries after them: a snapshot whose last entry the receiver's log holds with the
 * same term replaces only the part up to it (thesis 5.1, figure 5.3).
 */
import { crc32 } from 'node:zlib';
import { messaging } from './messaging.js';
import { persistence } from './persistence.js';
import { roles } from './roles.js';
import { raftLog } from './raft-log.js';
import type {
  ConsensusState,
  Effects,
  IncomingSnapshot,
  MessageBody,
  MessageOf,
  Peer,
  StoredSnapshot,
} from './types.js';

/** Bytes of a snapshot that one message carries. */
const maxChunkBytes = 128 * 1024;

/** Entries up to a snapshot's index that stay in memory for peers that lag a little, in bytes. */
const retainedLogBytes = 1024 * 1024;

/**
 * Adopts the replica's encoded snapshot of the applied state at `index` and discards most of the log up to it. Null
 * when a newer snapshot is there already, or the entry at `index` is not applied or no longer in memory.
 */
function compact(state: ConsensusState, index: number, data: Uint8Array): StoredSnapshot | null {
  const term = raftLog.termAt(state, index);
  const isNewer = state.snapshot === null || index > state.snapshot.index;
  if (!isNewer || index > state.lastApplied || term === null) return null;
  const { membership } = raftLog.membershipAt(state, index);
  state.snapshot = { index, term, membership, data, checksum: crc32(data) };
  discardPrefix(state, retainedLogStart(state, index, data.length));
  return state.snapshot;
}

/**
 * The index after which entries stay in memory. For peers that are catching up more of them stay, up to the size of the
 * snapshot; a peer that lacks more than that is served sooner by the snapshot.
 */
function retainedLogStart(state: ConsensusState, index: number, snapshotBytes: number): number {
  const neededFromIndex = Math.min(index, ...[...state.peers.values()].map(neededFrom));
  let bytes = 0;
  let from = index;
  while (from > state.base.index) {
    bytes += raftLog.sizeOf(raftLog.entryAt(state, from)!);
    const maxBytes = from > neededFromIndex ? snapshotBytes + retainedLogBytes : retainedLogBytes;
    if (bytes > maxBytes) break;
    from--;
  }
  return from;
}

/** The index after which a peer that is catching up still needs entries. */
function neededFrom(peer: Peer): number {
  if (peer.snapshotTransfer !== null) return peer.snapshotTransfer.snapshot.index;
  return peer.isProbing ? Infinity : peer.matchIndex;
}

function discardPrefix(state: ConsensusState, index: number): void {
  if (index <= state.base.index) return;
  const { membership } = raftLog.membershipAt(state, index);
  const term = raftLog.termAt(state, index)!;
  state.entries = state.entries.slice(index - state.base.index);
  state.base = { index, term, membership };
  raftLog.refreshMembership(state);
}

/** Sends a peer the next chunk and returns its size in bytes. A transfer that has begun keeps its snapshot. */
function sendChunk(state: ConsensusState, peer: Peer, effects: Effects): number {
  if (peer.snapshotTransfer === null) {
    if (state.snapshot === null) return 0;
    peer.snapshotTransfer = { snapshot: state.snapshot, offset: 0 };
  }
  const { snapshot, offset } = peer.snapshotTransfer;
  const data = snapshot.data.subarray(offset, offset + maxChunkBytes);
  const body: MessageBody = {
    type: 'install_snapshot',
    term: state.term,
    lastIncludedIndex: snapshot.index,
    lastIncludedTerm: snapshot.term,
    membership: snapshot.membership,
    totalBytes: snapshot.data.length,
    checksum: snapshot.checksum,
    offset,
    data,
  };
  messaging.send(state, peer.member.id, body, effects, peer.member.addr, data.length);
  return data.length;
}

type InstallSnapshot = MessageOf<'install_snapshot'>;

function respond(
  state: ConsensusState,
  message: InstallSnapshot,
  receivedBytes: number,
  matchIndex: number,
  effects: Effects,
): void {
  const body: MessageBody = {
    type: 'install_snapshot_response',
    term: state.term,
    lastIncludedIndex: message.lastIncludedIndex,
    receivedBytes,
    matchIndex,
  };
  if (matchIndex > 0)
    messaging.sendOnceDurable(state, state.lastWriteToken, message.from, message.fromAddress, body, effects);
  else messaging.send(state, message.from, body, effects, message.fromAddress);
}

/**
 * Adds a chunk, and installs the snapshot once it is complete and its checksum is right. The caller has checked that
 * the sender leads the term. The response tells how many bytes are held, where the next chunk has to begin.
 */
function onInstallSnapshot(state: ConsensusState, message: InstallSnapshot, now: number, effects: Effects): void {
  if (message.lastIncludedIndex <= state.commitIndex) {
    state.incomingSnapshot = null;
    return respond(state, message, message.totalBytes, state.commitIndex, effects);
  }
  const incoming = incomingFor(state, message);
  if (message.offset === incoming.receivedBytes && message.offset + message.data.length <= message.totalBytes) {
    incoming.chunks.push(message.data);
    incoming.receivedBytes += message.data.length;
  }
  if (incoming.receivedBytes < message.totalBytes) return respond(state, message, incoming.receivedBytes, 0, effects);
  state.incomingSnapshot = null;
  const data = Buffer.concat(incoming.chunks);
  if (crc32(data) !== message.checksum || !state.canDecodeSnapshot(data)) return respond(state, message, 0, 0, effects);
  const { lastIncludedIndex: index, lastIncludedTerm: term, membership, checksum } = message;
  install(state, { index, term, membership, data, checksum }, effects);
  persistence.persistHardState(state, now, effects);
  state.unsyncedAppends.push({ token: state.lastWriteToken, lastIndex: raftLog.lastIndex(state) });
  respond(state, message, message.totalBytes, message.lastIncludedIndex, effects);
}

/** The snapshot that is being received; a chunk of another one replaces it. */
function incomingFor(state: ConsensusState, message: InstallSnapshot): IncomingSnapshot {
  const { incomingSnapshot: incoming } = state;
  const isSame =
    incoming !== null &&
    incoming.index === message.lastIncludedIndex &&
    incoming.term === message.lastIncludedTerm &&
    incoming.totalBytes === message.totalBytes;
  if (isSame) return incoming;
  state.incomingSnapshot = {
    index: message.lastIncludedIndex,
    term: message.lastIncludedTerm,
    totalBytes: message.totalBytes,
    receivedBytes: 0,
    chunks: [],
  };
  return state.incomingSnapshot;
}

/** Replaces the log up to the snapshot; entries after it are retained if the log matches it. */
function install(state: ConsensusState, snapshot: StoredSnapshot, effects: Effects): void {
  const { index, term, membership } = snapshot;
  const retainsSuffix = raftLog.termAt(state, index) === term;
  if (retainsSuffix) {
    state.entries = state.entries.slice(index - state.base.index);
  } else {
    state.entries = [];
    state.durableIndex = 0;
    state.unsyncedAppends = [];
  }
  state.base = { index, term, membership };
  state.commitIndex = index;
  state.lastApplied = index;
  state.snapshot = snapshot;
  raftLog.refreshMembership(state);
  effects.push({ type: 'install', snapshot });
  roles.becomePassive(state, effects);
}

export const snapshots = { compact, sendChunk, onInstallSnapshot };
