/**
 * When each revision of a model's weights was named, as one process knows it. The operator's bound on old weights
 * (`version_ms`) runs from each name's own acknowledgement, however many later names follow it, so all names that are
 * not yet out of date for everybody are kept. Times are in ms of the steady clock of the process that holds them.
 */
import type { NamingAge } from '../../types.js';

/** A revision and when it was named: its acknowledgement, or the first that this process heard of it. */
export type Naming = { revision: number; namedAt: number };

/** The namings of each model by its label, ascending by revision. */
export type WeightNamings = Map<string, Naming[]>;

/** No namings. */
function create(): WeightNamings {
  return new Map();
}

/** Records a name; of two times for the same revision the earlier one stands. */
function record(namings: WeightNamings, model: string, revision: number, namedAt: number): void {
  const known = namings.get(model) ?? [];
  const same = known.find((naming) => naming.revision === revision);
  if (same) same.namedAt = Math.min(same.namedAt, namedAt);
  else known.push({ revision, namedAt });
  known.sort((a, b) => a.revision - b.revision);
  namings.set(model, known);
}

/** Drops the names that no longer matter, since a newer one was named `ageMs` ago or earlier. */
function forgetOlderThan(namings: WeightNamings, ageMs: number, now: number): void {
  for (const [model, known] of namings) {
    const lastOld = known.findLastIndex((naming) => now - naming.namedAt >= ageMs);
    if (lastOld > 0) namings.set(model, known.slice(lastOld));
  }
}

/** Since when a runner at `revision` has lacked a newer one; null if there is none. */
function outdatedSince(namings: WeightNamings, model: string, revision: number): number | null {
  let since: number | null = null;
  for (const naming of namings.get(model) ?? [])
    if (naming.revision > revision) since = Math.min(since ?? Infinity, naming.namedAt);
  return since;
}

/** When the newest revision of the model was named; null if none is known. */
function newestNamedAt(namings: WeightNamings, model: string): number | null {
  return namings.get(model)?.at(-1)?.namedAt ?? null;
}

/** The namings as ages at `now`. */
function toAges(namings: WeightNamings, now: number): NamingAge[] {
  return [...namings].flatMap(([model, known]) =>
    known.map(({ revision, namedAt }) => ({ model, revision, ageMs: now - namedAt })),
  );
}

/** Records namings that were sent as ages and arrived at `now`. */
function recordAges(namings: WeightNamings, ages: NamingAge[], now: number): void {
  for (const { model, revision, ageMs } of ages) record(namings, model, revision, now - ageMs);
}

export const weightNamings = { create, record, forgetOlderThan, outdatedSince, newestNamedAt, toAges, recordAges };
