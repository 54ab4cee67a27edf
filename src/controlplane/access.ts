// Watches over a change of the access rules: orders its activation once no site can still honour the
// rules before it.
import { replica } from '../coordination/consensus/driver.js';
import { activation, type Sight } from '../coordination/duties/activation.js';
import { leaveMs } from '../dataplane/follow.js';
import { ringLog } from '../logging/ring.js';
import { witnessMs } from './board.js';
import type { Coordinator } from './parts.js';

const beatMs = 100;

function sight(c: Coordinator): Sight {
  const m = c.replica.machine;
  return {
    pending: c.replica.state.rules.pending,
    wonAt: m.wonAt,
    leaseMs: leaveMs,
    freshMs: witnessMs,
    own: [...c.sessions.values()],
    witnesses: [...m.peers.values()].map(function one(p) {
      const told = c.peerSessions.get(p.id);
      return { id: p.id, heardAt: told?.at ?? m.wonAt, revision: told?.revision ?? 0, sites: told?.sessions ?? [] };
    }),
  };
}

function start(c: Coordinator): NodeJS.Timeout {
  let busy = false;
  return setInterval(function beat() {
    const { pending } = c.replica.state.rules;
    if (busy || pending === 0 || !replica.isLeader(c.replica)) return;
    if (!activation.mayActivate(sight(c), performance.now())) return;
    busy = true;
    void replica.propose(c.replica, { c: 'activate', revision: pending }).then(function over(ok) {
      busy = false;
      ringLog.note(c.log, { pending, ok }, 'access rules activated');
    });
  }, beatMs);
}

export const access = { start };
