/**
 * The leader's totals of what all routers have at each endpoint, as a pure state machine. Routers report all they have
 * under a running number; the totals follow as reports come and are published once an interval under a revision,
 * so that a router is sent only what changed since the revision it has. How much of a total is a router's own is
 * known by the number of its last report that was published: the router takes that off itself.
 */
import { endpointLoad } from './endpoint-load.js';
import type { EndpointLoad } from '../../types.js';

/** An endpoint's total as of now (`live`) and as last published under `revision`; `changedAt` in ms. */
type EndpointTotal = { live: EndpointLoad; published: EndpointLoad; revision: number; changedAt: number };

/** What a router said last; `publishedNumber` is its last report that the published totals contain. */
export type RouterReport = {
  incarnation: string;
  number: number;
  publishedNumber: number;
  /** In ms of the leader's steady clock. */
  receivedAt: number;
  loads: ReadonlyMap<string, EndpointLoad>;
  unhealthyRunners: string[];
};

/** A report as it comes in. */
export type IncomingReport = { router: string } & Pick<
  RouterReport,
  'incarnation' | 'number' | 'loads' | 'unhealthyRunners'
>;

/** What was published since some revision; `isFull` when it is everything there is. */
export type LoadDelta = { revision: number; isFull: boolean; totals: ReadonlyMap<string, EndpointLoad> };

/** Totals by endpoint id, with the reports that they are made of; an endpoint is a runner or the store. */
export type LoadAggregate = {
  /** The revision of the last publication. */
  revision: number;
  /** Who has an older revision than this is sent everything, since totals were removed since then. */
  oldestRevision: number;
  totals: Map<string, EndpointTotal>;
  /** Endpoints whose live total may differ from the published one. */
  changed: Set<string>;
  routers: Map<string, RouterReport>;
  /** Deltas of the present revision by the revision they begin at: many routers stand at the same one. */
  deltas: Map<number, LoadDelta>;
};

/** A total that is off by less than all of these waits for up to `maxDelayMs` before it is published. */
const minTokens = 768;
const minRequests = 3;
const minTransferMs = 50;
const maxDelayMs = 400;
/** For how many revisions a total of zero is remembered. */
const retainedRevisions = 4000;

/** An aggregate without reports, at revision 1. */
function create(): LoadAggregate {
  return {
    revision: 1,
    oldestRevision: 0,
    totals: new Map(),
    changed: new Set(),
    routers: new Map(),
    deltas: new Map(),
  };
}

/** Adds a load to an endpoint's live total (`sign` 1) or subtracts it (-1), and marks the total as changed. */
function accumulate(aggregate: LoadAggregate, id: string, load: EndpointLoad, sign: 1 | -1, now: number): void {
  let total = aggregate.totals.get(id);
  if (!total) {
    total = { live: endpointLoad.zero(), published: endpointLoad.zero(), revision: 0, changedAt: now };
    aggregate.totals.set(id, total);
  }
  endpointLoad.accumulate(total.live, load, sign);
  if (aggregate.changed.has(id)) return;
  aggregate.changed.add(id);
  total.changedAt = now;
}

/** Subtracts a router's last report from the totals. */
function removeRouter(aggregate: LoadAggregate, router: string, now: number): void {
  const last = aggregate.routers.get(router);
  if (!last) return;
  for (const [id, load] of last.loads) accumulate(aggregate, id, load, -1, now);
  aggregate.routers.delete(router);
}

/** Subtracts the loads that changed and adds the new ones; loads that are equal in both reports are not touched. */
function replaceLoads(
  aggregate: LoadAggregate,
  previous: RouterReport['loads'] | undefined,
  next: RouterReport['loads'],
  now: number,
): void {
  for (const [id, load] of previous ?? []) {
    const replacement = next.get(id);
    if (!replacement || !endpointLoad.equals(replacement, load)) accumulate(aggregate, id, load, -1, now);
  }
  for (const [id, load] of next) {
    const replaced = previous?.get(id);
    if (!replaced || !endpointLoad.equals(replaced, load)) accumulate(aggregate, id, load, 1, now);
  }
}

