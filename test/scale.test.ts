/**
 * The cost of the state sync, counted on virtual time with the machines that the programs run: as routers double, what
 * one router sends and is sent a second does not rise, and the leader's answers a second stay below what its interval
 * allows. Counts only; the same on every machine.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import { Packr } from 'msgpackr';
import { stateSync, type StateSync } from '../src/coordination/state-sync/state-sync.js';
import { peerLoadView, type PeerLoadView } from '../src/state/load/peer-load.js';
import { configurationHistory } from '../src/state/history/configuration-history.js';
import { endpointsHistory } from '../src/state/history/endpoints-history.js';
import { tuning } from '../src/protocol/settings/tuning.js';
import type { SyncRequest, SyncResponse } from '../src/protocol/rpc/state-sync.js';
import { stateSyncCodec, type LoadRow } from '../src/protocol/rpc/state-sync-codec.js';
import { syncResponses } from '../src/coordination/state-sync/responses.js';
import type { Configuration, Runner } from '../src/types.js';
import { luck, type Luck } from './support/random.js';

const packr = new Packr({ useRecords: false });
const runners = 40;
const perSite = 7;
const seconds = 6;

type SimSite = {
  name: string;
  view: PeerLoadView;
  rows: Map<string, LoadRow>;
  indexVersion: [number, number];
  hotSetRevision: number;
  ejectionsRevision: number;
};
type Counts = { sites: number; answers: number; bytesIn: number; bytesOut: number };

function callOf(site: SimSite): SyncRequest {
  const load = [...site.rows.values()];
  const loads = stateSyncCodec.decodeLoads(load);
  return {
    router: site.name,
    incarnation: site.name,
    indexVersion: site.indexVersion,
    hotSetRevision: site.hotSetRevision,
    holdMs: 500,
    load,
    loadReportNumber: peerLoadView.recordReport(site.view, loads),
    loadRevision: site.view.revision,
    unhealthyRunners: [],
    outcomes: [],
    ejectionsRevision: site.ejectionsRevision,
    sentPrefixes: [],
    countReport: null,
  };
}

function install(site: SimSite, response: SyncResponse): void {
  if (response.peerLoad)
    peerLoadView.applyUpdate(
      site.view,
      { ...response.peerLoad, totals: stateSyncCodec.decodeLoads(response.peerLoad.rows) },
      0,
    );
  site.indexVersion = [response.term, response.indexPosition];
  if (response.tracking.hotSet) site.hotSetRevision = response.tracking.hotSetRevision;
  if (response.ejections) site.ejectionsRevision = response.ejections.revision;
}

function requests(random: Luck, site: SimSite, ms: number): void {
  for (const [id] of [...site.rows]) if (luck.next(random) < ms / 150) site.rows.delete(id);
  if (luck.next(random) >= (perSite * ms) / 1000) return;
  const id = `i-${luck.below(random, runners)}`;
  const long = luck.next(random) < 0.1 ? 15_000 : 300;
  site.rows.set(id, [id, 1, long, long + 20, 0, 0]);
}

function play(siteCount: number): Counts {
  const random = luck.create(77);
  const sync: StateSync = stateSync.create(1, tuning.defaults, siteCount);
  const all: SimSite[] = Array.from({ length: siteCount }, (_, i) => ({
    name: `edge-${i}`,
    view: peerLoadView.create(),
    rows: new Map(),
    indexVersion: [1, 0],
    hotSetRevision: 0,
    ejectionsRevision: 0,
  }));
  const open = new Map<SimSite, SyncRequest>();
  const out: Counts = { sites: siteCount, answers: 0, bytesIn: 0, bytesOut: 0 };
  function ask(site: SimSite, now: number): void {
    const request = callOf(site);
    out.bytesIn += packr.pack(request).length;
    stateSync.applyRequest(sync, request, now);
    open.set(site, request);
  }
  for (const site of all) ask(site, 0);
  for (let now = 0; now < seconds * 1000; now += sync.intervalMs) {
    for (const site of all) requests(random, site, sync.intervalMs);
    stateSync.publish(sync, { serviceByRunner: new Map(), routers: [] }, now);
    for (const [site, request] of [...open]) {
      if (!stateSync.hasUpdates(sync, request)) continue;
      const response = syncResponses.responseTo(sync, request, true);
      out.answers++;
      out.bytesOut += packr.pack(response).length;
      install(site, response);
      ask(site, now);
    }
  }
  return out;
}

test('as sites double, neither messages nor bytes of one site rise, and the leader stays within its beat', (context) => {
  const list = [20, 40, 80, 160].map(play);
  for (const counts of list)
    context.diagnostic(
      `${counts.sites} sites: ${(counts.answers / counts.sites / seconds).toFixed(2)} answers, ${Math.round(counts.bytesIn / counts.sites / seconds)} bytes out and ${Math.round(counts.bytesOut / counts.sites / seconds)} in, a site and second`,
    );
  list.forEach((counts, i) => {
    const perSecond = counts.answers / seconds;
    assert.ok(
      perSecond <= (1000 / stateSync.intervalMsFor(counts.sites)) * counts.sites + counts.sites,
      `${counts.sites} sites: ${perSecond} answers a second`,
    );
    assert.ok(perSecond <= 1100, `${counts.sites} sites: ${perSecond} answers a second`);
    if (i === 0) return;
    const previous = list[i - 1]!;
    assert.ok(counts.answers / counts.sites <= (previous.answers / previous.sites) * 1.02, 'messages of one site');
    assert.ok(
      (counts.bytesIn + counts.bytesOut) / counts.sites <=
        ((previous.bytesIn + previous.bytesOut) / previous.sites) * 1.1,
      `bytes of one site: ${previous.sites}: ${(previous.bytesIn + previous.bytesOut) / previous.sites}, ${counts.sites}: ${(counts.bytesIn + counts.bytesOut) / counts.sites}`,
    );
  });
});

test('a change of one route or one runner costs the same however large the configuration and the fleet', () => {
  function route(i: number, ms: number): Configuration['route_list'][number] {
    return { label: `r${i}`, hostname: 'h', path_prefix: `/${i}/`, variant: 'streaming', deadline_ms: ms, target: 's' };
  }
  function runner(i: number, parked: boolean): Runner {
    return {
      id: `i-${i}`,
      service: 's',
      addr: `10.0.0.${i}:80`,
      zone: 'z',
      slotCount: 8,
      draining: false,
      paused: parked,
      models: [{ label: 'm', revision: 1 }],
    };
  }
  function bytes(itemCount: number): [number, number] {
    const configurations = configurationHistory.create();
    const endpoints = endpointsHistory.create();
    for (const step of [1, 2]) {
      configurationHistory.record(configurations, {
        revision: step,
        service_list: [{ label: 's' }],
        route_list: Array.from({ length: itemCount }, (_, i) => route(i, i === 3 ? step : 9)),
      });
      endpointsHistory.record(endpoints, {
        term: 1,
        seq: step,
        routerCount: 9,
        runners: Array.from({ length: itemCount }, (_, i) => runner(i, i === 3 && step === 2)),
      });
    }
    return [
      packr.pack(configurationHistory.deltaSince(configurations, 1)).length,
      packr.pack(endpointsHistory.deltaSince(endpoints, 1, 1)).length,
    ];
  }
  const [small, large] = [bytes(40), bytes(1400)];
  assert.ok(large[0] <= small[0] + 8 && large[1] <= small[1] + 8, `${small.join()} ${large.join()}`);
});
