// Keeps the board's list of runners: the leader asks the platform in a steady beat and shows a
// changed list at once. A platform that is silent or refuses leaves the last list standing.
import { replica } from '../coordination/consensus/driver.js';
import { poller } from '../coordination/duties/poller.js';
import { ringLog } from '../logging/ring.js';
import type { Runner } from '../types.js';
import { boards } from './board.js';
import type { Coordinator } from './parts.js';
import { sessions } from './sessions.js';

const pollMs = 700;

type Hold = { listed: Runner[] | null; parked: Set<string>; known: Map<string, Map<string, number>> };
const holds = new WeakMap<Coordinator, Hold>();

function hold(c: Coordinator): Hold {
  let h = holds.get(c);
  if (!h) {
    h = { listed: null, parked: new Set(), known: new Map() };
    holds.set(c, h);
  }
  return h;
}

function merged(h: Hold): Runner[] {
  return (h.listed ?? []).map(function one(r) {
    const known = h.known.get(r.id);
    return {
      ...r,
      parked: h.parked.has(r.id),
      models: r.models.map(function at(m) {
        return { label: m.label, revision: Math.max(m.revision, known?.get(m.label) ?? 0) };
      }),
    };
  });
}

function show(c: Coordinator): void {
  const h = hold(c);
  if (!h.listed || !replica.isLeader(c.replica)) return;
  const next = merged(h);
  const sites = sessions.count(c);
  const same =
    c.board.term === c.replica.machine.term &&
    c.board.sites === sites &&
    JSON.stringify(next) === JSON.stringify(c.board.runners);
  if (!same) boards.change(c, { runners: next, sites });
}

function park(c: Coordinator, id: string, on: boolean): void {
  const h = hold(c);
  if (on) h.parked.add(id);
  else h.parked.delete(id);
  show(c);
}

function learn(c: Coordinator, id: string, model: string, revision: number): void {
  const h = hold(c);
  const of = h.known.get(id) ?? new Map<string, number>();
  if ((of.get(model) ?? 0) >= revision) return;
  of.set(model, revision);
  h.known.set(id, of);
  show(c);
}

async function round(c: Coordinator): Promise<void> {
  const h = hold(c);
  if (!replica.isLeader(c.replica)) {
    h.listed = null;
    h.parked.clear();
    return;
  }
  const r = await poller.poll(c.agent, c.settings.cloud_api.address);
  if (!r.ok) {
    ringLog.note(c.log, { why: r.error }, 'the platform gave no list');
    return;
  }
  if (!replica.isLeader(c.replica)) return;
  h.listed = r.value;
  const ids = new Set(
    r.value.map(function id(x) {
      return x.id;
    }),
  );
  for (const id of [...h.known.keys()]) if (!ids.has(id)) h.known.delete(id);
  for (const id of [...h.parked]) if (!ids.has(id)) h.parked.delete(id);
  show(c);
}

async function run(c: Coordinator): Promise<void> {
  c.replica.on('phase', function changed() {
    void round(c);
  });
  for (;;) {
    const at = performance.now();
    await round(c);
    await new Promise(function pause(done) {
      setTimeout(done, Math.max(50, pollMs - (performance.now() - at)));
    });
  }
}

function listed(c: Coordinator): Runner[] {
  return merged(hold(c));
}

export const runners = { run, park, learn, listed, show };
