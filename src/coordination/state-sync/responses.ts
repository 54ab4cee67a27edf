/**
 * The leader's answers in the state sync: the updates that a router does not have, or a mere acknowledgement of its
 * report when the updates are deferred.
 */
import { outlierDetector } from '../health/outlier-detector.js';
import { loadAggregate } from '../../state/load/load-aggregate.js';
import { prefixCacheIndex } from '../../state/prefix-cache/prefix-cache-index.js';
import type { SyncRequest, SyncResponse } from '../../protocol/rpc/state-sync.js';
import { stateSyncCodec, type LoadRow } from '../../protocol/rpc/state-sync-codec.js';
import type { HotSetDelta } from '../../protocol/rpc/state-sync-records.js';
import { hotSets } from './hot-set.js';
import type { StateSync } from './state-sync.js';

/** Estimated bytes of a response's rows on the wire, and of the rest; near enough for a budget. */
const rowBytes = { indexChange: 60, load: 32, hotPrefix: 48, ejection: 32 };
const emptyResponseBytes = 350;

/** Whether what the router knows is of this term; what it knows of an earlier one counts for nothing. */
function isOfTerm(sync: StateSync, request: SyncRequest): boolean {
  return stateSyncCodec.decodeIndexVersion(request.indexVersion).term === sync.term;
}

/** The totals published since the router's revision; routers of the same revision share the encoded rows. */
function peerLoad(sync: StateSync, request: SyncRequest): SyncResponse['peerLoad'] {
  const delta = loadAggregate.deltaSince(sync.load, isOfTerm(sync, request) ? request.loadRevision : 0);
  let rows: LoadRow[] | undefined = sync.encodedLoads.get(delta);
  if (!rows) {
    rows = stateSyncCodec.encodeLoads(delta.totals);
    sync.encodedLoads.set(delta, rows);
  }
  const includedReport = loadAggregate.publishedReportNumber(sync.load, request.router, request.incarnation);
  return { revision: delta.revision, isFull: delta.isFull, rows, includedReport };
}

/** Null when the router has them already. */
function ejections(sync: StateSync, request: SyncRequest): SyncResponse['ejections'] {
  const { revision } = sync.outliers;
  if (revision === request.ejectionsRevision && isOfTerm(sync, request)) return null;
  return { revision, rows: stateSyncCodec.encodeEjections(outlierDetector.ejections(sync.outliers)) };
}

/** What is broadcast to all sites of the tracking, with the changes of the hot set (null: none). */
function tracking(sync: StateSync, hotSet: HotSetDelta | null): SyncResponse['tracking'] {
  const { broadcastTotal, gatherRound, decayEpoch } = sync.tracker;
  return {
    routerCount: sync.routerCount,
    total: broadcastTotal,
    gatherRound,
    decayEpoch,
    hotSetRevision: sync.hotSet.revision,
    hotSet: hotSet && stateSyncCodec.encodeHotSetDelta(hotSet),
  };
}

/** An answer without updates: the report was applied, and the router keeps the versions that it has. */
function acknowledgement(sync: StateSync, request: SyncRequest, isRouterKnown: boolean): SyncResponse {
  const known = stateSyncCodec.decodeIndexVersion(request.indexVersion);
  return {
    term: known.term,
    indexPosition: known.position,
    isFullIndex: false,
    indexChanges: [],
    peerLoad: null,
    syncIntervalMs: sync.intervalMs,
    ejections: null,
    appliedCountReport: request.countReport?.seq ?? 0,
    isRouterKnown,
    tracking: tracking(sync, null),
  };
}

/** The answer to a request without a hold, which only reports. */
function toReport(sync: StateSync, request: SyncRequest, isRouterKnown: boolean): SyncResponse {
  return { ...acknowledgement(sync, request, isRouterKnown), term: sync.term };
}

/** An answer with all updates that the router does not have. */
function updates(sync: StateSync, request: SyncRequest, isRouterKnown: boolean): SyncResponse {
  const known = stateSyncCodec.decodeIndexVersion(request.indexVersion);
  const isKnownOfTerm = known.term === sync.term;
  const changes = isKnownOfTerm ? prefixCacheIndex.changesSince(sync.prefixIndex, known.position) : null;
  const hotSetDelta = hotSets.deltaSince(sync.hotSet, isKnownOfTerm ? request.hotSetRevision : -1);
  return {
    term: sync.term,
    indexPosition: prefixCacheIndex.lastChangeNo(sync.prefixIndex),
    isFullIndex: changes === null,
    indexChanges: stateSyncCodec.encodeIndexChanges(changes ?? prefixCacheIndex.currentBlocks(sync.prefixIndex)),
    peerLoad: peerLoad(sync, request),
    syncIntervalMs: sync.intervalMs,
    ejections: ejections(sync, request),
    appliedCountReport: request.countReport?.seq ?? 0,
    isRouterKnown,
    tracking: tracking(sync, hotSetDelta),
  };
}

/** The answer to a request. `isRouterKnown`: the result of `applyRequest`. */
function responseTo(sync: StateSync, request: SyncRequest, isRouterKnown: boolean): SyncResponse {
  return request.holdMs === 0 ? toReport(sync, request, isRouterKnown) : updates(sync, request, isRouterKnown);
}

/** The size of a response on the wire, near enough for a budget. */
function estimatedBytes(response: SyncResponse): number {
  return (
    emptyResponseBytes +
    response.indexChanges.length * rowBytes.indexChange +
    (response.peerLoad?.rows.length ?? 0) * rowBytes.load +
    (response.tracking.hotSet?.upserts.length ?? 0) * rowBytes.hotPrefix +
    (response.ejections?.rows.length ?? 0) * rowBytes.ejection
  );
}

export const syncResponses = { responseTo, acknowledgement, estimatedBytes };
