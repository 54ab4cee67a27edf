/**
 * A router's view of the fleet's load, as a pure state machine: it installs the totals that changed at the leader, and
 * takes off from each what this router itself had reported by then, which leaves the load of its peers.
 */
import { endpointLoad } from './endpoint-load.js';
import type { EndpointLoad } from '../../types.js';

/** This router's load under the number of its report. */
type SentReport = { number: number; loads: ReadonlyMap<string, EndpointLoad> };

/** A total of all routers, and when it came, in ms of the process's own clock. */
type ReceivedTotal = { load: EndpointLoad; receivedAt: number };

/** The totals as last received, and this router's own reports that they may contain. */
export type PeerLoadView = {
  /** The leader's revision up to which the totals are known. */
  revision: number;
  /** The number of the last report that was sent. */
  reportNumber: number;
  /** The number of the last of this router's reports that the totals contain; 0 for none. */
  includedReport: number;
  /** All routers' load together, by endpoint. */
  totals: Map<string, ReceivedTotal>;
  /** The reports sent since the included one, oldest first. */
  sentReports: SentReport[];
};

/** What changed at the leader since the revision that the router had; `isFull` when it is everything there is. */
export type PeerLoadUpdate = {
  revision: number;
  isFull: boolean;
  includedReport: number;
  totals: ReadonlyMap<string, EndpointLoad>;
};

/** At one report in 12 ms at the most, what is sent in about 5 s. */
const maxSentReports = 400;
/** The load of an endpoint that nobody uses; never changed in place. */
const none = endpointLoad.zero();

/** A view without totals, before the first update. */
function create(): PeerLoadView {
  return { revision: 0, reportNumber: 0, includedReport: 0, totals: new Map(), sentReports: [] };
}

/** Remembers a report on its way out; returns its number. */
function recordReport(view: PeerLoadView, loads: ReadonlyMap<string, EndpointLoad>): number {
  view.reportNumber++;
  view.sentReports.push({ number: view.reportNumber, loads });
  if (view.sentReports.length > maxSentReports) view.sentReports.shift();
  return view.reportNumber;
}

/** Installs an update that came at `now`; one that is older than what is known changes nothing. */
function applyUpdate(view: PeerLoadView, update: PeerLoadUpdate, now: number): void {
  if (update.isFull) view.totals.clear();
  else if (update.revision < view.revision) return;
  view.revision = update.revision;
  for (const [id, load] of update.totals) {
    if (endpointLoad.isZero(load)) view.totals.delete(id);
    else view.totals.set(id, { load, receivedAt: now });
  }
  while (view.sentReports.length > 0 && view.sentReports[0]!.number < update.includedReport) view.sentReports.shift();
  view.includedReport = update.includedReport;
}

/** The peers' load at an endpoint. */
function loadOf(view: PeerLoadView, id: string): EndpointLoad {
  const total = view.totals.get(id)?.load;
  if (!total) return none;
  const oldest = view.sentReports[0];
  const own = oldest?.number === view.includedReport ? (oldest.loads.get(id) ?? none) : none;
  return endpointLoad.difference(total, own);
}

/** When the total of an endpoint came, in ms of the process's own clock; -Infinity if there is none. */
function receivedAtOf(view: PeerLoadView, id: string): number {
  return view.totals.get(id)?.receivedAt ?? -Infinity;
}

/** Forgets the totals, for a router that has had no answer of the leader for long. */
function clear(view: PeerLoadView): void {
  view.totals.clear();
  view.revision = 0;
}

export const peerLoadView = { create, recordReport, applyUpdate, loadOf, receivedAtOf, clear };
