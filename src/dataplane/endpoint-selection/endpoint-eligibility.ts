/**
 * Which endpoints a request may be sent to at all: usable or worth resuming at, not attempted before, with a free
 * connection, and with weights that are not outdated. Which of them is best is for `endpoint-cost.ts`.
 */
import { weightNamings } from '../../state/control/weight-namings.js';
import { type RunnerEndpoint, runnerEndpoint } from '../../state/runners/endpoint.js';
import type { RequestContext } from '../request-context.js';
import type { Router } from '../router.js';

/** Requests that a router sends to one runner at once at most, as a multiple of the runner's slots. */
const maxRequestsPerSlot = 2;
/** Share (0 to 1) of `version_ms` after which no request may begin on older weights; the rest is for running ones. */
const outdatedWeightsShare = 0.85;
/**
 * Extra back-off, in ms, of a runner to which no connection could be made: it is seldom back soon and slow to probe.
 */
const unreachableRestMs = 5000;

/** The revision of the request's model at the endpoint; null without a model, or if the endpoint reports none. */
function revisionAt(context: RequestContext, endpoint: RunnerEndpoint): number | null {
  if (context.model === null) return null;
  return endpoint.modelRevisions.get(context.model) ?? null;
}

/**
 * A runner that has lacked a named revision for most of `version_ms` is left alone, whatever was named after it: a request
 * must not begin on older weights than that.
 */
function hasOutdatedWeights(router: Router, context: RequestContext, revision: number | null, now: number): boolean {
  if (context.model === null || revision === null) return false;
  const since = weightNamings.outdatedSince(router.weights.namings, context.model, revision);
  return since !== null && now - since > router.settings.bound_set.version_ms * outdatedWeightsShare;
}

/** An aborted stream is better resumed at a suspect runner than not at all. */
function mayResumeAt(context: RequestContext, endpoint: RunnerEndpoint): boolean {
  return (
    context.executionStatus.attemptsSent > 0 &&
    context.isIdempotent &&
    context.executionStatus.mayHaveExecuted &&
    endpoint.health.state === 'suspect' &&
    runnerEndpoint.isInRotation(endpoint)
  );
}

/** Whether the request may be sent to the endpoint; `now` in ms on the process's own clock. */
function isEligible(router: Router, context: RequestContext, endpoint: RunnerEndpoint, now: number): boolean {
  if (context.attemptedEndpoints.has(endpoint.index)) return false;
  if (!runnerEndpoint.isUsable(endpoint, now) && !mayResumeAt(context, endpoint)) return false;
  const maxRequests = Math.min(endpoint.slotCount * maxRequestsPerSlot, endpoint.connections.limit);
  if (endpoint.load.activeRequests >= maxRequests) return false;
  return !hasOutdatedWeights(router, context, revisionAt(context, endpoint), now);
}

/**
 * Whether the request may be the one that probes an unhealthy endpoint. Only an idempotent first attempt may: by
 * this router's own judgement once the endpoint's retry time has come and nothing of this router runs there, by the
 * fleet's outlier detector when it names this router as the prober.
 */
function mayProbe(context: RequestContext, endpoint: RunnerEndpoint, now: number): boolean {
  if (!context.isIdempotent || context.executionStatus.attemptsSent > 0 || endpoint.load.activeRequests > 0)
    return false;
  if (endpoint.outlier.status === 'probe') return true;
  const restMs = endpoint.health.state === 'unreachable' ? unreachableRestMs : 0;
  return endpoint.outlier.status === 'admitted' && now >= endpoint.health.retryAt + restMs;
}

export const endpointEligibility = { revisionAt, isEligible, mayProbe };
