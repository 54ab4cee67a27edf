/** Load, as a router reports it and as it is summed over all routers. */

/**
 * The load at one place that serves requests: a runner endpoint, or the store of cached prefixes. Never negative; a
 * load of nothing but zeros is the same as no load at all.
 */
export type EndpointLoad = {
  /** Requests sent there whose answer has not ended. */
  activeRequests: number;
  /** Prompt tokens of them that are still to be prefilled. */
  prefillTokens: number;
  /** Tokens of the KV cache that they are expected to take. */
  reservedTokens: number;
  /** Leases held on it as the source of a cache transfer. */
  transferLeases: number;
  /** Milliseconds of cache transfers that are queued to it. */
  transferQueueMs: number;
};
