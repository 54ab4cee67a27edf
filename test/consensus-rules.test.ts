// Single rules of the group machine, each on a hand-made situation that luck seldom makes: what counts
// as committed, who gets a vote, and how long a leader's hold lasts.
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import { consensus } from '../src/coordination/consensus/machine.js';
import type {
  Body,
  Entry,
  ConsensusEffect,
  ConsensusState,
  Message,
  Snapshot,
} from '../src/coordination/consensus/types.js';
import { timing } from './sim/world.js';

const members = ['a', 'b', 'c'].map(function one(x) {
  return { id: `${x}#first`, addr: x, control: x };
});
const snapshot: Snapshot = { index: 0, term: 0, members, state: null };

function entry(index: number, term: number): Entry {
  return { index, term, data: { kind: 'order', command: index } };
}

function machine(me: string, term: number, entries: Entry[], now = 0): ConsensusState {
  return consensus.create({
    me: `${me}#first`,
    addr: me,
    control: me,
    timing,
    seed: 1,
    target: 3,
    term,
    vote: null,
    snapshot,
    entries,
    now,
  });
}

function from(x: string, body: Body): Message {
  return { ...body, from: `${x}#first`, fromAddr: x, to: 'a#first' };
}

function syncAll(s: ConsensusState, now: number): ConsensusEffect[] {
  return consensus.step(s, { e: 'synced', token: s.written }, now);
}

function sent(out: ConsensusEffect[], m: Body['m']): Message[] {
  return out.flatMap(function one(f) {
    return f.f === 'send' && f.message.m === m ? [f.message] : [];
  });
}

function elected(entries: Entry[]): ConsensusState {
  const s = machine('a', 3, entries);
  const asked = consensus.step(s, { e: 'beat' }, 2000);
  assert.equal(sent(asked, 'canvass').length, 2);
  consensus.step(s, { e: 'message', message: from('b', { m: 'canvassed', term: 4, ok: true }) }, 2001);
  assert.equal(s.phase, 'candidate');
  assert.equal(sent(syncAll(s, 2002), 'ballot').length, 2, 'a ballot goes out only once the promise is synced');
  consensus.step(s, { e: 'message', message: from('b', { m: 'vote', term: 4, ok: true }) }, 2003);
  assert.equal(s.phase, 'leader');
  return s;
}

test('an entry of an older term is not committed by counting who holds it', function run() {
  const s = elected([entry(1, 2)]);
  syncAll(s, 2004);
  consensus.step(
    s,
    { e: 'message', message: from('b', { m: 'appended', term: 4, ok: true, match: 1, beat: 0 }) },
    2005,
  );
  assert.equal(s.committed, 0);
  consensus.step(
    s,
    { e: 'message', message: from('b', { m: 'appended', term: 4, ok: true, match: 2, beat: 0 }) },
    2006,
  );
  assert.equal(s.committed, 2);
});

test('what the leader has not synced itself counts for nothing of its own', function run() {
  const s = elected([]);
  consensus.step(
    s,
    { e: 'message', message: from('b', { m: 'appended', term: 4, ok: true, match: 1, beat: 0 }) },
    2005,
  );
  assert.equal(s.committed, 0, 'one of three');
  syncAll(s, 2006);
  assert.equal(s.committed, 1);
});

test('a vote is not given to a log that lacks what is held here', function run() {
  const s = machine('a', 3, [entry(1, 2), entry(2, 3)]);
  for (const [last, lastTerm, ok] of [
    [1, 2, false],
    [9, 2, false],
    [1, 3, false],
    [2, 3, true],
  ] as const) {
    const fresh = machine('a', 3, [entry(1, 2), entry(2, 3)]);
    consensus.step(fresh, { e: 'message', message: from('b', { m: 'ballot', term: 4, last, lastTerm }) }, 5000);
    assert.deepEqual(
      sent(syncAll(fresh, 5001), 'vote').map(function given(v) {
        return (v as { ok: boolean }).ok;
      }),
      [ok],
      `log up to ${last} of term ${lastTerm}`,
    );
    const canvassed = sent(
      consensus.step(s, { e: 'message', message: from('b', { m: 'canvass', term: 4, last, lastTerm }) }, 5000),
      'canvassed',
    );
    assert.equal((canvassed[0] as { ok: boolean }).ok, ok);
  }
});

