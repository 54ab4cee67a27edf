/**
 * When a change of the access rules may take effect, as a pure decision. The change is committed first and
 * reaches the routers, which from then on enforce neither the old nor the new rules where the two differ.
 * Once no router can still enforce the old ones, the activation is proposed; routers that receive it enforce
 * the new ones. A router is done when it reported that it has the revision, or when its last contact is longer
 * ago than its lease on the rules.
 */

/** What is known of a router: the revision it reported and when, in ms of the steady clock. */
export type RouterContact = { routerName: string; revision: number; seenAt: number };

/** What another coordinator last reported to the leader, at `heardAt`: its own revision, and its routers. */
export type CoordinatorContact = { id: string; heardAt: number; revision: number; routers: RouterContact[] };

/**
 * What the leader knows. `pendingRevision`: the revision whose rules are pending. `electedAt`: when it was
 * elected, in ms of the steady clock.
 * `routerLeaseMs`: how long a router may enforce rules without a renewal. `coordinatorLeaseMs`: how long a
 * coordinator may renew the lease of routers after its last contact with the leader. `own`: the leader's own routers.
 */
export type ActivationView = {
  pendingRevision: number;
  electedAt: number;
  routerLeaseMs: number;
  coordinatorLeaseMs: number;
  own: RouterContact[];
  coordinators: CoordinatorContact[];
};

/** Safety margin on top of each lease. */
const marginMs = 100;

function isRouterDone(router: RouterContact, view: ActivationView, now: number): boolean {
  return router.revision >= view.pendingRevision || now - router.seenAt > view.routerLeaseMs + marginMs;
}

/** Whether no router can still enforce the rules before the pending ones. */
function mayActivate(view: ActivationView, now: number): boolean {
  const longestLeaseMs = view.routerLeaseMs + view.coordinatorLeaseMs + marginMs;
  if (now - view.electedAt <= longestLeaseMs) return false;
  if (!view.own.every((router) => isRouterDone(router, view, now))) return false;
  return view.coordinators.every((peer) => {
    if (now - peer.heardAt > longestLeaseMs) return true;
    return peer.revision >= view.pendingRevision && peer.routers.every((router) => isRouterDone(router, view, now));
  });
}

export const accessActivationPolicy = { mayActivate };
