/**
 * Completes a change of the access rules, at the leader: proposes its activation once no router can still
 * enforce the rules before it.
 */
import { accessActivationPolicy, type ActivationView } from '../coordination/singletons/access-activation-policy.js';
import { coordinatorLeaseMs, routerLeaseMs } from '../state/control/access-lease.js';
import { ringLog } from '../logging/ring.js';
import type { Coordinator } from './coordinator-context.js';

/** How often it is checked whether pending rules may be activated. */
const checkIntervalMs = 100;

function viewOf(coordinator: Coordinator): ActivationView {
  const electedAt = coordinator.group.electedAt();
  return {
    pendingRevision: coordinator.group.state().accessRules.pendingRevision,
    electedAt,
    routerLeaseMs,
    coordinatorLeaseMs,
    own: [...coordinator.sessions.own.values()],
    coordinators: coordinator.group.peers().map((peer) => {
      const reported = coordinator.sessions.peers.get(peer.id);
      return {
        id: peer.id,
        heardAt: reported?.receivedAt ?? electedAt,
        revision: reported?.revision ?? 0,
        routers: reported?.sessions ?? [],
      };
    }),
  };
}

async function activate(coordinator: Coordinator, revision: number): Promise<void> {
  const result = await coordinator.group.propose({ kind: 'activate_access_rules', revision });
  ringLog.note(coordinator.log, 'access_rules_activated', { revision, result: result.kind });
}

/** Checks for a change that may be activated every `checkIntervalMs`, as long as this coordinator leads. */
function start(coordinator: Coordinator): void {
  let isBusy = false;
  coordinator.runtime.clock.every(checkIntervalMs, () => {
    const { pendingRevision } = coordinator.group.state().accessRules;
    if (isBusy || pendingRevision === 0 || !coordinator.group.isLeader()) return;
    if (!accessActivationPolicy.mayActivate(viewOf(coordinator), coordinator.runtime.clock.now())) return;
    isBusy = true;
    void activate(coordinator, pendingRevision).then(() => {
      isBusy = false;
    });
  });
}

export const accessActivation = { start };
