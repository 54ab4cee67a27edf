/**
 * The hot set as it is published: the heavy hitters among the prefix blocks, with their share of the requests. What
 * changed is kept by revision, so that routers are sent the blocks that came in and those that went.
 */
import { itemHistory, type ItemHistory } from '../../state/history/item-history.js';
import type { HotPrefix, HotSetDelta } from '../../protocol/rpc/state-sync-records.js';
import { coordinatorTracker, type CoordinatorTracker } from '../tracking/coordinator-tracker.js';

/** The published set by revision. `publishedAt` in ms of the leader's steady clock. */
export type HotSet = { history: ItemHistory<HotPrefix>; revision: number; publishedAt: number };

const publishIntervalMs = 400;
/** A share once published stands until it is off by this factor, so that not every count changes the set. */
const shareTolerance = 1.5;
/** Shares are published in steps of one part in this many. */
const sharePrecision = 1e6;

/** An empty set at revision 0, due at once. */
function create(): HotSet {
  return { history: itemHistory.create(), revision: 0, publishedAt: -Infinity };
}

/** Whether the interval of publications is over. */
function isDue(hotSet: HotSet, now: number): boolean {
  return now - hotSet.publishedAt >= publishIntervalMs;
}

function prefixOf(hotPrefix: HotPrefix): string {
  return hotPrefix.prefix;
}

/** Whether what was published of a prefix is still near enough to what the tracker finds now. */
function isStillValid(published: HotPrefix, { share, tokens }: HotPrefix): boolean {
  return (
    share < published.share * shareTolerance && share > published.share / shareTolerance && published.tokens === tokens
  );
}

/** Publishes the tracker's heavy hitters under a new revision, if they differ from the last. */
function publish(hotSet: HotSet, tracker: CoordinatorTracker, now: number): void {
  hotSet.publishedAt = now;
  const { items } = hotSet.history;
  const hotPrefixes = coordinatorTracker.heavyHitters(tracker).map((hitter): HotPrefix => {
    const published = items.get(hitter.prefix)?.value;
    if (published && isStillValid(published, hitter)) return published;
    return { ...hitter, share: Math.round(hitter.share * sharePrecision) / sharePrecision };
  });
  const isSame =
    hotPrefixes.length === items.size &&
    hotPrefixes.every((hotPrefix) => items.get(hotPrefix.prefix)?.value === hotPrefix);
  if (isSame) return;
  hotSet.revision++;
  itemHistory.advance(hotSet.history, hotSet.revision, hotPrefixes, prefixOf);
}

/** The changes since the revision that a router has (-1: none); null when it is up to date. */
function deltaSince(hotSet: HotSet, revision: number): HotSetDelta | null {
  if (revision === hotSet.revision) return null;
  const delta = revision < 0 ? null : itemHistory.deltaSince(hotSet.history, revision);
  if (delta) return { isFull: false, upserts: delta.upserts, removals: delta.removals };
  return { isFull: true, upserts: [...hotSet.history.items.values()].map(({ value }) => value), removals: [] };
}

export const hotSets = { create, isDue, publish, deltaSince };