test('one vote an term, and none before its promise is synced', function run() {
  const s = machine('a', 3, []);
  const first = consensus.step(
    s,
    { e: 'message', message: from('b', { m: 'ballot', term: 4, last: 0, lastTerm: 0 }) },
    5000,
  );
  assert.equal(sent(first, 'vote').length, 0);
  assert.equal((sent(syncAll(s, 5001), 'vote')[0] as { ok: boolean }).ok, true);
  const second = consensus.step(
    s,
    { e: 'message', message: from('c', { m: 'ballot', term: 4, last: 9, lastTerm: 3 }) },
    9000,
  );
  assert.equal((sent(second, 'vote')[0] as { ok: boolean }).ok, false);
});

test('who hears a leader, or has just started, gives no vote', function run() {
  const s = machine('a', 3, [], 4000);
  const ballot = from('c', { m: 'ballot', term: 9, last: 9, lastTerm: 8 });
  assert.deepEqual(consensus.step(s, { e: 'message', message: ballot }, 4100), [], 'just started');
  consensus.step(
    s,
    {
      e: 'message',
      message: from('b', { m: 'append', term: 4, prev: 0, prevTerm: 0, entries: [], committed: 0, beat: 1 }),
    },
    6000,
  );
  assert.deepEqual(consensus.step(s, { e: 'message', message: ballot }, 6600), [], 'heard one');
  assert.equal(s.term, 4);
  consensus.step(s, { e: 'message', message: ballot }, 6000 + timing.silenceMs + 1);
  assert.equal(s.term, 9);
});

test('the hold counts from when an answered beat was sent, and ends by itself', function run() {
  const s = elected([]);
  syncAll(s, 2004);
  assert.ok(consensus.holdsUntil(s, 2004) <= timing.silenceMs, 'nothing answered yet');
  const [beat] = sent(consensus.step(s, { e: 'beat' }, 2450), 'append') as { beat: number; to: string }[];
  const sentAt = s.beatSentAt.get(beat!.beat)!;
  const x = beat!.to.split('#')[0]!;
  consensus.step(
    s,
    { e: 'message', message: from(x, { m: 'appended', term: 4, ok: true, match: 1, beat: beat!.beat }) },
    2700,
  );
  assert.equal(consensus.holdsUntil(s, 2700), sentAt + timing.silenceMs);
  consensus.step(s, { e: 'beat' }, 2700 + timing.silenceMs + 1);
  assert.equal(s.phase, 'follower');
  assert.equal(consensus.holdsUntil(s, 4000), 0);
});

test('a follower trims what the leader does not hold, and nothing that it does', function run() {
  const s = machine('a', 3, [entry(1, 2), entry(2, 2), entry(3, 2)]);
  const out = consensus.step(
    s,
    {
      e: 'message',
      message: from('b', {
        m: 'append',
        term: 4,
        prev: 1,
        prevTerm: 2,
        entries: [entry(2, 4)],
        committed: 1,
        beat: 1,
      }),
    },
    100,
  );
  assert.ok(
    out.some(function trim(f) {
      return f.f === 'trim' && f.from === 2;
    }),
  );
  assert.deepEqual(
    s.entries.map(function at(e) {
      return [e.index, e.term];
    }),
    [
      [1, 2],
      [2, 4],
    ],
  );
  consensus.step(
    s,
    {
      e: 'message',
      message: from('b', {
        m: 'append',
        term: 4,
        prev: 0,
        prevTerm: 0,
        entries: [entry(1, 2)],
        committed: 1,
        beat: 2,
      }),
    },
    110,
  );
  assert.equal(s.entries.length, 2, 'an old message trims nothing');
});
