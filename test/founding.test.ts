/**
 * The first second of a group. Guards against an acknowledgement that the founders alone have given while the deployment
 * bears more losses than they do (`review/4`): right after the first one, and soon after it, each set of members that the
 * tolerance allows loses its disks. What was acknowledged must be there afterwards.
 */
import { strict as assert } from 'node:assert';
import { describe, test } from 'node:test';
import { play } from './sim/play.js';
import { schedules, type Schedule } from './sim/schedule.js';
import { subsets } from './support/subsets.js';
import { testsAtOnce } from './support/in-worker.js';

const coreCount = 5;
const tolerance = 2;
/** From the first acknowledgement to the loss, in ms. */
const delaysMs = [0, 40];

function scheduleOf(members: number[], delayMs: number, seed: number): Schedule {
  const habits = { underWay: 2, pauseMs: 60, paddingBytes: 0, patienceMs: 3000 };
  return {
    isFounding: true,
    options: { seed, coreCount, routerCount: 2, operatorCount: 2, runnerCount: 2, habits, megabits: 120 },
    steps: [
      { waitMs: 0, moment: 'after_acknowledgement', fault: { kind: 'network', forMs: 0, conditions: {} } },
      { waitMs: delayMs, moment: 'now', fault: { kind: 'wipe_set', members, forMs: 600 } },
    ],
  };
}

void describe('disks lost right after the first acknowledgement', { concurrency: testsAtOnce }, () => {
  for (const members of subsets(coreCount, tolerance))
    for (const delayMs of delaysMs)
      test(`disks ${members.join(' and ')} of ${coreCount}, ${delayMs} ms after it`, async () => {
        const schedule = scheduleOf(members, delayMs, 100 + members[0]! + delayMs);
        const { violation, struck, acknowledged } = await play(schedule);
        assert.equal(violation, null, `${violation?.text} at ${violation?.atMs} ms:\n${schedules.format(schedule)}`);
        assert.equal(struck.get('wipe_set'), 1, 'the fault was carried out');
        assert.ok(acknowledged > 0);
      });
});
