/** Roll-outs of a service's software version, as the operator orders them (`/v1/rollouts`). */

/** How far a roll-out is, in the words of the users' pages. */
export type RolloutCondition = 'rolling' | 'complete' | 'reverted';

/** One committed step of a roll-out, for its timeline: the share of requests from then on, and why. */
export type RolloutStep = { share: number; elapsedMs: number; reason: string };

/**
 * The last roll-out of a service. `number` rises with each order that is accepted, over all services. `share` (0 to 1) of
 * the service's requests goes to runners of `toVersion`; it only rises, until the end. `fromVersions`, known at the end,
 * are the versions that were left behind.
 */
export type ServiceRollout = {
  service: string;
  number: number;
  toVersion: string;
  overMs: number;
  orderDigest: string;
  condition: RolloutCondition;
  share: number;
  fromVersions: string[];
  steps: RolloutStep[];
};

/** The roll-outs by service; `seq` rises with each change. */
export type RolloutsState = { seq: number; byService: Record<string, ServiceRollout> };

/**
 * What one router saw of one runner on one route while a roll-out was under way: requests that failed, and how long the
 * others took in all, as counts by the buckets of `coordination/rollouts/duration-histogram.ts`.
 */
export type VersionSample = {
  service: string;
  version: string;
  runner: string;
  route: string;
  /** What requests of several routes have in common that are of one kind: the route's terms. */
  kind: string;
  failed: number;
  durations: [bucket: number, count: number][];
};
