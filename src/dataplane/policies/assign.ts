// Assigns a runner: among the usable ones of the service that run weights the request may use, the
// one where the prompt is likely to be read soonest, counting what must be read there, what others
// have yet to have read, what runs already, and its health. Ties fall by rendezvous on the shared
// part, so that sites that know nothing of one another still choose alike.
import { hash } from '../../state/index/hash.js';
import { transfers } from '../../coordination/transfer/machine.js';
import { prices, type Prices, type Where } from '../../coordination/transfer/price.js';
import { identity } from '../../state/index/identity.js';
import { holdings, storePlace } from '../../state/index/holdings.js';
import { channels } from '../../state/runners/channels.js';
import { fleet, type Slot } from '../../state/runners/fleet.js';
import type { Part } from '../../protocol/calls/heads.js';
import type { Assigned, Passage, Site, Source } from '../types.js';

const suspectCost = 40_000;
const runCost = 60;
const zoneCost = 300;
const shareCost = 600;
const ownBlocks = 16;
const newChannelCost = 100;
const queuedCost = 4000;
const downMs = 5000;
const crampedCost = 3;
const longTokens = 4096;
const longShare = 0.7;
const apartCost = 12_000;
const besideLongCost = 0.1;

function saltOf(p: Passage, revision: number): string {
  return identity.salt({ wall: p.wall, model: p.model ?? '', revision });
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

// A stream that broke is better taken up at a runner under suspicion than given up.
function mayResume(p: Passage, s: Slot): boolean {
  return p.legs > 0 && p.repeatable && p.maybeRun && s.phase === 'suspect' && s.listed && !s.draining && !s.parked;
}

function mayTake(site: Site, p: Passage, s: Slot, now: number): boolean {
  if (p.runners.has(s.ix) || !(fleet.usable(s, now) || mayResume(p, s))) return false;
  if (s.active >= Math.min(s.slots * 2, s.cap)) return false;
  return !tooOld(site, p, revisionAt(p, s), now);
}

function whereIs(site: Site, a: string, b: string): Where {
  if (a === b) return 'zone';
  const { zones } = site.settings;
  return zones[a] !== undefined && zones[a] === zones[b] ? 'region' : 'far';
}

// The source a runner would best take parts from: one that has itself reported them, not long ago, under
// the same weights and wall, that a lease can be had on, and from where the move pays.
function bestSource(
  site: Site,
  p: Passage,
  salt: string,
  s: Slot,
  has: number,
  revision: number,
  at: Prices,
  now: number,
): Source | null {
  const least = site.tuning.movedTokens;
  const big = shared(p).find(function large(x) {
    return x.tokens >= least;
  });
  if (!big || !site.tuning.transfers || now > site.hintsUntil) return null;
  const there = holdings.places(site.holdings, salt, big.id);
  if (!there) return null;
  const queuedMs = transfers.at(site.transfers, s.ix).dest + s.othersMoveMs;
  let best: Source | null = null;
  let bestGain = 0;
  for (const [place, held] of there) {
    if (place === s.ix) continue;
    const n = holdings.prefixAt(site.holdings, salt, p.parts, place, now, true);
    if (n - has < least) continue;
    const from = place === storePlace ? storeOf(site) : runnerSource(site, p, s, place, revision);
    if (!from) continue;
    const where = whereIs(site, from.zone, s.zone);
    const ms = prices.move(at, n - has, where);
    const load = { leasesAtSource: transfers.at(site.transfers, place).source + from.leases, queuedMsAtDest: queuedMs };
    if (transfers.refusal(site.transfers, { isConfirmed: held.isSure, generation: held.generation }, load, ms))
      continue;
    const gain = prices.gain(at, n - has, where, queuedMs);
    if (gain > bestGain) {
      bestGain = gain;
      best = {
        place,
        addr: from.addr,
        key: identity.key(salt, big.id),
        tokens: n - has,
        ms,
        generation: held.generation,
      };
    }
  }
  return best;
}

type From = { addr: string; zone: string; leases: number };

function storeOf(site: Site): From | null {
  const store = site.table!.stores[0];
  return store?.kv_store_addr
    ? { addr: store.kv_store_addr, zone: store.zone_name ?? '', leases: site.storeLeases }
    : null;
}

function runnerSource(site: Site, p: Passage, s: Slot, place: number, revision: number): From | null {
  const from = site.fleet.slots[place];
  if (
    !from ||
    !from.listed ||
    from.phase !== 'healthy' ||
    from.verdict !== 'clear' ||
    from.parked ||
    from.service !== s.service
  )
    return null;
  return from.revisions.get(p.model!) === revision
    ? { addr: from.addr, zone: from.zone, leases: from.othersLeases }
    : null;
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
function saveTo(site: Site, p: Passage, salt: string, now: number): string | null {
  const store = site.table!.stores[0]?.kv_store_addr;
  if (!store || !site.tuning.hotSet) return null;
  const { phi, epsilon, movedTokens } = site.tuning;
  for (const x of shared(p)) {
    if (x.tokens < movedTokens || holdings.tokensAt(site.holdings, salt, x.id, storePlace, now) > 0) continue;
    const { share, total } = site.hot;
    if (((share.get(identity.key(salt, x.id)) ?? 0) * total + 1) / (total + 1) >= phi - epsilon / 2) return store;
  }
  return null;
}

// Long prompts keep to a part of the runners, the same at every site, while there is room, so that
// short ones find runners where nothing long is being read.
function forLong(of: Slot[]): Set<Slot> {
  const order = [...of].sort(function byHash(a, b) {
    return hash.of(a.id) - hash.of(b.id);
  });
  return new Set(order.slice(0, Math.ceil(of.length * longShare)));
}

// An unhealthy runner is tried again by one repeatable request: by this site's own judgement once its
// pause is over and nothing of this site runs there, by the jury's when it names this site. One to
// which no channel came up is seldom back and takes long to try, so it rests longer.
function mayTry(p: Passage, s: Slot, now: number): boolean {
  if (!p.repeatable || p.legs > 0 || s.active > 0) return false;
  return s.verdict === 'try' || (s.verdict === 'clear' && now >= s.until + (s.phase === 'down' ? downMs : 0));
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
  const engine = p.service.engine_kind;
  const at = prices.ofLink(site.prices, engine?.token_bytes, engine?.link_mbps);
  const room = p.service.engine_kind?.kv_capacity ?? Infinity;
  for (const s of of) {
    if (!mayTake(site, p, s, now)) continue;
    const revision = revisionAt(p, s);
    const salt = revision === null ? null : saltOf(p, revision);
    const has = salt === null ? 0 : holdings.prefixAt(site.holdings, salt, p.parts, s.ix, now);
    const source = salt === null || revision === null ? null : bestSource(site, p, salt, s, has, revision, at, now);
    const moved = source?.tokens ?? 0;
    const moveCost = source ? source.ms / at.readMs : 0;
    const reads = Math.max(ownBlocks, whole - has - moved);
    let cost = reads + moveCost + s.reading + s.othersReading + (s.active + s.othersActive) * runCost;
    const queued = s.active + s.othersActive + 1 - s.slots;
    if (queued > 0) cost += queued * queuedCost;
    if (s.zone !== site.settings.zone_name) cost += zoneCost;
    if (!channels.isWarm(s.agent, p.repeatable, now)) cost += newChannelCost;
    const over = s.claimed + s.othersClaimed + claims - room * 0.9;
    if (over > 0) cost += over * crampedCost;
    if (among && !among.has(s)) cost += apartCost;
    if (!isLong) cost += (s.claimed + s.othersClaimed) * besideLongCost;
    if (s.phase !== 'healthy' || s.verdict !== 'clear') cost += mayTry(p, s, now) ? -suspectCost : suspectCost;
    cost += hash.of(`${s.id} ${draw}`) * shareCost;
    if (cost < bestCost) {
      bestCost = cost;
      best = {
        slot: s,
        revision,
        salt,
        reads: reads + moveCost,
        claims,
        isLong,
        backlog: reads + s.reading + s.othersReading,
        fetchFrom: source?.addr ?? null,
        source,
        transfer: null,
        saveTo: null,
      };
    }
  }
  if (best && best.salt !== null) best.saveTo = saveTo(site, p, best.salt, now);
  return best;
}

export const assign = { choose, shared };
