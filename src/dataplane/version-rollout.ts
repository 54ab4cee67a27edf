/**
 * Roll-outs of versions at a router: which of a service's endpoints a request may go to at the present stage, and what the
 * leader is told of how requests end at either version.
 *
 * Requests are divided by a hash of their conversation, so that one conversation stays with one version until the share
 * rises past it. While the share is below 1 its requests go to a few of the new runners only, as far as these have slots.
 */
import { durationHistogram } from '../coordination/rollouts/duration-histogram.js';
import { rollouts } from '../state/control/rollouts.js';
import { hash } from '../state/rendezvous-hash.js';
import type { RunnerEndpoint } from '../state/runners/endpoint.js';
import type { EndpointsVersion, RolloutsState, Route, ServiceRollout, VersionSample } from '../types.js';
import { transferCost } from '../coordination/transfer/transfer-cost.js';
import type { EndpointAssignment } from './endpoint-assignment.js';
import type { AttemptOutcome } from './execution-status.js';
import type { RequestContext, VersionArm } from './request-context.js';
import type { Router } from './router.js';

/** The new runners that a share of the requests is confined to, as of one stage and one list of endpoints. */
type Canaries = { rolloutsSeq: number; endpointsVersion: EndpointsVersion; ids: Set<string> };

/** A sample that is being gathered, with its durations by bucket. */
type OpenSample = Omit<VersionSample, 'durations'> & { durations: Map<number, number> };

/**
 * `validUntil`: past it, without an answer of an up-to-date coordinator, no request goes to a new version that has a part
 * of the requests only; in ms of the steady clock.
 */
export type RouterRollouts = {
  state: RolloutsState;
  validUntil: number;
  canaries: Map<string, Canaries>;
  samples: Map<string, OpenSample>;
};

/** At most this share (0 to 1) of a request's time is put down to prefill: how much was ahead of it is an estimate. */
const maxPrefillShare = 0.5;

/**
 * The share (0 to 1) of the new runners that all shares below 1 are confined to. They have less than their part of the
 * requests at the first stage, while their caches are cold, and several times as much at the last one, so that a version
 * that is bad under load only is found before all requests move.
 */
const canaryShare = 0.09;

/** Past this share (0 to 1) of its slots a runner's load shows in the durations, and they say nothing of its version. */
const ordinaryLoadShare = 0.75;

/** At least so many of the new runners take the first share, so that one runner in trouble stands out. */
const minCanaries = 2;

const internalError = 500;
/** A runner's own 504 says that the time was up. */
const gatewayTimeout = 504;

/** No roll-outs. */
function create(): RouterRollouts {
  return { state: rollouts.empty(), validUntil: -Infinity, canaries: new Map(), samples: new Map() };
}

/** Adopts a state that is newer than the present one. */
function apply(router: Router, state: RolloutsState | null | undefined): void {
  if (state && state.seq > router.rollouts.state.seq) router.rollouts.state = state;
}

function conversationKey(context: RequestContext): string {
  return context.prefixBlocks.at(-1)?.id ?? context.attemptId;
}

function pickArm(router: Router, context: RequestContext, rollout: ServiceRollout, now: number): VersionArm {
  if (rollout.share < 1 && now > router.rollouts.validUntil) return 'old';
  const draw = hash.toUnitInterval(`rollout ${rollout.number} ${conversationKey(context)}`);
  return draw < rollout.share ? 'new' : 'old';
}

function isCurrent({ rolloutsSeq, endpointsVersion }: Canaries, router: Router): boolean {
  const { term, seq } = router.endpointsSnapshot;
  return rolloutsSeq === router.rollouts.state.seq && endpointsVersion.term === term && endpointsVersion.seq === seq;
}

/** The new runners for a share below 1: the same at every router. */
function canaryIds(router: Router, rollout: ServiceRollout, newEndpoints: RunnerEndpoint[]): Set<string> {
  const known = router.rollouts.canaries.get(rollout.service);
  if (known && isCurrent(known, router)) return known.ids;
  const drawn = newEndpoints
    .filter((endpoint) => !endpoint.isDraining)
    .map(({ id }) => ({ id, draw: hash.toUnitInterval(`canary ${id}`) }))
    .sort((a, b) => a.draw - b.draw);
  const count = Math.max(minCanaries, Math.ceil(drawn.length * canaryShare));
  const ids = new Set(drawn.slice(0, count).map(({ id }) => id));
  const { term, seq } = router.endpointsSnapshot;
  router.rollouts.canaries.set(rollout.service, {
    ...{ rolloutsSeq: router.rollouts.state.seq, endpointsVersion: { term, seq }, ids },
  });
  return ids;
}

/** Requests under way at the endpoint, of this router and its peers. */
function requestsAt({ load, peerLoad }: RunnerEndpoint): number {
  return load.activeRequests + peerLoad.activeRequests;
}

