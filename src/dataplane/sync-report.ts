/** What a router reports in the state sync: its own load, whom it finds unhealthy, and how its requests ended. */
import { transfers } from '../coordination/transfer/transfers.js';
import type { AnswerOutcome } from '../protocol/rpc/state-sync-records.js';
import { endpointLoad } from '../state/load/endpoint-load.js';
import { storeLocation, storeName } from '../state/prefix-cache/cache-location.js';
import type { EndpointLoad } from '../types.js';
import type { Router } from './router.js';

/** This router's load by id of the endpoint, and at the store; those without any are left out. Prefill and ms are rounded. */
function loads(router: Router): Map<string, EndpointLoad> {
  const result = new Map<string, EndpointLoad>();
  for (const { id, index, load } of router.endpointPool.byId.values()) {
    const usage = transfers.usageAt(router.transfers.machine, index);
    const hasLoad = load.activeRequests > 0 || load.prefillTokens > 0 || usage.sourceLeases > 0 || usage.queuedMs > 0;
    if (!hasLoad) continue;
    result.set(id, {
      activeRequests: load.activeRequests,
      prefillTokens: Math.round(load.prefillTokens),
      reservedTokens: load.reservedTokens,
      transferLeases: usage.sourceLeases,
      transferQueueMs: Math.round(usage.queuedMs),
    });
  }
  const { sourceLeases } = transfers.usageAt(router.transfers.machine, storeLocation);
  if (sourceLeases > 0) result.set(storeName, { ...endpointLoad.zero(), transferLeases: sourceLeases });
  return result;
}

/** Ids of the runners that this router's own health checks find unhealthy. */
function unhealthyRunners(router: Router): string[] {
  return [...router.endpointPool.byId.values()]
    .filter((endpoint) => endpoint.health.state !== 'healthy')
    .map((endpoint) => endpoint.id);
}

/** The outcomes since the last call; those of a report that is lost are lost with it. */
function takeOutcomes(router: Router): AnswerOutcome[] {
  const outcomes: AnswerOutcome[] = [];
  for (const { id, outlier } of router.endpointPool.byId.values()) {
    const { successes, failures } = outlier;
    if (successes + failures === 0) continue;
    outcomes.push({ runner: id, successes, failures });
    outlier.successes = 0;
    outlier.failures = 0;
  }
  return outcomes;
}

export const syncReport = { loads, unhealthyRunners, takeOutcomes };
