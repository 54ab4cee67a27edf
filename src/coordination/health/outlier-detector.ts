/**
 * Fleet-wide outlier detection by the outcome of requests, as a pure state machine run by the leader. The terms (outlier,
 * ejection, host) are those of Envoy's outlier detection, and so is the growing ejection time; here the counts of
 * all routers come together, so that one runner whose answers break for several routers is ejected for all. One
 * router alone counts for little, and only a part of a service's runners may be ejected at once, so that a faulty
 * or cut-off router never empties a service. An ejected runner is probed by one router with an idempotent request.
 */
import type { AnswerOutcome, Ejection } from '../../protocol/rpc/state-sync-records.js';

/** Counts of one router, decaying with a half-life; `updatedAt` in ms. */
export type AnswerCounts = { successes: number; failures: number; updatedAt: number };

/** `probing`: still ejected for all but the router that is to probe it. */
export type EjectionState = 'admitted' | 'ejected' | 'probing';

/** What is known of a runner that routers reported outcomes of. */
export type HostRecord = {
  countsByRouter: Map<string, AnswerCounts>;
  state: EjectionState;
  /** In ms of the leader's steady clock. */
  stateSince: number;
  /** Ejections without a long quiet time between them. */
  ejectionCount: number;
  probesPassed: number;
  /** The router that is to send the probe; null unless probing. */
  prober: string | null;
  probeNumber: number;
};

/** The state of the detector. `hosts`: by id of the runner. */
export type OutlierDetector = {
  hosts: Map<string, HostRecord>;
  /** Rises with each change of a state, for those who know an earlier one. */
  revision: number;
  probesAssigned: number;
};

/** The runners that may be ejected, with their service, and the routers that may probe. */
export type DetectionScope = { serviceByRunner: Map<string, string>; routers: string[] };

/** In this time counts lose half of their weight. */
const halfLifeMs = 2500;
/** The most that one router's counts weigh. */
const maxFailuresPerRouter = 2;
const maxSuccessesPerRouter = 8;
/** A router counts as reporting failures while this much of one is left. */
const minRouterFailures = 0.5;
/** An outlier fails for so many routers, so often in all, and in such a share of its answers. */
const minReportingRouters = 2;
const minFailures = 1.5;
const minFailureShare = 0.15;
/** The share of a service's runners that may be ejected at once. */
const maxEjectedShare = 0.25;
/** The first ejection lasts so long before a probe; each further one twice as long, up to the bound. */
const baseEjectionMs = 1000;
const maxEjectionMs = 8000;
/** A probe without an outcome by then is assigned to another router. */
const probeTimeoutMs = 1500;
/** Ejections are forgotten after this time in the admitted state. */
const ejectionMemoryMs = 20_000;
/** The most probes that have to pass in a row before a host is admitted again. */
const maxRequiredProbes = 4;

/** A detector that knows no host. */
function create(): OutlierDetector {
  return { hosts: new Map(), revision: 0, probesAssigned: 0 };
}

/** What is left of a count after a time. */
function decayed(count: number, ageMs: number): number {
  return count * 0.5 ** (Math.max(0, ageMs) / halfLifeMs);
}

/** The record of a runner, made at its first outcome. */
function hostRecord(detector: OutlierDetector, runner: string, now: number): HostRecord {
  let host = detector.hosts.get(runner);
  if (!host) {
    host = {
      countsByRouter: new Map(),
      state: 'admitted',
      stateSince: now,
      ejectionCount: 0,
      probesPassed: 0,
      prober: null,
      probeNumber: 0,
    };
    detector.hosts.set(runner, host);
  }
  return host;
}

/** The one place where a host changes its state. */
function transitionTo(detector: OutlierDetector, host: HostRecord, state: EjectionState, now: number): void {
  if (state === 'ejected') {
    if (host.state === 'admitted') host.ejectionCount++;
    host.probesPassed = 0;
  }
  if (state === 'admitted') host.countsByRouter.clear();
  if (state !== 'probing') host.prober = null;
  host.state = state;
  host.stateSince = now;
  detector.revision++;
}

/** Outcomes come from other processes: what is no number must not enter the sums. */
function isCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

/** Adds an outcome to the router's decayed counts, within the most that one router may weigh. */
function addCounts(host: HostRecord, router: string, outcome: AnswerOutcome, now: number): void {
  const counts = host.countsByRouter.get(router);
  const ageMs = counts ? now - counts.updatedAt : 0;
  host.countsByRouter.set(router, {
    successes: Math.min(maxSuccessesPerRouter, decayed(counts?.successes ?? 0, ageMs) + outcome.successes),
    failures: Math.min(maxFailuresPerRouter, decayed(counts?.failures ?? 0, ageMs) + outcome.failures),
    updatedAt: now,
  });
}

