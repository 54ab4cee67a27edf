/**
 * The cost model of the ways to a prompt's prefix, in one unit: milliseconds before the first token. The figures here
 * are defaults; the size of a token's cache entry and the speed of the link come with the configuration.
 */

/** `transferMsPerToken` holds within a zone; the factors apply between zones of a region and between regions. */
export type TransferCostModel = {
  prefillMsPerToken: number;
  setupMs: number;
  transferMsPerToken: number;
  sameRegionFactor: number;
  crossRegionFactor: number;
};

/** Between the zones of two locations. */
export type NetworkDistance = 'same_zone' | 'same_region' | 'cross_region';

const defaultModel: TransferCostModel = {
  prefillMsPerToken: 0.0164,
  setupMs: 2,
  transferMsPerToken: 0.0013,
  sameRegionFactor: 2,
  crossRegionFactor: 10,
};

/** The default model. */
function create(): TransferCostModel {
  return { ...defaultModel };
}

/**
 * The model for a service's link: `tokenBytes` of cache a token over `linkMbps` megabits a second. Unchanged where the
 * configuration does not give both.
 */
function forLink(
  model: TransferCostModel,
  tokenBytes: number | undefined,
  linkMbps: number | undefined,
): TransferCostModel {
  if (!tokenBytes || !linkMbps) return model;
  const bitsPerToken = tokenBytes * 8;
  const bitsPerMs = linkMbps * 1000;
  return { ...model, transferMsPerToken: bitsPerToken / bitsPerMs };
}

/** By how much a transfer over this distance is slower than within a zone. */
function distanceFactor(model: TransferCostModel, distance: NetworkDistance): number {
  if (distance === 'same_zone') return 1;
  return distance === 'same_region' ? model.sameRegionFactor : model.crossRegionFactor;
}

/** Milliseconds that a transfer of so many tokens takes. */
function transferMs(model: TransferCostModel, tokens: number, distance: NetworkDistance): number {
  return model.setupMs + tokens * model.transferMsPerToken * distanceFactor(model, distance);
}

/** Milliseconds that a runner takes to prefill so many tokens. */
function prefillMs(model: TransferCostModel, tokens: number): number {
  return tokens * model.prefillMsPerToken;
}

/** Milliseconds that a transfer saves over prefill, less its own time and that of the transfers queued before it. */
function savedMs(model: TransferCostModel, tokens: number, distance: NetworkDistance, queuedMs: number): number {
  return prefillMs(model, tokens) - transferMs(model, tokens, distance) - queuedMs;
}

export const transferCost = { create, forLink, transferMs, prefillMs, savedMs };
