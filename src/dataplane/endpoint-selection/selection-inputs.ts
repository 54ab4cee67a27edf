/** What the selection of an endpoint knows of a request before it looks at any endpoint; made once a selection. */
import { transferCost, type TransferCostModel } from '../../coordination/transfer/transfer-cost.js';
import type { PrefixBlock } from '../../protocol/calls/headers.js';
import { hash } from '../../state/rendezvous-hash.js';
import type { RunnerEndpoint } from '../../state/runners/endpoint.js';
import type { RequestContext } from '../request-context.js';
import type { Router } from '../router.js';
import { promptDemand, type PromptDemand } from './prompt-demand.js';

/**
 * Share (0 to 1) of a service's endpoints that long prompts are confined to, so that short ones find some without long
 * prefills. From "Long prompts apart" in `docs/measurements.md`, where 0.85 was tried as well.
 */
const longPromptEndpointShare = 0.7;

/** What is the same for all endpoints of one selection. */
export type SelectionInputs = {
  router: Router;
  context: RequestContext;
  demand: PromptDemand;
  /** The endpoints that a long prompt is confined to; null for a short one. */
  longPromptEndpoints: Set<RunnerEndpoint> | null;
  /** The block whose cache locations may be sources of a transfer; null if nothing may be fetched. */
  transferBlock: PrefixBlock | null;
  costModel: TransferCostModel;
  /** Tokens that the KV cache of a runner of the service holds; Infinity if the configuration does not say. */
  cacheCapacityTokens: number;
  /** When the selection is made, in ms on the process's own clock. */
  now: number;
};

/** An endpoint with its place in the order of its zone, from 0 (first) to 1 (last). */
type RankedEndpoint = { endpoint: RunnerEndpoint; zoneRank: number; draw: number };

/** The endpoints with their places in their zones, each zone ordered by a hash. */
function rankInZones(endpoints: RunnerEndpoint[]): RankedEndpoint[] {
  const zones = new Map<string, RankedEndpoint[]>();
  for (const endpoint of endpoints) {
    const ranked = { endpoint, zoneRank: 0, draw: hash.toUnitInterval(endpoint.id) };
    const sameZone = zones.get(endpoint.zone);
    if (sameZone) sameZone.push(ranked);
    else zones.set(endpoint.zone, [ranked]);
  }
  for (const zone of zones.values()) {
    zone.sort((a, b) => a.draw - b.draw);
    for (const [place, ranked] of zone.entries()) ranked.zoneRank = (place + 0.5) / zone.length;
  }
  return [...zones.values()].flat();
}

/**
 * The endpoints that long prompts are confined to while these have capacity: the same at every router, by a hash, and
 * about the same share in each zone. Routers keep to their own zone, so a zone whose endpoints were nearly all for
 * one kind of prompt would overload the few that are left for the other.
 */
function endpointsForLongPrompts(endpoints: RunnerEndpoint[]): Set<RunnerEndpoint> {
  const order = rankInZones(endpoints).sort((a, b) => a.zoneRank - b.zoneRank || a.draw - b.draw);
  const count = Math.ceil(endpoints.length * longPromptEndpointShare);
  return new Set(order.slice(0, count).map(({ endpoint }) => endpoint));
}

/** The first shared block that is worth a transfer, unless transfers are off or the leader's hints are too old. */
function transferBlock(router: Router, context: RequestContext, now: number): PrefixBlock | null {
  if (!router.tuning.transfers || now > router.prefixCache.hintsValidUntil) return null;
  const { movedTokens } = router.tuning;
  return promptDemand.shareableBlocks(context).find(({ tokens }) => tokens >= movedTokens) ?? null;
}

/** The inputs of a selection for the request among `endpoints`, those of its service. */
function create(router: Router, context: RequestContext, endpoints: RunnerEndpoint[], now: number): SelectionInputs {
  const demand = promptDemand.of(context);
  const engine = context.service.engine_kind;
  return {
    router,
    context,
    demand,
    longPromptEndpoints: demand.isLongPrompt ? endpointsForLongPrompts(endpoints) : null,
    transferBlock: transferBlock(router, context, now),
    costModel: transferCost.forLink(router.transfers.costModel, engine?.token_bytes, engine?.link_mbps),
    cacheCapacityTokens: engine?.kv_capacity ?? Infinity,
    now,
  };
}

export const selectionInputs = { create };
