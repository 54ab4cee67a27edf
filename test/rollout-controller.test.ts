/** The steps of a roll-out: widened by stages within the term, ended only when it may be. */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import { rolloutController, type RolloutView } from '../src/coordination/rollouts/rollout-controller.js';

const overMs = 16_000;

function view(fields: Partial<RolloutView>, share = 0): RolloutView {
  return {
    rollout: {
      ...{ service: 's', number: 1, toVersion: 'v2', overMs, orderDigest: 'd', condition: 'rolling', share },
      ...{ fromVersions: [], steps: [] },
    },
    ...{ elapsedMs: 0, stageMs: 0, newRunners: 10, oldRunners: 10, verdict: { kind: 'undecided' }, leastSamples: 100 },
    ...{ hasReachedRouters: true, oldRequests: 0, longestRequestMs: 6300 },
    ...fields,
  };
}

/** Plays a roll-out without an alarm in steps of 100 ms: the shares by time, and when it ended. */
function play(fields: Partial<RolloutView>): { shares: number[]; endedAt: number | null; condition: string | null } {
  const shares: number[] = [];
  let share = 0;
  let stageSince = 0;
  for (let elapsedMs = 0; elapsedMs < 3 * overMs; elapsedMs += 100) {
    const decision = rolloutController.decide(view({ elapsedMs, stageMs: elapsedMs - stageSince, ...fields }, share));
    if (decision?.kind === 'end') return { shares, endedAt: elapsedMs, condition: decision.condition };
    if (decision) {
      assert.ok(decision.share > share);
      share = decision.share;
      stageSince = elapsedMs;
    }
    shares.push(share);
  }
  return { shares, endedAt: null, condition: null };
}

test('a version without an alarm is complete within its term, with much or little traffic', () => {
  for (const leastSamples of [1000, 0]) {
    const { endedAt, condition } = play({ leastSamples });
    assert.equal(condition, 'complete');
    assert.ok(endedAt! < overMs, `${endedAt} ms`);
  }
});

test('what a version has had before all requests move stays far below a tenth of the requests of the term', () => {
  const { shares } = play({});
  const partly = shares.filter((share) => share < 1);
  const exposedMs = partly.reduce((sum, share) => sum + share * 100, 0);
  assert.ok(exposedMs < 0.085 * overMs, `${exposedMs} ms of all requests`);
});

test('an alarm reverts at any stage, at once', () => {
  const verdict = { kind: 'bad', route: 'r', bad: 10, total: 20 } as const;
  for (const share of [0.06, 0.12, 0.25, 1]) {
    const decision = rolloutController.decide(view({ verdict }, share));
    assert.equal(decision?.kind === 'end' && decision.condition, 'reverted');
  }
});

test('complete waits for every router, and for the requests at old runners as long as one may last', () => {
  const last = { elapsedMs: 12_000, stageMs: 1000 };
  assert.equal(rolloutController.decide(view({ ...last, hasReachedRouters: false }, 1)), null);
  assert.equal(rolloutController.decide(view({ ...last, oldRequests: 3 }, 1)), null);
  assert.equal(rolloutController.decide(view({ ...last, stageMs: 100 }, 1)), null);
  assert.equal(rolloutController.decide(view(last, 1))?.kind, 'end');
  assert.equal(rolloutController.decide(view({ ...last, oldRequests: 3, stageMs: 6300 }, 1))?.kind, 'end');
});

test('all requests move only to runners that can take them', () => {
  const due = { elapsedMs: 12_000, stageMs: 5000, oldRunners: 10 };
  assert.equal(rolloutController.decide(view({ ...due, newRunners: 5 }, 0.25)), null);
  assert.equal(rolloutController.decide(view({ ...due, newRunners: 6 }, 0.25))?.kind, 'advance');
});

test('without new runners it waits, reverts after its terms, and at once when all requests are on them', () => {
  assert.equal(rolloutController.decide(view({ newRunners: 0, elapsedMs: 1000 })), null);
  assert.equal(rolloutController.decide(view({ newRunners: 0, elapsedMs: 2 * overMs + 1 }))?.kind, 'end');
  assert.equal(rolloutController.decide(view({ newRunners: 0, elapsedMs: 1000 }, 1))?.kind, 'end');
  assert.equal(rolloutController.decide(view({ oldRunners: 0, elapsedMs: 1000 }))?.kind, 'end');
});

test('an ended roll-out has no further step', () => {
  const ended = view({ elapsedMs: 12_000 });
  assert.equal(rolloutController.decide({ ...ended, rollout: { ...ended.rollout, condition: 'complete' } }), null);
});
