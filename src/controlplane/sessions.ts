// Sessions of the sites: a site is a member while it keeps asking for news. Coordinators tell the
// leader the sessions they have; together they give k, the number of sites, which is held at its
// recent maximum so that a coordinator's loss does not make the fleet look small.
import type { Coordinator, Session } from './parts.js';

const standsMs = 3000;
const maximumMs = 15_000;

function touch(c: Coordinator, site: string, life: string, revision: number): void {
  c.sessions.set(site, { site, life, seenAt: performance.now(), revision });
}

function own(c: Coordinator): Session[] {
  const now = performance.now();
  for (const [k, s] of c.sessions) if (now - s.seenAt > standsMs) c.sessions.delete(k);
  return [...c.sessions.values()];
}

function all(c: Coordinator): Map<string, string> {
  const out = new Map<string, string>();
  for (const s of own(c)) out.set(s.site, s.life);
  const now = performance.now();
  for (const told of c.peerSessions.values()) {
    for (const s of told.sessions) if (now - s.seenAt <= standsMs) out.set(s.site, s.life);
  }
  return out;
}

const peaks = new WeakMap<Coordinator, { at: number; n: number }[]>();

function count(c: Coordinator): number {
  const now = performance.now();
  const list = (peaks.get(c) ?? []).filter(function late(p) {
    return now - p.at < maximumMs;
  });
  const n = all(c).size;
  list.push({ at: now, n });
  peaks.set(c, list);
  return list.reduce(function most(m, p) {
    return Math.max(m, p.n);
  }, 0);
}

export const sessions = { touch, own, all, count };
