/**
 * `/rpc/state-sync`: the periodic exchange of soft state between a router and the leader. The router reports its load,
 * the outcome of its requests and its prefix counts; it gets its peers' load, the ejected runners, the changes of the
 * prefix cache index and the hot set. Ordered by the leader's term, so it need not be bound to the incarnation of
 * the callee. Lists that come often travel as the rows of `state-sync-codec.ts`; inside the programs they are the
 * records of `state-sync-records.ts`.
 */
import { rpc, type RpcMethod } from './rpc-method.js';
import type {
  CountRow,
  EjectionRow,
  HotPrefixRow,
  IndexChangeRow,
  IndexVersionRow,
  LoadRow,
  OutcomeRow,
  PackedCountReport,
  PackedHotSetDelta,
  SentPrefixRow,
  VersionSampleRow,
} from './state-sync-codec.js';
import { validators } from './validation.js';

/** What a router reports, and how far it knows what the leader publishes. */
export type SyncRequest = {
  router: string;
  incarnation: string;
  /** How far the router knows the prefix cache index; a term of -1 for not at all. */
  indexVersion: IndexVersionRow;
  hotSetRevision: number;
  /** For how long the answer may wait for something new, in ms; 0 only reports. */
  holdMs: number;
  load: LoadRow[];
  loadReportNumber: number;
  /** The revision of the peers' load that the router has. */
  loadRevision: number;
  unhealthyRunners: string[];
  outcomes: OutcomeRow[];
  /** How requests ended at either version of services with a roll-out; missing from a router of version 0.6.0. */
  versionSamples?: VersionSampleRow[];
  ejectionsRevision: number;
  /** Prefix blocks that were sent to a runner and not known to be cached there. */
  sentPrefixes: SentPrefixRow[];
  /** Null when no count is due. */
  countReport: PackedCountReport | null;
};

/** What the leader broadcasts for the tracking of heavy hitters. */
export type Tracking = {
  routerCount: number;
  total: number;
  gatherRound: number;
  decayEpoch: number;
  hotSetRevision: number;
  /** Null when nothing changed since the revision that the router has. */
  hotSet: PackedHotSetDelta | null;
};

/** What the leader has published and the router does not have. */
export type SyncResponse = {
  term: number;
  /** The position of the index that the router has after `indexChanges`. */
  indexPosition: number;
  isFullIndex: boolean;
  /** The changes up to that position: since the router's version, or from an empty index when `isFullIndex`. */
  indexChanges: IndexChangeRow[];
  /** Null in an answer without updates. */
  peerLoad: { revision: number; isFull: boolean; rows: LoadRow[]; includedReport: number } | null;
  /** The interval at which the leader publishes, in ms. */
  syncIntervalMs: number;
  /** Null when the router has them. */
  ejections: { revision: number; rows: EjectionRow[] } | null;
  /** The number of the count report that was applied; 0 for none. */
  appliedCountReport: number;
  /** False when the leader had no counts of this router, which then reports all of them. */
  isRouterKnown: boolean;
  tracking: Tracking;
};

const maxRequestBytes = 8 * 1024 * 1024;
/** The longest hold of a request, and the longest interval of publications. */
const maxHoldMs = 60_000;

const { name, finite, integer, boolean } = validators;
const loadRow = validators.tuple<LoadRow>(name, finite, finite, finite, finite, finite);
const outcomeRow = validators.tuple<OutcomeRow>(name, finite, finite);
const versionSampleRow = validators.tuple<VersionSampleRow>(
  name,
  name,
  name,
  name,
  name,
  validators.count,
  validators.list(validators.tuple<[number, number]>(validators.count, validators.count)),
);
const ejectionRow = validators.tuple<EjectionRow>(name, validators.nullable(name), integer);
const indexVersionRow = validators.tuple<IndexVersionRow>(integer, integer);
const sentPrefixRow = validators.tuple<SentPrefixRow>(name, name, finite, name);
const indexChangeRow = validators.tuple<IndexChangeRow>(name, name, name, finite, name);
const countRow = validators.tuple<CountRow>(name, finite, finite);
const hotPrefixRow = validators.tuple<HotPrefixRow>(name, finite, finite);

const request = validators.object<SyncRequest>({
  router: name,
  incarnation: name,
  indexVersion: indexVersionRow,
  hotSetRevision: integer,
  holdMs: validators.range(0, maxHoldMs),
  load: validators.list(loadRow),
  loadReportNumber: integer,
  loadRevision: integer,
  unhealthyRunners: validators.list(name),
  outcomes: validators.list(outcomeRow),
  versionSamples: validators.optional(validators.list(versionSampleRow)),
  ejectionsRevision: integer,
  sentPrefixes: validators.list(sentPrefixRow),
  countReport: validators.nullable(
    validators.object<PackedCountReport>({
      seq: integer,
      decayEpoch: finite,
      total: finite,
      counts: validators.list(countRow),
      gatherRound: finite,
    }),
  ),
});

const tracking = validators.object<Tracking>({
  routerCount: finite,
  total: finite,
  gatherRound: finite,
  decayEpoch: finite,
  hotSetRevision: integer,
  hotSet: validators.nullable(
    validators.object<PackedHotSetDelta>({
      isFull: boolean,
      upserts: validators.list(hotPrefixRow),
      removals: validators.list(name),
    }),
  ),
});

const response = validators.object<SyncResponse>({
  term: integer,
  indexPosition: integer,
  isFullIndex: boolean,
  indexChanges: validators.list(indexChangeRow),
  peerLoad: validators.nullable(
    validators.object<NonNullable<SyncResponse['peerLoad']>>({
      revision: integer,
      isFull: boolean,
      rows: validators.list(loadRow),
      includedReport: integer,
    }),
  ),
  syncIntervalMs: validators.range(0, maxHoldMs),
  ejections: validators.nullable(
    validators.object<NonNullable<SyncResponse['ejections']>>({
      revision: integer,
      rows: validators.list(ejectionRow),
    }),
  ),
  appliedCountReport: integer,
  isRouterKnown: boolean,
  tracking,
});

/** The response is null where the callee is not the leader. */
export const stateSyncMethod: RpcMethod<SyncRequest, SyncResponse | null> = {
  path: '/rpc/state-sync',
  checkRequest: rpc.checkWith(request),
  checkResponse: rpc.checkWith(validators.nullable(response)),
  maxRequestBytes,
  channel: 'control',
  bindsToIncarnation: false,
};
