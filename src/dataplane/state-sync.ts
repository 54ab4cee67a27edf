/**
 * The router's end of the state sync with the leader. One call is always held open for what the peers do; a call
 * without a hold goes out shortly after a large change of this router's own load. What is reported is gathered in
 * `sync-report.ts`, what comes back is installed by `sync-response.ts`.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { siteTracker } from '../coordination/tracking/site-tracker.js';
import { rpc } from '../protocol/rpc/rpc-method.js';
import { stateSyncMethod, type SyncRequest } from '../protocol/rpc/state-sync.js';
import { stateSyncCodec } from '../protocol/rpc/state-sync-codec.js';
import type { SentPrefix } from '../protocol/rpc/state-sync-records.js';
import { peerLoadView } from '../state/load/peer-load.js';
import { cachedPrefixes } from '../state/prefix-cache/cached-prefixes.js';
import { prefixIdentity } from '../state/prefix-cache/prefix-identity.js';
import type { EndpointLoad } from '../types.js';
import type { ConfigWatcher } from './config-watcher.js';
import { promptDemand } from './endpoint-selection/prompt-demand.js';
import { syncReport } from './sync-report.js';
import { syncResponse, type SyncedState } from './sync-response.js';
import type { EndpointAssignment } from './endpoint-assignment.js';
import type { RequestContext } from './request-context.js';
import { versionRollout } from './version-rollout.js';
import type { Router } from './router.js';

/** For how long the leader may hold a call, and how much longer its answer may take. */
const holdMs = 500;
const networkSlackMs = 300;
/** The pause after a call that brought no answer. */
const retryMs = 150;
/** Without an answer for so long, what the leader said is no longer used. */
const expiryMs = 1500;
/** A change of load at one endpoint by so many tokens is reported early. */
const earlyReportTokens = 1024;
/** An early report waits for others to join it: this long, or this share of the leader's interval. */
const minEarlyReportDelayMs = 12;
const earlyReportDelayShare = 0.25;
/** Prefixes whose report was lost go into the next one, up to so many. */
const maxRetriedPrefixes = 200;

/** The state of this router's end of the sync, from its start on. */
type SyncSession = SyncedState & {
  /** Prefix blocks sent to runners since the last report. */
  sentPrefixes: SentPrefix[];
  /** The load as it was last reported. */
  reportedLoads: ReadonlyMap<string, EndpointLoad>;
  earlyReportTimer: NodeJS.Timeout | null;
  /** In ms of the steady clock. */
  lastResponseAt: number;
};

/** A session that knows nothing of the leader yet. */
function create(router: Router, incarnation: string): SyncSession {
  return {
    tracker: siteTracker.create(router.tuning.epsilon, incarnation),
    indexVersion: { term: -1, position: 0 },
    peerLoad: peerLoadView.create(),
    syncIntervalMs: 0,
    ejectionsRevision: -1,
    hotSetRevision: 0,
    sentPrefixes: [],
    reportedLoads: new Map(),
    earlyReportTimer: null,
    lastResponseAt: 0,
  };
}

/** Takes the prefix blocks sent since the last report; they are given back if the report is lost. */
function takeSentPrefixes(session: SyncSession): SentPrefix[] {
  const { sentPrefixes } = session;
  session.sentPrefixes = [];
  return sentPrefixes;
}

/** The next request, with all that is due to be reported. */
function buildRequest(
  router: Router,
  session: SyncSession,
  sentPrefixes: SentPrefix[],
  callHoldMs: number,
): SyncRequest {
  const loads = syncReport.loads(router);
  const countReport = siteTracker.nextReport(session.tracker);
  session.reportedLoads = loads;
  return {
    router: router.settings.node_name,
    incarnation: session.tracker.incarnation,
    indexVersion: stateSyncCodec.encodeIndexVersion(session.indexVersion),
    hotSetRevision: session.hotSetRevision,
    holdMs: callHoldMs,
    load: stateSyncCodec.encodeLoads(loads),
    loadReportNumber: peerLoadView.recordReport(session.peerLoad, loads),
    loadRevision: session.peerLoad.revision,
    unhealthyRunners: syncReport.unhealthyRunners(router),
    outcomes: stateSyncCodec.encodeOutcomes(syncReport.takeOutcomes(router)),
    versionSamples: stateSyncCodec.encodeVersionSamples(versionRollout.takeSamples(router)),
    ejectionsRevision: session.ejectionsRevision,
    sentPrefixes: stateSyncCodec.encodeSentPrefixes(sentPrefixes),
    countReport: countReport && stateSyncCodec.encodeCountReport(countReport),
  };
}

