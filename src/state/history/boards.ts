// The differences between boards of one epoch, for sites that have an earlier one: the rows of runners
// that changed and the names of those that left. A new epoch, or a board that this coordinator did not
// have itself, is answered with the board whole.
import type { Board, Runner } from '../../types.js';
import { itemHistory, type ItemDelta, type ItemHistory } from './items.js';

export type BoardDelta = { from: number; epoch: number; seq: number; sites: number; runners: ItemDelta<Runner> };
export type BoardHistory = {
  epoch: number;
  seq: number;
  sites: number;
  runners: ItemHistory<Runner>;
  isKnown: boolean;
  steps: Set<number>;
};

const remembered = 512;

function create(): BoardHistory {
  return { epoch: 0, seq: 0, sites: 0, runners: itemHistory.create(), isKnown: false, steps: new Set() };
}

function id(r: Runner): string {
  return r.id;
}

function take(h: BoardHistory, b: Board): void {
  const isNew = b.epoch !== h.epoch || !h.isKnown || b.runners === null;
  h.epoch = b.epoch;
  h.seq = b.seq;
  h.sites = b.sites;
  h.isKnown = b.runners !== null;
  if (isNew) itemHistory.reset(h.runners, b.seq, b.runners ?? [], id);
  else itemHistory.advance(h.runners, b.seq, b.runners!, id);
  if (isNew) h.steps.clear();
  h.steps.add(b.seq);
  if (h.steps.size > remembered) h.steps.delete(h.steps.values().next().value!);
}

function since(h: BoardHistory, epoch: number, seq: number): BoardDelta | null {
  if (!h.isKnown || epoch !== h.epoch || !h.steps.has(seq)) return null;
  const runners = itemHistory.since(h.runners, seq);
  return runners && { from: seq, epoch, seq: h.seq, sites: h.sites, runners };
}

function apply(b: Board, d: BoardDelta): Board | null {
  if (b.epoch !== d.epoch || b.seq !== d.from || b.runners === null) return null;
  const runners = itemHistory.apply(b.runners, d.runners, id);
  return runners && { epoch: d.epoch, seq: d.seq, runners, sites: d.sites };
}

export const boardHistory = { create, take, since, apply };
