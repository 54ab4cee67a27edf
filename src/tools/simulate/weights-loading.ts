/** Roll-outs of new weights in the simulated fleet: the leader's own planner, and what its effects do to runners. */
import { runnerCache } from '../../emulator/runner-cache.js';
import {
  weightsPlanner,
  type WeightsPlannerEffect,
  type WeightsPlannerEvent,
} from '../../coordination/singletons/weights-planner.js';
import { leader } from './leader.js';
import { modelName } from './simulated-router.js';
import type { SimulatedRunner } from './simulated-runner.js';
import type { Simulation } from './simulation.js';

const planIntervalMs = 40;
/** A new leader does not act before the lease of the one before is over. */
const leaseMs = 3000;

/** Plans now and from then on at an interval. */
function start(simulation: Simulation): void {
  const { leadership, clock, targetRevision, namings } = simulation;
  const mayAct = leadership.address !== null && clock.now - leadership.since >= leaseMs;
  const runners = leader.runnersUp(simulation);
  step(simulation, { kind: 'tick', runners, targets: { [modelName]: targetRevision }, namings, mayAct });
  clock.after(planIntervalMs, () => {
    start(simulation);
  });
}

function step(simulation: Simulation, event: WeightsPlannerEvent): void {
  for (const effect of weightsPlanner.step(simulation.weightsPlanner, event, simulation.clock.now))
    execute(simulation, effect);
}

function execute(simulation: Simulation, effect: WeightsPlannerEffect): void {
  switch (effect.kind) {
    case 'set_paused':
      if (effect.isPaused) simulation.pausedRunners.add(effect.id);
      else simulation.pausedRunners.delete(effect.id);
      leader.publishEndpoints(simulation);
      return;
    case 'record_revision':
      leader.publishEndpoints(simulation);
      return;
    case 'order':
      order(simulation, effect.job.id, effect.job.revision);
      return;
    case 'poll':
      pollReport(simulation, effect.job.id);
  }
}

function runnerUp(simulation: Simulation, id: string): SimulatedRunner | null {
  const runner = simulation.runners.get(id);
  return runner?.isUp ? runner : null;
}

/** The runner begins to load the weights, and loses its cache with the old ones. */
function order(simulation: Simulation, id: string, revision: number): void {
  const runner = runnerUp(simulation, id);
  if (!runner) return;
  const { clock, scenario } = simulation;
  const { incarnation } = runner;
  runner.loadingUntil = clock.now + scenario.engine.weightsLoadMs;
  clock.after(runner.loadingUntil - clock.now, () => {
    if (runner.incarnation !== incarnation) return;
    runner.weightsRevision = Math.max(runner.weightsRevision, revision);
    for (const block of runnerCache.clear(runner.cache)) leader.recordCacheChange(simulation, '-', block, runner.id);
  });
  step(simulation, { kind: 'ordered', id, result: 'started' });
}

function pollReport(simulation: Simulation, id: string): void {
  const runner = runnerUp(simulation, id);
  if (!runner) return;
  const isBusy = simulation.clock.now < runner.loadingUntil;
  step(simulation, { kind: 'reported', id, revision: runner.weightsRevision, isBusy });
}

export const weightsLoading = { start };
