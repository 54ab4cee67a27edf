/**
 * Brings runners to the weight revisions that the operator named, as a pure planner: which runner is paused,
 * ordered, polled and resumed, and how many of a service at once. An order without an answer may have been executed,
 * so its runner is polled before it is ordered again. A planner that may not act gives up its jobs; the next
 * leader starts from what the runners report.
 *
 * A job goes pausing -> ordering -> loading, back to ordering when the order was lost, and ends when the runner
 * reports the revision, rejects the order, or times out.
 */
import { ownValue } from '../../runtime/own-value.js';
import { weightNamings, type WeightNamings } from '../../state/control/weight-namings.js';
import type { Runner } from '../../types.js';
import type { RevisionOrderResult } from '../../protocol/calls/runner-calls.js';

/**
 * `pausing`: the routers are being informed that it gets no new requests. `ordering`: an order is in flight.
 * `loading`: it was ordered, or may have been, and is polled.
 */
export type WeightsJobPhase = 'pausing' | 'ordering' | 'loading';

/** One runner on its way to one revision of one model; times in ms of the steady clock. */
export type WeightsJob = {
  id: string;
  model: string;
  revision: number;
  phase: WeightsJobPhase;
  phaseSince: number;
  startedAt: number;
  polledAt: number;
};

/** Bounds of a roll-out; times in ms. */
export type WeightsPlannerTiming = {
  /** The share of a service's runners that may have a job at once; at least one always may. */
  maxShare: number;
  /** From the pause to the order, for the pause to reach the routers. */
  pauseSettleMs: number;
  pollIntervalMs: number;
  /** A runner that is idle at the old revision this long after its order has not got it. */
  reorderAfterMs: number;
  jobTimeoutMs: number;
  /** For how long a runner that refused or timed out is left alone. */
  backoffMs: number;
};

/** `jobs` and `backoffUntil` (ms of the steady clock) by the id of the runner. */
export type WeightsPlannerState = {
  timing: WeightsPlannerTiming;
  jobs: Map<string, WeightsJob>;
  backoffUntil: Map<string, number>;
};

/** `targets` are revisions by model, `namings` when they and earlier ones were named; a `result` or `revision` of null: no answer. */
export type WeightsPlannerEvent =
  | { kind: 'tick'; runners: Runner[]; targets: Record<string, number>; namings: WeightNamings; mayAct: boolean }
  | { kind: 'ordered'; id: string; result: RevisionOrderResult | null }
  | { kind: 'reported'; id: string; revision: number | null; isBusy: boolean };

type EventOf<Kind extends WeightsPlannerEvent['kind']> = Extract<WeightsPlannerEvent, { kind: Kind }>;

/** What the caller is to do. `set_paused` changes whether routers send new requests to the runner. */
export type WeightsPlannerEffect =
  | { kind: 'set_paused'; id: string; isPaused: boolean }
  | { kind: 'order'; job: WeightsJob }
  | { kind: 'poll'; job: WeightsJob }
  | { kind: 'record_revision'; id: string; model: string; revision: number };

/** A planner without jobs. */
function create(timing: WeightsPlannerTiming): WeightsPlannerState {
  return { timing, jobs: new Map(), backoffUntil: new Map() };
}

/** The one place where a job changes its phase. */
function transitionTo(job: WeightsJob, phase: WeightsJobPhase, now: number): void {
  job.phase = phase;
  job.phaseSince = now;
  if (phase === 'loading') job.polledAt = now;
}

function sendOrder(job: WeightsJob, now: number, effects: WeightsPlannerEffect[]): void {
  transitionTo(job, 'ordering', now);
  effects.push({ kind: 'order', job });
}

function removeJob(state: WeightsPlannerState, id: string, effects: WeightsPlannerEffect[]): void {
  if (state.jobs.delete(id)) effects.push({ kind: 'set_paused', id, isPaused: false });
}

function backOff(state: WeightsPlannerState, id: string, now: number, effects: WeightsPlannerEffect[]): void {
  state.backoffUntil.set(id, now + state.timing.backoffMs);
  removeJob(state, id, effects);
}

function completeJob(
  state: WeightsPlannerState,
  job: WeightsJob,
  revision: number,
  effects: WeightsPlannerEffect[],
): void {
  effects.push({ kind: 'record_revision', id: job.id, model: job.model, revision });
  removeJob(state, job.id, effects);
}

function outdatedModel(runner: Runner, targets: Record<string, number>): { model: string; revision: number } | null {
  for (const model of runner.models) {
    const target = ownValue(targets, model.label);
    if (target !== undefined && model.revision < target) return { model: model.label, revision: target };
  }
  return null;
}

function byService(runners: Runner[]): Map<string, Runner[]> {
  const services = new Map<string, Runner[]>();
  for (const runner of runners) {
    const sameService = services.get(runner.service);
    if (sameService) sameService.push(runner);
    else services.set(runner.service, [runner]);
  }
  return services;
}

