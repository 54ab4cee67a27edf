/**
 * Installs what the leader answers in the state sync: peers' load and ejections in the endpoints, the hot set, and the
 * changes of the prefix cache index, which are events of the transfers under way as well.
 */
import { siteTracker, type SiteTracker } from '../coordination/tracking/site-tracker.js';
import { transfers, type TransferEvent } from '../coordination/transfer/transfers.js';
import type { SyncResponse } from '../protocol/rpc/state-sync.js';
import { stateSyncCodec } from '../protocol/rpc/state-sync-codec.js';
import type { IndexVersion, PrefixCacheChange } from '../protocol/rpc/state-sync-records.js';
import { peerLoadView, type PeerLoadView } from '../state/load/peer-load.js';
import { storeLocation, storeName, type CacheLocation } from '../state/prefix-cache/cache-location.js';
import { cachedPrefixes } from '../state/prefix-cache/cached-prefixes.js';
import { prefixIdentity } from '../state/prefix-cache/prefix-identity.js';
import { endpointPool } from '../state/runners/endpoint-pool.js';
import type { Router } from './router.js';

/** What a router has of the leader's soft state; the versions go out with each request. */
export type SyncedState = {
  tracker: SiteTracker;
  indexVersion: IndexVersion;
  peerLoad: PeerLoadView;
  /** The interval of the leader's publications, in ms; 0 until it is known. */
  syncIntervalMs: number;
  ejectionsRevision: number;
  hotSetRevision: number;
};

/** For how long after an answer the index is trusted as a hint for transfers. */
const hintValidityMs = 3000;

/** On average a report waits for this share of the leader's interval before it is published. */
const publicationDelayShare = 0.5;
/** A change at a peer is known here after this many intervals at the latest, unless a message is lost. */
const maxLagIntervals = 1.5;

/** Gives each endpoint, and the store, the load that the peers have there. */
function installPeerLoad(router: Router, { peerLoad: view, syncIntervalMs }: SyncedState): void {
  for (const endpoint of router.endpointPool.byId.values()) {
    endpoint.peerLoad = peerLoadView.loadOf(view, endpoint.id);
    endpoint.peerLoadAsOf = peerLoadView.receivedAtOf(view, endpoint.id) - syncIntervalMs * publicationDelayShare;
    endpoint.peerLoadMaxLagMs = syncIntervalMs * maxLagIntervals;
  }
  router.transfers.peerStoreLeases = peerLoadView.loadOf(view, storeName).transferLeases;
}

/** Installs the total of arrivals, and the changes of the hot set if there are any. */
function installHotSet(router: Router, synced: SyncedState, tracking: SyncResponse['tracking']): void {
  const { hotSet } = router.prefixCache;
  hotSet.total = tracking.total;
  if (!tracking.hotSet) return;
  const { isFull, upserts, removals } = stateSyncCodec.decodeHotSetDelta(tracking.hotSet);
  if (isFull) hotSet.share.clear();
  for (const prefix of removals) hotSet.share.delete(prefix);
  for (const { prefix, share } of upserts) hotSet.share.set(prefix, share);
  synced.hotSetRevision = tracking.hotSetRevision;
}

/** Installs the list of ejected runners, unless it is unchanged. */
function installEjections(router: Router, synced: SyncedState, ejections: SyncResponse['ejections']): void {
  if (!ejections) return;
  synced.ejectionsRevision = ejections.revision;
  const list = stateSyncCodec.decodeEjections(ejections.rows);
  endpointPool.applyEjections(router.endpointPool, list, router.settings.node_name);
}

/** The number by which this router knows a location; undefined for a runner that it does not have (yet). */
function locationByName(router: Router, name: string): CacheLocation | undefined {
  return name === storeName ? storeLocation : router.endpointPool.byId.get(name)?.index;
}

/** What a change means to the transfers under way; null where it is nothing, since only reports count for them. */
function transferEventOf(change: PrefixCacheChange, location: CacheLocation): TransferEvent | null {
  switch (change.kind) {
    case 'block_reported':
    case 'block_removed':
      return { type: change.kind, location, key: prefixIdentity.blockKey(change.cacheNamespace, change.blockId) };
    case 'location_silent':
      return { type: 'location_lost', location };
    case 'block_expected':
      return null;
  }
}

/** `indexPosition` is the state of the leader's index that the change belongs to. */
function applyIndexChange(router: Router, change: PrefixCacheChange, indexPosition: number, now: number): void {
  const location = locationByName(router, change.location);
  if (location === undefined) return;
  cachedPrefixes.applyChange(router.prefixCache.locations, change, location, indexPosition, now);
  const event = transferEventOf(change, location);
  if (event) transfers.step(router.transfers.machine, event, now);
}

/** Applies the changes of the index, or replaces all of it. */
function installIndex(router: Router, synced: SyncedState, response: SyncResponse, now: number): void {
  if (response.isFullIndex) router.prefixCache.locations.blocks.clear();
  for (const change of stateSyncCodec.decodeIndexChanges(response.indexChanges))
    applyIndexChange(router, change, response.indexPosition, now);
  synced.indexVersion = { term: response.term, position: response.indexPosition };
}

/** Installs a response; the index is in those to a request with a hold only. `now` in ms of the steady clock. */
function install(router: Router, synced: SyncedState, response: SyncResponse, hasIndex: boolean, now: number): void {
  siteTracker.acknowledge(synced.tracker, response.appliedCountReport, response.isRouterKnown);
  siteTracker.applyBroadcast(synced.tracker, response.tracking);
  installHotSet(router, synced, response.tracking);
  synced.syncIntervalMs = response.syncIntervalMs;
  if (response.peerLoad) {
    // An answer without updates has no load; it must not make old hints valid for longer.
    router.prefixCache.hintsValidUntil = now + hintValidityMs;
    const { revision, isFull, includedReport, rows } = response.peerLoad;
    const totals = stateSyncCodec.decodeLoads(rows);
    peerLoadView.applyUpdate(synced.peerLoad, { revision, isFull, includedReport, totals }, now);
    installPeerLoad(router, synced);
  }
  installEjections(router, synced, response.ejections);
  if (hasIndex) installIndex(router, synced, response, now);
}

/** To be called after a long time without an answer: nothing is known of the peers' load, and nobody is ejected. */
function expire(router: Router, synced: SyncedState): void {
  peerLoadView.clear(synced.peerLoad);
  synced.ejectionsRevision = -1;
  endpointPool.applyEjections(router.endpointPool, [], router.settings.node_name);
  installPeerLoad(router, synced);
}

export const syncResponse = { install, expire };
