/**
 * Versions of the endpoints snapshot. Snapshots are ordered by (term, seq), and an older one never replaces a newer
 * one. Term 0 is for provisional snapshots, which any leader's snapshot replaces
 * (`controlplane/runner-discovery.ts`).
 */
import type { EndpointsSnapshot, EndpointsVersion } from '../types.js';

/** The snapshot of a process that has not received any. */
function empty(): EndpointsSnapshot {
  return { term: 0, seq: 0, runners: null, routerCount: 0 };
}

/** Whether `candidate` is newer than `current`. */
function isNewer(candidate: EndpointsVersion, current: EndpointsVersion): boolean {
  return candidate.term > current.term || (candidate.term === current.term && candidate.seq > current.seq);
}

/** The version alone. */
function versionOf({ term, seq }: EndpointsVersion): EndpointsVersion {
  return { term, seq };
}

export const endpointsSnapshots = { empty, isNewer, versionOf };
