/**
 * Transfers of cached prefix blocks between locations, as a pure state machine after PAPER-16 (`docs/design.md`, which
 * lists what differs from it). A hint becomes a
 * transfer only when the source's own fresh report confirms it; it runs under a lease that bounds what a source and a
 * destination have to do at once, and it counts as visible only when the destination itself reports the block. Every
 * transfer ends: by that report, by the end of its request, by the source's report that the block is gone, or when its
 * lease expires; what comes after the end changes nothing. Leases are held by the router that took them and known to
 * the others by the load it reports.
 *
 * Locations are numbered as in a router's `cachedPrefixes`; times are in ms of the process's own clock.
 */

/**
 * `hinted` to `reserved` are passed in `start`; `moving`: the request that fetches the blocks was sent; `visible`: the
 * destination has reported the block; `released` and `expired` are final.
 */
export type TransferPhase =
  'hinted' | 'confirmed' | 'leased' | 'reserved' | 'moving' | 'visible' | 'released' | 'expired';

/** `key`: that of the block whose report makes the transfer visible. `durationMs`: as the cost model estimates it. */
export type Transfer = {
  id: number;
  key: string;
  source: number;
  destination: number;
  tokens: number;
  durationMs: number;
  generation: number;
  phase: TransferPhase;
  phaseSinceMs: number;
  leaseExpiresAtMs: number;
  isSourceReleased: boolean;
};

/** What is known of a source: whether it has itself reported the blocks, and in which state of the leader's index. */
export type SourceHint = { isConfirmed: boolean; generation: number };

/** Transfers at both ends, this router's and the others': leases on the source, ms queued to the destination. */
export type LocationLoad = { leasesAtSource: number; queuedMsAtDestination: number };

/** What this router's open transfers use of a location: leases as a source, ms queued to it as a destination. */
export type LocationUsage = { sourceLeases: number; queuedMs: number };

/** Why a transfer is not started; none of these is worth a retry, since prefill is the way that always works. */
export type TransferRejection = 'unconfirmed' | 'source_busy' | 'destination_busy';

/** `late`: events for a transfer that had ended. `tokens`: of all transfers started. */
export type TransferCounts = {
  started: number;
  rejected: Record<TransferRejection, number>;
  expired: number;
  visible: number;
  released: number;
  late: number;
  tokens: number;
};

/** How long a lease lasts, and the bounds of what a source and a destination have to do at once. */
export type TransferLimits = { leaseMs: number; maxLeasesPerSource: number; maxQueuedMs: number };

/** This router's transfers that have not ended, and what they use of each location. */
export type Transfers = {
  open: Map<number, Transfer>;
  usageByLocation: Map<number, LocationUsage>;
  nextId: number;
  limits: TransferLimits;
  counts: TransferCounts;
};

/** A transfer to be started. */
export type TransferRequest = {
  key: string;
  source: number;
  destination: number;
  tokens: number;
  durationMs: number;
  hint: SourceHint;
  load: LocationLoad;
};

/** `id`: of the transfer. `key`: of a block. `location_lost`: what it reported counts no more. */
export type TransferEvent =
  | { type: 'request_sent'; id: number }
  | { type: 'request_ended'; id: number }
  | { type: 'block_reported'; location: number; key: string }
  | { type: 'block_removed'; location: number; key: string }
  | { type: 'location_lost'; location: number }
  | { type: 'tick' };

/** Sums of durations are not exact: what is left below this many ms is nothing. */
const negligibleMs = 0.001;

/** No transfers, under these limits. */
function create(limits: TransferLimits): Transfers {
  return {
    open: new Map(),
    usageByLocation: new Map(),
    nextId: 1,
    limits,
    counts: {
      started: 0,
      rejected: { unconfirmed: 0, source_busy: 0, destination_busy: 0 },
      expired: 0,
      visible: 0,
      released: 0,
      late: 0,
      tokens: 0,
    },
  };
}

const nextPhases: Record<TransferPhase, TransferPhase[]> = {
  hinted: ['confirmed', 'expired'],
  confirmed: ['leased', 'expired'],
  leased: ['reserved', 'expired'],
  reserved: ['moving', 'expired', 'released'],
  moving: ['visible', 'released', 'expired'],
  visible: ['released', 'expired'],
  released: [],
  expired: [],
};

/** The only way a transfer changes its phase. A phase that may not follow the present one changes nothing. */
function transitionTo(transfers: Transfers, transfer: Transfer, phase: TransferPhase, now: number): boolean {
  if (!nextPhases[transfer.phase].includes(phase)) return false;
  transfer.phase = phase;
  transfer.phaseSinceMs = now;
  if (phase === 'reserved') {
    transfer.leaseExpiresAtMs = now + transfers.limits.leaseMs;
    transfers.open.set(transfer.id, transfer);
    addUsage(transfers, transfer);
    transfers.counts.started++;
    transfers.counts.tokens += transfer.tokens;
  }
  if (phase === 'visible') transfers.counts.visible++;
  if (phase === 'released' || phase === 'expired') {
    if (transfers.open.delete(transfer.id) && !transfer.isSourceReleased) removeUsage(transfers, transfer);
    transfers.counts[phase]++;
  }
  return true;
}