/** A host is admitted again after as many probes as it was ejected, up to a few, that passed in a row. */
function recordProbe(detector: OutlierDetector, host: HostRecord, router: string, failures: number, now: number): void {
  if (failures > 0) return transitionTo(detector, host, 'ejected', now);
  host.probesPassed++;
  if (host.probesPassed >= Math.min(maxRequiredProbes, host.ejectionCount))
    transitionTo(detector, host, 'admitted', now);
  else assignProbe(detector, host, router, now);
}

/** Counts what a router saw since its last report. Outcomes that make no sense are dropped. */
function recordOutcomes(detector: OutlierDetector, router: string, outcomes: AnswerOutcome[], now: number): void {
  for (const outcome of outcomes) {
    const { runner, successes, failures } = outcome;
    if (typeof runner !== 'string' || !isCount(successes) || !isCount(failures) || successes + failures === 0) continue;
    const host = hostRecord(detector, runner, now);
    addCounts(host, router, outcome, now);
    if (host.state === 'probing' && host.prober === router) recordProbe(detector, host, router, failures, now);
  }
}

/** Asks a router to send the next probe. */
function assignProbe(detector: OutlierDetector, host: HostRecord, router: string, now: number): void {
  transitionTo(detector, host, 'probing', now);
  host.prober = router;
  host.probeNumber = ++detector.probesAssigned;
}

/** The share of failures among all answers of a host; 0 while too few routers report too few of them. */
function failureShare(host: HostRecord, now: number): number {
  let reportingRouters = 0;
  let successes = 0;
  let failures = 0;
  for (const counts of host.countsByRouter.values()) {
    const ageMs = now - counts.updatedAt;
    const routerFailures = decayed(counts.failures, ageMs);
    if (routerFailures >= minRouterFailures) reportingRouters++;
    failures += routerFailures;
    successes += decayed(counts.successes, ageMs);
  }
  if (reportingRouters < minReportingRouters || failures < minFailures) return 0;
  const share = failures / (failures + successes);
  return share >= minFailureShare ? share : 0;
}

/** How long a host stays ejected before it is probed. */
function ejectionMs(host: HostRecord): number {
  return Math.min(maxEjectionMs, baseEjectionMs * 2 ** Math.max(0, host.ejectionCount - 1));
}

/** How many runners a service has, and how many of them are not admitted. */
type ServicePool = { size: number; ejected: number };

function servicePools(scope: DetectionScope): Map<string, ServicePool> {
  const pools = new Map<string, ServicePool>();
  for (const service of scope.serviceByRunner.values()) {
    const pool = pools.get(service) ?? { size: 0, ejected: 0 };
    pool.size++;
    pools.set(service, pool);
  }
  return pools;
}

/** An ejected host is probed once its time is over; a probe that nobody answered for goes to the next router. */
function assignProbeIfDue(detector: OutlierDetector, host: HostRecord, routers: string[], now: number): void {
  const waitMs = host.state === 'ejected' ? ejectionMs(host) : probeTimeoutMs;
  if (now - host.stateSince < waitMs || routers.length === 0) return;
  assignProbe(detector, host, routers[detector.probesAssigned % routers.length]!, now);
}

/** A host that is an outlier by its share of failures. */
type Candidate = { host: HostRecord; share: number; pool: ServicePool };

/** Ejects candidates, the highest share of failures first, as far as their services allow. */
function ejectWorst(detector: OutlierDetector, candidates: Candidate[], now: number): void {
  candidates.sort((a, b) => b.share - a.share);
  for (const { host, pool } of candidates) {
    if (pool.ejected + 1 > Math.floor(pool.size * maxEjectedShare)) continue;
    pool.ejected++;
    transitionTo(detector, host, 'ejected', now);
  }
}

/** Run once an interval: ejects outliers, assigns the probes that are due, and forgets runners that are gone. */
function evaluate(detector: OutlierDetector, scope: DetectionScope, now: number): void {
  const pools = servicePools(scope);
  const candidates: Candidate[] = [];
  for (const [runner, host] of detector.hosts) {
    const service = scope.serviceByRunner.get(runner);
    if (service === undefined) {
      detector.hosts.delete(runner);
      if (host.state !== 'admitted') detector.revision++;
      continue;
    }
    const pool = pools.get(service)!;
    if (host.state !== 'admitted') {
      pool.ejected++;
      assignProbeIfDue(detector, host, scope.routers, now);
      continue;
    }
    const share = failureShare(host, now);
    if (share > 0) candidates.push({ host, share, pool });
    else if (now - host.stateSince > ejectionMemoryMs) host.ejectionCount = 0;
  }
  ejectWorst(detector, candidates, now);
}

/** All runners that are not admitted. */
function ejections(detector: OutlierDetector): Ejection[] {
  const list: Ejection[] = [];
  for (const [runner, { state, prober, probeNumber }] of detector.hosts)
    if (state !== 'admitted') list.push({ runner, prober, probeNumber });
  return list;
}

export const outlierDetector = { create, recordOutcomes, evaluate, ejections, failureShare };
