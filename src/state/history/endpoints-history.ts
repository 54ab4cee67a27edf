/**
 * The updates between endpoints snapshots of one term, for routers that have an earlier one: the runners that changed
 * and the ids of those that were removed. A router whose snapshot is of another term, or was never held by this
 * coordinator, is sent the snapshot in full.
 */
import type { EndpointsUpdate } from '../../protocol/rpc/updates.js';
import type { EndpointsSnapshot, Runner } from '../../types.js';
import { itemHistory, type ItemHistory } from './item-history.js';

/** The latest snapshot and its changes since earlier ones; `knownSeqs`: the snapshots of its term held here. */
export type EndpointsHistory = {
  term: number;
  seq: number;
  routerCount: number;
  runners: ItemHistory<Runner>;
  hasSnapshot: boolean;
  knownSeqs: Set<number>;
};

/** Snapshots of a term that a delta may start from; older ones are sent in full. */
const maxKnownSeqs = 512;

/** An empty history. */
function create(): EndpointsHistory {
  return { term: 0, seq: 0, routerCount: 0, runners: itemHistory.create(), hasSnapshot: false, knownSeqs: new Set() };
}

function idOf(runner: Runner): string {
  return runner.id;
}

/** Records a snapshot; the first of a term, and one without runners, starts the history over. */
function record(history: EndpointsHistory, snapshot: EndpointsSnapshot): void {
  const startsOver = snapshot.term !== history.term || !history.hasSnapshot || snapshot.runners === null;
  history.term = snapshot.term;
  history.seq = snapshot.seq;
  history.routerCount = snapshot.routerCount;
  history.hasSnapshot = snapshot.runners !== null;
  if (startsOver) itemHistory.reset(history.runners, snapshot.seq, snapshot.runners ?? [], idOf);
  else itemHistory.advance(history.runners, snapshot.seq, snapshot.runners!, idOf);
  if (startsOver) history.knownSeqs.clear();
  history.knownSeqs.add(snapshot.seq);
  if (history.knownSeqs.size > maxKnownSeqs) history.knownSeqs.delete(history.knownSeqs.values().next().value!);
}

/** What a router at that snapshot lacks; null when it must be sent the snapshot in full. */
function deltaSince(history: EndpointsHistory, term: number, seq: number): EndpointsUpdate | null {
  if (!history.hasSnapshot || term !== history.term || !history.knownSeqs.has(seq)) return null;
  const runners = itemHistory.deltaSince(history.runners, seq);
  return runners && { fromSeq: seq, term, seq: history.seq, routerCount: history.routerCount, runners };
}

/** The snapshot that an update leads to; null when the update was made for another one than `snapshot`. */
function apply(snapshot: EndpointsSnapshot, update: EndpointsUpdate): EndpointsSnapshot | null {
  if (snapshot.term !== update.term || snapshot.seq !== update.fromSeq || snapshot.runners === null) return null;
  const runners = itemHistory.apply(snapshot.runners, update.runners, idOf);
  return runners && { term: update.term, seq: update.seq, runners, routerCount: update.routerCount };
}

export const endpointsHistory = { create, record, deltaSince, apply };
