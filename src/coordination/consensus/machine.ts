// The group of coordinators as a pure machine: (state, event, now) -> effects. A majority of the
// roster installs an term by ballot and so elects its leader; the followers trim what the
// leader does not hold and go on in its order. An entry is committed once a majority has synced
// it and it, or an entry behind it, belongs to the running term. Time is the steady clock only.
import type { Member, MemberId } from '../../types.js';
import { log } from './log.js';
import type {
  Body,
  Entry,
  EntryData,
  ConsensusEffect,
  ConsensusEvent,
  ConsensusState,
  Message,
  Peer,
  Phase,
  Record_,
  Timing,
  Snapshot,
} from './types.js';

const batch = 64;

type Start = {
  me: MemberId;
  addr: string;
  control: string;
  timing: Timing;
  seed: number;
  target: number;
  term: number;
  vote: MemberId | null;
  snapshot: Snapshot;
  entries: Entry[];
  now: number;
};

function create(a: Start): ConsensusState {
  const s: ConsensusState = {
    me: a.me,
    addr: a.addr,
    control: a.control,
    timing: a.timing,
    seed: a.seed,
    target: a.target,
    phase: 'learner',
    term: a.term,
    vote: a.vote,
    base: { index: a.snapshot.index, term: a.snapshot.term, members: a.snapshot.members },
    entries: a.entries,
    roster: [],
    rosterAt: 0,
    committed: a.snapshot.index,
    delivered: a.snapshot.index,
    durable: 0,
    written: 0,
    synced: 0,
    writtenAt: a.now,
    waiting: [],
    marks: [],
    leader: null,
    heardAt: a.now,
    silence: 0,
    votes: new Set(),
    ballotAt: a.now,
    peers: new Map(),
    beatNo: 0,
    beatSentAt: new Map(),
    beatAt: 0,
    wonAt: 0,
    joinAt: 0,
    latestSnapshot: a.snapshot,
  };
  log.findRoster(s);
  s.durable = log.last(s);
  s.phase = log.isMember(s, s.me) ? 'follower' : 'learner';
  renewSilence(s);
  return s;
}

function random(s: ConsensusState): number {
  s.seed = (Math.imul(s.seed, 1664525) + 1013904223) >>> 0;
  return s.seed / 4294967296;
}

function renewSilence(s: ConsensusState): void {
  s.silence = s.timing.silenceMs + random(s) * s.timing.spreadMs;
}

function enter(s: ConsensusState, phase: Phase, out: ConsensusEffect[]): void {
  if (s.phase === phase) return;
  const was = s.phase;
  s.phase = phase;
  if (was === 'leader') {
    s.peers.clear();
    s.beatSentAt.clear();
  }
  if (phase === 'leader' || was === 'leader') out.push({ f: 'phase', phase, term: s.term });
}

function rest(s: ConsensusState): Phase {
  return log.isMember(s, s.me) ? 'follower' : 'learner';
}

function write(s: ConsensusState, records: Record_[], now: number, out: ConsensusEffect[]): number {
  if (s.synced === s.written) s.writtenAt = now;
  s.written++;
  out.push({ f: 'write', records: [...records, { r: 'committed', index: s.committed }], token: s.written });
  return s.written;
}

function addrOf(s: ConsensusState, id: MemberId): string | null {
  const p = s.peers.get(id);
  if (p) return p.addr;
  return (
    s.roster.find(function same(m) {
      return m.id === id;
    })?.addr ?? null
  );
}

function send(s: ConsensusState, to: MemberId, body: Body, out: ConsensusEffect[], addr?: string): void {
  const a = addr ?? addrOf(s, to);
  if (a === null || a === undefined) return;
  out.push({ f: 'send', addr: a, message: { ...body, from: s.me, fromAddr: s.addr, to } });
}

function others(s: ConsensusState): Member[] {
  return s.roster.filter(function other(m) {
    return m.id !== s.me;
  });
}

