/**
 * The change history of a list of named items: at which step each item last changed or was removed, so
 * that a reader at an earlier step is sent only the delta. Steps only rise. A reader from before the floor
 * has to be sent the full list.
 */
import type { ListUpdate } from '../../protocol/rpc/updates.js';

/**
 * `step`: the newest step. `floor`: the oldest one that a delta may start from. `items` and `removedAt` by name;
 * `text`: the item's JSON, by which a change is noticed.
 */
export type ItemHistory<T> = {
  floor: number;
  step: number;
  items: Map<string, { value: T; text: string; changedAt: number }>;
  removedAt: Map<string, number>;
};

/** Removals that are remembered; the oldest beyond them raise the floor. */
const maxRemovals = 2000;

/** An empty history. */
function create<T>(): ItemHistory<T> {
  return { floor: 0, step: 0, items: new Map(), removedAt: new Map() };
}

/** Starts over with a full list; earlier steps are forgotten. */
function reset<T>(history: ItemHistory<T>, step: number, list: T[], nameOf: (item: T) => string): void {
  history.floor = step;
  history.step = step;
  history.removedAt.clear();
  history.items = new Map(
    list.map((item) => [nameOf(item), { value: item, text: JSON.stringify(item), changedAt: step }] as const),
  );
}

/** Records the list as it is at a later step. */
function advance<T>(history: ItemHistory<T>, step: number, list: T[], nameOf: (item: T) => string): void {
  const seen = new Set<string>();
  for (const item of list) {
    const key = nameOf(item);
    seen.add(key);
    const known = history.items.get(key);
    if (known && known.value === item) continue;
    const text = JSON.stringify(item);
    if (known && known.text === text) known.value = item;
    else history.items.set(key, { value: item, text, changedAt: step });
    history.removedAt.delete(key);
  }
  for (const key of [...history.items.keys()]) {
    if (seen.has(key)) continue;
    history.items.delete(key);
    history.removedAt.set(key, step);
  }
  history.step = step;
  while (history.removedAt.size > maxRemovals) {
    const [key, removedStep] = history.removedAt.entries().next().value!;
    history.removedAt.delete(key);
    history.floor = Math.max(history.floor, removedStep);
  }
}

/** What changed since a step; null when it is before the floor or was not reached here yet. */
function deltaSince<T>(history: ItemHistory<T>, fromStep: number): ListUpdate<T> | null {
  if (fromStep < history.floor || fromStep > history.step) return null;
  const upserts: T[] = [];
  for (const item of history.items.values()) if (item.changedAt > fromStep) upserts.push(item.value);
  const removals: string[] = [];
  for (const [key, removedStep] of history.removedAt) if (removedStep > fromStep) removals.push(key);
  return { upserts, removals, count: history.items.size };
}

/**
 * Applies a delta to the list that it was made for. Changed items keep their position, new ones are appended.
 * Null when the result does not have the length that the delta states: the list was another one, and the full
 * list has to be requested.
 */
function apply<T>(list: T[], delta: ListUpdate<T>, nameOf: (item: T) => string): T[] | null {
  const upserts = new Map(delta.upserts.map((item) => [nameOf(item), item] as const));
  const removals = new Set(delta.removals);
  const result: T[] = [];
  for (const item of list) {
    const key = nameOf(item);
    if (removals.has(key)) continue;
    const next = upserts.get(key);
    if (next === undefined) result.push(item);
    else {
      result.push(next);
      upserts.delete(key);
    }
  }
  for (const item of upserts.values()) result.push(item);
  return result.length === delta.count ? result : null;
}

export const itemHistory = { create, reset, advance, deltaSince, apply };
