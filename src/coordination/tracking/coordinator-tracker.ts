/**
 * The coordinator C of heavy-hitter tracking (Yi and Zhang, "Optimal Tracking of Distributed Heavy Hitters and
 * Quantiles", section 2.1): it keeps an underestimate of every site's count of a prefix (C.m_x) and of its total
 * (C.m), gathers exact totals after about k growth signals with a bounded wait, and broadcasts the sum. All that it
 * knows can be reported anew by the sites, so the next leader rebuilds it. Decay epochs make old counts fade: each
 * halves everything. The sites S_j are the incarnations of routers; docs/design.md lists what differs from the paper.
 */
import type { CountReport, HotPrefix } from '../../protocol/rpc/state-sync-records.js';

/** What is known of a site: its last report's number, its total C.m_j and its counts C.m_x,j. */
export type SiteEstimate = { site: string; seq: number; total: number; counts: Map<string, number> };

/** What the coordinator knows of all sites. Prefixes are keys of prefix blocks (`BlockKey`). */
export type CoordinatorTracker = {
  /** ε, the allowed error of a share, and φ, the share that makes a prefix hot. */
  epsilon: number;
  phi: number;
  /** The total at which a new decay epoch begins. */
  maxTotal: number;
  /** How long a gather round waits for sites that do not answer. */
  gatherTimeoutMs: number;
  decayEpoch: number;
  /** By incarnation of a router. */
  sites: Map<string, SiteEstimate>;
  /** C.m_x by prefix, with the prefix's length in tokens. */
  sums: Map<string, { count: number; tokens: number }>;
  /** C.m, the sum of the sites' totals; never above the truth. */
  estimatedTotal: number;
  /** Reports of a grown total since the last gather round. */
  growthSignals: number;
  gatherRound: number;
  /** Null when no gather round is under way. */
  gatherStartedAtMs: number | null;
  awaitedSites: Set<string>;
  /** The total that the sites get, from which they derive how much may go unreported. */
  broadcastTotal: number;
};

/** A coordinator that knows no site; the parameters are the fields of these names. */
function create(epsilon: number, phi: number, maxTotal: number, gatherTimeoutMs: number): CoordinatorTracker {
  return {
    epsilon,
    phi,
    maxTotal,
    gatherTimeoutMs,
    decayEpoch: 0,
    sites: new Map(),
    sums: new Map(),
    estimatedTotal: 0,
    growthSignals: 0,
    gatherRound: 0,
    gatherStartedAtMs: null,
    awaitedSites: new Set(),
    broadcastTotal: 0,
  };
}

/** Sets a site's count of a prefix and corrects the sum over all sites by the difference. */
function setCount(
  tracker: CoordinatorTracker,
  estimate: SiteEstimate,
  prefix: string,
  count: number,
  tokens: number,
): void {
  const previous = estimate.counts.get(prefix) ?? 0;
  const sum = tracker.sums.get(prefix) ?? { count: 0, tokens };
  sum.count += count - previous;
  sum.tokens = Math.max(sum.tokens, tokens);
  estimate.counts.set(prefix, count);
  if (sum.count <= 0) tracker.sums.delete(prefix);
  else tracker.sums.set(prefix, sum);
}

/** What is known of an incarnation of a site; nothing yet at its first report. */
function siteEstimate(tracker: CoordinatorTracker, incarnation: string, site: string): SiteEstimate {
  let estimate = tracker.sites.get(incarnation);
  if (!estimate) {
    estimate = { site, seq: 0, total: 0, counts: new Map() };
    tracker.sites.set(incarnation, estimate);
  }
  return estimate;
}

/** Takes over the counts and the total of a report, divided by `divisor`. A total that changed is a growth signal. */
function applyCounts(tracker: CoordinatorTracker, estimate: SiteEstimate, report: CountReport, divisor: 1 | 2): void {
  for (const { prefix, count, tokens } of report.counts)
    setCount(tracker, estimate, prefix, Math.floor(count / divisor), tokens);
  const total = Math.floor(report.total / divisor);
  if (total !== estimate.total) tracker.growthSignals++;
  tracker.estimatedTotal += total - estimate.total;
  estimate.total = total;
}

/**
 * Applies a report of one incarnation of a site. Says whether the site was known: if not, it is to report all its
 * counts. A report from the decay epoch before is halved; an older one only makes the site known.
 */
