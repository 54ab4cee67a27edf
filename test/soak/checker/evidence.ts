/** What the rules are judged by: a history, and what follows from it. */
import { soakConfigurations } from '../configurations.js';
import type { Arrived, History, RequestSent } from '../history.js';
import { ContactMap } from './contact.js';
import { requestRecords, type RequestRecord } from './request-record.js';
import { Versions, type Version } from './versions.js';

export type Evidence = {
  history: History;
  contact: ContactMap;
  versions: Versions;
  records: RequestRecord[];
  /** What reached runners under ids that no client sent. */
  strays: Arrived[];
};

export function evidenceOf(history: History): Evidence {
  return {
    history,
    contact: new ContactMap(history),
    versions: new Versions(history),
    ...requestRecords(history),
  };
}

/**
 * The configurations that may be in force at a router from the sending of a request until `until`: in touch, none that is
 * older than the one acknowledged `apply_ms` before.
 */
export function possibleVersions(evidence: Evidence, sent: RequestSent, until: number): Version[] {
  const { history, contact, versions } = evidence;
  const isInTouch = contact.isInTouch(sent.router, sent.at, until);
  const least = isInTouch ? versions.acknowledgedBefore(sent.at - history.bounds.applyMs) : 0;
  return versions.possible(least, until);
}

/** The longest `deadline_ms` that a configuration of the day gives the route of a request. */
export function deadlineMs({ versions }: Evidence, { path }: RequestSent): number {
  const deadlines = versions.list.map(({ document }) => soakConfigurations.routeOf(document, path)?.deadline_ms ?? 0);
  return Math.max(0, ...deadlines);
}
