/** How long a router may act on a stage of a roll-out without hearing from an up-to-date coordinator. */
export const rolloutLease = {
  /** From a router's last request that an up-to-date coordinator answered, in ms. */
  routerMs: 2500,
  /** What the leader waits beyond that, in ms. */
  marginMs: 500,
};
