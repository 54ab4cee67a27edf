/**
 * A budget of bytes per second for what a coordinator sends without haste, so that heartbeats and orders
 * find room on its link. It fills steadily up to a small reserve; what is sent is taken off afterwards and
 * may take it below nothing, from where it has to recover before more is sent.
 */

/** `level`: bytes that may be sent now; `updatedAt` in ms of the steady clock. */
export type Budget = { bytesPerMs: number; level: number; updatedAt: number };

/** The reserve, as the time in which it fills. */
const reserveMs = 250;
const bytesPerMsAtOneMegabit = 125;

/** A budget of a share of a link of `megabits` per second. */
function create(megabits: number, share: number, now: number): Budget {
  const bytesPerMs = megabits * bytesPerMsAtOneMegabit * share;
  return { bytesPerMs, level: bytesPerMs * reserveMs, updatedAt: now };
}

function refill(budget: Budget, now: number): void {
  const grown = budget.level + (now - budget.updatedAt) * budget.bytesPerMs;
  budget.level = Math.min(grown, budget.bytesPerMs * reserveMs);
  budget.updatedAt = now;
}

function hasRoom(budget: Budget, now: number): boolean {
  refill(budget, now);
  return budget.level > 0;
}

function spend(budget: Budget, bytes: number): void {
  budget.level -= bytes;
}

export const pacing = { create, hasRoom, spend };
