// Moves of kept parts between runners, as a pure machine after PAPER-16: a hint becomes a transfer only
// when the source's own fresh report confirms it, runs under a lease that bounds what a source and a
// destination have to do at once, and counts as visible only when the destination itself reports the
// part. Every transfer ends: by that report, by the end of its request, by the source's word that the
// part is gone, or by its time; what comes after the end changes nothing. Leases are kept by the site
// that took them and known to the others by the load it tells; they end with the site's word.
export type TransferPhase =
  'hinted' | 'confirmed' | 'leased' | 'reserved' | 'moving' | 'visible' | 'released' | 'expired';
export type Transfer = {
  id: number;
  key: string;
  source: number;
  dest: number;
  tokens: number;
  ms: number;
  generation: number;
  phase: TransferPhase;
  since: number;
  leaseUntil: number;
  isUsed: boolean;
};
export type Hint = { isConfirmed: boolean; generation: number };
export type Load = { leasesAtSource: number; queuedMsAtDest: number };
export type TransferCounts = {
  begun: number;
  refused: Record<Refusal, number>;
  expired: number;
  visible: number;
  released: number;
  late: number;
  tokens: number;
};
export type Refusal = 'unconfirmed' | 'source' | 'queue';
export type Transfers = {
  open: Map<number, Transfer>;
  byPlace: Map<number, { source: number; dest: number }>;
  nextId: number;
  timing: TransferTiming;
  counts: TransferCounts;
};
export type TransferTiming = { leaseMs: number; mostAtSource: number; longestQueueMs: number };

export type TransferEvent =
  | { e: 'sent'; id: number }
  | { e: 'kept'; place: number; key: string }
  | { e: 'gone'; place: number; key: string | null }
  | { e: 'ended'; id: number }
  | { e: 'beat' };

function create(timing: TransferTiming): Transfers {
  return {
    open: new Map(),
    byPlace: new Map(),
    nextId: 1,
    timing,
    counts: {
      begun: 0,
      refused: { unconfirmed: 0, source: 0, queue: 0 },
      expired: 0,
      visible: 0,
      released: 0,
      late: 0,
      tokens: 0,
    },
  };
}

const after: Record<TransferPhase, TransferPhase[]> = {
  hinted: ['confirmed', 'expired'],
  confirmed: ['leased', 'expired'],
  leased: ['reserved', 'expired'],
  reserved: ['moving', 'expired', 'released'],
  moving: ['visible', 'released', 'expired'],
  visible: ['released', 'expired'],
  released: [],
  expired: [],
};

// The one place where a transfer changes its phase. A step that does not follow changes nothing.
function turn(s: Transfers, t: Transfer, phase: TransferPhase, now: number): boolean {
  if (!after[t.phase].includes(phase)) return false;
  t.phase = phase;
  t.since = now;
  if (phase === 'reserved') {
    t.leaseUntil = now + s.timing.leaseMs;
    s.open.set(t.id, t);
    count(s, t, 1);
    s.counts.begun++;
    s.counts.tokens += t.tokens;
  }
  if (phase === 'visible') s.counts.visible++;
  if (phase === 'released' || phase === 'expired') {
    if (s.open.delete(t.id) && !t.isUsed) count(s, t, -1);
    s.counts[phase]++;
  }
  return true;
}

function count(s: Transfers, t: Transfer, sign: 1 | -1): void {
  for (const [place, end] of [
    [t.source, 'source'],
    [t.dest, 'dest'],
  ] as const) {
    const at = s.byPlace.get(place) ?? { source: 0, dest: 0 };
    at[end] += end === 'source' ? sign : sign * t.ms;
    if (at.source <= 0 && at.dest <= 0.001) s.byPlace.delete(place);
    else s.byPlace.set(place, at);
  }
}

// Whether a transfer could be begun, without beginning it: the refusal, or null.
function refusal(s: Transfers, h: Hint, load: Load, ms: number): Refusal | null {
  if (!h.isConfirmed) return 'unconfirmed';
  if (load.leasesAtSource >= s.timing.mostAtSource) return 'source';
  if (load.queuedMsAtDest + ms > s.timing.longestQueueMs) return 'queue';
  return null;
}

// Leads a hint through confirmation, lease and reservation in one step; null, and a count, if refused.
function begin(
  s: Transfers,
  a: { key: string; source: number; dest: number; tokens: number; ms: number; hint: Hint; load: Load },
  now: number,
): Transfer | null {
  const t: Transfer = {
    id: s.nextId++,
    key: a.key,
    source: a.source,
    dest: a.dest,
    tokens: a.tokens,
    ms: a.ms,
    generation: a.hint.generation,
    phase: 'hinted',
    since: now,
    leaseUntil: now,
    isUsed: false,
  };
  const no = refusal(s, a.hint, a.load, a.ms);
  if (no) {
    s.counts.refused[no]++;
    return null;
  }
  for (const phase of ['confirmed', 'leased', 'reserved'] as const) turn(s, t, phase, now);
  return t;
}

// The request that asked for the parts needs the source no more: the lease's use is over, and what is
// still open is whether the destination reports the part.
function ended(s: Transfers, t: Transfer, now: number): void {
  if (t.phase !== 'moving') {
    turn(s, t, 'released', now);
    return;
  }
  if (!t.isUsed) count(s, t, -1);
  t.isUsed = true;
}

function step(s: Transfers, ev: TransferEvent, now: number): void {
  switch (ev.e) {
    case 'sent':
    case 'ended': {
      const t = s.open.get(ev.id);
      if (!t) s.counts.late++;
      else if (ev.e === 'sent') turn(s, t, 'moving', now);
      else ended(s, t, now);
      return;
    }
    case 'kept':
      for (const t of s.open.values())
        if (t.dest === ev.place && t.key === ev.key && turn(s, t, 'visible', now) && t.isUsed)
          turn(s, t, 'released', now);
      return;
    case 'gone':
      for (const t of [...s.open.values()])
        if (
          (t.source === ev.place || (ev.key === null && t.dest === ev.place)) &&
          (ev.key === null || t.key === ev.key)
        )
          turn(s, t, 'expired', now);
      return;
    case 'beat':
      for (const t of [...s.open.values()]) if (now >= t.leaseUntil) turn(s, t, 'expired', now);
  }
}

function at(s: Transfers, place: number): { source: number; dest: number } {
  return s.byPlace.get(place) ?? { source: 0, dest: 0 };
}

export const transfers = { create, begin, refusal, step, at };