/** Counts a transfer at its source and its destination. */
function addUsage(transfers: Transfers, transfer: Transfer): void {
  adjustUsage(transfers, transfer.source, 1, 0);
  adjustUsage(transfers, transfer.destination, 0, transfer.durationMs);
}

/** Takes back what `addUsage` counted. */
function removeUsage(transfers: Transfers, transfer: Transfer): void {
  adjustUsage(transfers, transfer.source, -1, 0);
  adjustUsage(transfers, transfer.destination, 0, -transfer.durationMs);
}

/** Changes what is counted at a location; an entry that comes to nothing is removed. */
function adjustUsage(transfers: Transfers, location: number, leases: number, queuedMs: number): void {
  const usage = transfers.usageByLocation.get(location) ?? { sourceLeases: 0, queuedMs: 0 };
  usage.sourceLeases += leases;
  usage.queuedMs += queuedMs;
  if (usage.sourceLeases <= 0 && usage.queuedMs <= negligibleMs) transfers.usageByLocation.delete(location);
  else transfers.usageByLocation.set(location, usage);
}

/** Why a transfer could not be started now, or null; starts nothing. */
function rejectionOf(
  { limits }: Transfers,
  hint: SourceHint,
  load: LocationLoad,
  durationMs: number,
): TransferRejection | null {
  if (!hint.isConfirmed) return 'unconfirmed';
  if (load.leasesAtSource >= limits.maxLeasesPerSource) return 'source_busy';
  if (load.queuedMsAtDestination + durationMs > limits.maxQueuedMs) return 'destination_busy';
  return null;
}

/** Leads a hint through confirmation, lease and reservation in one step; null, and counted, if it is rejected. */
function start(transfers: Transfers, request: TransferRequest, now: number): Transfer | null {
  const { key, source, destination, tokens, durationMs, hint, load } = request;
  const id = transfers.nextId++;
  const rejection = rejectionOf(transfers, hint, load, durationMs);
  if (rejection) {
    transfers.counts.rejected[rejection]++;
    return null;
  }
  const transfer: Transfer = {
    id,
    key,
    source,
    destination,
    tokens,
    durationMs,
    generation: hint.generation,
    phase: 'hinted',
    phaseSinceMs: now,
    leaseExpiresAtMs: now,
    isSourceReleased: false,
  };
  for (const phase of ['confirmed', 'leased', 'reserved'] as const) transitionTo(transfers, transfer, phase, now);
  return transfer;
}

/** The request was sent to the destination, which fetches the blocks from now on. */
function onRequestSent(transfers: Transfers, id: number, now: number): void {
  const transfer = transfers.open.get(id);
  if (transfer) transitionTo(transfers, transfer, 'moving', now);
  else transfers.counts.late++;
}

/**
 * The request that asked for the blocks needs the source no more: the use of the source's lease is over, and what is
 * still open is whether the destination reports the block.
 */
function onRequestEnded(transfers: Transfers, id: number, now: number): void {
  const transfer = transfers.open.get(id);
  if (!transfer) {
    transfers.counts.late++;
    return;
  }
  if (transfer.phase !== 'moving') {
    transitionTo(transfers, transfer, 'released', now);
    return;
  }
  if (!transfer.isSourceReleased) removeUsage(transfers, transfer);
  transfer.isSourceReleased = true;
}

/** A location has reported a block: the transfers that brought it there are visible. */
function onBlockReported(transfers: Transfers, location: number, key: string, now: number): void {
  for (const transfer of transfers.open.values()) {
    if (transfer.destination !== location || transfer.key !== key) continue;
    if (transitionTo(transfers, transfer, 'visible', now) && transfer.isSourceReleased)
      transitionTo(transfers, transfer, 'released', now);
  }
}

/** Expires the open transfers for which the condition holds. */
function expire(transfers: Transfers, condition: (transfer: Transfer) => boolean, now: number): void {
  for (const transfer of [...transfers.open.values()])
    if (condition(transfer)) transitionTo(transfers, transfer, 'expired', now);
}

/** Applies one event; `tick` expires leases and is to come every few hundred milliseconds. */
function step(transfers: Transfers, event: TransferEvent, now: number): void {
  switch (event.type) {
    case 'request_sent':
      onRequestSent(transfers, event.id, now);
      return;
    case 'request_ended':
      onRequestEnded(transfers, event.id, now);
      return;
    case 'block_reported':
      onBlockReported(transfers, event.location, event.key, now);
      return;
    case 'block_removed':
      expire(transfers, ({ source, key }) => source === event.location && key === event.key, now);
      return;
    case 'location_lost':
      expire(transfers, ({ source, destination }) => source === event.location || destination === event.location, now);
      return;
    case 'tick':
      expire(transfers, ({ leaseExpiresAtMs }) => now >= leaseExpiresAtMs, now);
  }
}

/** What this router's open transfers use of a location. */
function usageAt(transfers: Transfers, location: number): LocationUsage {
  return transfers.usageByLocation.get(location) ?? { sourceLeases: 0, queuedMs: 0 };
}

export const transfers = { create, start, rejectionOf, step, usageAt };