/** One call to the leader, which may hold it for `callHoldMs`; false when no leader is known, or none answers. */
async function synchronize(
  router: Router,
  watcher: ConfigWatcher,
  session: SyncSession,
  callHoldMs: number,
): Promise<boolean> {
  const leader = watcher.leaderAddress;
  if (leader === null) return false;
  const sentPrefixes = takeSentPrefixes(session);
  const request = buildRequest(router, session, sentPrefixes, callHoldMs);
  const timeoutMs = callHoldMs + networkSlackMs;
  const answer = await rpc.call(watcher.runtime.network, leader, stateSyncMethod, request, { timeoutMs });
  if (!answer.ok || answer.value === null) {
    session.sentPrefixes = [...sentPrefixes, ...session.sentPrefixes].slice(-maxRetriedPrefixes);
    return false;
  }
  session.lastResponseAt = performance.now();
  syncResponse.install(router, session, answer.value, callHoldMs > 0, session.lastResponseAt);
  return true;
}

/** A request went out: its shared prefix blocks are counted, and expected to be cached where it went. */
function recordSent(
  router: Router,
  session: SyncSession,
  context: RequestContext,
  assignment: EndpointAssignment,
): void {
  const { cacheNamespace, endpoint } = assignment;
  if (cacheNamespace === null) return;
  for (const { id: blockId, tokens } of promptDemand.shareableBlocks(context)) {
    if (tokens < router.tuning.movedTokens) continue;
    siteTracker.recordArrival(session.tracker, prefixIdentity.blockKey(cacheNamespace, blockId), tokens);
    const now = performance.now();
    if (cachedPrefixes.tokensAt(router.prefixCache.locations, cacheNamespace, blockId, endpoint.index, now) === 0)
      session.sentPrefixes.push({ cacheNamespace, blockId, tokens, location: endpoint.id });
    cachedPrefixes.recordExpected(router.prefixCache.locations, cacheNamespace, blockId, endpoint.index, tokens, now);
  }
}

/** Whether the load at an endpoint is off by `earlyReportTokens` from what was last reported. */
function hasLargeChange(router: Router, session: SyncSession): boolean {
  for (const { id, load } of router.endpointPool.byId.values()) {
    const reported = session.reportedLoads.get(id);
    const reportedTokens = reported ? reported.prefillTokens + reported.reservedTokens : 0;
    if (Math.abs(load.prefillTokens + load.reservedTokens - reportedTokens) >= earlyReportTokens) return true;
  }
  return false;
}

/** Called at each change of this router's load; allocates nothing unless a report is due. */
function scheduleEarlyReport(router: Router, watcher: ConfigWatcher, session: SyncSession): void {
  if (session.earlyReportTimer || !hasLargeChange(router, session)) return;
  const delayMs = Math.max(minEarlyReportDelayMs, session.syncIntervalMs * earlyReportDelayShare);
  session.earlyReportTimer = setTimeout(() => {
    session.earlyReportTimer = null;
    void synchronize(router, watcher, session, 0);
  }, delayMs);
}

/** Counts of blocks under weights two revisions back are of no use any more. */
function removeRetiredCounts(router: Router, session: SyncSession): void {
  siteTracker.removeRetired(session.tracker, (prefix) =>
    prefixIdentity.isRetiredBlock(prefix, router.weights.revisions),
  );
}

/** Synchronizes until the watcher is stopped. */
async function run(router: Router, watcher: ConfigWatcher): Promise<void> {
  const session = create(router, watcher.incarnation);
  router.events.on('endpointAssigned', (context, assignment) => {
    recordSent(router, session, context, assignment);
  });
  router.events.on('loadChanged', () => {
    scheduleEarlyReport(router, watcher, session);
  });
  while (!watcher.isStopped) {
    removeRetiredCounts(router, session);
    if (await synchronize(router, watcher, session, holdMs)) continue;
    if (performance.now() - session.lastResponseAt > expiryMs) syncResponse.expire(router, session);
    await delay(retryMs);
  }
}

export const stateSyncClient = { run };