/** Since when the runner has lacked a revision that was named, `Infinity` if that is not known. */
function outdatedSince(runner: Runner, namings: WeightNamings): number {
  const times = runner.models.map(({ label, revision }) => weightNamings.outdatedSince(namings, label, revision));
  return Math.min(...times.map((time) => time ?? Infinity));
}

/** The runners whose bound runs out first come first, so that names in quick succession leave none behind. */
function byDeadline(runners: Runner[], namings: WeightNamings): Runner[] {
  const since = new Map(runners.map((runner) => [runner, outdatedSince(runner, namings)] as const));
  return [...runners].sort((a, b) => {
    const [sinceA, sinceB] = [since.get(a)!, since.get(b)!];
    return sinceA === sinceB ? 0 : sinceA - sinceB;
  });
}

/** Starts jobs among the runners of one service, up to its share of those that serve. */
function startJobs(
  state: WeightsPlannerState,
  runners: Runner[],
  { targets, namings }: EventOf<'tick'>,
  now: number,
  effects: WeightsPlannerEffect[],
): void {
  const serving = runners.filter((runner) => !runner.draining);
  const maxJobs = Math.max(1, Math.floor(serving.length * state.timing.maxShare));
  let jobs = serving.filter((runner) => state.jobs.has(runner.id)).length;
  for (const runner of byDeadline(serving, namings)) {
    const { id } = runner;
    if (jobs >= maxJobs) break;
    if (state.jobs.has(id) || (state.backoffUntil.get(id) ?? 0) > now) continue;
    const outdated = outdatedModel(runner, targets);
    if (!outdated) continue;
    state.jobs.set(id, { id, ...outdated, phase: 'pausing', phaseSince: now, startedAt: now, polledAt: now });
    effects.push({ kind: 'set_paused', id, isPaused: true });
    jobs++;
  }
}

function advance(state: WeightsPlannerState, job: WeightsJob, now: number, effects: WeightsPlannerEffect[]): void {
  const { timing } = state;
  if (now - job.startedAt > timing.jobTimeoutMs) return backOff(state, job.id, now, effects);
  if (job.phase === 'pausing' && now - job.phaseSince >= timing.pauseSettleMs) sendOrder(job, now, effects);
  else if (job.phase === 'loading' && now - job.polledAt >= timing.pollIntervalMs) {
    job.polledAt = now;
    effects.push({ kind: 'poll', job });
  }
}

function hasRevision(runner: Runner, job: WeightsJob): boolean {
  return (runner.models.find((model) => model.label === job.model)?.revision ?? 0) >= job.revision;
}

function onTick(
  state: WeightsPlannerState,
  event: EventOf<'tick'>,
  now: number,
  effects: WeightsPlannerEffect[],
): void {
  if (!event.mayAct) {
    for (const id of [...state.jobs.keys()]) removeJob(state, id, effects);
    return;
  }
  const runners = new Map(event.runners.map((runner) => [runner.id, runner] as const));
  for (const job of [...state.jobs.values()]) {
    const runner = runners.get(job.id);
    if (!runner || runner.draining || hasRevision(runner, job)) removeJob(state, job.id, effects);
    else advance(state, job, now, effects);
  }
  for (const sameService of byService(event.runners).values()) startJobs(state, sameService, event, now, effects);
}

function onOrdered(
  state: WeightsPlannerState,
  event: EventOf<'ordered'>,
  now: number,
  effects: WeightsPlannerEffect[],
): void {
  const job = state.jobs.get(event.id);
  if (job?.phase !== 'ordering') return;
  switch (event.result) {
    case 'already_loaded':
      return completeJob(state, job, job.revision, effects);
    case 'started':
    case 'other_in_progress':
    case null:
      return transitionTo(job, 'loading', now);
    case 'wrong_instance':
    case 'fenced':
    case 'unknown_revision':
      return backOff(state, job.id, now, effects);
  }
}

function onReported(
  state: WeightsPlannerState,
  event: EventOf<'reported'>,
  now: number,
  effects: WeightsPlannerEffect[],
): void {
  const job = state.jobs.get(event.id);
  if (job?.phase !== 'loading' || event.revision === null) return;
  if (event.revision >= job.revision) return completeJob(state, job, event.revision, effects);
  if (!event.isBusy && now - job.phaseSince >= state.timing.reorderAfterMs) sendOrder(job, now, effects);
}

/** The next state, in place, and what is to be done; `now` in ms of the steady clock. */
function step(state: WeightsPlannerState, event: WeightsPlannerEvent, now: number): WeightsPlannerEffect[] {
  const effects: WeightsPlannerEffect[] = [];
  switch (event.kind) {
    case 'tick':
      onTick(state, event, now, effects);
      break;
    case 'ordered':
      onOrdered(state, event, now, effects);
      break;
    case 'reported':
      onReported(state, event, now, effects);
      break;
  }
  return effects;
}

export const weightsPlanner = { create, step };
