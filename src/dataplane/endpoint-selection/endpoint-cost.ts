/**
 * The cost of sending a request to an endpoint: an estimate of what stands before its first token, in *tokens of
 * prefill*, that is, in the prompt tokens that a runner would read in the same time. Each term is one function and
 * each weight a constant. The sum is computed in a fixed order, so that routers with the same state select the same
 * endpoint to the last bit.
 *
 * Each weight says where its value comes from: the sections named are those of `docs/measurements.md`, the scores those
 * of the simulated day scale-1 of niletrick-router. All were set on 2026-12-02. "Not measured alone" means that only
 * days played with several changes at once speak for the value.
 */
import { hash } from '../../state/rendezvous-hash.js';
import { runnerEndpoint, type RunnerEndpoint } from '../../state/runners/endpoint.js';
import { endpointEligibility } from './endpoint-eligibility.js';
import type { SelectionInputs } from './selection-inputs.js';

/**
 * Tokens of prefill for each request that runs at the endpoint: every one makes the steps of a runner a little longer.
 * Came with the peers' load ("Index, shared burden, hot set"), down from 150; not measured alone.
 */
const runningRequestCost = 60;

/**
 * Tokens of prefill for each request that would wait for a slot of the runner: a whole answer has to end first.
 * From "The grown deployments", trials of the first 12 s on the grown site: with it 0.82, before it 0.72 (third and
 * first row of the table, which differ in the cost of a new connection as well).
 */
const queuedRequestCost = 4000;

/**
 * Tokens of prefill for a runner in another zone: a longer way there and back for every byte.
 * An estimate that stands since the first version; not measured alone.
 */
const otherZoneCost = 300;

/**
 * Tokens of prefill where no idle connection may be used: one round trip more, and a risk of being refused.
 * From the same trials as `queuedRequestCost`, where 250 was tried first; not measured alone.
 */
const newConnectionCost = 100;

/**
 * Share (0 to 1) of a runner's cache memory up to which reserved tokens cost nothing. An estimate that came with
 * `memoryPressureCost`; not measured alone.
 */
const freeMemoryShare = 0.9;

/**
 * Tokens of prefill for each reserved token beyond that share: preempted requests are prefilled anew, and others with
 * them. From "Memory and urgency": with urgency not sent, as by default, 0.98 and 0.73 in two runs against 0.81 without
 * this weight; with urgency sent, 0.89 against 0.73.
 */
const memoryPressureCost = 3;

/**
 * Tokens of prefill by which the endpoints for long prompts must be worse before a long prompt goes to another.
 * From "Long prompts apart": the soft part of the table; a hard one cost calm days.
 */
const outsideLongPromptEndpointsCost = 12_000;

/**
 * Tokens of prefill for each token reserved at a runner, for a short prompt only: it stays away from long ones while
 * it can. Came with the part for long prompts; without that part it gave 0.16 ("Tried and not kept").
 */
const besideLongPromptsCost = 0.1;

/**
 * Tokens of prefill for an unhealthy endpoint, more than any usual load: it is the last choice, or, subtracted, the
 * first one for the request that probes it. An estimate that stands since the first version; not measured alone.
 */
const unhealthyCost = 40_000;

/**
 * The most tokens of prefill that the rendezvous draw adds: more than small differences of load, so that a prefix stays
 * where it is cached. Came with the peers' load, up from 400; 2,500 gave 0.07 ("Tried and not kept").
 */
const rendezvousCost = 600;

function activeRequests(endpoint: RunnerEndpoint): number {
  return endpoint.load.activeRequests + endpoint.peerLoad.activeRequests;
}

function reservedTokens(endpoint: RunnerEndpoint): number {
  return endpoint.load.reservedTokens + endpoint.peerLoad.reservedTokens;
}

/** Tokens that the runner has yet to prefill for requests of this router and its peers. */
function backlogTokens({ costModel, now }: SelectionInputs, endpoint: RunnerEndpoint): number {
  const tokensPerMs = 1 / costModel.prefillMsPerToken;
  return endpoint.load.prefillTokens + runnerEndpoint.peerPrefillTokens(endpoint, tokensPerMs, now);
}

function runningTerm(endpoint: RunnerEndpoint): number {
  return activeRequests(endpoint) * runningRequestCost;
}

/** Counts this request as one that runs there. */
function queueTerm(endpoint: RunnerEndpoint): number {
  const queued = activeRequests(endpoint) + 1 - endpoint.slotCount;
  return queued > 0 ? queued * queuedRequestCost : 0;
}

function zoneTerm({ router }: SelectionInputs, endpoint: RunnerEndpoint): number {
  return endpoint.zone === router.settings.zone_name ? 0 : otherZoneCost;
}

function connectionTerm({ context, now }: SelectionInputs, endpoint: RunnerEndpoint): number {
  return endpoint.connections.agent.hasReusable(context.isIdempotent, now) ? 0 : newConnectionCost;
}

function memoryTerm({ demand, cacheCapacityTokens }: SelectionInputs, endpoint: RunnerEndpoint): number {
  const excess = reservedTokens(endpoint) + demand.reservedTokens - cacheCapacityTokens * freeMemoryShare;
  return excess > 0 ? excess * memoryPressureCost : 0;
}

function longPromptTerm(inputs: SelectionInputs, endpoint: RunnerEndpoint): number {
  return inputs.longPromptEndpoints && !inputs.longPromptEndpoints.has(endpoint) ? outsideLongPromptEndpointsCost : 0;
}

function shortPromptTerm({ demand }: SelectionInputs, endpoint: RunnerEndpoint): number {
  return demand.isLongPrompt ? 0 : reservedTokens(endpoint) * besideLongPromptsCost;
}

function healthTerm({ context, now }: SelectionInputs, endpoint: RunnerEndpoint): number {
  if (endpoint.health.state === 'healthy' && endpoint.outlier.status === 'admitted') return 0;
  return endpointEligibility.mayProbe(context, endpoint, now) ? -unhealthyCost : unhealthyCost;
}

/** Rendezvous hashing: routers that know nothing of one another draw the same order of endpoints for a prefix. */
function rendezvousTerm({ demand }: SelectionInputs, endpoint: RunnerEndpoint): number {
  return hash.toUnitInterval(`${endpoint.id} ${demand.affinityKey}`) * rendezvousCost;
}

/**
 * The cost of the endpoint in tokens of prefill; less is better, and it may be negative for a probe. `ownPrefill` and
 * `ownTransfer` are what this request adds itself: the tokens it has prefilled there, and its transfer in tokens.
 */
function of(inputs: SelectionInputs, endpoint: RunnerEndpoint, ownPrefill: number, ownTransfer: number): number {
  let cost = ownPrefill + ownTransfer + backlogTokens(inputs, endpoint) + runningTerm(endpoint);
  cost += queueTerm(endpoint);
  cost += zoneTerm(inputs, endpoint);
  cost += connectionTerm(inputs, endpoint);
  cost += memoryTerm(inputs, endpoint);
  cost += longPromptTerm(inputs, endpoint);
  cost += shortPromptTerm(inputs, endpoint);
  cost += healthTerm(inputs, endpoint);
  cost += rendezvousTerm(inputs, endpoint);
  return cost;
}

export const endpointCost = { of, backlogTokens };
