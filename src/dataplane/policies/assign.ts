// Assigns a runner: among the usable ones of the service that run weights the request may use, the
// one where the prompt is likely to be read soonest, counting what must be read there, what others
// have yet to have read, what runs already, and its soundness. Ties fall by rendezvous on the shared
// part, so that sites that know nothing of one another still choose alike.
import { hash } from '../../state/index/hash.js';
import { holdings, storePlace } from '../../state/index/holdings.js';
import { fleet, type Slot } from '../../state/runners/fleet.js';
import type { Part } from '../../protocol/calls/heads.js';
import type { Assigned, Passage, Site } from '../types.js';

const suspectCost = 40_000;
const runCost = 60;
const zoneCost = 300;
const fetchShare = 0.12;
const shareCost = 600;
const ownBlocks = 16;
const crampedCost = 3;
const longTokens = 4096;
const longShare = 0.7;
const apartCost = 12_000;
const besideLongCost = 0.1;

function saltOf(p: Passage, revision: number): string {
  return `${p.wall}/${p.model}/${revision}`;
}

function prompt(p: Passage): number {
  return p.tokens?.prompt ?? Math.ceil(p.body.length / 4);
}

function revisionAt(p: Passage, s: Slot): number | null {
  if (p.model === null) return null;
  return s.revisions.get(p.model) ?? null;
}

// Past most of version_ms after new weights were named, a runner that still has older ones is left
// alone: a request must not begin on them.
function tooOld(site: Site, p: Passage, revision: number | null, now: number): boolean {
  if (p.model === null || revision === null) return false;
  const newest = site.weights[p.model];
  const at = site.weightsAt.get(p.model);
  if (newest === undefined || at === undefined || revision >= newest) return false;
  return now - at > site.settings.bound_set.version_ms * 0.85;
}

function mayTake(site: Site, p: Passage, s: Slot, now: number): boolean {
  if (!fleet.usable(s, now) || p.runners.has(s.ix)) return false;
  if (s.active >= Math.min(s.slots * 2, s.cap)) return false;
  return !tooOld(site, p, revisionAt(p, s), now);
}

function bestSource(site: Site, p: Passage, salt: string, s: Slot, has: number, revision: number): { addr: string; tokens: number } | null {
  let best: { addr: string; tokens: number } | null = null;
  const worthFetching = site.tuning.movedTokens;
  const big = shared(p).find(function large(x) { return x.tokens >= worthFetching; });
  if (!big) return null;
  const at = holdings.places(site.holdings, salt, big.id);
  if (!at) return null;
  for (const place of at.keys()) {
    if (place === s.ix) continue;
    const n = holdings.prefixAt(site.holdings, salt, p.parts, place);
    if (n - has < worthFetching || (best && n < best.tokens)) continue;
    if (place === storePlace) {
      const store = site.table!.stores[0]?.kv_store_addr;
      if (store && (!best || n > best.tokens)) best = { addr: store, tokens: n };
      continue;
    }
    const from = site.fleet.slots[place];
    if (!from || !from.listed || from.phase !== 'sound' || from.parked || from.service !== s.service) continue;
    if (from.revisions.get(p.model!) !== revision) continue;
    if (best && n === best.tokens && from.zone !== s.zone) continue;
    best = { addr: from.addr, tokens: n };
  }
  return best;
}

// What requests with the same session or the same shared part have in common.
function affinity(p: Passage): string {
  const part = p.parts.at(-2);
  return part ? `${p.wall} ${part.id}` : p.attempt;
}

// The parts of a prompt that others may share: all but the last, which is the request's own.
function shared(p: Passage): Part[] {
  return p.parts.slice(0, -1);
}

// The store gets a copy of a shared part that is hot, counting this request, unless it has one.
function saveTo(site: Site, p: Passage, salt: string): string | null {
  const store = site.table!.stores[0]?.kv_store_addr;
  if (!store || !site.tuning.hotSet) return null;
  const { phi, epsilon, movedTokens } = site.tuning;
  for (const x of shared(p)) {
    if (x.tokens < movedTokens || holdings.tokensAt(site.holdings, salt, x.id, storePlace) > 0) continue;
    const { share, total } = site.hot;
    if (((share.get(`${salt} ${x.id}`) ?? 0) * total + 1) / (total + 1) >= phi - epsilon / 2) return store;
  }
  return null;
}

// Long prompts keep to a part of the runners, the same at every site, while there is room, so that
// short ones find runners where nothing long is being read.
function forLong(of: Slot[]): Set<Slot> {
  const order = [...of].sort(function byHash(a, b) { return hash.of(a.id) - hash.of(b.id); });
  return new Set(order.slice(0, Math.ceil(of.length * longShare)));
}

// An unsound runner is tried again by one repeatable request: by this site's own judgement once its
// pause is over and nothing of this site runs there, by the jury's when it names this site.
function mayTry(p: Passage, s: Slot): boolean {
  if (!p.repeatable || p.legs > 0 || s.active > 0) return false;
  return s.verdict === 'try' || (s.verdict === 'clear' && s.phase !== 'sound');
}

function choose(site: Site, p: Passage, now: number): Assigned | null {
  const of = site.fleet.byService.get(p.service.label);
  if (!of) return null;
  const whole = prompt(p);
  let best: Assigned | null = null;
  let bestCost = Infinity;
  const draw = affinity(p);
  const isLong = whole >= longTokens;
  const among = isLong ? forLong(of) : null;
  const claims = whole + (p.tokens?.most ?? 0);
  const room = p.service.engine_kind?.kv_capacity ?? Infinity;
  for (const s of of) {
    if (!mayTake(site, p, s, now)) continue;
    const revision = revisionAt(p, s);
    const salt = revision === null ? null : saltOf(p, revision);
    const has = salt === null ? 0 : holdings.prefixAt(site.holdings, salt, p.parts, s.ix);
    const source = salt === null || revision === null ? null : bestSource(site, p, salt, s, has, revision);
    const moved = source ? source.tokens - has : 0;
    const reads = Math.max(ownBlocks, whole - has - moved);
    let cost = reads + moved * fetchShare + s.reading + s.othersReading + (s.active + s.othersActive) * runCost;
    if (s.zone !== site.settings.zone_name) cost += zoneCost;
    const over = s.claimed + s.othersClaimed + claims - room * 0.9;
    if (over > 0) cost += over * crampedCost;
    if (among && !among.has(s)) cost += apartCost;
    if (!isLong) cost += (s.claimed + s.othersClaimed) * besideLongCost;
    if (s.phase !== 'sound' || s.verdict !== 'clear') cost += mayTry(p, s) ? -suspectCost : suspectCost;
    cost += hash.of(`${s.id} ${draw}`) * shareCost;
    if (cost < bestCost) {
      bestCost = cost;
      best = { slot: s, revision, salt, reads: reads + moved * fetchShare, claims, isLong, backlog: reads + s.reading + s.othersReading, fetchFrom: source?.addr ?? null, saveTo: null };
    }
  }
  if (best && best.salt !== null) best.saveTo = saveTo(site, p, best.salt);
  return best;
}

export const assign = { choose, shared };
