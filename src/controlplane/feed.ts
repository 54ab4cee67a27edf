// The exchange between sites and the sequencer: a site tells its burden, what it sent where, and its
// counts; it is told the burden of the other sites, what is kept where, and the hot set. All of it is
// advisory: a site without it chooses by what it knows itself.
import { groupDriver } from '../coordination/group/driver.js';
import { tracker, type Tracker } from '../coordination/tracking/coordinator.js';
import { jury, type Bench, type Jury } from '../coordination/soundness/jury.js';
import { keptIndex, type KeptIndex } from '../state/index/kept.js';
import { sums, type Sums } from '../state/burden/sums.js';
import type { FeedAnswer, FeedCall } from '../types.js';
import type { Coordinator } from './parts.js';
import { sessions } from './sessions.js';

const leastBeatMs = 20;
const longestBeatMs = 250;
const beatMsPerSite = 1.5;
const standsMs = 2500;
const mostChanges = 4000;
const mostTotal = 50_000;
const gatherMs = 1500;
const trackMs = 100;

type Waiter = { call: FeedCall; answer: () => void };
export type FeedState = {
  epoch: number; index: KeptIndex; tracker: Tracker; sums: Sums; jury: Jury; k: number; beatMs: number;
  waiters: Set<Waiter>; hot: [string, number, number][]; hotKeys: string; hotSeq: number;
};

const states = new WeakMap<Coordinator, FeedState>();

function state(c: Coordinator): FeedState {
  let s = states.get(c);
  const epoch = c.group.machine.epoch;
  if (!s || s.epoch !== epoch) {
    for (const w of s?.waiters ?? []) w.answer();
    s = {
      epoch, index: keptIndex.create(c.tuning.movedTokens, mostChanges),
      tracker: tracker.create(c.tuning.epsilon, c.tuning.phi, mostTotal, gatherMs),
      sums: sums.create(), jury: jury.create(), k: sessions.count(c), beatMs: leastBeatMs, waiters: new Set(), hot: [], hotKeys: '', hotSeq: 0,
    };
    states.set(c, s);
  }
  return s;
}

function due(s: FeedState, call: FeedCall): boolean {
  return call.since[0] !== s.epoch || keptIndex.last(s.index) > call.since[1] || s.sums.revision > call.burdenSeen || s.hotSeq > call.hotSeq || s.jury.seq !== call.verdictSeq;
}

function burdensOf(s: FeedState, call: FeedCall): FeedAnswer['burdens'] {
  const told = sums.since(s.sums, call.since[0] === s.epoch ? call.burdenSeen : 0);
  return { ...told, shownNo: sums.shownNo(s.sums, call.site, call.life) };
}

// A call without a hold only reports: it is answered with what says that the report was taken.
function answerOf(s: FeedState, call: FeedCall, known: boolean): FeedAnswer {
  const t = s.tracker;
  const isReport = call.hold === 0;
  const fresh = isReport ? [] : call.since[0] === s.epoch ? keptIndex.since(s.index, call.since[1]) : null;
  return {
    epoch: s.epoch, at: isReport ? call.since[1] : keptIndex.last(s.index), whole: fresh === null, changes: fresh ?? keptIndex.all(s.index),
    burdens: isReport ? null : burdensOf(s, call), beatMs: s.beatMs,
    verdicts: !isReport && (s.jury.seq !== call.verdictSeq || call.since[0] !== s.epoch) ? { seq: s.jury.seq, rows: jury.verdicts(s.jury) } : null, taken: call.report?.seq ?? 0, known,
    tracking: { k: s.k, total: t.total, gather: t.gather, era: t.era, hotSeq: s.hotSeq, hot: !isReport && (s.hotSeq > call.hotSeq || call.since[0] !== s.epoch) ? s.hot : null },
  };
}

