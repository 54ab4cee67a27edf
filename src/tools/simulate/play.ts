/** Plays a scenario: the fleet comes up, then traffic and faults run, then what is under way comes to its end. */
import { clients } from './clients.js';
import { faults } from './faults.js';
import { leader } from './leader.js';
import { result, type SimulationResult } from './result.js';
import { weightsLoading } from './weights-loading.js';
import type { Scenario } from './scenario.js';
import { simulations } from './simulation.js';
import { stateSync } from './state-sync.js';
import { virtualClock } from './virtual-clock.js';

/** Time for the first election and the first lists of endpoints, before traffic starts. */
const startUpMs = 4000;
/** Time for the last requests to end. */
const drainMs = 15_000;

/** Plays it to the end; equal scenarios have equal results. */
function play(scenario: Scenario): SimulationResult {
  const simulation = simulations.create(scenario);
  const { clock } = simulation;
  const trafficEndMs = startUpMs + scenario.durationMs;
  leader.startListing(simulation);
  leader.startTicking(simulation);
  weightsLoading.start(simulation);
  for (const router of simulation.routers) stateSync.start(simulation, router);
  virtualClock.runUntil(clock, startUpMs);
  simulation.result.withoutLeaderMs = 0;
  leader.startListing(simulation);
  for (const traffic of scenario.traffic) clients.start(simulation, traffic, trafficEndMs);
  faults.schedule(simulation);
  virtualClock.runUntil(clock, trafficEndMs + drainMs);
  simulation.result.messages.consensus = simulation.consensus.messagesSent;
  simulation.result.worstWindows = result.worstWindows(simulation.windows, startUpMs);
  return simulation.result;
}

export const simulator = { play };
