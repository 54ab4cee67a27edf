// The vocabulary of the group machine: what it holds, what may happen to it and what it asks its
// driver to do. Terms are numbered ballots; the leader is the one member that won an term.
import type { Member, MemberId } from '../../types.js';

export type Entry = { index: number; term: number; data: EntryData };
export type EntryData =
  { kind: 'opening' } | { kind: 'roster'; members: Member[] } | { kind: 'order'; command: unknown };

export type Record_ =
  | { r: 'promise'; term: number; vote: MemberId | null }
  | { r: 'entry'; entry: Entry }
  | { r: 'committed'; index: number };

export type Snapshot = { index: number; term: number; members: Member[]; state: unknown };

export type Message = { from: MemberId; fromAddr: string; to: MemberId } & (
  | { m: 'canvass'; term: number; last: number; lastTerm: number }
  | { m: 'canvassed'; term: number; ok: boolean }
  | { m: 'ballot'; term: number; last: number; lastTerm: number }
  | { m: 'vote'; term: number; ok: boolean }
  | { m: 'append'; term: number; prev: number; prevTerm: number; entries: Entry[]; committed: number; beat: number }
  | { m: 'appended'; term: number; ok: boolean; match: number; beat: number }
  | { m: 'snapshot'; term: number; snapshot: Snapshot; beat: number }
  | { m: 'join'; control: string }
);
export type Body = Message extends infer T ? (T extends Message ? Omit<T, 'from' | 'fromAddr' | 'to'> : never) : never;

export type Phase = 'learner' | 'follower' | 'canvassing' | 'candidate' | 'leader';

export type Peer = {
  id: MemberId;
  addr: string;
  control: string;
  next: number;
  match: number;
  heardAt: number;
  sentAt: number;
  answered: boolean;
  ackedSentAt: number;
  joining: boolean;
};

export type Timing = {
  beatMs: number;
  silenceMs: number;
  spreadMs: number;
  legMs: number;
  goneMs: number;
  yieldMs: number;
};

export type ConsensusState = {
  me: MemberId;
  addr: string;
  control: string;
  timing: Timing;
  seed: number;
  target: number;
  phase: Phase;
  term: number;
  vote: MemberId | null;
  base: { index: number; term: number; members: Member[] };
  entries: Entry[];
  roster: Member[];
  rosterAt: number;
  committed: number;
  delivered: number;
  durable: number;
  written: number;
  synced: number;
  writtenAt: number;
  waiting: { token: number; to: MemberId; body: Body }[];
  marks: { token: number; last: number }[];
  leader: MemberId | null;
  heardAt: number;
  silence: number;
  votes: Set<MemberId>;
  ballotAt: number;
  peers: Map<MemberId, Peer>;
  beatNo: number;
  beatSentAt: Map<number, number>;
  beatAt: number;
  wonAt: number;
  joinAt: number;
  latestSnapshot: Snapshot | null;
};

export type ConsensusEvent =
  | { e: 'beat' }
  | { e: 'message'; message: Message }
  | { e: 'synced'; token: number }
  | { e: 'propose'; command: unknown }
  | { e: 'compact'; snapshot: Snapshot };

export type ConsensusEffect =
  | { f: 'send'; message: Message; addr: string }
  | { f: 'write'; records: Record_[]; token: number }
  | { f: 'install'; snapshot: Snapshot }
  | { f: 'deliver'; entry: Entry }
  | { f: 'trim'; from: number }
  | { f: 'phase'; phase: Phase; term: number }
  | { f: 'proposed'; index: number; term: number };
