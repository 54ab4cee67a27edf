// Keeps the group's records on disk: an append-only log in segments, each record framed with its
// checksum, and snapshots beside it. Writes are batched and one at a time; a batch counts as kept only
// when its sync has come back. After a refused write the batch is written again to a new segment.
import { EventEmitter } from 'node:events';
import { mkdirSync } from 'node:fs';
import { open, readdir, rename, unlink, type FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import PQueue from 'p-queue';
import type { Entry, Record_, Snapshot } from '../../coordination/consensus/types.js';
import { records } from './records.js';
import { recovery, type SegmentHead } from './recover.js';

type Job = { buf: Buffer; token: number; last: number };
type Tail = { term: number; vote: string | null; entries: Entry[] };
type NextSnapshot = { snapshot: Snapshot; tail: () => Tail; installed: boolean };
export type Store = EventEmitter & {
  dir: string;
  me: string;
  file: FileHandle | null;
  segment: number;
  queue: PQueue;
  jobs: Job[];
  snapshot: NextSnapshot | null;
  bytes: number;
  kept: number;
  promised: { term: number; vote: string | null };
  failing: boolean;
  closed: boolean;
};

const again = 250;

function create(dir: string, me: string, nextSegment: number, kept: number, term: number, vote: string | null): Store {
  mkdirSync(dir, { recursive: true });
  return Object.assign(new EventEmitter(), {
    dir,
    me,
    file: null,
    segment: nextSegment,
    queue: new PQueue({ concurrency: 1 }),
    jobs: [],
    snapshot: null,
    bytes: 0,
    kept,
    promised: { term, vote },
    failing: false,
    closed: false,
  });
}

function headOf(s: Store): Buffer {
  const h: SegmentHead = {
    r: 'head',
    me: s.me,
    after: s.kept,
    term: s.promised.term,
    vote: s.promised.vote,
    reset: false,
  };
  return records.frame(h);
}

async function openSegment(s: Store): Promise<FileHandle> {
  const file = await open(join(s.dir, `segment-${s.segment}`), 'w');
  s.segment++;
  s.file = file;
  s.bytes = 0;
  return file;
}

async function syncFolder(dir: string): Promise<void> {
  const d = await open(dir, 'r');
  try {
    await d.sync();
  } finally {
    await d.close();
  }
}

function schedule(s: Store): void {
  if (s.queue.size === 0)
    void s.queue.add(function run() {
      return flush(s);
    });
}

async function flush(s: Store): Promise<void> {
  if (s.closed) return;
  if (s.snapshot) {
    const next = s.snapshot;
    try {
      await putSnapshot(s, next);
      if (s.snapshot === next) s.snapshot = null;
      if (next.installed) s.kept = next.snapshot.index;
    } catch (err) {
      return refused(s, err as Error);
    }
  }
  if (s.jobs.length === 0) return;
  const batch = s.jobs;
  s.jobs = [];
  try {
    const bufs = batch.map(function body(j) {
      return j.buf;
    });
    if (!s.file) {
      bufs.unshift(headOf(s));
      await openSegment(s);
    }
    const all = Buffer.concat(bufs);
    await s.file!.writeFile(all);
    await s.file!.datasync();
    s.bytes += all.length;
    settle(s, batch);
  } catch (err) {
    s.jobs = [...batch, ...s.jobs];
    await refused(s, err as Error);
  }
}

function settle(s: Store, batch: Job[]): void {
  s.failing = false;
  let token = 0;
  for (const j of batch) {
    token = Math.max(token, j.token);
    if (j.last > 0) s.kept = j.last;
  }
  if (token > 0) s.emit('synced', token);
}

async function refused(s: Store, err: Error): Promise<void> {
  s.failing = true;
  s.emit('error', err);
  const old = s.file;
  s.file = null;
  if (old)
    await old.close().catch(function ignore() {
      /* the file is given up */
    });
  setTimeout(function retry() {
    schedule(s);
  }, again).unref();
}

function write(s: Store, list: Record_[], token: number): void {
  let last = 0;
  for (const r of list) {
    if (r.r === 'entry') last = r.entry.index;
    else if (r.r === 'promise') s.promised = { term: r.term, vote: r.vote };
  }
  s.jobs.push({ buf: Buffer.concat(list.map(records.frame)), token, last });
  schedule(s);
}

async function putSnapshot(s: Store, next: NextSnapshot): Promise<void> {
  const tmp = join(s.dir, 'snapshot.tmp');
  const f = await open(tmp, 'w');
  try {
    await f.writeFile(records.frame(next.snapshot));
    await f.sync();
  } finally {
    await f.close();
  }
  await rename(tmp, join(s.dir, `snapshot-${next.snapshot.index}`));
  await syncFolder(s.dir);
  const old = s.file;
  s.file = null;
  if (old) await old.close();
  const first = s.segment;
  const tail = next.tail();
  const head: SegmentHead = {
    r: 'head',
    me: s.me,
    after: next.snapshot.index,
    term: tail.term,
    vote: tail.vote,
    reset: next.installed,
  };
  const file = await openSegment(s);
  const held = tail.entries.map(function one(entry) {
    return records.frame({ r: 'entry', entry });
  });
  await file.writeFile(Buffer.concat([records.frame(head), ...held]));
  await file.sync();
  await sweep(s, next.snapshot.index, first);
}

async function sweep(s: Store, snapshot: number, firstSegment: number): Promise<void> {
  const names = await readdir(s.dir);
  for (const f of recovery.numbered(names, 'segment')) if (f.no < firstSegment) await unlink(join(s.dir, f.name));
  for (const f of recovery.numbered(names, 'snapshot')) if (f.no < snapshot) await unlink(join(s.dir, f.name));
  await syncFolder(s.dir);
}

// The tail is asked for when the snapshot is written, not when it is taken: entries that reach the old
// segment in between must stand in the new one before the old one goes.
function keepSnapshot(s: Store, snapshot: Snapshot, tail: () => Tail, installed: boolean): void {
  s.snapshot = { snapshot, tail, installed };
  schedule(s);
}

async function close(s: Store): Promise<void> {
  s.closed = true;
  await s.queue.onIdle();
  await s.file?.close();
  s.file = null;
}

export const store = { create, write, keepSnapshot, close };
