// The vocabulary of the group machine: what it holds, what may happen to it and what it asks its
// driver to do. Epochs are numbered ballots; the sequencer is the one member that won an epoch.
import type { Member, MemberId } from '../../types.js';

export type Entry = { index: number; epoch: number; data: EntryData };
export type EntryData =
  { kind: 'opening' } | { kind: 'roster'; members: Member[] } | { kind: 'order'; command: unknown };

export type Record_ =
  | { r: 'promise'; epoch: number; vote: MemberId | null }
  | { r: 'entry'; entry: Entry }
  | { r: 'committed'; index: number };

export type View = { index: number; epoch: number; members: Member[]; state: unknown };

export type Message = { from: MemberId; fromAddr: string; to: MemberId } & (
  | { m: 'canvass'; epoch: number; last: number; lastEpoch: number }
  | { m: 'canvassed'; epoch: number; ok: boolean }
  | { m: 'ballot'; epoch: number; last: number; lastEpoch: number }
  | { m: 'vote'; epoch: number; ok: boolean }
  | { m: 'append'; epoch: number; prev: number; prevEpoch: number; entries: Entry[]; committed: number; beat: number }
  | { m: 'appended'; epoch: number; ok: boolean; match: number; beat: number }
  | { m: 'view'; epoch: number; view: View; beat: number }
  | { m: 'join'; control: string }
);
export type Body = Message extends infer T ? (T extends Message ? Omit<T, 'from' | 'fromAddr' | 'to'> : never) : never;

export type Phase = 'learner' | 'follower' | 'canvassing' | 'candidate' | 'sequencer';

export type Partner = {
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

export type GroupState = {
  me: MemberId;
  addr: string;
  control: string;
  timing: Timing;
  seed: number;
  target: number;
  phase: Phase;
  epoch: number;
  vote: MemberId | null;
  base: { index: number; epoch: number; members: Member[] };
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
  sequencer: MemberId | null;
  heardAt: number;
  silence: number;
  votes: Set<MemberId>;
  ballotAt: number;
  partners: Map<MemberId, Partner>;
  beatNo: number;
  beatSentAt: Map<number, number>;
  beatAt: number;
  wonAt: number;
  joinAt: number;
  latestView: View | null;
};

export type GroupEvent =
  | { e: 'beat' }
  | { e: 'message'; message: Message }
  | { e: 'synced'; token: number }
  | { e: 'propose'; command: unknown }
  | { e: 'compact'; view: View };

export type GroupEffect =
  | { f: 'send'; message: Message; addr: string }
  | { f: 'write'; records: Record_[]; token: number }
  | { f: 'install'; view: View }
  | { f: 'deliver'; entry: Entry }
  | { f: 'trim'; from: number }
  | { f: 'phase'; phase: Phase; epoch: number }
  | { f: 'proposed'; index: number; epoch: number };