function whileRolling(
  router: Router,
  context: RequestContext,
  rollout: ServiceRollout,
  endpoints: RunnerEndpoint[],
  now: number,
): RunnerEndpoint[] {
  context.versionArm ??= pickArm(router, context, rollout, now);
  if (context.versionArm === 'old') return endpoints.filter(({ version }) => version !== rollout.toVersion);
  const newEndpoints = endpoints.filter(({ version }) => version === rollout.toVersion);
  if (rollout.share === 1) return newEndpoints;
  const ids = canaryIds(router, rollout, newEndpoints);
  return newEndpoints.filter((endpoint) => ids.has(endpoint.id) && requestsAt(endpoint) < endpoint.slotCount);
}

/** The endpoints of its service that the request may go to, at `now` in ms of the steady clock. */
function admitted(router: Router, context: RequestContext, endpoints: RunnerEndpoint[], now: number): RunnerEndpoint[] {
  const rollout = rollouts.of(router.rollouts.state, context.service.label);
  if (!rollout) return endpoints;
  switch (rollout.condition) {
    case 'rolling':
      return whileRolling(router, context, rollout, endpoints, now);
    case 'reverted':
      return endpoints.filter(({ version }) => version !== rollout.toVersion);
    case 'complete':
      return endpoints.filter(({ version }) => version === null || !rollout.fromVersions.includes(version));
  }
}

/** A request that no new runner can take goes to the old version, if no runner has seen it and not all have moved. */
function fallBackToOld(router: Router, context: RequestContext): boolean {
  const rollout = rollouts.of(router.rollouts.state, context.service.label);
  if (rollout?.condition !== 'rolling' || rollout.share === 1) return false;
  if (context.versionArm !== 'new' || context.executionStatus.attemptsSent > 0) return false;
  context.versionArm = 'old';
  return true;
}

function isFailure(context: RequestContext, outcome: AttemptOutcome, now: number): boolean {
  if (outcome.kind === 'answered') {
    const { status } = context.response;
    return status !== null && status >= internalError && status !== gatewayTimeout;
  }
  return !context.isClientGone && now < context.deadlineAt;
}

/** Routes with the same terms carry the same kind of request. */
function kindOf({ variant, rank, target_ms: targetMs, resumable }: Route): string {
  return `${variant} ${rank ?? 0} ${targetMs ?? '-'} ${resumable === true ? 'resumable' : '-'}`;
}

function openSample(router: Router, context: RequestContext, endpoint: RunnerEndpoint, isNew: boolean): OpenSample {
  const { service, route } = context;
  const runner = isNew ? endpoint.id : '';
  const key = JSON.stringify([service.label, endpoint.version, runner, route.label]);
  let sample = router.rollouts.samples.get(key);
  if (!sample) {
    const version = endpoint.version ?? '';
    sample = {
      ...{ service: service.label, version, runner, route: route.label, kind: kindOf(route) },
      ...{ failed: 0, durations: new Map() },
    };
    router.rollouts.samples.set(key, sample);
  }
  return sample;
}

/**
 * What the request took beyond the prefill that its runner had before it: the caches of new runners are cold, which is
 * no fault of their version.
 */
function durationMs(router: Router, { prefillBacklogTokens }: EndpointAssignment, elapsedMs: number): number {
  const { costModel } = router.transfers;
  const prefillMs = transferCost.prefillMs(costModel, prefillBacklogTokens);
  return elapsedMs - Math.min(prefillMs, elapsedMs * maxPrefillShare);
}

/** Counts how an attempt ended that began at `sentAt`, while its service's version is being rolled out. */
function recordOutcome(
  router: Router,
  context: RequestContext,
  assignment: EndpointAssignment,
  outcome: AttemptOutcome,
  sentAt: number,
): void {
  const { endpoint } = assignment;
  const rollout = rollouts.of(router.rollouts.state, context.service.label);
  if (rollout?.condition !== 'rolling' || outcome.kind === 'not_sent' || outcome.kind === 'rejected') return;
  const now = performance.now();
  const sample = openSample(router, context, endpoint, endpoint.version === rollout.toVersion);
  if (isFailure(context, outcome, now)) {
    sample.failed++;
    return;
  }
  if (requestsAt(endpoint) > endpoint.slotCount * ordinaryLoadShare) return;
  const bucket = durationHistogram.bucketOf(durationMs(router, assignment, now - sentAt));
  durationHistogram.add(sample.durations, bucket, 1);
}

/** What was counted since the last call. */
function takeSamples(router: Router): VersionSample[] {
  const samples = [...router.rollouts.samples.values()];
  router.rollouts.samples.clear();
  return samples.map((sample) => ({ ...sample, durations: [...sample.durations] }));
}

export const versionRollout = { create, apply, admitted, fallBackToOld, recordOutcome, takeSamples };
