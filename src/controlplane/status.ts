/**
 * What a coordinator says of the system when asked: as the leader sees it if that can be had, else as it
 * sees it itself, marked as such.
 */
import { replica } from '../coordination/consensus/driver.js';
import { exchange } from '../coordination/exchange/machine.js';
import { quorum } from '../coordination/consensus/quorum.js';
import type { StatusReply } from '../protocol/inner/status.js';
import { feed } from './feed.js';
import { inner } from './inner.js';
import { members } from './members.js';
import type { Coordinator } from './parts.js';

const timeoutMs = 600;

function own(c: Coordinator): StatusReply {
  const m = c.replica.machine;
  const now = c.runtime.clock.now();
  const s = c.replica.state;
  const isLeader = replica.isLeader(c.replica);
  const told = isLeader
    ? [...c.peerSessions.values()].flatMap(function all(t) {
        return t.sessions;
      })
    : [];
  const sites = new Map(
    [...told, ...c.sessions.values()].map(function pair(x) {
      return [x.site, x] as const;
    }),
  );
  const f = isLeader ? feed.state(c) : null;
  return {
    node: c.settings.node_name,
    role: m.role,
    term: m.term,
    leader: m.leader,
    sure: replica.isFresh(c.replica),
    acts: replica.mayAct(c.replica, c.settings.bound_set.lease_ms),
    voters: quorum.members(m.membership).map(function one(x) {
      const p = m.peers.get(x.id);
      return {
        id: x.id,
        control: x.control,
        heardMs: x.id === m.self.id ? 0 : p ? Math.round(now - p.heardAt) : null,
        match: x.id === m.self.id ? m.durable : (p?.matchIndex ?? null),
      };
    }),
    committed: m.committed,
    disk: c.replica.isDiskRefusing ? 'refuses' : 'takes',
    configuration: s.configuration?.revision ?? 0,
    weights: s.weights,
    rules: { active: s.rules.active, pending: s.rules.pending },
    sites: [...sites.values()].map(function one(x) {
      return { site: x.site, revision: x.revision, seenMs: Math.round(now - x.seenAt) };
    }),
    runners: (c.board.runners ?? []).map(function one(r) {
      return {
        id: r.id,
        service: r.service,
        addr: r.addr,
        zone: r.zone,
        draining: r.draining,
        parked: r.parked,
        models: r.models,
        unhealthyAt: f ? exchange.unhealthyAt(f, r.id) : null,
        verdict: f ? (f.jury.cases.get(r.id)?.phase ?? 'clear') : null,
      };
    }),
    hot: f
      ? [...f.hot.items.values()].map(function one({ value: [x, share, tokens] }) {
          return { part: x, share, tokens };
        })
      : null,
  };
}

/** The status as the leader tells it, or this coordinator's own. */
async function ask(c: Coordinator): Promise<StatusReply> {
  const leader = replica.leaderAddress(c.replica);
  if (leader === null || leader === members.ownAddress(c)) return own(c);
  const told = await inner.status(c, leader, timeoutMs);
  return told.ok ? told.value : own(c);
}

export const status = { own, ask };
