/**
 * The roll-out planner against simulated runners that lose answers, restart and take their time: every runner ends with
 * the named weights, never more at once than the share, and a planner that may not act sends nothing.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import {
  weightsPlanner,
  type WeightsPlannerEffect,
  type WeightsPlannerState,
  type WeightsPlannerTiming,
} from '../src/coordination/singletons/weights-planner.js';
import { weightNamings } from '../src/state/control/weight-namings.js';
import type { Runner } from '../src/types.js';
import { luck } from './support/random.js';

const timing: WeightsPlannerTiming = {
  maxShare: 0.25,
  pauseSettleMs: 60,
  pollIntervalMs: 250,
  reorderAfterMs: 600,
  jobTimeoutMs: 6000,
  backoffMs: 400,
};

type Sim = { revision: number; until: number; next: number };

function runner(id: string, revision: number): Runner {
  return {
    id,
    service: 's',
    addr: id,
    zone: 'z',
    slotCount: 4,
    draining: false,
    paused: false,
    models: [{ label: 'm', revision }],
  };
}

function play(
  seed: number,
  runnerCount: number,
  lossy: boolean,
): { planner: WeightsPlannerState; sims: Map<string, Sim>; orders: number; mostAtOnce: number; ms: number } {
  const random = luck.create(seed);
  const planner = weightsPlanner.create(timing);
  const sims = new Map<string, Sim>(
    Array.from({ length: runnerCount }, (_, i): [string, Sim] => [`r${i}`, { revision: 1, until: 0, next: 1 }]),
  );
  const learned = new Map<string, number>();
  let orders = 0;
  let mostAtOnce = 0;
  let now = 0;
  function answer(effect: WeightsPlannerEffect): void {
    if (effect.kind === 'record_revision') learned.set(effect.id, effect.revision);
    if (effect.kind === 'order') {
      orders++;
      const sim = sims.get(effect.job.id)!;
      const lost = lossy && luck.next(random) < 0.3;
      if (!lost || luck.next(random) < 0.5) {
        if (sim.revision < effect.job.revision) Object.assign(sim, { until: now + 400, next: effect.job.revision });
      }
      for (const next of weightsPlanner.step(
        planner,
        {
          kind: 'ordered',
          id: effect.job.id,
          result: lost ? null : sim.revision >= effect.job.revision ? 'already_loaded' : 'started',
        },
        now,
      ))
        answer(next);
    }
    if (effect.kind === 'poll') {
      const sim = sims.get(effect.job.id)!;
      const lost = lossy && luck.next(random) < 0.2;
      for (const next of weightsPlanner.step(
        planner,
        { kind: 'reported', id: effect.job.id, revision: lost ? null : sim.revision, isBusy: sim.until > now },
        now,
      ))
        answer(next);
    }
  }
  while (now < 60_000) {
    now += 40;
    for (const sim of sims.values())
      if (sim.until > 0 && now >= sim.until) Object.assign(sim, { revision: sim.next, until: 0 });
    mostAtOnce = Math.max(mostAtOnce, [...sims.values()].filter((sim) => sim.until > now).length);
    const list = [...sims.keys()].map((id) => runner(id, learned.get(id) ?? 1));
    for (const effect of weightsPlanner.step(
      planner,
      { kind: 'tick', runners: list, targets: { m: 2 }, namings: new Map(), mayAct: true },
      now,
    ))
      answer(effect);
    if ([...sims.values()].every((sim) => sim.revision === 2) && planner.jobs.size === 0) break;
  }
  return { planner, sims, orders, mostAtOnce, ms: now };
}

test('all runners come to the named revision, a share at once', () => {
  const result = play(1, 12, false);
  assert.ok([...result.sims.values()].every((sim) => sim.revision === 2));
  assert.equal(result.orders, 12);
  assert.ok(result.mostAtOnce <= 3);
  assert.ok(result.ms < 4000, `${result.ms} ms`);
});

test('lost orders and answers only cost time', () => {
  for (let seed = 1; seed <= 30; seed++) {
    const result = play(seed, 9, true);
    assert.ok(
      [...result.sims.values()].every((sim) => sim.revision === 2),
      `seed ${seed}`,
    );
    assert.ok(result.mostAtOnce <= 2);
  }
});

test('a planner that may not act orders nothing and resumes what it paused', () => {
  const planner = weightsPlanner.create(timing);
  const list = [runner('a', 1), runner('b', 1)];
  const first = weightsPlanner.step(
    planner,
    { kind: 'tick', runners: list, targets: { m: 2 }, namings: new Map(), mayAct: true },
    0,
  );
  assert.deepEqual(first, [{ kind: 'set_paused', id: 'a', isPaused: true }]);
  const then = weightsPlanner.step(
    planner,
    { kind: 'tick', runners: list, targets: { m: 2 }, namings: new Map(), mayAct: false },
    100,
  );
  assert.deepEqual(then, [{ kind: 'set_paused', id: 'a', isPaused: false }]);
  assert.equal(planner.jobs.size, 0);
});

test('a draining runner gets no order, nor does one that is up to date', () => {
  const planner = weightsPlanner.create(timing);
  const out = weightsPlanner.step(
    planner,
    {
      kind: 'tick',
      runners: [{ ...runner('a', 1), draining: true }, runner('b', 2)],
      targets: { m: 2 },
      namings: new Map(),
      mayAct: true,
    },
    0,
  );
  assert.deepEqual(out, []);
});

test('a runner that refuses is left alone for a while', () => {
  const planner = weightsPlanner.create(timing);
  const list = [runner('a', 1)];
  weightsPlanner.step(planner, { kind: 'tick', runners: list, targets: { m: 2 }, namings: new Map(), mayAct: true }, 0);
  weightsPlanner.step(
    planner,
    { kind: 'tick', runners: list, targets: { m: 2 }, namings: new Map(), mayAct: true },
    60,
  );
  assert.deepEqual(weightsPlanner.step(planner, { kind: 'ordered', id: 'a', result: 'fenced' }, 70), [
    { kind: 'set_paused', id: 'a', isPaused: false },
  ]);
  assert.deepEqual(
    weightsPlanner.step(
      planner,
      { kind: 'tick', runners: list, targets: { m: 2 }, namings: new Map(), mayAct: true },
      100,
    ),
    [],
  );
  assert.equal(
    weightsPlanner.step(
      planner,
      { kind: 'tick', runners: list, targets: { m: 2 }, namings: new Map(), mayAct: true },
      500,
    ).length,
    1,
  );
});

test('an order that was lost is sent again, but not while its runner is busy', () => {
  const planner = weightsPlanner.create(timing);
  const list = [runner('a', 1)];
  function beat(now: number): WeightsPlannerEffect[] {
    return weightsPlanner.step(
      planner,
      { kind: 'tick', runners: list, targets: { m: 2 }, namings: new Map(), mayAct: true },
      now,
    );
  }
  beat(0);
  assert.equal(beat(60)[0]!.kind, 'order');
  weightsPlanner.step(planner, { kind: 'ordered', id: 'a', result: null }, 100);
  assert.equal(beat(400)[0]!.kind, 'poll');
  assert.deepEqual(
    weightsPlanner.step(planner, { kind: 'reported', id: 'a', revision: 1, isBusy: false }, 410),
    [],
    'its report may be old',
  );
  assert.deepEqual(
    weightsPlanner.step(planner, { kind: 'reported', id: 'a', revision: 1, isBusy: true }, 900),
    [],
    'under way',
  );
  assert.deepEqual(
    weightsPlanner.step(planner, { kind: 'reported', id: 'a', revision: null, isBusy: false }, 910),
    [],
    'no report',
  );
  assert.equal(
    weightsPlanner.step(planner, { kind: 'reported', id: 'a', revision: 1, isBusy: false }, 920)[0]!.kind,
    'order',
  );
  assert.deepEqual(
    weightsPlanner.step(planner, { kind: 'reported', id: 'a', revision: 2, isBusy: false }, 1000),
    [],
    'not asked',
  );
  weightsPlanner.step(planner, { kind: 'ordered', id: 'a', result: 'started' }, 1010);
  assert.deepEqual(
    weightsPlanner
      .step(planner, { kind: 'reported', id: 'a', revision: 2, isBusy: false }, 1400)
      .map((effect) => effect.kind),
    ['record_revision', 'set_paused'],
  );
});

test('no runner is left behind while new revisions keep being named', () => {
  const boundMs = 6800;
  const planner = weightsPlanner.create(timing);
  const namings = weightNamings.create();
  const runners = Array.from({ length: 12 }, (_, i) => runner(`r${i}`, 1));
  const loading = new Map<string, { until: number; revision: number }>();
  let revision = 1;
  for (let now = 0; now < 60_000; now += 40) {
    if (now % 1000 === 0) weightNamings.record(namings, 'm', ++revision, now);
    for (const [id, { until, revision: loaded }] of loading) {
      if (now < until) continue;
      loading.delete(id);
      runners.find((each) => each.id === id)!.models[0]!.revision = loaded;
    }
    const tick = { kind: 'tick', runners, targets: { m: revision }, namings, mayAct: true } as const;
    for (const effect of weightsPlanner.step(planner, tick, now)) {
      if (effect.kind !== 'order') continue;
      loading.set(effect.job.id, { until: now + 600, revision: effect.job.revision });
      weightsPlanner.step(planner, { kind: 'ordered', id: effect.job.id, result: 'started' }, now);
    }
    for (const each of runners) {
      const since = weightNamings.outdatedSince(namings, 'm', each.models[0]!.revision) ?? now;
      assert.ok(now - since < boundMs, `${each.id} behind for ${now - since} ms at ${now}`);
    }
  }
});
