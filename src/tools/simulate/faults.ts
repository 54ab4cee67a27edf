/** The faults of a scenario: crashes of runners, routers and coordinators, loss of the store, new weights. */
import { weightNamings } from '../../state/control/weight-namings.js';
import { runnerCache, type RunnerCache } from '../../emulator/runner-cache.js';
import { leader } from './leader.js';
import type { Fault } from './scenario.js';
import { simulatedConsensus } from './simulated-consensus.js';
import { modelName, storeAddress } from './simulated-router.js';
import { simulatedRunner, type SimulatedRunner } from './simulated-runner.js';
import { simulations, type Simulation } from './simulation.js';
import type { VirtualClock } from './virtual-clock.js';

/** Draws up to `count` different items. */
function draw<T>(clock: VirtualClock, items: T[], count: number): T[] {
  const left = [...items];
  const drawn: T[] = [];
  while (drawn.length < count && left.length > 0) drawn.push(left.splice(clock.randomBelow(left.length), 1)[0]!);
  return drawn;
}

/** Clears a cache and records in the leader's index that its blocks are gone. */
function loseCache(simulation: Simulation, cache: RunnerCache, location: string): void {
  for (const block of runnerCache.clear(cache)) leader.recordCacheChange(simulation, '-', block, location);
}

function crashRunner(simulation: Simulation, runner: SimulatedRunner, downMs: number): void {
  simulatedRunner.crash(runner);
  loseCache(simulation, runner.cache, runner.id);
  simulation.clock.after(downMs, () => {
    runner.isUp = true;
    runner.weightsRevision = simulation.targetRevision;
  });
}

function crashRunners(simulation: Simulation, fault: Fault): void {
  const candidates = [...simulation.runners.values()].filter(
    ({ isUp, zone }) => isUp && (fault.zone === null || zone === fault.zone),
  );
  for (const runner of draw(simulation.clock, candidates, fault.count))
    crashRunner(simulation, runner, fault.durationMs);
}

function crashRouters(simulation: Simulation, fault: Fault): void {
  const candidates = simulations
    .liveRouters(simulation)
    .filter(({ zone }) => fault.zone === null || zone === fault.zone);
  for (const router of draw(simulation.clock, candidates, fault.count)) {
    router.isUp = false;
    simulation.clock.after(fault.durationMs, () => {
      router.isUp = true;
    });
  }
}

function crashCoordinators(simulation: Simulation, fault: Fault): void {
  const { clock, consensus } = simulation;
  const candidates = consensus.nodes.filter(({ isUp }) => isUp);
  for (const { address } of draw(clock, candidates, fault.count))
    simulatedConsensus.crash(consensus, address, fault.durationMs);
}

function nameNewWeights(simulation: Simulation): void {
  simulation.targetRevision++;
  weightNamings.record(simulation.namings, modelName, simulation.targetRevision, simulation.clock.now);
  for (const { state } of simulation.routers) {
    state.weights.revisions = { [modelName]: simulation.targetRevision };
    weightNamings.record(state.weights.namings, modelName, simulation.targetRevision, simulation.clock.now);
  }
}

function inject(simulation: Simulation, fault: Fault): void {
  switch (fault.kind) {
    case 'runner_crash':
      crashRunners(simulation, fault);
      return;
    case 'router_crash':
      crashRouters(simulation, fault);
      return;
    case 'coordinator_crash':
      crashCoordinators(simulation, fault);
      return;
    case 'store_loss':
      if (simulation.store) loseCache(simulation, simulation.store, storeAddress);
      return;
    case 'new_weights':
      nameNewWeights(simulation);
  }
}

/** Injects each fault of the scenario at its time from now on. */
function schedule(simulation: Simulation): void {
  for (const fault of simulation.scenario.faults)
    simulation.clock.after(fault.atMs, () => {
      inject(simulation, fault);
    });
}

export const faults = { schedule };
