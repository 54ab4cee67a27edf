/** The state sync of the simulated routers with their leader: count reports, cached prefixes and peers' load. */
import { coordinatorTracker } from '../../coordination/tracking/coordinator-tracker.js';
import { siteTracker } from '../../coordination/tracking/site-tracker.js';
import { storeLocation } from '../../state/prefix-cache/cache-location.js';
import { cachedPrefixes } from '../../state/prefix-cache/cached-prefixes.js';
import { storeAddress, type SimulatedRouter } from './simulated-router.js';
import { simulations, type Simulation } from './simulation.js';

/** How often a router syncs with the leader. */
const intervalMs = 25;

/** Reports a router's counts of prefixes to the leader, and takes back the totals and the hot set. */
function syncTracking(simulation: Simulation, router: SimulatedRouter, routerCount: number): void {
  const { tracker } = simulation.leadership;
  const report = siteTracker.nextReport(router.tracker);
  if (report) {
    simulation.result.messages.countReports++;
    const { incarnation } = router.tracker;
    const { isKnown } = coordinatorTracker.applyReport(tracker, incarnation, router.name, report, routerCount);
    siteTracker.acknowledge(router.tracker, report.seq, isKnown);
  }
  siteTracker.applyBroadcast(router.tracker, {
    routerCount,
    total: tracker.broadcastTotal,
    gatherRound: tracker.gatherRound,
    decayEpoch: tracker.decayEpoch,
  });
  router.state.prefixCache.hotSet.total = tracker.broadcastTotal;
  const hitters = coordinatorTracker.heavyHitters(tracker);
  router.state.prefixCache.hotSet.share = new Map(hitters.map(({ prefix, share }) => [prefix, share] as const));
}

/** Brings a router's view of the cached prefixes up to the leader's index. */
function syncCachedPrefixes(simulation: Simulation, router: SimulatedRouter): void {
  const { leadership, clock } = simulation;
  const present = `${leadership.address} ${leadership.since}`;
  if (router.syncedLeadership !== present) {
    router.syncedLeadership = present;
    router.nextChange = 0;
    router.state.prefixCache.locations.blocks.clear();
  }
  for (; router.nextChange < leadership.index.changes.length; router.nextChange++) {
    const change = leadership.index.changes[router.nextChange]!;
    const location =
      change.location === storeAddress ? storeLocation : router.state.endpointPool.byId.get(change.location)?.index;
    if (location !== undefined)
      cachedPrefixes.applyChange(router.state.prefixCache.locations, change, location, 0, clock.now);
  }
}

/** Gives a router the load that the other routers have on each endpoint. */
function syncPeerLoad(simulation: Simulation, router: SimulatedRouter): void {
  for (const endpoint of router.state.endpointPool.byId.values()) {
    const { peerLoad } = endpoint;
    peerLoad.activeRequests = 0;
    peerLoad.prefillTokens = 0;
    peerLoad.reservedTokens = 0;
    for (const other of simulation.routers) {
      const theirs = other === router || !other.isUp ? undefined : other.state.endpointPool.byId.get(endpoint.id);
      if (!theirs) continue;
      peerLoad.activeRequests += theirs.load.activeRequests;
      peerLoad.prefillTokens += theirs.load.prefillTokens;
      peerLoad.reservedTokens += theirs.load.reservedTokens;
    }
  }
}

/** Syncs the state of one router with the leader, now and from then on at an interval. */
function start(simulation: Simulation, router: SimulatedRouter): void {
  simulation.clock.after(intervalMs, () => {
    start(simulation, router);
  });
  if (!router.isUp || simulation.leadership.address === null) return;
  const routerCount = simulations.liveRouters(simulation).length;
  syncTracking(simulation, router, routerCount);
  router.state.endpointsSnapshot.routerCount = routerCount;
  syncCachedPrefixes(simulation, router);
  simulation.result.messages.stateSync++;
  syncPeerLoad(simulation, router);
}

export const stateSync = { start };
