/**
 * The packed form of the state sync: lists that come often travel as rows without field names, since each of them is
 * sent to or by every router. Rows are made and read here only; everywhere else they are the records of
 * `state-sync-records.ts`.
 */
import type { EndpointLoad, VersionSample } from '../../types.js';
import type {
  AnswerOutcome,
  CountReport,
  Ejection,
  HotPrefix,
  HotSetDelta,
  IndexVersion,
  PrefixCacheChange,
  ReportedCount,
  SentPrefix,
} from './state-sync-records.js';

/** An endpoint and the fields of its load, in the order of `EndpointLoad`. */
export type LoadRow = [
  endpoint: string,
  activeRequests: number,
  prefillTokens: number,
  reservedTokens: number,
  transferLeases: number,
  transferQueueMs: number,
];

/** The fields of an `AnswerOutcome` in their order. */
export type OutcomeRow = [runner: string, successes: number, failures: number];

/** The fields of a `VersionSample` in their order. */
export type VersionSampleRow = [
  service: string,
  version: string,
  runner: string,
  route: string,
  kind: string,
  failed: number,
  durations: [bucket: number, count: number][],
];

/** The fields of an `Ejection` in their order. */
export type EjectionRow = [runner: string, prober: string | null, probeNumber: number];

/** The fields of an `IndexVersion` in their order. */
export type IndexVersionRow = [term: number, position: number];

/** The fields of a `SentPrefix` in their order. */
export type SentPrefixRow = [cacheNamespace: string, blockId: string, tokens: number, location: string];

/**
 * A `PrefixCacheChange`. Signs: `+` reported, `-` removed, `?` expected, `~` the location is silent. What a kind of
 * change has no field for is empty or 0.
 */
export type IndexChangeRow = [sign: string, cacheNamespace: string, blockId: string, tokens: number, location: string];

/** The fields of a `ReportedCount` in their order. */
export type CountRow = [prefix: string, count: number, tokens: number];

/** The fields of a `HotPrefix` in their order. */
export type HotPrefixRow = [prefix: string, share: number, tokens: number];

/** A `CountReport` with its counts as rows. */
export type PackedCountReport = Omit<CountReport, 'counts'> & { counts: CountRow[] };

/** A `HotSetDelta` with its upserts as rows. */
export type PackedHotSetDelta = Omit<HotSetDelta, 'upserts'> & { upserts: HotPrefixRow[] };

function encodeLoads(loads: ReadonlyMap<string, EndpointLoad>): LoadRow[] {
  const rows: LoadRow[] = [];
  for (const [id, load] of loads)
    rows.push([
      id,
      load.activeRequests,
      load.prefillTokens,
      load.reservedTokens,
      load.transferLeases,
      load.transferQueueMs,
    ]);
  return rows;
}

function decodeLoads(rows: LoadRow[]): Map<string, EndpointLoad> {
  const loads = new Map<string, EndpointLoad>();
  for (const [id, activeRequests, prefillTokens, reservedTokens, transferLeases, transferQueueMs] of rows)
    loads.set(id, { activeRequests, prefillTokens, reservedTokens, transferLeases, transferQueueMs });
  return loads;
}

function encodeOutcomes(outcomes: AnswerOutcome[]): OutcomeRow[] {
  return outcomes.map(({ runner, successes, failures }) => [runner, successes, failures]);
}

function decodeOutcomes(rows: OutcomeRow[]): AnswerOutcome[] {
  return rows.map(([runner, successes, failures]) => ({ runner, successes, failures }));
}

function encodeVersionSamples(samples: VersionSample[]): VersionSampleRow[] {
  return samples.map(({ service, version, runner, route, kind, failed, durations }) => [
    service,
    version,
    runner,
    route,
    kind,
    failed,
    durations,
  ]);
}

function decodeVersionSamples(rows: VersionSampleRow[]): VersionSample[] {
  return rows.map(([service, version, runner, route, kind, failed, durations]) => ({
    ...{ service, version, runner, route, kind, failed, durations },
  }));
}

