/** The budget of what callers make a process hold: its sum, who gives way to whom, and that nothing stays behind. */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import fc from 'fast-check';
import { resourceBudget, type Reservation, type ResourceBudget } from '../src/runtime/resource-budget.js';

const capacity = 1000;
const stalledMs = 1000;
const seed = 3101;

function open(budget: ResourceBudget, bytes: number, now = 0): { reservation: Reservation; revoked: () => boolean } {
  let isRevoked = false;
  const reservation = resourceBudget.open(budget, now, () => (isRevoked = true));
  assert.ok(resourceBudget.tryReserve(budget, reservation, bytes, now));
  return { reservation, revoked: () => isRevoked };
}

test('the one that holds most gives way to one that holds less', () => {
  const budget = resourceBudget.create(capacity);
  const [large, middle, small] = [open(budget, 500), open(budget, 300), open(budget, 100)];
  assert.ok(resourceBudget.tryReserve(budget, small.reservation, 200, 0));
  assert.deepEqual([large.revoked(), middle.revoked(), small.revoked()], [true, false, false]);
  assert.equal(budget.heldBytes, 600);
});

test('the one that holds most gets no more while the others make progress, and gets it once they have stalled', () => {
  const budget = resourceBudget.create(capacity);
  const [large, small] = [open(budget, 600), open(budget, 400)];
  assert.equal(resourceBudget.tryReserve(budget, large.reservation, 1, stalledMs - 1), false);
  assert.ok(resourceBudget.tryReserve(budget, large.reservation, 1, stalledMs));
  assert.deepEqual([large.revoked(), small.revoked()], [false, true]);
});

test('of two that hold the same the later one gives way', () => {
  const budget = resourceBudget.create(capacity);
  const [first, second] = [open(budget, 500), open(budget, 500)];
  assert.equal(resourceBudget.tryReserve(budget, second.reservation, 1, 0), false);
  assert.ok(resourceBudget.tryReserve(budget, first.reservation, 1, 0));
  assert.ok(second.revoked());
});

test('nothing that is in use gives way, and nobody does where it would not be enough', () => {
  const budget = resourceBudget.create(capacity);
  const [inUse, reading, small] = [open(budget, 700), open(budget, 200), open(budget, 100)];
  inUse.reservation.state = 'in_use';
  assert.equal(resourceBudget.tryReserve(budget, small.reservation, 300, 0), false);
  assert.deepEqual([inUse.revoked(), reading.revoked(), small.reservation.heldBytes], [false, false, 100]);
  assert.ok(resourceBudget.tryReserve(budget, small.reservation, 200, 0));
  assert.deepEqual([inUse.revoked(), reading.revoked()], [false, true]);
});

type Operation = { kind: 'open' | 'reserve' | 'shrink' | 'use' | 'release' | 'wait'; index: number; bytes: number };

const operation: fc.Arbitrary<Operation> = fc.record({
  kind: fc.constantFrom('open', 'open', 'reserve', 'reserve', 'reserve', 'shrink', 'use', 'release', 'wait'),
  index: fc.nat(20),
  bytes: fc.nat(400),
});

function apply(budget: ResourceBudget, all: Reservation[], drawn: Operation, now: number): void {
  const chosen = all[drawn.index % Math.max(1, all.length)];
  if (drawn.kind === 'open') {
    const reservation: Reservation = resourceBudget.open(budget, now, () => {
      assert.notEqual(reservation.state, 'in_use');
      assert.equal(reservation.heldBytes, 0);
    });
    all.push(reservation);
  } else if (!chosen) return;
  else if (drawn.kind === 'reserve') resourceBudget.tryReserve(budget, chosen, drawn.bytes, now);
  else if (drawn.kind === 'shrink') resourceBudget.shrinkTo(budget, chosen, drawn.bytes);
  else if (drawn.kind === 'use') chosen.state = 'in_use';
  else if (drawn.kind === 'wait') chosen.state = 'waiting';
  else resourceBudget.release(budget, chosen);
}

test('drawn operations never hold more than the capacity, and leave nothing behind', () => {
  fc.assert(
    fc.property(fc.array(operation, { maxLength: 200 }), (operations) => {
      const budget = resourceBudget.create(capacity);
      const all: Reservation[] = [];
      for (const [step, drawn] of operations.entries()) {
        apply(budget, all, drawn, step * 100);
        const sum = [...budget.reservations].reduce((bytes, { heldBytes }) => bytes + heldBytes, 0);
        assert.equal(budget.heldBytes, sum);
        assert.ok(sum <= capacity && budget.counters.peakBytes <= capacity);
      }
      for (const reservation of all) resourceBudget.release(budget, reservation);
      assert.deepEqual([budget.heldBytes, budget.reservations.size], [0, 0]);
    }),
    { seed, numRuns: 2000 },
  );
});