function adopt(s: ConsensusState, term: number, vote: MemberId | null, now: number, out: ConsensusEffect[]): number {
  s.term = term;
  s.vote = vote;
  return write(s, [{ r: 'promise', term, vote }], now, out);
}

function upToDate(s: ConsensusState, last: number, lastTerm: number): boolean {
  const mine = log.termAt(s, log.last(s)) ?? 0;
  return lastTerm > mine || (lastTerm === mine && last >= log.last(s));
}

function heardLately(s: ConsensusState, now: number): boolean {
  if (s.phase === 'leader') return true;
  return now - s.heardAt < s.timing.silenceMs;
}

function canvass(s: ConsensusState, now: number, out: ConsensusEffect[]): void {
  enter(s, 'canvassing', out);
  s.leader = null;
  s.votes = new Set([s.me]);
  s.ballotAt = now;
  renewSilence(s);
  if (s.votes.size >= log.majority(s)) return campaign(s, now, out);
  for (const m of others(s))
    send(
      s,
      m.id,
      { m: 'canvass', term: s.term + 1, last: log.last(s), lastTerm: log.termAt(s, log.last(s)) ?? 0 },
      out,
    );
}

function campaign(s: ConsensusState, now: number, out: ConsensusEffect[]): void {
  enter(s, 'candidate', out);
  s.votes = new Set();
  s.ballotAt = now;
  renewSilence(s);
  const token = adopt(s, s.term + 1, s.me, now, out);
  const ask: Body = { m: 'ballot', term: s.term, last: log.last(s), lastTerm: log.termAt(s, log.last(s)) ?? 0 };
  s.waiting.push({ token, to: s.me, body: { m: 'vote', term: s.term, ok: true } });
  for (const m of others(s)) s.waiting.push({ token, to: m.id, body: ask });
}

function peerOf(s: ConsensusState, m: Member, now: number, joining: boolean): Peer {
  return {
    id: m.id,
    addr: m.addr,
    control: m.control,
    next: log.last(s) + 1,
    match: 0,
    heardAt: now,
    sentAt: 0,
    answered: true,
    ackedSentAt: 0,
    joining,
  };
}

function win(s: ConsensusState, now: number, out: ConsensusEffect[]): void {
  enter(s, 'leader', out);
  s.leader = s.me;
  s.wonAt = now;
  s.peers.clear();
  for (const m of others(s)) s.peers.set(m.id, peerOf(s, m, now, false));
  append(s, { kind: 'opening' }, now, out);
}

function append(s: ConsensusState, data: EntryData, now: number, out: ConsensusEffect[]): Entry {
  const entry: Entry = { index: log.last(s) + 1, term: s.term, data };
  s.entries.push(entry);
  if (data.kind === 'roster') {
    log.findRoster(s);
    syncPeers(s, now);
  }
  const token = write(s, [{ r: 'entry', entry }], now, out);
  s.marks.push({ token, last: entry.index });
  spread(s, now, true, out);
  return entry;
}

function syncPeers(s: ConsensusState, now: number): void {
  for (const m of others(s)) {
    const p = s.peers.get(m.id);
    if (p) p.joining = false;
    else s.peers.set(m.id, peerOf(s, m, now, false));
  }
  for (const p of [...s.peers.values()]) {
    if (!p.joining && !log.isMember(s, p.id)) s.peers.delete(p.id);
  }
}

function spread(s: ConsensusState, now: number, onlyIfFree: boolean, out: ConsensusEffect[]): void {
  for (const p of s.peers.values()) feed(s, p, now, onlyIfFree, out);
}

