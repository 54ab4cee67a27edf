/**
 * How far the runners are behind the weights that the operator named: when each name was applied here, and since when
 * each runner lacks one. `status` shows it, and the leader logs a runner that is late.
 */
import { ringLog } from '../logging/ring.js';
import { weightNamings, type WeightNamings } from '../state/control/weight-namings.js';
import type { Runner } from '../types.js';
import type { Coordinator } from './coordinator-context.js';
import { runnerDiscovery } from './runner-discovery.js';

/** Owned by the coordinator. `lateRunners`: those that were logged, by id, with the revision that they had. */
export type WeightsProgress = { namings: WeightNamings; weightsSeq: number; lateRunners: Map<string, number> };

/** How often runners that are late are looked for, in ms. */
const checkIntervalMs = 500;

/** A runner is late past this share (0 to 1) of `version_ms`. */
const lateShare = 0.6;

/** Names older than this many `version_ms` matter only by the newest of them. */
const keptBounds = 2;

/** Nothing named yet. */
function create(): WeightsProgress {
  return { namings: weightNamings.create(), weightsSeq: 0, lateRunners: new Map() };
}

/** Records names that were applied since the last call. */
function recordApplied(coordinator: Coordinator): void {
  const { weightsProgress: progress, group, runtime, settings } = coordinator;
  const { weights, weightsSeq } = group.state();
  if (weightsSeq <= progress.weightsSeq) return;
  progress.weightsSeq = weightsSeq;
  const now = runtime.clock.now();
  for (const [model, revision] of Object.entries(weights)) {
    if (progress.namings.get(model)?.some((naming) => naming.revision >= revision)) continue;
    weightNamings.record(progress.namings, model, revision, now);
  }
  weightNamings.forgetOlderThan(progress.namings, settings.bound_set.version_ms * keptBounds, now);
}

/** For how long, in ms, the runner has lacked weights that were named; null if it has the newest of all its models. */
function behindMs(coordinator: Coordinator, runner: Runner): number | null {
  const { namings } = coordinator.weightsProgress;
  const since = runner.models
    .map(({ label, revision }) => weightNamings.outdatedSince(namings, label, revision))
    .filter((time) => time !== null);
  return since.length === 0 ? null : coordinator.runtime.clock.now() - Math.min(...since);
}

function logLateRunners(coordinator: Coordinator): void {
  const { weightsProgress: progress, group, settings, log } = coordinator;
  if (!group.isLeader()) return progress.lateRunners.clear();
  const runners = runnerDiscovery.currentList(coordinator).filter((runner) => !runner.draining);
  for (const runner of runners) {
    const ageMs = behindMs(coordinator, runner);
    const revision = Math.min(...runner.models.map((model) => model.revision));
    if (ageMs === null || ageMs < settings.bound_set.version_ms * lateShare) continue;
    if (progress.lateRunners.get(runner.id) === revision) continue;
    progress.lateRunners.set(runner.id, revision);
    ringLog.error(log, 'runner_weights_late', { runner: runner.id, revision, behindMs: Math.round(ageMs) });
  }
}

/** Follows the names and the runners from now on. */
function start(coordinator: Coordinator): void {
  recordApplied(coordinator);
  coordinator.group.onApplied(() => {
    recordApplied(coordinator);
  });
  coordinator.runtime.clock.every(checkIntervalMs, () => {
    logLateRunners(coordinator);
  });
}

export const weightsProgress = { create, start, behindMs };
