// Delivers a request: assigns a runner, sends a leg, and decides what its end means. A second leg
// goes out only when the request may be repeated or is proven not to have run, within the route's
// tries and the site's part of the shared budget. What cannot be delivered is bounced at once.
import { answers } from '../../transport/http/answer.js';
import { heads, names } from '../../protocol/calls/heads.js';
import { fleet } from '../../state/runners/fleet.js';
import { ringLog } from '../../logging/ring.js';
import { budget } from '../budget.js';
import { moves } from '../moves.js';
import { line } from '../line.js';
import { leg, type LegEnd } from '../leg.js';
import type { Assigned, Passage, Policy, Site, Step } from '../types.js';
import { assign } from './assign.js';
import { relay } from './relay.js';

const queueShare = 0.23;
const shortestQueueMs = 20;
const againMs = 60;
const longWaitAims = 4;
const silentMs = 800;

type Next = { n: 'again' } | { n: 'end'; step: Step };

function ended(step: Step): Next {
  return { n: 'end', step };
}

function bounce(p: Passage, waitMs: number): Step {
  if (p.headSent) return { s: 'done' };
  if (p.maybeRun) return { s: 'answer', answer: answers.plain(502, 'the runner did not finish') };
  return { s: 'answer', answer: answers.bounce(503, waitMs) };
}

function mayLeg(site: Site, p: Passage, now: number): boolean {
  if (p.legs === 0) return true;
  if (p.maybeRun && !p.repeatable) return false;
  if (p.legs >= Math.max(1, p.route.tries ?? 1)) return false;
  return budget.take(site.budget, now, site.board.sites);
}

// A long prompt that would wait for many times its aim is better bounced early than read late: it would
// hold up what comes behind it. Judged only once this site has seen how fast runners read.
function tooLong(site: Site, p: Passage, a: Assigned): boolean {
  return a.isLong && p.legs === 0 && site.readRate > 0 && a.backlog / site.readRate > p.aimMs * longWaitAims;
}

function sawRead(site: Site, a: Assigned, ms: number): void {
  if (!a.isLong || ms <= 0) return;
  const rate = a.backlog / ms;
  site.readRate = site.readRate === 0 ? rate : site.readRate * 0.9 + rate * 0.1;
}

// Takes a place at the runner; from here on it is given back by finish.
function begin(site: Site, p: Passage, a: Assigned): void {
  const s = a.slot;
  if (s.active === 0) s.lastByteAt = performance.now();
  s.active++;
  s.reading += a.reads;
  s.claimed += a.claims;
  p.runners.add(s.ix);
  fleet.tried(s);
  moves.begin(site, a, performance.now());
  site.sent(p, a);
  site.loadChanged();
}

async function find(site: Site, p: Passage): Promise<Assigned | null> {
  const until = Math.min(p.deadlineAt - 1, p.at + Math.max(shortestQueueMs, p.aimMs * queueShare));
  let found: Assigned | null = null;
  function attempt(): boolean {
    if (p.gone) return true;
    const a = assign.choose(site, p, performance.now());
    if (!a || tooLong(site, p, a)) return false;
    begin(site, p, a);
    found = a;
    return true;
  }
  if (attempt()) return found;
  const left = until - performance.now();
  if (left > 0) await line.wait(site.line, line.keyOf(p.rank, p.at), left, attempt);
  return found;
}

function readDone(site: Site, a: Assigned): void {
  moves.ended(site, a, performance.now());
  if (a.reads === 0) return;
  a.slot.reading = Math.max(0, a.slot.reading - a.reads);
  a.reads = 0;
  site.loadChanged();
}

function finish(site: Site, a: Assigned): void {
  readDone(site, a);
  a.slot.active--;
  a.slot.claimed -= a.claims;
  site.loadChanged();
  line.stir(site.line);
}

// Waits for the leg's head, the client's hang-up, the deadline, or, for what may be repeated, for the
// runner to have said nothing at all to anyone, or an unhealthy one nothing to it, for a whole aim.
function headOf(
  p: Passage,
  a: Assigned,
  l: { end: Promise<LegEnd>; cancel: () => void },
): Promise<LegEnd | 'gone' | 'late' | 'mute'> {
  return new Promise(function run(done) {
    const sentAt = performance.now();
    function end(x: LegEnd | 'gone' | 'late' | 'mute'): void {
      clearTimeout(late);
      clearInterval(mute);
      p.res.removeListener('close', gone);
      done(x);
    }
    function gone(): void {
      end('gone');
    }
    const late = setTimeout(
      function over() {
        end('late');
      },
      Math.max(1, p.deadlineAt - sentAt),
    );
    const mute = p.repeatable
      ? setInterval(function look() {
          const now = performance.now();
          const silent = now - (a.slot.verdict === 'clear' ? Math.max(sentAt, a.slot.lastByteAt) : sentAt);
          if (silent >= Math.max(250, p.aimMs) && p.deadlineAt - now > p.aimMs) end('mute');
        }, 50)
      : undefined;
    p.res.on('close', gone);
    void l.end.then(end);
  });
}