function applyReport(
  tracker: CoordinatorTracker,
  incarnation: string,
  site: string,
  report: CountReport,
  siteCount: number,
): { isKnown: boolean } {
  const isKnown = tracker.sites.has(incarnation);
  const estimate = siteEstimate(tracker, incarnation, site);
  if (report.seq <= estimate.seq) return { isKnown: true };
  estimate.seq = report.seq;
  if (report.decayEpoch > tracker.decayEpoch) tracker.decayEpoch = report.decayEpoch;
  const epochsBehind = tracker.decayEpoch - report.decayEpoch;
  if (epochsBehind > 1) return { isKnown };
  applyCounts(tracker, estimate, report, epochsBehind === 1 ? 2 : 1);
  tracker.awaitedSites.delete(incarnation);
  if (siteCount > 0 && tracker.estimatedTotal <= siteCount / tracker.epsilon)
    tracker.broadcastTotal = tracker.estimatedTotal;
  return { isKnown };
}

/** Asks all live sites for their exact totals: they see the new round in the next broadcast. */
function beginGather(tracker: CoordinatorTracker, live: Set<string>, now: number): void {
  tracker.gatherRound++;
  tracker.gatherStartedAtMs = now;
  tracker.growthSignals = 0;
  tracker.awaitedSites = new Set([...tracker.sites.keys()].filter((incarnation) => live.has(incarnation)));
}

/**
 * Starts a gather round when k growth signals have come, ends it when all live sites have answered or the wait is
 * over, and starts a new decay epoch when the total has grown too large. `live`: incarnations of the routers that have
 * a session now. To be called every few hundred ms.
 */
function tick(tracker: CoordinatorTracker, live: Set<string>, now: number): void {
  if (tracker.gatherStartedAtMs === null) {
    if (live.size > 0 && tracker.growthSignals >= live.size && tracker.estimatedTotal > live.size / tracker.epsilon)
      beginGather(tracker, live, now);
  } else if (tracker.awaitedSites.size === 0 || now - tracker.gatherStartedAtMs > tracker.gatherTimeoutMs) {
    tracker.gatherStartedAtMs = null;
    tracker.broadcastTotal = tracker.estimatedTotal;
  }
  if (tracker.estimatedTotal >= tracker.maxTotal) decay(tracker, live);
}

/** A new decay epoch halves all counts; estimates of sites that are gone fade out with it. */
function decay(tracker: CoordinatorTracker, live: Set<string>): void {
  tracker.decayEpoch++;
  for (const [incarnation, estimate] of [...tracker.sites]) {
    let total = 0;
    for (const [prefix, count] of [...estimate.counts]) {
      setCount(tracker, estimate, prefix, Math.floor(count / 2), 0);
      total += Math.floor(count / 2);
      if (count < 2) estimate.counts.delete(prefix);
    }
    tracker.estimatedTotal -= estimate.total - Math.floor(estimate.total / 2);
    estimate.total = Math.floor(estimate.total / 2);
    if (!live.has(incarnation) && total === 0) {
      tracker.estimatedTotal -= estimate.total;
      tracker.sites.delete(incarnation);
    }
  }
  tracker.broadcastTotal = tracker.estimatedTotal;
}

/** Removes prefixes of retired weights from all counts and totals. */
function removeRetired(tracker: CoordinatorTracker, isRetired: (prefix: string) => boolean): void {
  const totalBefore = tracker.estimatedTotal;
  for (const estimate of tracker.sites.values()) {
    for (const [prefix, count] of [...estimate.counts]) {
      if (!isRetired(prefix)) continue;
      setCount(tracker, estimate, prefix, 0, 0);
      estimate.counts.delete(prefix);
      tracker.estimatedTotal -= count;
      estimate.total -= count;
    }
  }
  if (tracker.estimatedTotal < totalBefore) tracker.broadcastTotal = tracker.estimatedTotal;
}

/** The hot set: prefixes whose estimated share of the arrivals is at least φ − ε/2. */
function heavyHitters(tracker: CoordinatorTracker): HotPrefix[] {
  const hitters: HotPrefix[] = [];
  if (tracker.estimatedTotal <= 0) return hitters;
  for (const [prefix, sum] of tracker.sums) {
    const share = sum.count / tracker.estimatedTotal;
    if (share >= tracker.phi - tracker.epsilon / 2) hitters.push({ prefix, share, tokens: sum.tokens });
  }
  return hitters;
}

export const coordinatorTracker = {
  create,
  applyReport,
  tick,
  removeRetired,
  heavyHitters,
};