function feed(s: ConsensusState, p: Peer, now: number, onlyIfFree: boolean, out: ConsensusEffect[]): void {
  if (!p.answered && now - p.sentAt < s.timing.legMs && onlyIfFree) return;
  s.beatNo++;
  s.beatSentAt.set(s.beatNo, now);
  p.sentAt = now;
  p.answered = false;
  if (p.next <= s.base.index && s.latestSnapshot !== null) {
    send(s, p.id, { m: 'snapshot', term: s.term, snapshot: s.latestSnapshot, beat: s.beatNo }, out);
    return;
  }
  const entries = log.from(s, p.next, batch);
  send(
    s,
    p.id,
    {
      m: 'append',
      term: s.term,
      prev: p.next - 1,
      prevTerm: log.termAt(s, p.next - 1) ?? 0,
      entries,
      committed: s.committed,
      beat: s.beatNo,
    },
    out,
  );
}

function commit(s: ConsensusState, now: number, out: ConsensusEffect[]): void {
  const marks = s.roster.map(function mark(m) {
    return m.id === s.me ? s.durable : (s.peers.get(m.id)?.match ?? 0);
  });
  marks.sort(function down(a, b) {
    return b - a;
  });
  const held = marks[log.majority(s) - 1] ?? 0;
  if (held <= s.committed || log.termAt(s, held) !== s.term) return;
  s.committed = held;
  deliver(s, out);
  spread(s, now, true, out);
}

function deliver(s: ConsensusState, out: ConsensusEffect[]): void {
  while (s.delivered < s.committed) {
    const entry = log.at(s, s.delivered + 1);
    if (!entry) return;
    s.delivered++;
    out.push({ f: 'deliver', entry });
  }
}

function follow(s: ConsensusState, m: Message, term: number, now: number, out: ConsensusEffect[]): boolean {
  if (term < s.term) return false;
  if (term > s.term) adopt(s, term, null, now, out);
  s.leader = m.from;
  s.heardAt = now;
  renewSilence(s);
  enter(s, rest(s), out);
  return true;
}

function onAppend(s: ConsensusState, m: Message & { m: 'append' }, now: number, out: ConsensusEffect[]): void {
  if (!follow(s, m, m.term, now, out)) {
    send(s, m.from, { m: 'appended', term: s.term, ok: false, match: 0, beat: m.beat }, out, m.fromAddr);
    return;
  }
  let entries = m.entries;
  let prev = m.prev;
  if (prev < s.base.index) {
    entries = entries.filter(function behind(e) {
      return e.index > s.base.index;
    });
    prev = Math.min(s.base.index, prev + (m.entries.length - entries.length));
    if (entries.length === 0 || entries[0]!.index !== s.base.index + 1) {
      if (m.prev + m.entries.length < s.base.index || entries.length > 0) return answerAppend(s, m, s.base.index, out);
      prev = s.base.index;
      entries = [];
    }
  } else if (log.termAt(s, prev) !== m.prevTerm) {
    send(
      s,
      m.from,
      { m: 'appended', term: s.term, ok: false, match: Math.min(log.last(s), prev - 1), beat: m.beat },
      out,
      m.fromAddr,
    );
    return;
  }
  const fresh: Record_[] = [];
  for (const e of entries) {
    const have = log.termAt(s, e.index);
    if (have === e.term) continue;
    if (have !== null) {
      out.push({ f: 'trim', from: e.index });
      log.trimFrom(s, e.index);
      s.durable = Math.min(s.durable, e.index - 1);
      s.marks = s.marks.filter(function before(k) {
        return k.last < e.index;
      });
    }
    s.entries.push(e);
    fresh.push({ r: 'entry', entry: e });
  }
  const upTo = prev + entries.length;
  if (fresh.length > 0) {
    log.findRoster(s);
    enter(s, rest(s), out);
    const token = write(s, fresh, now, out);
    s.marks.push({ token, last: upTo });
  }
  const may = Math.min(m.committed, upTo);
  if (may > s.committed) {
    s.committed = may;
    deliver(s, out);
  }
  answerAppend(s, m, upTo, out);
}