/**
 * Counts a report; false when it is not newer than the last of the same incarnation and so changes nothing. What
 * an earlier incarnation of the router had is forgotten.
 */
function applyReport(aggregate: LoadAggregate, report: IncomingReport, now: number): boolean {
  const { router, incarnation, number, loads, unhealthyRunners } = report;
  let last = aggregate.routers.get(router);
  if (last && last.incarnation !== incarnation) {
    removeRouter(aggregate, router, now);
    last = undefined;
  }
  if (last && number <= last.number) return false;
  replaceLoads(aggregate, last?.loads, loads, now);
  const publishedNumber = last?.publishedNumber ?? 0;
  aggregate.routers.set(router, { incarnation, number, publishedNumber, receivedAt: now, loads, unhealthyRunners });
  return true;
}

/** Whether a total is so near to the published one that its publication may wait. */
function isMinor({ live, published }: EndpointTotal): boolean {
  const tokens = live.prefillTokens + live.reservedTokens - published.prefillTokens - published.reservedTokens;
  return (
    Math.abs(tokens) < minTokens &&
    Math.abs(live.activeRequests - published.activeRequests) < minRequests &&
    live.transferLeases === published.transferLeases &&
    Math.abs(live.transferQueueMs - published.transferQueueMs) < minTransferMs
  );
}

/** The changed totals that are to be published now; the others wait or have come back to what was published. */
function takeDue(aggregate: LoadAggregate, now: number): EndpointTotal[] {
  const due: EndpointTotal[] = [];
  for (const id of aggregate.changed) {
    const total = aggregate.totals.get(id)!;
    if (endpointLoad.equals(total.live, total.published)) aggregate.changed.delete(id);
    else if (!isMinor(total) || now - total.changedAt >= maxDelayMs) {
      due.push(total);
      aggregate.changed.delete(id);
    }
  }
  return due;
}

/**
 * Run once an interval: forgets routers that have not reported for `routerTimeoutMs`, and publishes what changed under a new
 * revision. False when there is nothing to publish.
 */
function publish(aggregate: LoadAggregate, routerTimeoutMs: number, now: number): boolean {
  for (const [router, report] of aggregate.routers)
    if (now - report.receivedAt > routerTimeoutMs) removeRouter(aggregate, router, now);
  const due = takeDue(aggregate, now);
  if (due.length === 0) return false;
  aggregate.revision++;
  aggregate.deltas.clear();
  for (const total of due) {
    total.published = { ...total.live };
    total.revision = aggregate.revision;
  }
  for (const report of aggregate.routers.values()) report.publishedNumber = report.number;
  prune(aggregate);
  return true;
}

/** Removes totals that have been zero for long. */
function prune(aggregate: LoadAggregate): void {
  const before = aggregate.revision - retainedRevisions;
  for (const [id, total] of aggregate.totals) {
    if (total.revision > before || aggregate.changed.has(id) || !endpointLoad.isZero(total.published)) continue;
    aggregate.totals.delete(id);
    aggregate.oldestRevision = Math.max(aggregate.oldestRevision, total.revision);
  }
}

/** What was published since a revision. */
function deltaSince(aggregate: LoadAggregate, revision: number): LoadDelta {
  const cached = aggregate.deltas.get(revision);
  if (cached) return cached;
  const isFull = revision < aggregate.oldestRevision || revision <= 0 || revision > aggregate.revision;
  const totals = new Map<string, EndpointLoad>();
  for (const [id, total] of aggregate.totals)
    if (isFull ? !endpointLoad.isZero(total.published) : total.revision > revision) totals.set(id, total.published);
  const delta = { revision: aggregate.revision, isFull, totals };
  aggregate.deltas.set(revision, delta);
  return delta;
}

/** The number of a router's last report that the published totals contain; 0 for none of this incarnation. */
function publishedReportNumber(aggregate: LoadAggregate, router: string, incarnation: string): number {
  const report = aggregate.routers.get(router);
  return report?.incarnation === incarnation ? report.publishedNumber : 0;
}

export const loadAggregate = { create, applyReport, publish, deltaSince, publishedReportNumber };
