/**
 * Drives the roll-out planner (`coordination/singletons/weights-planner.ts`): sends its orders, with the term as fencing token,
 * only while this member holds an exclusive lease; polls the runners' reports; publishes which runners are paused. Why
 * two leaders never order runners within a lease of one another: `docs/control.md`, fencing.
 */
import {
  weightsPlanner,
  type WeightsPlannerEffect,
  type WeightsPlannerEvent,
  type WeightsJob,
  type WeightsPlannerState,
} from '../coordination/singletons/weights-planner.js';
import { ringLog } from '../logging/ring.js';
import type { Coordinator } from './coordinator-context.js';
import { runnerDiscovery } from './runner-discovery.js';

/** Between two ticks of the planner, in milliseconds. */
const tickIntervalMs = 40;
/** Of an order or a poll, in milliseconds; less than `lease_ms` of the deployments. */
const callTimeoutMs = 700;
/** See `WeightsPlannerTiming`. */
const timing = {
  pauseSettleMs: 60,
  pollIntervalMs: 250,
  reorderAfterMs: 600,
  jobTimeoutMs: 6000,
  backoffMs: 400,
};

/** Whether this member holds an exclusive lease: `lease_ms` after its election, while its own lease runs. */
function mayAct(coordinator: Coordinator): boolean {
  return coordinator.group.isSoleLeader(coordinator.settings.bound_set.lease_ms);
}

function addressOf(coordinator: Coordinator, id: string): string | null {
  return runnerDiscovery.currentList(coordinator).find((runner) => runner.id === id)?.addr ?? null;
}

function step(coordinator: Coordinator, state: WeightsPlannerState, event: WeightsPlannerEvent): void {
  for (const effect of weightsPlanner.step(state, event, coordinator.runtime.clock.now()))
    execute(coordinator, state, effect);
}

function execute(coordinator: Coordinator, state: WeightsPlannerState, effect: WeightsPlannerEffect): void {
  switch (effect.kind) {
    case 'set_paused':
      return runnerDiscovery.setPaused(coordinator, effect.id, effect.isPaused);
    case 'record_revision':
      return runnerDiscovery.recordRevision(coordinator, effect.id, effect.model, effect.revision);
    case 'order':
      return void sendOrder(coordinator, state, effect.job);
    case 'poll':
      return void pollReport(coordinator, state, effect.job);
  }
}

/** Checks the lease again right before the order is sent; without it nothing is sent, and the job times out. */
async function sendOrder(coordinator: Coordinator, state: WeightsPlannerState, job: WeightsJob): Promise<void> {
  const { id, model, revision } = job;
  const address = addressOf(coordinator, id);
  if (address === null || !mayAct(coordinator)) return;
  const order = {
    model,
    revision,
    method: coordinator.tuning.orderMethod,
    holder: coordinator.settings.node_name,
    fence: coordinator.group.term(),
    instance: id,
  };
  const answer = await coordinator.externalApis.sendOrder(address, order, callTimeoutMs);
  const result = answer.ok ? answer.value : null;
  ringLog.note(coordinator.log, 'revision_order_sent', {
    runner: id,
    revision,
    result: answer.ok ? answer.value : answer.error.kind,
  });
  step(coordinator, state, { kind: 'ordered', id, result });
}

async function pollReport(coordinator: Coordinator, state: WeightsPlannerState, job: WeightsJob): Promise<void> {
  const { id, model } = job;
  const address = addressOf(coordinator, id);
  if (address === null) return;
  const answer = await coordinator.externalApis.getRunnerReport(address, callTimeoutMs);
  const report = answer.ok ? answer.value : null;
  const revision = report?.models.find(({ label }) => label === model)?.revision ?? null;
  step(coordinator, state, { kind: 'reported', id, revision, isBusy: report?.isBusy ?? false });
}

/** Ticks the planner while this member leads, and after that until its jobs are dropped. */
function start(coordinator: Coordinator): void {
  const state = weightsPlanner.create({ ...timing, maxShare: coordinator.tuning.orderShare });
  coordinator.runtime.clock.every(tickIntervalMs, () => {
    if (!coordinator.group.isLeader() && state.jobs.size === 0) return;
    step(coordinator, state, {
      kind: 'tick',
      runners: runnerDiscovery.currentList(coordinator),
      targets: coordinator.group.state().weights,
      namings: coordinator.weightsProgress.namings,
      mayAct: mayAct(coordinator),
    });
  });
}

export const weightsLoading = { start };