function answerAppend(s: ConsensusState, m: Message & { beat: number }, upTo: number, out: ConsensusEffect[]): void {
  const body: Body = { m: 'appended', term: s.term, ok: true, match: upTo, beat: m.beat };
  if (s.synced === s.written) send(s, m.from, body, out, m.fromAddr);
  else s.waiting.push({ token: s.written, to: m.from, body });
}

function onSnapshot(s: ConsensusState, m: Message & { m: 'snapshot' }, now: number, out: ConsensusEffect[]): void {
  if (!follow(s, m, m.term, now, out)) return;
  if (m.snapshot.index > s.committed) {
    s.base = { index: m.snapshot.index, term: m.snapshot.term, members: m.snapshot.members };
    s.entries = [];
    s.committed = m.snapshot.index;
    s.delivered = m.snapshot.index;
    s.durable = 0;
    s.marks = [];
    s.latestSnapshot = m.snapshot;
    log.findRoster(s);
    out.push({ f: 'install', snapshot: m.snapshot });
    const token = write(s, [{ r: 'promise', term: s.term, vote: s.vote }], now, out);
    s.marks.push({ token, last: m.snapshot.index });
    enter(s, rest(s), out);
  }
  answerAppend(s, m, Math.min(m.snapshot.index, log.last(s)), out);
}

function onAppended(s: ConsensusState, m: Message & { m: 'appended' }, now: number, out: ConsensusEffect[]): void {
  if (m.term > s.term) {
    adopt(s, m.term, null, now, out);
    enter(s, rest(s), out);
    return;
  }
  if (s.phase !== 'leader' || m.term < s.term) return;
  const p = s.peers.get(m.from);
  if (!p) return;
  p.heardAt = now;
  p.answered = true;
  const sent = s.beatSentAt.get(m.beat);
  if (sent !== undefined) {
    p.ackedSentAt = Math.max(p.ackedSentAt, sent);
    s.beatSentAt.delete(m.beat);
  }
  if (m.ok) {
    p.match = Math.max(p.match, m.match);
    p.next = Math.max(p.next, p.match + 1);
    commit(s, now, out);
  } else {
    p.next = Math.max(1, Math.min(p.next - 1, m.match + 1));
  }
  if (s.phase === 'leader' && s.peers.has(p.id) && p.answered && (p.next <= log.last(s) || !m.ok))
    feed(s, p, now, true, out);
}

function onBallot(s: ConsensusState, m: Message & { m: 'ballot' }, now: number, out: ConsensusEffect[]): void {
  if (m.term <= s.term && !(m.term === s.term && s.vote === m.from)) {
    send(s, m.from, { m: 'vote', term: s.term, ok: false }, out, m.fromAddr);
    return;
  }
  if (!log.isMember(s, s.me) || heardLately(s, now)) return;
  const grant = upToDate(s, m.last, m.lastTerm);
  let token = s.written;
  if (m.term > s.term || s.vote !== m.from) token = adopt(s, m.term, grant ? m.from : null, now, out);
  enter(s, rest(s), out);
  if (grant) s.ballotAt = now;
  const body: Body = { m: 'vote', term: m.term, ok: grant };
  if (s.synced >= token) send(s, m.from, body, out, m.fromAddr);
  else s.waiting.push({ token, to: m.from, body });
}

function onVote(s: ConsensusState, m: Message & { m: 'vote' }, now: number, out: ConsensusEffect[]): void {
  if (m.term > s.term) {
    adopt(s, m.term, null, now, out);
    enter(s, rest(s), out);
    return;
  }
  if (s.phase !== 'candidate' || m.term !== s.term || !m.ok || !log.isMember(s, m.from)) return;
  s.votes.add(m.from);
  if (s.votes.size >= log.majority(s)) win(s, now, out);
}

function onCanvass(s: ConsensusState, m: Message & { m: 'canvass' }, now: number, out: ConsensusEffect[]): void {
  const ok = log.isMember(s, s.me) && m.term > s.term && !heardLately(s, now) && upToDate(s, m.last, m.lastTerm);
  send(s, m.from, { m: 'canvassed', term: ok ? m.term : s.term, ok }, out, m.fromAddr);
}

