/**
 * The body of `PATCH /v1/config`: a change of named items of a configuration. Lists are merged by label,
 * labels are removed, everything that the change does not name stays as it is. The result is a new value.
 */
import type { Configuration, Finding, Result } from '../../types.js';

type Item = { label: string };
type JsonObject = Record<string, unknown>;

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function mergeByLabel(items: Item[], upserts: Item[]): Item[] {
  const merged = [...items];
  for (const item of upserts) {
    const index = merged.findIndex((known) => known.label === item.label);
    if (index >= 0) merged[index] = item;
    else merged.push(item);
  }
  return merged;
}

function isItemList(list: unknown): list is Item[] {
  return Array.isArray(list) && list.every((item) => isObject(item) && typeof item.label === 'string');
}

/** The field of this name that the object has itself: `toString` is none of `{}`. */
function ownField(object: JsonObject, key: string): unknown {
  return Object.hasOwn(object, key) ? object[key] : undefined;
}

function applyRemovals(next: JsonObject, removals: unknown): Finding[] {
  if (!isObject(removals)) return [{ path: 'removals', text: 'expected a table of lists' }];
  const found: Finding[] = [];
  for (const [key, labels] of Object.entries(removals)) {
    const list = ownField(next, key);
    if (!Array.isArray(labels) || labels.some((label) => typeof label !== 'string'))
      found.push({ path: `removals.${key}`, text: 'expected a list of labels' });
    else if (isItemList(list)) next[key] = list.filter((item) => !labels.includes(item.label));
  }
  return found;
}

/** Lists are merged by label; tables such as `limits` are merged by field. */
function applyUpserts(next: JsonObject, upserts: unknown): Finding[] {
  if (!isObject(upserts)) return [{ path: 'upserts', text: 'expected a table of lists' }];
  const found: Finding[] = [];
  for (const [key, items] of Object.entries(upserts)) {
    const known = ownField(next, key);
    const list = known ?? [];
    if (isObject(items) && (known === undefined || isObject(known))) next[key] = { ...known, ...items };
    else if (!isItemList(items)) found.push({ path: `upserts.${key}`, text: 'expected a list of items with a label' });
    else if (!isItemList(list)) found.push({ path: `upserts.${key}`, text: 'is not a list of items' });
    else next[key] = mergeByLabel(list, items);
  }
  return found;
}

/**
 * The configuration that a change makes of `current`, not checked yet; the new revision is the change's.
 * The findings say what is wrong with the change itself. Removals go before upserts.
 */
function apply(current: Configuration, raw: unknown): Result<unknown, Finding[]> {
  if (!isObject(raw)) return { ok: false, error: [{ path: '(whole)', text: 'expected a table' }] };
  const next: JsonObject = { ...current, revision: raw.revision };
  const found = [...applyRemovals(next, raw.removals ?? {}), ...applyUpserts(next, raw.upserts ?? {})];
  return found.length > 0 ? { ok: false, error: found } : { ok: true, value: next };
}

export const configurationPatch = { apply };
