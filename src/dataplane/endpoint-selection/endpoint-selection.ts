/**
 * Selects the endpoint of a request: of the eligible ones of its service, the one with the least cost, that is, where
 * its first token is likely to come soonest. Decides with it where cached blocks are fetched from and whether the
 * store gets a copy.
 */
import { cachedPrefixes } from '../../state/prefix-cache/cached-prefixes.js';
import type { RunnerEndpoint } from '../../state/runners/endpoint.js';
import type { EndpointAssignment, TransferSource } from '../endpoint-assignment.js';
import type { RequestContext } from '../request-context.js';
import { versionRollout } from '../version-rollout.js';
import type { Router } from '../router.js';
import { endpointCost } from './endpoint-cost.js';
import { endpointEligibility } from './endpoint-eligibility.js';
import { promptDemand } from './prompt-demand.js';
import { selectionInputs, type SelectionInputs } from './selection-inputs.js';
import { storeCopy } from './store-copy.js';
import { transferSource } from './transfer-source.js';

/** Tokens that are prefilled whatever is cached: the last cache block of a prompt is never complete. */
const minPrefillTokens = 16;

/** An assignment with its cost, in tokens of prefill. */
export type CostedAssignment = { assignment: EndpointAssignment; cost: number };

/** What the prefix caches would do for the request at one endpoint. */
type CacheBenefit = {
  weightsRevision: number | null;
  /** Null if the endpoint reports no revision of the request's model: nothing is known to be cached then. */
  cacheNamespace: string | null;
  /** Tokens of the prompt that are cached at the endpoint. */
  cachedTokens: number;
  /** From where the endpoint would fetch more of them, or null. */
  source: TransferSource | null;
};

/** What a request has to have done at one endpoint before its first token, in tokens of prefill. */
type OwnWork = { prefillTokens: number; transferTokens: number };

function cacheBenefitAt(inputs: SelectionInputs, endpoint: RunnerEndpoint): CacheBenefit {
  const { router, context, now } = inputs;
  const revision = endpointEligibility.revisionAt(context, endpoint);
  if (revision === null) return { weightsRevision: null, cacheNamespace: null, cachedTokens: 0, source: null };
  const cacheNamespace = promptDemand.cacheNamespace(context, revision);
  const { locations } = router.prefixCache;
  const { prefixBlocks } = context;
  const cachedTokens = cachedPrefixes.prefixTokensAt(locations, cacheNamespace, prefixBlocks, endpoint.index, now);
  const source = transferSource.best(inputs, endpoint, { cacheNamespace, revision, cachedTokens });
  return { weightsRevision: revision, cacheNamespace, cachedTokens, source };
}

function ownWorkWith({ demand, costModel }: SelectionInputs, { cachedTokens, source }: CacheBenefit): OwnWork {
  return {
    prefillTokens: Math.max(minPrefillTokens, demand.promptTokens - cachedTokens - (source?.tokens ?? 0)),
    transferTokens: source ? source.durationMs / costModel.prefillMsPerToken : 0,
  };
}

function assignmentTo(
  endpoint: RunnerEndpoint,
  inputs: SelectionInputs,
  { weightsRevision, cacheNamespace, source }: CacheBenefit,
  { prefillTokens, transferTokens }: OwnWork,
): EndpointAssignment {
  const { demand } = inputs;
  return {
    endpoint,
    weightsRevision,
    cacheNamespace,
    prefillTokens: prefillTokens + transferTokens,
    claimedTokens: demand.reservedTokens,
    isLongPrompt: demand.isLongPrompt,
    prefillBacklogTokens: prefillTokens + endpointCost.backlogTokens(inputs, endpoint),
    fetchFrom: source?.addr ?? null,
    source,
    transferId: null,
    saveTo: null,
  };
}

/** The assignment to the endpoint, if it costs less than the best so far; null otherwise. */
function assignCheaper(
  inputs: SelectionInputs,
  endpoint: RunnerEndpoint,
  best: CostedAssignment | null,
): CostedAssignment | null {
  const benefit = cacheBenefitAt(inputs, endpoint);
  const work = ownWorkWith(inputs, benefit);
  const cost = endpointCost.of(inputs, endpoint, work.prefillTokens, work.transferTokens);
  if (!(cost < (best?.cost ?? Infinity))) return null;
  return { assignment: assignmentTo(endpoint, inputs, benefit, work), cost };
}

/** The cheapest assignment with its cost, or null if no endpoint is eligible; reserves nothing. */
function selectWithCost(router: Router, context: RequestContext, now: number): CostedAssignment | null {
  const listed = router.endpointPool.byService.get(context.service.label);
  if (!listed) return null;
  const endpoints = versionRollout.admitted(router, context, listed, now);
  const best = selectAmong(router, context, endpoints, now);
  if (best || !versionRollout.fallBackToOld(router, context)) return best;
  return selectAmong(router, context, versionRollout.admitted(router, context, listed, now), now);
}

function selectAmong(
  router: Router,
  context: RequestContext,
  endpoints: RunnerEndpoint[],
  now: number,
): CostedAssignment | null {
  if (endpoints.length === 0) return null;
  const inputs = selectionInputs.create(router, context, endpoints, now);
  let best: CostedAssignment | null = null;
  for (const endpoint of endpoints) {
    if (!endpointEligibility.isEligible(router, context, endpoint, now)) continue;
    best = assignCheaper(inputs, endpoint, best) ?? best;
  }
  if (!best) return null;
  const { assignment } = best;
  if (assignment.cacheNamespace !== null)
    assignment.saveTo = storeCopy.destination(router, context, assignment.cacheNamespace, now);
  return best;
}

/** The endpoint for the request at `now` (ms on the process's own clock), or null if none may take it. */
function select(router: Router, context: RequestContext, now: number): EndpointAssignment | null {
  return selectWithCost(router, context, now)?.assignment ?? null;
}

export const endpointSelection = { select, selectWithCost };
