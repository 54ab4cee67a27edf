// The exchange between sites and the sequencer: a site tells its burden, what it sent where, and its
// counts; it is told the burden of the other sites, what is kept where, and the hot set. All of it is
// advisory: a site without it chooses by what it knows itself.
import { groupDriver } from '../coordination/group/driver.js';
import { tracker, type Tracker } from '../coordination/tracking/coordinator.js';
import { keptIndex, type KeptIndex } from '../state/index/kept.js';
import type { BurdenRow, FeedAnswer, FeedCall } from '../types.js';
import type { Coordinator } from './parts.js';
import { sessions } from './sessions.js';

const coalesceMs = 20;
const standsMs = 2500;
const mostChanges = 4000;
const mostTotal = 50_000;
const gatherMs = 1500;
const beatMs = 100;

type SiteBurden = { at: number; told: number; list: BurdenRow[]; unsound: string[] };
type Waiter = { call: FeedCall; from: number; answer: () => void };
export type FeedState = {
  epoch: number; index: KeptIndex; tracker: Tracker; burdens: Map<string, SiteBurden>; told: number;
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
      burdens: new Map(), told: 0, waiters: new Set(), hot: [], hotKeys: '', hotSeq: 0,
    };
    states.set(c, s);
  }
  return s;
}

function othersTold(s: FeedState, site: string): number {
  return s.told - (s.burdens.get(site)?.told ?? 0);
}

function othersBurden(s: FeedState, site: string): BurdenRow[] {
  const now = performance.now();
  const sum = new Map<string, BurdenRow>();
  for (const [name, b] of s.burdens) {
    if (name === site || now - b.at > standsMs) continue;
    for (const [id, active, reading, claimed] of b.list) {
      const one = sum.get(id);
      if (one) {
        one[1] += active;
        one[2] += reading;
        one[3] += claimed;
      } else sum.set(id, [id, active, reading, claimed]);
    }
  }
  return [...sum.values()];
}

function due(s: FeedState, call: FeedCall): boolean {
  return call.since[0] !== s.epoch || keptIndex.last(s.index) > call.since[1] || othersTold(s, call.site) !== call.seen || s.hotSeq > call.hotSeq;
}

function answerOf(c: Coordinator, s: FeedState, call: FeedCall, known: boolean): FeedAnswer {
  const fresh = call.hold === 0 ? [] : call.since[0] === s.epoch ? keptIndex.since(s.index, call.since[1]) : null;
  const t = s.tracker;
  return {
    epoch: s.epoch, at: call.hold === 0 ? call.since[1] : keptIndex.last(s.index), whole: fresh === null, changes: fresh ?? keptIndex.all(s.index),
    seen: othersTold(s, call.site), burdens: othersBurden(s, call.site), taken: call.report?.seq ?? 0, known,
    tracking: { k: sessions.count(c), total: t.total, gather: t.gather, era: t.era, hotSeq: s.hotSeq, hot: s.hotSeq > call.hotSeq || call.since[0] !== s.epoch ? s.hot : null },
  };
}

function wake(s: FeedState): void {
  const now = performance.now();
  for (const w of [...s.waiters]) {
    if (!due(s, w.call)) continue;
    const wait = coalesceMs - (now - w.from);
    s.waiters.delete(w);
    if (wait <= 0) w.answer();
    else setTimeout(w.answer, wait);
  }
}

function take(c: Coordinator, s: FeedState, call: FeedCall): boolean {
  const now = performance.now();
  let known = true;
  if (call.burden) {
    const was = s.burdens.get(call.site);
    if (!was || JSON.stringify(was.list) !== JSON.stringify(call.burden)) {
      s.told++;
      s.burdens.set(call.site, { at: now, told: (was?.told ?? 0) + 1, list: call.burden, unsound: call.unsound });
    } else {
      was.at = now;
      was.unsound = call.unsound;
    }
  }
  for (const [salt, part, tokens, place] of call.held) keptIndex.announce(s.index, place, salt, part, tokens);
  if (call.report) known = tracker.take(s.tracker, call.life, call.site, call.report, sessions.count(c)).known;
  if (call.held.length > 0 || call.burden) wake(s);
  return known;
}

function call(c: Coordinator, f: FeedCall): Promise<FeedAnswer> | FeedAnswer | null {
  if (!groupDriver.isSequencer(c.group)) return null;
  const s = state(c);
  const known = take(c, s, f);
  if (f.hold === 0) return answerOf(c, s, f, known);
  return new Promise(function run(done) {
    const w: Waiter = {
      call: f, from: performance.now(),
      answer: function answer() {
        clearTimeout(timer);
        done(answerOf(c, s, f, known));
      },
    };
    const timer = setTimeout(function over() {
      s.waiters.delete(w);
      w.answer();
    }, f.hold);
    s.waiters.add(w);
    if (due(s, f)) wake(s);
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
  tracker.beat(s.tracker, new Set(sessions.all(c).values()), performance.now());
  tracker.retire(s.tracker, retired(c));
  const hot = tracker.hot(s.tracker).map(function row(h): [string, number, number] { return [h.x, Math.round(h.share * 1e6) / 1e6, h.tokens]; });
  const keys = hot.map(function key(h) { return h[0]; }).sort().join('\n');
  if (keys !== s.hotKeys) {
    s.hotKeys = keys;
    s.hot = hot;
    s.hotSeq++;
    wake(s);
  }
}

function start(c: Coordinator): NodeJS.Timeout {
  return setInterval(function tick() { beat(c); }, beatMs);
}

// How many sites find a runner unsound.
function unsoundAt(s: FeedState, id: string): number {
  let n = 0;
  for (const b of s.burdens.values()) if (performance.now() - b.at <= standsMs && b.unsound.includes(id)) n++;
  return n;
}

export const feed = { call, start, state, wake, unsoundAt };
