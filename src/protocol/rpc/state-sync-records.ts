/**
 * What routers and the leader tell one another in the state sync, as the programs hold it: records with named fields.
 * `state-sync-codec.ts` turns them into the rows that go on the wire. Prefix blocks are named either by cache namespace
 * and block id, or by the key that is made of both (`state/prefix-cache/prefix-identity.ts`).
 */

/** What a router saw of a runner since its last report. */
export type AnswerOutcome = { runner: string; successes: number; failures: number };

/** A runner that is not admitted, with the router that is to probe it, if any, and the number of that probe. */
export type Ejection = { runner: string; prober: string | null; probeNumber: number };

/** How far a router knows the leader's prefix cache index: up to the change `position` of the term `term`. */
export type IndexVersion = { term: number; position: number };

/** A prefix block that a router has sent to a runner in a prompt; `location` is the runner's id. */
export type SentPrefix = { cacheNamespace: string; blockId: string; tokens: number; location: string };

/**
 * One change of the prefix cache index. `block_reported` and `block_removed`: as the location itself reports;
 * `block_expected`: as a router expects after it has sent the block there; `location_silent`: the location has not
 * reported for long, so that nothing it reported before is confirmed any more.
 */
export type PrefixCacheChange =
  | {
      kind: 'block_reported' | 'block_expected';
      location: string;
      cacheNamespace: string;
      blockId: string;
      tokens: number;
    }
  | { kind: 'block_removed'; location: string; cacheNamespace: string; blockId: string }
  | { kind: 'location_silent'; location: string };

/** A prefix at one router: the key of its block, its arrivals in all, and its length in tokens. */
export type ReportedCount = { prefix: string; count: number; tokens: number };

/**
 * A router's report for the tracking of heavy hitters: its total of arrivals, and the counts that have become due since
 * its last report. `seq` numbers the reports of one incarnation; `gatherRound` is the last one that it has heard of.
 */
export type CountReport = {
  seq: number;
  decayEpoch: number;
  total: number;
  counts: ReportedCount[];
  gatherRound: number;
};

/** A hot prefix: the key of its block, its estimated share of the arrivals (0 to 1), and its length in tokens. */
export type HotPrefix = { prefix: string; share: number; tokens: number };

/** What a router lacks of the hot set, all of it when `isFull`; `removals` are keys of blocks. */
export type HotSetDelta = { isFull: boolean; upserts: HotPrefix[]; removals: string[] };