async function one(site: Site, p: Passage, a: Assigned): Promise<Next> {
  const sentAt = performance.now();
  const l = leg.send(p, a, site.tuning.urgency);
  moves.sent(site, a, sentAt);
  const x = await headOf(p, a, l);
  const now = performance.now();
  if (x === 'gone' || x === 'late') {
    l.cancel();
    finish(site, a);
    if (now - Math.max(sentAt, a.slot.lastByteAt) > silentMs) fleet.met(a.slot, 'bad');
    p.maybeRun = true;
    return ended(x === 'gone' ? { s: 'done' } : { s: 'answer', answer: answers.plain(504, 'out of time') });
  }
  if (x === 'mute') {
    l.cancel();
    finish(site, a);
    p.legs++;
    p.maybeRun = true;
    fleet.met(a.slot, 'bad');
    fleet.turn(a.slot, 'suspect', now);
    ringLog.note(site.log, { runner: a.slot.id, attempt: p.attempt }, 'mute');
    return { n: 'again' };
  }
  if (x.l !== 'head') {
    finish(site, a);
    if (x.l === 'unsure') {
      p.legs++;
      p.maybeRun = true;
    }
    if (x.l === 'unsent' || !x.onOld) fleet.met(a.slot, 'bad');
    if (x.l === 'unsent') fleet.turn(a.slot, 'down', now);
    else if (!x.onOld) fleet.turn(a.slot, 'suspect', now);
    ringLog.note(site.log, { runner: a.slot.id, attempt: p.attempt, why: x.why, end: x.l }, 'leg broke');
    return { n: 'again' };
  }
  p.legs++;
  const { res } = x;
  const echoed = res.headers[names.attempt];
  const notRun = res.headers[names.notRun] !== undefined || res.statusCode === 421;
  if (p.model !== null) {
    const seen = heads.versions(res.headers[names.versions] as string | undefined, p.model);
    if (seen !== null) fleet.learn(a.slot, p.model, seen);
  }
  if (notRun && (echoed === undefined || echoed === p.attempt)) {
    res.resume();
    finish(site, a);
    return turnedAway(site, p, a, res.statusCode ?? 0, res.headers[names.instance] as string | undefined);
  }
  const status = res.statusCode ?? 0;
  const ours = echoed === p.attempt;
  const sealed = status < 200 || status >= 300 || res.headers[names.seal] !== undefined;
  if (!ours || !sealed || [408, 429, 503].includes(status)) {
    x.req.destroy();
    finish(site, a);
    p.maybeRun = true;
    fleet.met(a.slot, 'bad');
    ringLog.note(site.log, { runner: a.slot.id, attempt: p.attempt, echoed, status }, 'not an answer to this request');
    return { n: 'again' };
  }
  if (isFailure(status)) fleet.met(a.slot, 'bad');
  if (isFailure(status) && p.repeatable && !p.headSent && p.legs < Math.max(1, p.route.tries ?? 1)) {
    res.resume();
    finish(site, a);
    p.maybeRun = true;
    ringLog.note(site.log, { runner: a.slot.id, attempt: p.attempt, status }, 'failed at the runner');
    return { n: 'again' };
  }
  const end = await relay.run(site, p, a, x.res, x.req, function read() {
    if (a.reads > 0) sawRead(site, a, performance.now() - sentAt);
    readDone(site, a);
  });
  finish(site, a);
  if (end === 'whole') {
    if (status < 300) fleet.met(a.slot, 'good');
    p.events = 0;
    return ended({ s: 'done' });
  }
  p.maybeRun = true;
  if (end === 'gone') return ended({ s: 'done' });
  fleet.met(a.slot, 'bad');
  fleet.turn(a.slot, 'suspect', performance.now());
  return { n: 'again' };
}

// Its own 504 says that the time was up, which is no fault of the runner's.
function isFailure(status: number): boolean {
  return status >= 500 && status !== 504;
}

// A runner that turns requests away although little is known to run there is not merely full.
function isIdle(a: Assigned): boolean {
  return a.slot.active + a.slot.othersActive < a.slot.slots / 2;
}

// While new weights are on their way a runner turns requests away until it has them.
function isLoading(site: Site, p: Passage, a: Assigned): boolean {
  if (a.slot.parked) return true;
  const at = p.model === null ? undefined : site.weightsAt.get(p.model);
  return at !== undefined && performance.now() - at < site.settings.bound_set.version_ms;
}

function turnedAway(site: Site, p: Passage, a: Assigned, status: number, instance: string | undefined): Next {
  if (status === 503 && isIdle(a) && !isLoading(site, p, a)) fleet.met(a.slot, 'bad');
  ringLog.note(site.log, { runner: a.slot.id, attempt: p.attempt, status, instance }, 'turned away');
  if (status === 421 && instance !== undefined && instance !== a.slot.id) a.slot.listed = false;
  else if (status === 421 && p.model !== null && a.revision !== null) {
    const newest = site.weights[p.model] ?? 0;
    if (a.slot.revisions.get(p.model) === a.revision && newest > a.revision) fleet.learn(a.slot, p.model, newest);
    p.runners.delete(a.slot.ix);
  }
  return { n: 'again' };
}

async function run(site: Site, p: Passage): Promise<Step> {
  budget.asked(site.budget, p.at);
  for (;;) {
    const now = performance.now();
    if (p.gone) return { s: 'done' };
    if (now >= p.deadlineAt) return p.headSent ? { s: 'done' } : bounce(p, againMs);
    if (!mayLeg(site, p, now)) return bounce(p, againMs);
    const a = await find(site, p);
    if (!a) {
      ringLog.note(site.log, { attempt: p.attempt, service: p.service.label }, 'no runner to assign');
      return bounce(p, againMs);
    }
    const next = await one(site, p, a);
    if (next.n === 'end') return next.step;
  }
}

export const deliver: Policy = { name: 'deliver', run };
