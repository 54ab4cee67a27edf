/**
 * The end of a day: right after an acknowledgement, or while an order is under way, some members lose their disks and all
 * other machines lose power at the same moment, routers among them. Every set of members that the tolerance allows is
 * tried. What was acknowledged must be there afterwards, and all members and routers must have it.
 */
import { strict as assert } from 'node:assert';
import { describe, test } from 'node:test';
import type { Moment } from './sim/faults.js';
import { play } from './sim/play.js';
import { schedules, type Schedule } from './sim/schedule.js';
import { testsAtOnce } from './support/in-worker.js';
import { subsets } from './support/subsets.js';

function scheduleOf(coreCount: number, members: number[], moment: Moment, seed: number): Schedule {
  const habits = { underWay: 2, pauseMs: 60, paddingBytes: 0, patienceMs: 3000 };
  return {
    options: { seed, coreCount, routerCount: 3, operatorCount: 2, runnerCount: 2, habits, megabits: 120 },
    steps: [{ waitMs: 1000, moment, fault: { kind: 'wipe_set_and_power_all', members, forMs: 600 } }],
  };
}

async function holds(schedule: Schedule): Promise<void> {
  const { violation, struck, acknowledged } = await play(schedule);
  assert.equal(violation, null, `${violation?.text} at ${violation?.atMs} ms:\n${schedules.format(schedule)}`);
  assert.equal(struck.get('wipe_set_and_power_all'), 1, 'the fault was carried out');
  assert.ok(acknowledged > 0);
}

void describe('lost disks while all other machines lose power', { concurrency: testsAtOnce }, () => {
  for (const [coreCount, tolerance] of [
    [3, 1],
    [5, 2],
  ] as const)
    for (const members of subsets(coreCount, tolerance))
      for (const moment of ['after_acknowledgement', 'order_under_way'] as const)
        test(`disks ${members.join(' and ')} of ${coreCount}, ${moment}`, async () => {
          await holds(scheduleOf(coreCount, members, moment, coreCount + members.length));
        });
});
