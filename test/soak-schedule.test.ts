/** Schedules of the soak: drawn from their seed alone, read back as they were printed, and made smaller while they fail. */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import { soakSchedules, type SoakSchedule, type SoakSize } from './soak/schedule.js';

const size: SoakSize = { seconds: 60, coordinators: 5, routers: 4, runners: 8 };
const seeds = Array.from({ length: 200 }, (_, index) => index + 1);

test('a seed draws the same schedule each time, another seed another one', () => {
  for (const seed of seeds) assert.deepEqual(soakSchedules.draw(seed, size), soakSchedules.draw(seed, size));
  const drawn = new Set(seeds.map((seed) => JSON.stringify(soakSchedules.draw(seed, size).entries)));
  assert.equal(drawn.size, seeds.length);
});

test('every kind of action is drawn, in the order of time and for machines that there are', () => {
  const entries = seeds.map((seed) => soakSchedules.draw(seed, size).entries);
  for (const list of entries)
    assert.deepEqual(
      list,
      list.toSorted((a, b) => a.atMs - b.atMs),
    );
  const actions = entries.flat().map(({ action }) => action);
  const kinds = new Set(actions.map(({ kind }) => kind));
  const expected = ['terminate', 'kill', 'hang_up', 'freeze', 'wipe', 'kill_core', 'link', 'change', 'race'];
  const others = ['invalid_order', 'name_weights', 'crash_runner', 'drain_runner', 'platform'];
  assert.deepEqual([...kinds].sort(), [...expected, ...others].sort());
  const nodes = new Set([...soakSchedules.coreNodes(size), ...soakSchedules.routerNodes(size)]);
  for (const action of actions) if ('node' in action) assert.ok(nodes.has(action.node), action.node);
});

test('a schedule that was printed is read back; anything else is refused', () => {
  for (const seed of seeds.slice(0, 20)) {
    const schedule = soakSchedules.draw(seed, size);
    assert.deepEqual(soakSchedules.parse(soakSchedules.format(schedule)), schedule);
  }
  for (const text of ['null', '[]', '{"seed": 1}', '{"seed": 1, "size": {"seconds": 1}, "entries": 3}'])
    assert.throws(() => soakSchedules.parse(text), /no schedule/);
});

test('a failing schedule is left with the entries that it needs', async () => {
  const schedule = soakSchedules.draw(3, size);
  const needed = [schedule.entries[2]!, schedule.entries.at(-2)!];
  let plays = 0;
  function fails({ entries }: SoakSchedule): Promise<boolean> {
    plays++;
    return Promise.resolve(needed.every((entry) => entries.includes(entry)));
  }
  const smallest = await soakSchedules.shrink(schedule, fails, 500);
  assert.deepEqual(smallest.entries, needed);
  plays = 0;
  await soakSchedules.shrink(schedule, fails, 3);
  assert.equal(plays, 3);
});
