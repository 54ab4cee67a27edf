/**
 * A site S_j of heavy-hitter tracking, as a pure state machine after section 2 of the paper (Yi and Zhang, "Optimal
 * Tracking of Distributed Heavy Hitters and Quantiles"): it counts the arrivals of prefixes (S_j.m_x, and S_j.m in
 * all) and reports a count when it has grown by its share of the allowed error, ε·S.m/3k, since the last report.
 * Until the total reaches k/ε every arrival is reported. Reports carry counts, not increments, under a sequence
 * number, so one that is lost or doubled does no harm.
 */
import type { CountReport, ReportedCount } from '../../protocol/rpc/state-sync-records.js';

/** A prefix at this site: its arrivals S_j.m_x, those since it was last reported (Δ), and its length in tokens. */
export type PrefixCount = { count: number; unreported: number; tokens: number };

/** The state of one site. Prefixes are keys of prefix blocks (`BlockKey`), and so in the reports. */
export type SiteTracker = {
  /** ε, the allowed error of a share. */
  epsilon: number;
  /** By which the coordinator knows this site: another incarnation of a router is another site. */
  incarnation: string;
  /** How often all counts have been halved. */
  decayEpoch: number;
  /** k as the coordinator last broadcast it; 0 while it is unknown. */
  siteCount: number;
  /** S_j.m, the total over all sites as last broadcast. */
  globalTotal: number;
  /** The arrivals at this site, and those since the total was last reported. */
  localTotal: number;
  unreportedTotal: number;
  counts: Map<string, PrefixCount>;
  /** What goes into the next report. */
  duePrefixes: Set<string>;
  isTotalDue: boolean;
  /** The last gather round that this site has heard of. */
  gatherRound: number;
  /** Number of the last report, and the report itself until it is acknowledged. */
  seq: number;
  unacknowledged: CountReport | null;
};

/** What the coordinator broadcasts: k, the total over all sites, its gather round and its decay epoch. */
export type TrackingBroadcast = { routerCount: number; total: number; gatherRound: number; decayEpoch: number };

/** A site without arrivals; `epsilon` is the allowed error of a share, from 0 to 1. */
function create(epsilon: number, incarnation: string): SiteTracker {
  return {
    epsilon,
    incarnation,
    decayEpoch: 0,
    siteCount: 0,
    globalTotal: 0,
    localTotal: 0,
    unreportedTotal: 0,
    counts: new Map(),
    duePrefixes: new Set(),
    isTotalDue: false,
    gatherRound: 0,
    seq: 0,
    unacknowledged: null,
  };
}

/** Arrivals after which a counter is due: each one while the total is small or the number of sites unknown. */
function reportThreshold(tracker: SiteTracker): number {
  if (tracker.siteCount === 0 || tracker.globalTotal < tracker.siteCount / tracker.epsilon) return 1;
  return Math.max(1, (tracker.epsilon * tracker.globalTotal) / (3 * tracker.siteCount));
}

/** Counts an arrival of a prefix: a request that goes to a runner with it. */
function recordArrival(tracker: SiteTracker, prefix: string, tokens: number): void {
  const prefixCount = tracker.counts.get(prefix) ?? { count: 0, unreported: 0, tokens };
  prefixCount.count++;
  prefixCount.unreported++;
  prefixCount.tokens = Math.max(prefixCount.tokens, tokens);
  tracker.counts.set(prefix, prefixCount);
  tracker.localTotal++;
  tracker.unreportedTotal++;
  const threshold = reportThreshold(tracker);
  if (prefixCount.unreported >= threshold) tracker.duePrefixes.add(prefix);
  if (tracker.unreportedTotal >= threshold) tracker.isTotalDue = true;
}

/**
 * What is to be reported now, or null. A report that was not acknowledged is sent again with what has come since,
 * under a new sequence number.
 */
function nextReport(tracker: SiteTracker): CountReport | null {
  if (tracker.duePrefixes.size === 0 && !tracker.isTotalDue && tracker.unacknowledged === null) return null;
  for (const { prefix } of tracker.unacknowledged?.counts ?? [])
    if (tracker.counts.has(prefix)) tracker.duePrefixes.add(prefix);
  tracker.seq++;
  const counts: ReportedCount[] = [];
  for (const prefix of tracker.duePrefixes) {
    const prefixCount = tracker.counts.get(prefix)!;
    counts.push({ prefix, count: prefixCount.count, tokens: prefixCount.tokens });
    prefixCount.unreported = 0;
  }
  tracker.duePrefixes.clear();
  tracker.isTotalDue = false;
  tracker.unreportedTotal = 0;
  tracker.unacknowledged = {
    seq: tracker.seq,
    decayEpoch: tracker.decayEpoch,
    total: tracker.localTotal,
    counts,
    gatherRound: tracker.gatherRound,
  };
  return tracker.unacknowledged;
}

/** The coordinator has applied a report; when it did not know this site, every count is due again. */
function acknowledge(tracker: SiteTracker, seq: number, isKnown: boolean): void {
  if (tracker.unacknowledged?.seq === seq) tracker.unacknowledged = null;
  if (!isKnown) markAllDue(tracker);
}

/** Every count is to be reported, since the coordinator may know less than the error allows. */
function markAllDue(tracker: SiteTracker): void {
  for (const prefix of tracker.counts.keys()) tracker.duePrefixes.add(prefix);
  tracker.isTotalDue = true;
}

/**
 * Applies the coordinator's broadcast: k, the total, the gather round and the decay epoch. A new epoch halves the
 * counts here, as it does at the coordinator. A total that fell allows less unreported growth than there may be, so
 * every count is due.
 */
function applyBroadcast(tracker: SiteTracker, broadcast: TrackingBroadcast): void {
  tracker.siteCount = broadcast.routerCount;
  if (broadcast.total < tracker.globalTotal) markAllDue(tracker);
  tracker.globalTotal = broadcast.total;
  if (broadcast.gatherRound > tracker.gatherRound) {
    tracker.gatherRound = broadcast.gatherRound;
    tracker.isTotalDue = true;
  }
  while (tracker.decayEpoch < broadcast.decayEpoch) {
    tracker.decayEpoch++;
    halve(tracker);
  }
}

/** Halves all counts, rounding down, and forgets prefixes that come to zero; everything is due again. */
function halve(tracker: SiteTracker): void {
  tracker.localTotal = 0;
  for (const [prefix, prefixCount] of tracker.counts) {
    prefixCount.count = Math.floor(prefixCount.count / 2);
    prefixCount.unreported = 0;
    tracker.localTotal += prefixCount.count;
    if (prefixCount.count === 0) tracker.counts.delete(prefix);
  }
  tracker.duePrefixes.clear();
  tracker.unacknowledged = null;
  markAllDue(tracker);
}

/** Removes prefixes of retired weights, and with them their part of the total. */
function removeRetired(tracker: SiteTracker, isRetired: (prefix: string) => boolean): void {
  let hasRemoved = false;
  for (const [prefix, prefixCount] of tracker.counts) {
    if (!isRetired(prefix)) continue;
    tracker.localTotal -= prefixCount.count;
    tracker.counts.delete(prefix);
    tracker.duePrefixes.delete(prefix);
    hasRemoved = true;
  }
  if (hasRemoved) tracker.isTotalDue = true;
}

export const siteTracker = {
  create,
  recordArrival,
  nextReport,
  acknowledge,
  applyBroadcast,
  removeRetired,
  reportThreshold,
};
