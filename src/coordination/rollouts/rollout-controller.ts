/**
 * Decides the next step of a roll-out, as a pure function of what the leader sees. The new version takes a small share
 * first and more by stages, as long as its judge has no alarm, so that a version found bad has had little by then; near
 * the end of its term all requests move, the old runners finish what they have, and the roll-out is complete.
 */
import type { ServiceRollout } from '../../types.js';
import type { Verdict } from './version-judge.js';

/** What the leader sees of one roll-out. Times in ms. */
export type RolloutView = {
  rollout: ServiceRollout;
  /** Since the order was committed, and since the present share was. */
  elapsedMs: number;
  stageMs: number;
  /** Runners in service of the new version, and of any other. */
  newRunners: number;
  oldRunners: number;
  verdict: Verdict;
  /** The least requests that the new version has had on any route with much traffic. */
  leastSamples: number;
  /** Whether every router that may still act has the present stage. */
  hasReachedRouters: boolean;
  /** Requests under way at runners of other versions. */
  oldRequests: number;
  /** The longest that a request of the service may last. */
  longestRequestMs: number;
};

/** What is to be committed. */
export type RolloutDecision =
  | { kind: 'advance'; share: number; reason: string }
  | { kind: 'end'; condition: 'complete' | 'reverted'; reason: string };

/**
 * A stage: the share of requests (0 to 1) that the new version has, the share of the term at which the next one is due,
 * the least requests on each large route before it, and the shortest time.
 */
type Stage = { share: number; untilShareOfTerm: number; minSamples: number; minMs: number };

const stages: Stage[] = [
  { share: 0, untilShareOfTerm: 0, minSamples: 0, minMs: 0 },
  { share: 0.06, untilShareOfTerm: 0.38, minSamples: 6, minMs: 2000 },
  { share: 0.12, untilShareOfTerm: 0.54, minSamples: 12, minMs: 1500 },
  { share: 0.25, untilShareOfTerm: 0.66, minSamples: 20, minMs: 1800 },
  { share: 1, untilShareOfTerm: 1, minSamples: 0, minMs: 0 },
];

/** A stage with too few requests is left all the same so much (share of the term) later. */
const patienceShareOfTerm = 0.08;

/** New runners in service, as a share of the old ones, before all requests move to them. */
const minCapacityShare = 0.6;

/** Without any new runner a roll-out is given up after so many of its terms, and at once when all requests are on them. */
const maxTermsWithoutRunners = 2;

/** Routers have learnt of the last stage, and requests that they had sent before have reached the runners. */
const settleMs = 300;

function stageOf(share: number): number {
  return Math.max(
    0,
    stages.findLastIndex((stage) => share >= stage.share),
  );
}

function reverted(reason: string): RolloutDecision {
  return { kind: 'end', condition: 'reverted', reason };
}

function complete(reason: string): RolloutDecision {
  return { kind: 'end', condition: 'complete', reason };
}

/** Whether the present stage has lasted long enough and shown enough. */
function isStageDone(view: RolloutView, stage: Stage): boolean {
  const { overMs } = view.rollout;
  if (view.stageMs < stage.minMs || view.elapsedMs < stage.untilShareOfTerm * overMs) return false;
  if (view.leastSamples >= stage.minSamples) return true;
  return view.elapsedMs >= (stage.untilShareOfTerm + patienceShareOfTerm) * overMs;
}

function nextShare(view: RolloutView): RolloutDecision | null {
  const index = stageOf(view.rollout.share);
  const [stage, next] = [stages[index]!, stages[index + 1]];
  if (!next || !isStageDone(view, stage)) return null;
  if (index > 0 && !view.hasReachedRouters) return null;
  const minShare = next.share === 1 ? minCapacityShare : next.share;
  if (view.newRunners < view.oldRunners * minShare) return null;
  return { kind: 'advance', share: next.share, reason: `${view.leastSamples} requests without an alarm` };
}

/** All requests go to the new version: what is left is to wait until nothing is under way at the old one. */
function finish(view: RolloutView): RolloutDecision | null {
  if (!view.hasReachedRouters || view.stageMs < settleMs) return null;
  if (view.oldRequests > 0 && view.stageMs < view.longestRequestMs) return null;
  return complete(`${view.oldRequests} requests left at the old version`);
}

/** The next step, or null while nothing is due. */
function decide(view: RolloutView): RolloutDecision | null {
  const { rollout, verdict } = view;
  if (rollout.condition !== 'rolling') return null;
  if (verdict.kind === 'bad') return reverted(`${verdict.bad} of ${verdict.total} bad on route ${verdict.route}`);
  if (view.newRunners === 0) {
    const isOver = rollout.share === 1 || view.elapsedMs > rollout.overMs * maxTermsWithoutRunners;
    return isOver ? reverted('no runner of the new version') : null;
  }
  if (view.oldRunners === 0) return complete('no runner of another version');
  return rollout.share === 1 ? finish(view) : nextShare(view);
}

export const rolloutController = { decide };
