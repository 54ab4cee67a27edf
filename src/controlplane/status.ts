// What a coordinator says of the system when asked: the leader's view if it can be had, else its
// own, marked as such.
import type { IncomingMessage, ServerResponse } from 'node:http';
import { replica } from '../coordination/consensus/driver.js';
import { exchange } from '../coordination/exchange/machine.js';
import { answers } from '../transport/http/answer.js';
import { channel } from '../transport/inner/channel.js';
import type { StatusReply } from '../protocol/inner/status.js';
import { feed } from './feed.js';
import type { Coordinator } from './parts.js';

const legMs = 600;

function own(c: Coordinator): StatusReply {
  const m = c.replica.machine;
  const now = performance.now();
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
    phase: m.phase,
    term: m.term,
    leader: m.leader,
    sure: replica.fresh(c.replica),
    acts: replica.mayAct(c.replica, c.settings.bound_set.lease_ms),
    roster: m.roster.map(function one(x) {
      const p = m.peers.get(x.id);
      return {
        id: x.id,
        control: x.control,
        heardMs: x.id === m.me ? 0 : p ? Math.round(now - p.heardAt) : null,
        match: x.id === m.me ? m.durable : (p?.match ?? null),
      };
    }),
    committed: m.committed,
    disk: c.replica.store.failing ? 'refuses' : 'takes',
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

async function handle(c: Coordinator, req: IncomingMessage, res: ServerResponse): Promise<void> {
  req.resume();
  const to = replica.leaderControl(c.replica);
  if (to !== null && to !== c.replica.machine.addr) {
    const r = await channel.post<StatusReply>(c.agent, to, '/inner/status', {}, legMs);
    if (r.ok) return answers.send(res, answers.json(200, r.value));
  }
  answers.send(res, answers.json(200, own(c)));
}

export const status = { own, handle };
