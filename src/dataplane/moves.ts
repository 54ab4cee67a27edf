// The moves that this site's requests ask for: a lease is taken as a request takes its place at a runner
// and given up once the runner has answered. Whatever becomes of a move, the request does not wait for
// it: without a lease, or after a miss, the runner reads the parts itself.
import { transfers } from '../coordination/transfer/machine.js';
import { storePlace } from '../state/index/holdings.js';
import type { Assigned, Site } from './types.js';

function begin(site: Site, a: Assigned, now: number): void {
  if (!a.source) return;
  const { place, key, tokens, ms, generation } = a.source;
  const leases = place === storePlace ? site.storeLeases : (site.fleet.slots[place]?.othersLeases ?? 0);
  const load = {
    leasesAtSource: transfers.at(site.transfers, place).source + leases,
    queuedMsAtDest: transfers.at(site.transfers, a.slot.ix).dest + a.slot.othersMoveMs,
  };
  const t = transfers.begin(
    site.transfers,
    { key, source: place, dest: a.slot.ix, tokens, ms, hint: { isConfirmed: true, generation }, load },
    now,
  );
  if (t) a.transfer = t.id;
  else a.fetchFrom = null;
}

function sent(site: Site, a: Assigned, now: number): void {
  if (a.transfer !== null) transfers.step(site.transfers, { e: 'sent', id: a.transfer }, now);
}

function ended(site: Site, a: Assigned, now: number): void {
  if (a.transfer === null) return;
  transfers.step(site.transfers, { e: 'ended', id: a.transfer }, now);
  a.transfer = null;
}

export const moves = { begin, sent, ended };
