/**
 * Bounds the memory that all callers of a process make it hold together. Bytes are reserved before they are read and
 * released at every end of what they were read for. Where capacity is short, a reservation takes that of others whose
 * caller has stalled; a small one also takes that of those who hold more. What is complete and in use is never taken. Pure but for the callbacks; times are in ms on one steady clock of the caller's.
 */

/**
 * - `reading`: more of it is expected, and it may be revoked.
 * - `waiting`: the same, but it is the process that does not read on.
 * - `in_use`: complete; it stays until it is released.
 */
export type ReservationState = 'reading' | 'waiting' | 'in_use';

/** The bytes of one owner; belongs to the budget that opened it. */
export type Reservation = {
  state: ReservationState;
  heldBytes: number;
  /** When the owner last received a good part of what is due, in its own judgement. */
  lastProgressAt: number;
  /** Receiving it takes far more processor time than its bytes would. */
  isCostly: boolean;
  /** Earlier reservations have lower numbers. */
  readonly sequence: number;
  /** Called once when its bytes are given to another; the owner drops what it holds. */
  readonly onRevoked: () => void;
};

/** Counts since the budget was created. */
export type BudgetCounters = { peakBytes: number; revoked: number; refused: number };

export type ResourceBudget = {
  capacityBytes: number;
  heldBytes: number;
  readonly counters: BudgetCounters;
  readonly reservations: Set<Reservation>;
  lastSequence: number;
};

/** An owner that has received next to nothing for so long has stalled, in ms. */
const stalledAfterMs = 1000;

/** So many costly reservations are received at a time. */
const maxCostly = 2;

/** A reservation of so many bytes or fewer is small. */
const smallBytes = 128 * 1024;

function create(capacityBytes: number): ResourceBudget {
  return {
    capacityBytes,
    heldBytes: 0,
    counters: { peakBytes: 0, revoked: 0, refused: 0 },
    reservations: new Set(),
    lastSequence: 0,
  };
}

/** A reservation of nothing yet. `onRevoked` must not reserve. */
function open(budget: ResourceBudget, now: number, onRevoked: () => void): Reservation {
  const sequence = ++budget.lastSequence;
  const reservation: Reservation = {
    state: 'reading',
    heldBytes: 0,
    lastProgressAt: now,
    isCostly: false,
    sequence,
    onRevoked,
  };
  budget.reservations.add(reservation);
  return reservation;
}

function isOpen(budget: ResourceBudget, reservation: Reservation): boolean {
  return budget.reservations.has(reservation);
}

/** Gives all bytes of a reservation back and ends it; a second call does nothing. */
function release(budget: ResourceBudget, reservation: Reservation): void {
  if (!budget.reservations.delete(reservation)) return;
  budget.heldBytes -= reservation.heldBytes;
  reservation.heldBytes = 0;
}

function revoke(budget: ResourceBudget, reservation: Reservation): void {
  release(budget, reservation);
  budget.counters.revoked++;
  reservation.onRevoked();
}

function isStalled({ state, lastProgressAt }: Reservation, now: number): boolean {
  return state === 'reading' && now - lastProgressAt >= stalledAfterMs;
}

/** Whether `other` holds more; of two that hold the same, the later one gives way. */
function outweighs(other: Reservation, reservation: Reservation): boolean {
  if (other.heldBytes !== reservation.heldBytes) return other.heldBytes > reservation.heldBytes;
  return other.sequence > reservation.sequence;
}

/** Those that give way to a reservation of `bytes` more, first the stalled ones, of each kind the largest first. */
function victimsFor(budget: ResourceBudget, reservation: Reservation, bytes: number, now: number): Reservation[] {
  const isSmall = reservation.heldBytes + bytes <= smallBytes;
  const eligible = [...budget.reservations].filter(
    (other) =>
      other !== reservation &&
      other.state !== 'in_use' &&
      other.heldBytes > 0 &&
      (isStalled(other, now) || (isSmall && outweighs(other, reservation))),
  );
  return eligible.sort((a, b) => Number(isStalled(b, now)) - Number(isStalled(a, now)) || (outweighs(a, b) ? -1 : 1));
}

/** Revokes others until `bytes` are free; revokes none where that would not be enough. */
function makeRoom(budget: ResourceBudget, reservation: Reservation, bytes: number, now: number): boolean {
  let missing = budget.heldBytes + bytes - budget.capacityBytes;
  if (missing <= 0) return true;
  const chosen: Reservation[] = [];
  for (const victim of victimsFor(budget, reservation, bytes, now)) {
    chosen.push(victim);
    missing -= victim.heldBytes;
    if (missing <= 0) break;
  }
  if (missing > 0) return false;
  for (const victim of chosen) revoke(budget, victim);
  return true;
}

/** Adds `bytes` to a reservation; false, with nothing changed, where there is no room for them now. */
function tryReserve(budget: ResourceBudget, reservation: Reservation, bytes: number, now: number): boolean {
  if (!isOpen(budget, reservation) || !makeRoom(budget, reservation, bytes, now)) return false;
  reservation.heldBytes += bytes;
  budget.heldBytes += bytes;
  budget.counters.peakBytes = Math.max(budget.counters.peakBytes, budget.heldBytes);
  return true;
}

/** Marks a reservation as costly; false where there are enough of them, none of which has stalled. */
function tryMarkCostly(budget: ResourceBudget, reservation: Reservation, now: number): boolean {
  const others = [...budget.reservations].filter(({ isCostly, state }) => isCostly && state !== 'in_use');
  if (others.length >= maxCostly) {
    const stalled = others.find((other) => isStalled(other, now));
    if (!stalled) return false;
    revoke(budget, stalled);
  }
  reservation.isCostly = true;
  return true;
}

/** Gives back what a reservation holds beyond `bytes`. */
function shrinkTo(budget: ResourceBudget, reservation: Reservation, bytes: number): void {
  const excess = reservation.heldBytes - bytes;
  if (!isOpen(budget, reservation) || excess <= 0) return;
  reservation.heldBytes -= excess;
  budget.heldBytes -= excess;
}

export const resourceBudget = { create, open, isOpen, tryReserve, tryMarkCostly, shrinkTo, release };