function encodeEjections(ejections: Ejection[]): EjectionRow[] {
  return ejections.map(({ runner, prober, probeNumber }) => [runner, prober, probeNumber]);
}

function decodeEjections(rows: EjectionRow[]): Ejection[] {
  return rows.map(([runner, prober, probeNumber]) => ({ runner, prober, probeNumber }));
}

function encodeIndexVersion({ term, position }: IndexVersion): IndexVersionRow {
  return [term, position];
}

function decodeIndexVersion([term, position]: IndexVersionRow): IndexVersion {
  return { term, position };
}

function encodeSentPrefixes(sentPrefixes: SentPrefix[]): SentPrefixRow[] {
  return sentPrefixes.map(({ cacheNamespace, blockId, tokens, location }) => [
    cacheNamespace,
    blockId,
    tokens,
    location,
  ]);
}

function decodeSentPrefixes(rows: SentPrefixRow[]): SentPrefix[] {
  return rows.map(([cacheNamespace, blockId, tokens, location]) => ({ cacheNamespace, blockId, tokens, location }));
}

function encodeIndexChange(change: PrefixCacheChange): IndexChangeRow {
  switch (change.kind) {
    case 'block_reported':
      return ['+', change.cacheNamespace, change.blockId, change.tokens, change.location];
    case 'block_expected':
      return ['?', change.cacheNamespace, change.blockId, change.tokens, change.location];
    case 'block_removed':
      return ['-', change.cacheNamespace, change.blockId, 0, change.location];
    case 'location_silent':
      return ['~', '', '', 0, change.location];
  }
}

/** Null for a sign that is not known. */
function decodeIndexChange(row: IndexChangeRow): PrefixCacheChange | null {
  const [sign, cacheNamespace, blockId, tokens, location] = row;
  switch (sign) {
    case '+':
      return { kind: 'block_reported', location, cacheNamespace, blockId, tokens };
    case '?':
      return { kind: 'block_expected', location, cacheNamespace, blockId, tokens };
    case '-':
      return { kind: 'block_removed', location, cacheNamespace, blockId };
    case '~':
      return { kind: 'location_silent', location };
    default:
      return null;
  }
}

function encodeIndexChanges(changes: PrefixCacheChange[]): IndexChangeRow[] {
  return changes.map(encodeIndexChange);
}

/** Changes whose sign is not known are left out. */
function decodeIndexChanges(rows: IndexChangeRow[]): PrefixCacheChange[] {
  const changes: PrefixCacheChange[] = [];
  for (const row of rows) {
    const change = decodeIndexChange(row);
    if (change) changes.push(change);
  }
  return changes;
}

function encodeCountReport(report: CountReport): PackedCountReport {
  return { ...report, counts: report.counts.map(({ prefix, count, tokens }): CountRow => [prefix, count, tokens]) };
}

function decodeCountReport(packed: PackedCountReport): CountReport {
  return {
    ...packed,
    counts: packed.counts.map(([prefix, count, tokens]): ReportedCount => ({ prefix, count, tokens })),
  };
}

function encodeHotSetDelta({ isFull, upserts, removals }: HotSetDelta): PackedHotSetDelta {
  const rows = upserts.map(({ prefix, share, tokens }): HotPrefixRow => [prefix, share, tokens]);
  return { isFull, upserts: rows, removals };
}

function decodeHotSetDelta({ isFull, upserts: rows, removals }: PackedHotSetDelta): HotSetDelta {
  const upserts = rows.map(([prefix, share, tokens]): HotPrefix => ({ prefix, share, tokens }));
  return { isFull, upserts, removals };
}

export const stateSyncCodec = {
  encodeLoads,
  decodeLoads,
  encodeOutcomes,
  decodeOutcomes,
  encodeVersionSamples,
  decodeVersionSamples,
  encodeEjections,
  decodeEjections,
  encodeIndexVersion,
  decodeIndexVersion,
  encodeSentPrefixes,
  decodeSentPrefixes,
  encodeIndexChanges,
  decodeIndexChanges,
  encodeCountReport,
  decodeCountReport,
  encodeHotSetDelta,
  decodeHotSetDelta,
};
