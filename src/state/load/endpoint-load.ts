/**
 * Arithmetic of loads. Written out field by field, since it runs for each endpoint of each report: no allocation where
 * a total is changed in place, and no loop over field names.
 */
import type { EndpointLoad } from '../../types.js';

/** A new load of nothing. */
function zero(): EndpointLoad {
  return { activeRequests: 0, prefillTokens: 0, reservedTokens: 0, transferLeases: 0, transferQueueMs: 0 };
}

/** Whether nothing is left of a load. */
function isZero(load: EndpointLoad): boolean {
  return !(
    load.activeRequests > 0 ||
    load.prefillTokens > 0 ||
    load.reservedTokens > 0 ||
    load.transferLeases > 0 ||
    load.transferQueueMs > 0
  );
}

/** Whether two loads are the same in each field. */
function equals(left: EndpointLoad, right: EndpointLoad): boolean {
  return (
    left.activeRequests === right.activeRequests &&
    left.prefillTokens === right.prefillTokens &&
    left.reservedTokens === right.reservedTokens &&
    left.transferLeases === right.transferLeases &&
    left.transferQueueMs === right.transferQueueMs
  );
}

/** Adds `load` to `total` in place (`sign` 1) or subtracts it (-1); no field falls below zero. */
function accumulate(total: EndpointLoad, load: EndpointLoad, sign: 1 | -1): void {
  total.activeRequests = Math.max(0, total.activeRequests + sign * load.activeRequests);
  total.prefillTokens = Math.max(0, total.prefillTokens + sign * load.prefillTokens);
  total.reservedTokens = Math.max(0, total.reservedTokens + sign * load.reservedTokens);
  total.transferLeases = Math.max(0, total.transferLeases + sign * load.transferLeases);
  total.transferQueueMs = Math.max(0, total.transferQueueMs + sign * load.transferQueueMs);
}

/** `total` without `part`, as a new load; no field falls below zero. */
function difference(total: EndpointLoad, part: EndpointLoad): EndpointLoad {
  return {
    activeRequests: Math.max(0, total.activeRequests - part.activeRequests),
    prefillTokens: Math.max(0, total.prefillTokens - part.prefillTokens),
    reservedTokens: Math.max(0, total.reservedTokens - part.reservedTokens),
    transferLeases: Math.max(0, total.transferLeases - part.transferLeases),
    transferQueueMs: Math.max(0, total.transferQueueMs - part.transferQueueMs),
  };
}

export const endpointLoad = { zero, isZero, equals, accumulate, difference };
