/** What may be set on the command line. */

/** What may be set on the command line of the daemons; the defaults are in `protocol/settings/tuning.ts`. */
export type Tuning = {
  /** Tolerated error of a tracked share: the epsilon of the paper on heavy hitters. */
  epsilon: number;
  /** The share of all requests from which on a prefix block is hot: the paper's phi. */
  phi: number;
  /** The least tokens that a prefix block must have to be tracked, indexed and transferred. */
  movedTokens: number;
  /** Whether hot prefix blocks are saved to the store. */
  hotSet: boolean;
  /** What an order for a revision says of running requests: await their end, cut them, or keep them. */
  orderMethod: 'await' | 'truncate' | 'retain';
  /** The share of a service's runners that a roll-out may have under way at once. */
  orderShare: number;
  /** Whether requests carry the urgency of their class to the runner. */
  urgency: boolean;
  /** Whether cached prefixes are fetched from other runners or the store. */
  transfers: boolean;
};
