/**
 * Watches over a change of the access rules: orders its activation once no site can still honour the
 * rules before it.
 */
import { replica } from '../coordination/consensus/driver.js';
import { activation, type Sight } from '../coordination/duties/activation.js';
import { leaveMs } from '../dataplane/follow.js';
import { ringLog } from '../logging/ring.js';
import { witnessMs } from './freshness.js';
import { members } from './members.js';
import type { Coordinator } from './parts.js';

const intervalMs = 100;

function sight(c: Coordinator): Sight {
  const wonAt = members.wonAt(c);
  return {
    pending: c.replica.state.rules.pending,
    wonAt,
    leaseMs: leaveMs,
    freshMs: witnessMs,
    own: [...c.sessions.values()],
    witnesses: members.peers(c).map(function one(peer) {
      const told = c.peerSessions.get(peer.id);
      return {
        id: peer.id,
        heardAt: told?.at ?? wonAt,
        revision: told?.revision ?? 0,
        sites: told?.sessions ?? [],
      };
    }),
  };
}

async function activate(c: Coordinator, revision: number): Promise<void> {
  const result = await replica.propose(c.replica, { kind: 'activate', revision });
  ringLog.note(c.log, { revision, result: result.kind }, 'access rules activated');
}

function start(c: Coordinator): void {
  let isBusy = false;
  c.runtime.clock.every(intervalMs, function look() {
    const { pending } = c.replica.state.rules;
    if (isBusy || pending === 0 || !replica.isLeader(c.replica)) return;
    if (!activation.mayActivate(sight(c), c.runtime.clock.now())) return;
    isBusy = true;
    void activate(c, pending).then(function over() {
      isBusy = false;
    });
  });
}

export const access = { start };
