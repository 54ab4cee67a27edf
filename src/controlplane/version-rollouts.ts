/**
 * Carries out the roll-outs of versions, at the leader: gathers what the routers report into a judge for each, and
 * proposes the step that the controller decides. Its stages are commands of the log that name the stage which they follow,
 * so an earlier leader can neither widen nor end anything, and the next one goes on from what is committed.
 */
import {
  rolloutController,
  type RolloutDecision,
  type RolloutView,
} from '../coordination/rollouts/rollout-controller.js';
import { versionJudge, type VersionJudge } from '../coordination/rollouts/version-judge.js';
import { ringLog } from '../logging/ring.js';
import type { Command } from '../state/control/reducer.js';
import { rolloutLease } from '../state/control/rollout-lease.js';
import type { Runner, ServiceRollout, VersionSample } from '../types.js';
import type { Coordinator } from './coordinator-context.js';
import { runnerDiscovery } from './runner-discovery.js';

/** When a roll-out and its present share were applied here, in ms of the steady clock. */
type Progress = { startedAt: number; stageAt: number; share: number };

/** Owned by the coordinator; both by the number of the roll-out. */
export type VersionRollouts = { progress: Map<number, Progress>; judges: Map<number, VersionJudge> };

/** How often it is looked for a step that is due, in ms. */
const checkIntervalMs = 100;

/** A route has much traffic from this share (0 to 1) of its service's requests on. */
const largeRouteShare = 0.03;

/** Beyond a route's deadline, the longest that a request may still be under way, in ms. */
const deadlineSlackMs = 300;

/** For how many `ack_ms` after it was accepted an equal order counts as a copy. */
const copyWindowBounds = 2;

/** Nothing under way. */
function create(): VersionRollouts {
  return { progress: new Map(), judges: new Map() };
}

function rolloutsOf(coordinator: Coordinator): ServiceRollout[] {
  return Object.values(coordinator.group.state().rollouts.byService);
}

/** Notes when stages were applied here; what was committed before this process began counts from what its step says. */
function recordApplied(coordinator: Coordinator): void {
  const { progress, judges } = coordinator.versionRollouts;
  const now = coordinator.runtime.clock.now();
  const numbers = new Set<number>();
  for (const { number, share, steps, condition } of rolloutsOf(coordinator)) {
    numbers.add(number);
    const known = progress.get(number);
    const startedAt = known?.startedAt ?? now - (steps.at(-1)?.elapsedMs ?? 0);
    if (known?.share !== share) progress.set(number, { startedAt, stageAt: now, share });
    if (condition !== 'rolling') judges.delete(number);
  }
  for (const number of progress.keys()) if (!numbers.has(number)) progress.delete(number);
}

/** What the old version did meanwhile is known before the new one is held against it. */
function oldVersionFirst(coordinator: Coordinator, samples: VersionSample[]): VersionSample[] {
  const newVersions = new Map(rolloutsOf(coordinator).map(({ service, toVersion }) => [service, toVersion] as const));
  const isNew = (sample: VersionSample): boolean => newVersions.get(sample.service) === sample.version;
  return [...samples.filter((sample) => !isNew(sample)), ...samples.filter(isNew)];
}

/** Adds a router's reports to the judges. */
function recordSamples(coordinator: Coordinator, samples: VersionSample[]): void {
  if (samples.length === 0) return;
  const { judges } = coordinator.versionRollouts;
  const { byService } = coordinator.group.state().rollouts;
  for (const sample of oldVersionFirst(coordinator, samples)) {
    const rollout = Object.hasOwn(byService, sample.service) ? byService[sample.service] : undefined;
    if (rollout?.condition !== 'rolling') continue;
    const judge = judges.get(rollout.number) ?? versionJudge.create(rollout.toVersion);
    judges.set(rollout.number, judge);
    versionJudge.record(judge, sample);
  }
}

/**
 * Whether no router can still act on a stage before the present one: each has it, or its lease on stages has run out. A
 * leader that was just elected does not know all routers and their requests yet.
 */
function hasReachedRouters(coordinator: Coordinator, now: number): boolean {
  const leaseMs = rolloutLease.routerMs + rolloutLease.marginMs;
  if (now - coordinator.group.electedAt() <= leaseMs) return false;
  const { seq } = coordinator.group.state().rollouts;
  const { own, peers } = coordinator.sessions;
  const sessions = [...own.values(), ...[...peers.values()].flatMap((peer) => peer.sessions)];
  const newest = new Map<string, { seenAt: number; rolloutsSeq: number }>();
  for (const { routerName, seenAt, rolloutsSeq = 0 } of sessions) {
    const known = newest.get(routerName);
    if (!known || seenAt > known.seenAt) newest.set(routerName, { seenAt, rolloutsSeq });
  }
  return [...newest.values()].every((session) => session.rolloutsSeq >= seq || now - session.seenAt > leaseMs);
}