function onCanvassed(s: ConsensusState, m: Message & { m: 'canvassed' }, now: number, out: ConsensusEffect[]): void {
  if (!m.ok && m.term > s.term) {
    adopt(s, m.term, null, now, out);
    enter(s, rest(s), out);
    return;
  }
  if (s.phase !== 'canvassing' || !m.ok || m.term !== s.term + 1 || !log.isMember(s, m.from)) return;
  s.votes.add(m.from);
  if (s.votes.size >= log.majority(s)) campaign(s, now, out);
}

function onJoin(s: ConsensusState, m: Message & { m: 'join' }, now: number): void {
  if (s.phase !== 'leader' || log.isMember(s, m.from)) return;
  const p = s.peers.get(m.from);
  if (p) {
    p.addr = m.fromAddr;
    p.heardAt = now;
  } else {
    s.peers.set(m.from, peerOf(s, { id: m.from, addr: m.fromAddr, control: m.control }, now, true));
  }
}

function onMessage(s: ConsensusState, m: Message, now: number, out: ConsensusEffect[]): void {
  if (m.to !== s.me && m.m !== 'join') return;
  switch (m.m) {
    case 'append':
      return onAppend(s, m, now, out);
    case 'appended':
      return onAppended(s, m, now, out);
    case 'snapshot':
      return onSnapshot(s, m, now, out);
    case 'ballot':
      return onBallot(s, m, now, out);
    case 'vote':
      return onVote(s, m, now, out);
    case 'canvass':
      return onCanvass(s, m, now, out);
    case 'canvassed':
      return onCanvassed(s, m, now, out);
    case 'join':
      return onJoin(s, m, now);
  }
}

function onSynced(s: ConsensusState, token: number, now: number, out: ConsensusEffect[]): void {
  s.synced = Math.max(s.synced, token);
  s.writtenAt = now;
  let last = 0;
  while (s.marks.length > 0 && s.marks[0]!.token <= s.synced) last = s.marks.shift()!.last;
  if (last > 0) s.durable = Math.max(s.durable, Math.min(last, log.last(s)));
  const due = s.waiting.filter(function ready(w) {
    return w.token <= s.synced;
  });
  s.waiting = s.waiting.filter(function later(w) {
    return w.token > s.synced;
  });
  for (const w of due) {
    if (w.to === s.me) onMessage(s, { ...w.body, from: s.me, fromAddr: s.addr, to: s.me }, now, out);
    else if (stillMeant(s, w.body)) send(s, w.to, w.body, out);
  }
  if (s.phase === 'leader') commit(s, now, out);
}

function stillMeant(s: ConsensusState, b: Body): boolean {
  if (b.m === 'ballot') return s.phase === 'candidate' && b.term === s.term;
  return b.m === 'vote' || b.m === 'appended' ? b.term === s.term : true;
}

function quorumHeardAt(s: ConsensusState, of: (p: Peer) => number, now: number): number {
  const at = s.roster.map(function one(m) {
    return m.id === s.me ? now : (of(s.peers.get(m.id)!) ?? 0);
  });
  at.sort(function down(a, b) {
    return b - a;
  });
  return at[log.majority(s) - 1] ?? 0;
}

function reshape(s: ConsensusState, now: number, out: ConsensusEffect[]): void {
  if (s.rosterAt > s.committed || log.termAt(s, s.committed) !== s.term) return;
  const gone = others(s).find(function silent(m) {
    return now - (s.peers.get(m.id)?.heardAt ?? 0) > s.timing.goneMs;
  });
  for (const p of s.peers.values()) {
    if (!p.joining || now - p.heardAt > s.timing.silenceMs || p.match + batch < s.committed) continue;
    const was = s.roster.find(function same(m) {
      return m.addr === p.addr;
    });
    const members = was
      ? s.roster.filter(function keep(m) {
          return m.id !== was.id;
        })
      : [...s.roster, { id: p.id, addr: p.addr, control: p.control }];
    append(s, { kind: 'roster', members }, now, out);
    return;
  }
  if (gone && s.roster.length > s.target) {
    append(
      s,
      {
        kind: 'roster',
        members: s.roster.filter(function keep(m) {
          return m.id !== gone.id;
        }),
      },
      now,
      out,
    );
  }
}

