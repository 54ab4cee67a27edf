/**
 * The leases that make a change of the access rules safe. A router enforces the rules that it has only while
 * its lease on them runs. Coordinators renew the lease with their watch responses, and only while they have
 * recent contact with the leader. So the leader knows when a router without contact must have ceased to
 * enforce old rules (`coordination/singletons/access-activation-policy.ts`).
 */

/** How long a router may enforce access rules after it sent the request whose response renewed its lease. */
export const routerLeaseMs = 2000;

/**
 * How long a coordinator may renew the leases of routers, from when it sent the latest response that it knows
 * the leader to have received.
 */
export const coordinatorLeaseMs = 1500;
