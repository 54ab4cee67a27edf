/**
 * The exact difference between two configurations: the lists of routes, services and tenants by
 * their changed items with their indices, every other field in full. Unlike the deltas sent to routers,
 * the result is equal to the target down to the order of the items, since an operator who reads a
 * revision back must find what was sent under its number. Changes are stored in the log, in the form of
 * `state/control/stored-format.ts`.
 */
import { isDeepStrictEqual } from 'node:util';
import type { Configuration } from '../../types.js';
import { storedFormat } from '../control/stored-format.js';

type Item = { label: string };

/** An item that was added or changed, and its index in the resulting list. */
export type IndexedItem = { index: number; item: unknown };

/**
 * `removals`: the labels of items that are dropped, first of all. Each item of `upserts` is then inserted at its
 * index in the resulting list; unchanged items keep their order around them.
 */
export type ListChange = { removals: string[]; upserts: IndexedItem[] };

/**
 * `full` replaces the configuration. `items`: `lists` holds a change for every list that base and target both have,
 * by the name of the list; `rest` is every other field of the target.
 */
export type ConfigurationChange =
  | { kind: 'full'; configuration: Configuration }
  | { kind: 'items'; rest: Record<string, unknown>; lists: Record<string, ListChange> };

const listNames = ['route_list', 'service_list', 'tenant_list'] as const;

function textByLabel(list: Item[]): Map<string, string> {
  return new Map(list.map((item) => [item.label, JSON.stringify(item)] as const));
}

function diffList(base: Item[], target: Item[]): ListChange {
  const before = textByLabel(base);
  const after = new Set(target.map((item) => item.label));
  const upserts: IndexedItem[] = [];
  target.forEach((item, index) => {
    if (before.get(item.label) !== JSON.stringify(item)) upserts.push({ index, item });
  });
  const removals = [...before.keys()].filter((label) => !after.has(label));
  return { removals, upserts };
}

function applyList(base: Item[], change: ListChange): Item[] {
  const replaced = new Set(change.removals);
  for (const { item } of change.upserts) replaced.add((item as Item).label);
  const result = base.filter((item) => !replaced.has(item.label));
  for (const { index, item } of change.upserts) result.splice(index, 0, item as Item);
  return result;
}

function diffByItems(base: Configuration, target: Configuration): ConfigurationChange {
  const rest: Record<string, unknown> = { ...target };
  const lists: Record<string, ListChange> = {};
  for (const name of listNames) {
    const before = base[name];
    const after = target[name];
    if (before === undefined || after === undefined) continue;
    lists[name] = diffList(before, after);
    delete rest[name];
  }
  return { kind: 'items', rest, lists };
}

/** The configuration that `change` makes of `base`; null where it needs a base and there is none. */
function apply(base: Configuration | null, change: ConfigurationChange): Configuration | null {
  if (change.kind === 'full') return change.configuration;
  if (base === null) return null;
  const next: Record<string, unknown> = { ...change.rest };
  for (const name of listNames) {
    const list = change.lists[name];
    if (list === undefined) continue;
    const before = base[name];
    if (before === undefined) return null;
    next[name] = applyList(before, list);
  }
  return next as Configuration;
}

/** Its length as JSON in the stored form, by which two ways to the same target are compared. */
function storedLength(change: ConfigurationChange): number {
  return JSON.stringify(storedFormat.encodeChange(change)).length;
}

/**
 * The smaller of the two ways to bring `base` to `target`. A change by items is used only after it was
 * applied here and gave exactly the target; a list that was re-ordered, for one, needs a full change.
 */
function diff(base: Configuration | null, target: Configuration): ConfigurationChange {
  const full: ConfigurationChange = { kind: 'full', configuration: target };
  if (base === null) return full;
  const byItems = diffByItems(base, target);
  if (storedLength(byItems) >= storedLength(full)) return full;
  return isDeepStrictEqual(apply(base, byItems), target) ? byItems : full;
}

export const configurationChange = { diff, apply };