function onBeat(s: ConsensusState, now: number, out: ConsensusEffect[]): void {
  if (s.phase === 'leader') {
    const stalled = s.synced < s.written && now - s.writtenAt > s.timing.yieldMs;
    const alone =
      now -
        quorumHeardAt(
          s,
          function heard(p) {
            return p.heardAt;
          },
          now,
        ) >
      s.timing.silenceMs;
    if (stalled || alone || !log.isMember(s, s.me)) {
      s.leader = null;
      s.heardAt = now;
      renewSilence(s);
      enter(s, rest(s), out);
      return;
    }
    for (const p of [...s.peers.values()]) if (p.joining && now - p.heardAt > s.timing.goneMs) s.peers.delete(p.id);
    reshape(s, now, out);
    if (now - s.beatAt >= s.timing.beatMs) {
      s.beatAt = now;
      for (const p of s.peers.values()) feed(s, p, now, !p.answered, out);
      for (const [no, at] of s.beatSentAt) if (now - at > s.timing.silenceMs * 4) s.beatSentAt.delete(no);
    }
    return;
  }
  const quiet = now - Math.max(s.heardAt, s.ballotAt) > s.silence;
  const ready = s.synced === s.written || now - s.writtenAt < s.timing.yieldMs;
  if (log.isMember(s, s.me) && quiet && ready) canvass(s, now, out);
}

function step(s: ConsensusState, ev: ConsensusEvent, now: number): ConsensusEffect[] {
  const out: ConsensusEffect[] = [];
  switch (ev.e) {
    case 'beat':
      onBeat(s, now, out);
      break;
    case 'message':
      onMessage(s, ev.message, now, out);
      break;
    case 'synced':
      onSynced(s, ev.token, now, out);
      break;
    case 'propose':
      if (s.phase === 'leader') {
        const entry = append(s, { kind: 'order', command: ev.command }, now, out);
        out.push({ f: 'proposed', index: entry.index, term: entry.term });
      }
      break;
    case 'compact':
      if (ev.snapshot.index > s.base.index && ev.snapshot.index <= s.committed) {
        s.entries = s.entries.slice(ev.snapshot.index - s.base.index);
        s.base = { index: ev.snapshot.index, term: ev.snapshot.term, members: ev.snapshot.members };
        s.latestSnapshot = ev.snapshot;
        log.findRoster(s);
      }
      break;
  }
  return out;
}

// Until when the leader may act alone: while a majority that answered its beat still holds off
// every other candidate. Followers hold off for silenceMs from the time they heard the beat, which
// is not before it was sent.
function holdsUntil(s: ConsensusState, now: number): number {
  if (s.phase !== 'leader') return 0;
  return (
    quorumHeardAt(
      s,
      function acked(p) {
        return p.ackedSentAt;
      },
      now,
    ) + s.timing.silenceMs
  );
}

// A read is sure once a majority has answered a beat that was sent after the read came in.
function sureSince(s: ConsensusState, now: number): number {
  if (s.phase !== 'leader' || log.termAt(s, s.committed) !== s.term) return 0;
  return quorumHeardAt(
    s,
    function acked(p) {
      return p.ackedSentAt;
    },
    now,
  );
}

function membersAt(s: ConsensusState, index: number): Member[] {
  for (let i = index; i > s.base.index; i--) {
    const e = log.at(s, i);
    if (e?.data.kind === 'roster') return e.data.members;
  }
  return s.base.members;
}

export const consensus = { create, step, holdsUntil, sureSince, membersAt };