// Answers all who wait for what is there now; run once per beat, so that however many sites report,
// each is answered at most once a beat.
function wake(s: FeedState): void {
  for (const w of [...s.waiters]) {
    if (!due(s, w.call)) continue;
    s.waiters.delete(w);
    w.answer();
  }
}

function take(s: FeedState, call: FeedCall): boolean {
  sums.report(s.sums, call.site, call.life, call.burdenNo, call.burden, call.unsound, performance.now());
  jury.hear(s.jury, call.site, call.outcomes, performance.now());
  for (const [salt, part, tokens, place] of call.held) keptIndex.announce(s.index, place, salt, part, tokens);
  return call.report ? tracker.take(s.tracker, call.life, call.site, call.report, s.k).known : true;
}

function call(c: Coordinator, f: FeedCall): Promise<FeedAnswer> | FeedAnswer | null {
  if (!groupDriver.isSequencer(c.group)) return null;
  const s = state(c);
  const known = take(s, f);
  if (f.hold === 0 || f.since[0] !== s.epoch) return answerOf(s, f, known);
  return new Promise(function run(done) {
    const w: Waiter = {
      call: f,
      answer: function answer() {
        clearTimeout(timer);
        done(answerOf(s, f, known));
      },
    };
    const timer = setTimeout(function over() {
      s.waiters.delete(w);
      w.answer();
    }, f.hold);
    s.waiters.add(w);
  });
}

function retired(c: Coordinator): (x: string) => boolean {
  const { weights } = c.group.state;
  return function isRetired(x) {
    const [, model, revision] = x.split(' ')[0]!.split('/');
    return model !== undefined && Number(revision) < (weights[model] ?? 0) - 1;
  };
}

function beat(c: Coordinator): void {
  if (!groupDriver.isSequencer(c.group)) {
    const s = states.get(c);
    if (s) for (const w of s.waiters) w.answer();
    states.delete(c);
    return;
  }
  const s = state(c);
  s.k = sessions.count(c);
  s.beatMs = beatOf(s.k);
  tracker.beat(s.tracker, new Set(sessions.all(c).values()), performance.now());
  tracker.retire(s.tracker, retired(c));
  const hot = tracker.hot(s.tracker).map(function row(h): [string, number, number] { return [h.x, Math.round(h.share * 1e6) / 1e6, h.tokens]; });
  const keys = hot.map(function key(h) { return h[0]; }).sort().join('\n');
  if (keys !== s.hotKeys) {
    s.hotKeys = keys;
    s.hot = hot;
    s.hotSeq++;
  }
}

// The sequencer's answers a second stay the same however many sites there are: the beat grows with them.
function beatOf(sites: number): number {
  return Math.min(longestBeatMs, Math.max(leastBeatMs, sites * beatMsPerSite));
}

// Whom the jury judges, and who may try an unsound runner.
function benchOf(c: Coordinator, s: FeedState): Bench {
  const serving = (c.board.runners ?? []).filter(function serves(r) { return !r.draining; });
  return { runners: new Map(serving.map(function pair(r) { return [r.id, r.service] as const; })), sites: [...s.sums.sites.keys()] };
}

function turn(c: Coordinator): void {
  const s = states.get(c);
  if (s && groupDriver.isSequencer(c.group) && s.epoch === c.group.machine.epoch) {
    const now = performance.now();
    sums.beat(s.sums, standsMs, now);
    jury.beat(s.jury, benchOf(c, s), now);
    wake(s);
  }
  setTimeout(function next() { turn(c); }, s?.beatMs ?? trackMs);
}

function start(c: Coordinator): NodeJS.Timeout {
  turn(c);
  return setInterval(function tick() { beat(c); }, trackMs);
}

// How many sites find a runner unsound.
function unsoundAt(s: FeedState, id: string): number {
  let n = 0;
  for (const b of s.sums.sites.values()) if (b.unsound.includes(id)) n++;
  return n;
}

export const feed = { call, start, state, unsoundAt, beatOf };
