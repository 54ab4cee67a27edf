// A site's part in tracking the hot prefixes, as a pure machine after the paper's section 2: it counts
// what it sends, and reports a prefix, or its total, when it has grown by its share of the allowed
// error since the last report. Until the total reaches k/ε every prefix is reported. Reports carry
// counts, not increments, under a running number, so one that is lost or comes twice does no harm.
export type SiteCount = { m: number; grown: number; tokens: number };
export type SiteTracker = {
  epsilon: number;
  life: string;
  era: number;
  k: number;
  S: number;
  m: number;
  grown: number;
  counts: Map<string, SiteCount>;
  dirty: Set<string>;
  totalDue: boolean;
  gather: number;
  seq: number;
  unanswered: Report | null;
};
export type Report = { seq: number; era: number; m: number; counts: [string, number, number][]; gather: number };

function create(epsilon: number, life: string): SiteTracker {
  return {
    epsilon,
    life,
    era: 0,
    k: 0,
    S: 0,
    m: 0,
    grown: 0,
    counts: new Map(),
    dirty: new Set(),
    totalDue: false,
    gather: 0,
    seq: 0,
    unanswered: null,
  };
}

// How far a counter may grow unreported: nothing while the fleet is small or unknown.
function slack(t: SiteTracker): number {
  if (t.k === 0 || t.S < t.k / t.epsilon) return 1;
  return Math.max(1, (t.epsilon * t.S) / (3 * t.k));
}

function arrive(t: SiteTracker, x: string, tokens: number): void {
  const c = t.counts.get(x) ?? { m: 0, grown: 0, tokens };
  c.m++;
  c.grown++;
  c.tokens = Math.max(c.tokens, tokens);
  t.counts.set(x, c);
  t.m++;
  t.grown++;
  const most = slack(t);
  if (c.grown >= most) t.dirty.add(x);
  if (t.grown >= most) t.totalDue = true;
}

// What is to be reported now, or null. A report that was not answered is sent again with what has
// come since, under a new number.
function report(t: SiteTracker): Report | null {
  if (t.dirty.size === 0 && !t.totalDue && t.unanswered === null) return null;
  for (const [x] of t.unanswered?.counts ?? []) if (t.counts.has(x)) t.dirty.add(x);
  t.seq++;
  const counts: [string, number, number][] = [];
  for (const x of t.dirty) {
    const c = t.counts.get(x)!;
    counts.push([x, c.m, c.tokens]);
    c.grown = 0;
  }
  t.dirty.clear();
  t.totalDue = false;
  t.grown = 0;
  t.unanswered = { seq: t.seq, era: t.era, m: t.m, counts, gather: t.gather };
  return t.unanswered;
}

// The coordinator has taken a report; when it did not know this site, everything is told anew.
function answered(t: SiteTracker, seq: number, known: boolean): void {
  if (t.unanswered?.seq === seq) t.unanswered = null;
  if (!known) tellAll(t);
}

function tellAll(t: SiteTracker): void {
  for (const x of t.counts.keys()) t.dirty.add(x);
  t.totalDue = true;
}

// What the coordinator broadcasts: k, the total, the number of the gathering, and the era. A new era
// halves what stands here, as it does at the coordinator. A total that fell allows less unreported
// growth than there may be, so everything is told.
function told(t: SiteTracker, b: { k: number; total: number; gather: number; era: number }): void {
  t.k = b.k;
  if (b.total < t.S) tellAll(t);
  t.S = b.total;
  if (b.gather > t.gather) {
    t.gather = b.gather;
    t.totalDue = true;
  }
  while (t.era < b.era) {
    t.era++;
    halve(t);
  }
}

function halve(t: SiteTracker): void {
  t.m = 0;
  for (const [x, c] of t.counts) {
    c.m = Math.floor(c.m / 2);
    c.grown = 0;
    t.m += c.m;
    if (c.m === 0) t.counts.delete(x);
  }
  t.dirty.clear();
  t.unanswered = null;
  tellAll(t);
}

// Prefixes of retired weights leave, and with them their part of the total.
function retire(t: SiteTracker, isRetired: (x: string) => boolean): void {
  let any = false;
  for (const [x, c] of t.counts) {
    if (!isRetired(x)) continue;
    t.m -= c.m;
    t.counts.delete(x);
    t.dirty.delete(x);
    any = true;
  }
  if (any) t.totalDue = true;
}

export const siteTracker = { create, arrive, report, answered, told, retire, slack };