function longestRequestMs(coordinator: Coordinator, service: string): number {
  const routes = coordinator.group.state().configuration?.route_list ?? [];
  const deadlines = routes
    .filter((route) => route.target === service || route.branches?.some((branch) => branch.target === service))
    .map((route) => route.deadline_ms);
  return Math.max(0, ...deadlines) + deadlineSlackMs;
}

function requestsAt(coordinator: Coordinator, runners: Runner[]): number {
  const totals = coordinator.stateSync.current?.load.totals;
  return runners.reduce((sum, { id }) => sum + (totals?.get(id)?.live.activeRequests ?? 0), 0);
}

function viewOf(coordinator: Coordinator, rollout: ServiceRollout): RolloutView {
  const now = coordinator.runtime.clock.now();
  const { progress, judges } = coordinator.versionRollouts;
  const { startedAt, stageAt } = progress.get(rollout.number) ?? { startedAt: now, stageAt: now };
  const judge = judges.get(rollout.number);
  const runners = runnerDiscovery.currentList(coordinator).filter((runner) => runner.service === rollout.service);
  const serving = runners.filter((runner) => !runner.draining);
  const newRunners = serving.filter((runner) => runner.version === rollout.toVersion).length;
  return {
    rollout,
    elapsedMs: now - startedAt,
    stageMs: now - stageAt,
    newRunners,
    oldRunners: serving.length - newRunners,
    verdict: judge ? versionJudge.verdict(judge) : { kind: 'undecided' },
    leastSamples: judge ? versionJudge.leastSamples(judge, largeRouteShare) : 0,
    hasReachedRouters: hasReachedRouters(coordinator, now),
    oldRequests: requestsAt(
      coordinator,
      runners.filter((runner) => runner.version !== rollout.toVersion),
    ),
    longestRequestMs: longestRequestMs(coordinator, rollout.service),
  };
}

/** The versions of the service other than the new one, as they are listed now. */
function fromVersions(coordinator: Coordinator, { service, toVersion }: ServiceRollout): string[] {
  const versions = runnerDiscovery
    .currentList(coordinator)
    .filter((runner) => runner.service === service)
    .map((runner) => runner.version);
  return [...new Set(versions)].filter((version) => version !== undefined && version !== toVersion) as string[];
}

function commandOf(coordinator: Coordinator, view: RolloutView, decision: RolloutDecision): Command {
  const { rollout, elapsedMs } = view;
  const { service, number, share: fromShare } = rollout;
  const { reason } = decision;
  if (decision.kind === 'advance')
    return { kind: 'advance_rollout', service, number, fromShare, share: decision.share, elapsedMs, reason };
  const { condition } = decision;
  const versions = fromVersions(coordinator, rollout);
  return { kind: 'end_rollout', service, number, condition, fromVersions: versions, elapsedMs, reason };
}

async function propose(coordinator: Coordinator, view: RolloutView, decision: RolloutDecision): Promise<void> {
  const result = await coordinator.group.propose(commandOf(coordinator, view, decision));
  const { service, toVersion: version } = view.rollout;
  const outcome = result.kind === 'applied' ? result.outcome.kind : result.kind;
  const elapsedMs = Math.round(view.elapsedMs);
  const { reason } = decision;
  if (decision.kind === 'advance')
    ringLog.note(coordinator.log, 'rollout_advanced', {
      ...{ service, version, share: decision.share, elapsedMs, reason, outcome },
    });
  else
    ringLog.error(coordinator.log, 'rollout_ended', {
      ...{ service, version, condition: decision.condition, elapsedMs, reason, outcome },
    });
}

async function step(coordinator: Coordinator): Promise<void> {
  for (const rollout of rolloutsOf(coordinator)) {
    if (rollout.condition !== 'rolling') continue;
    const view = viewOf(coordinator, rollout);
    const decision = rolloutController.decide(view);
    if (decision) await propose(coordinator, view, decision);
  }
}

/**
 * Whether an order equal to the last roll-out of the service may be a copy of the one that started it. Operators send an
 * order again for `ack_ms` at most; later it is a new order.
 */
function mayBeCopy(coordinator: Coordinator, number: number): boolean {
  const progress = coordinator.versionRollouts.progress.get(number);
  if (!progress) return true;
  const ageMs = coordinator.runtime.clock.now() - progress.startedAt;
  return ageMs <= coordinator.settings.bound_set.ack_ms * copyWindowBounds;
}

/** Looks for a step that is due from now on; a member that does not lead only notes when stages were applied. */
function start(coordinator: Coordinator): void {
  recordApplied(coordinator);
  coordinator.group.onApplied(() => {
    recordApplied(coordinator);
  });
  let isBusy = false;
  coordinator.runtime.clock.every(checkIntervalMs, () => {
    if (!coordinator.group.isLeader()) return coordinator.versionRollouts.judges.clear();
    if (isBusy || !coordinator.group.hasCommittedInTerm()) return;
    isBusy = true;
    void step(coordinator).finally(() => {
      isBusy = false;
    });
  });
}

export const versionRollouts = { create, start, recordSamples, mayBeCopy };
