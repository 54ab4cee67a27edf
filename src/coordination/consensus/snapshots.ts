/**
 * Snapshots: taken by the driver, sent in chunks that resume where the receiver stands, and installed
 * there without losing what it holds behind them. A snapshot whose last entry the receiver's log holds
 * with the same term replaces only the part before it (thesis 5.1, figure 5.3).
 */
import { crc32 } from 'node:zlib';
import { common } from './common.js';
import { log } from './log.js';
import type { ConsensusState, Effects, IncomingSnapshot, Message, Peer, StoredSnapshot } from './types.js';

/** Bytes of a snapshot that one message carries. */
const chunkBytes = 128 * 1024;

/** Entries behind a snapshot's index that stay in memory for peers that lag a little, in bytes. */
const marginBytes = 1024 * 1024;

/** The driver's snapshot of the applied state at `index`; most of the log before it is forgotten. */
function compact(s: ConsensusState, index: number, data: Uint8Array): StoredSnapshot | null {
  const term = log.termAt(s, index);
  const isNewer = s.snapshot === null || index > s.snapshot.index;
  if (!isNewer || index > s.applied || term === null) return null;
  const { membership } = log.membershipAt(s, index);
  s.snapshot = { index, term, membership, data, checksum: crc32(data) };
  moveBase(s, retainedFrom(s, index, data.length));
  return s.snapshot;
}

/**
 * The index behind which entries stay in memory. For peers that are being fed as many more stay as the
 * snapshot has bytes; a peer that lacks more than that is served sooner by the snapshot.
 */
function retainedFrom(s: ConsensusState, index: number, snapshotBytes: number): number {
  const wanted = Math.min(index, ...[...s.peers.values()].map(neededFrom));
  let bytes = 0;
  let from = index;
  while (from > s.base.index) {
    bytes += log.sizeOf(log.entryAt(s, from)!);
    const most = from > wanted ? snapshotBytes + marginBytes : marginBytes;
    if (bytes > most) break;
    from--;
  }
  return from;
}

/** The index behind which a peer that is being fed still needs entries. */
function neededFrom(peer: Peer): number {
  if (peer.transfer !== null) return peer.transfer.snapshot.index;
  return peer.isProbing ? Infinity : peer.matchIndex;
}

function moveBase(s: ConsensusState, index: number): void {
  if (index <= s.base.index) return;
  const { membership } = log.membershipAt(s, index);
  const term = log.termAt(s, index)!;
  s.entries = s.entries.slice(index - s.base.index);
  s.base = { index, term, membership };
  log.refreshMembership(s);
}

/** Sends the next chunk and returns its size in bytes. A transfer that has begun keeps its snapshot. */
function sendChunk(s: ConsensusState, peer: Peer, effects: Effects): number {
  if (peer.transfer === null) {
    if (s.snapshot === null) return 0;
    peer.transfer = { snapshot: s.snapshot, offset: 0 };
  }
  const { snapshot, offset } = peer.transfer;
  const data = snapshot.data.subarray(offset, offset + chunkBytes);
  const body = {
    type: 'snapshot_chunk' as const,
    term: s.term,
    index: snapshot.index,
    snapshotTerm: snapshot.term,
    membership: snapshot.membership,
    total: snapshot.data.length,
    checksum: snapshot.checksum,
    offset,
    data,
  };
  common.send(s, peer.member.id, body, effects, peer.member.addr, data.length);
  return data.length;
}

type Chunk = Message & { type: 'snapshot_chunk' };

function reply(s: ConsensusState, m: Chunk, received: number, matchIndex: number, effects: Effects): void {
  const body = { type: 'snapshot_reply' as const, term: s.term, index: m.index, received, matchIndex };
  if (matchIndex > 0) common.replyOnceKept(s, s.written, m.from, m.fromAddress, body, effects);
  else common.send(s, m.from, body, effects, m.fromAddress);
}

/** Takes a chunk; the caller has made sure that its sender leads the current term. */
function onChunk(s: ConsensusState, m: Chunk, now: number, effects: Effects): void {
  if (m.index <= s.committed) {
    s.incoming = null;
    return reply(s, m, m.total, s.committed, effects);
  }
  const incoming = incomingOf(s, m);
  if (m.offset === incoming.received && m.offset + m.data.length <= m.total) {
    incoming.chunks.push(m.data);
    incoming.received += m.data.length;
  }
  if (incoming.received < m.total) return reply(s, m, incoming.received, 0, effects);
  s.incoming = null;
  const data = Buffer.concat(incoming.chunks);
  if (crc32(data) !== m.checksum || !s.canDecode(data)) return reply(s, m, 0, 0, effects);
  install(s, { index: m.index, term: m.snapshotTerm, membership: m.membership, data, checksum: m.checksum }, effects);
  common.writePromise(s, now, effects);
  s.pendingEntries.push({ token: s.written, lastIndex: log.lastIndex(s) });
  reply(s, m, m.total, m.index, effects);
}

/** The snapshot that is being received; a different one starts anew. */
function incomingOf(s: ConsensusState, m: Chunk): IncomingSnapshot {
  const { incoming } = s;
  const isSame =
    incoming !== null && incoming.index === m.index && incoming.term === m.snapshotTerm && incoming.total === m.total;
  if (isSame) return incoming;
  s.incoming = { index: m.index, term: m.snapshotTerm, total: m.total, received: 0, chunks: [] };
  return s.incoming;
}

function install(s: ConsensusState, snapshot: StoredSnapshot, effects: Effects): void {
  const { index, term, membership } = snapshot;
  const keepsTail = log.termAt(s, index) === term;
  if (keepsTail) {
    s.entries = s.entries.slice(index - s.base.index);
  } else {
    s.entries = [];
    s.durable = 0;
    s.pendingEntries = [];
  }
  s.base = { index, term, membership };
  s.committed = index;
  s.applied = index;
  s.snapshot = snapshot;
  log.refreshMembership(s);
  effects.push({ type: 'install', snapshot });
  common.rest(s, effects);
}

export const snapshots = { compact, sendChunk, onChunk };
