/**
 * The fleet file of the simulator (`examples/fleet.yaml`): its shape, its checks, and the changes that it may name. The
 * types mirror the file; `scenario.ts` says what the fields are, and maps them to the names used everywhere else.
 */
import {
  array,
  boolean,
  enums,
  integer,
  max,
  min,
  nonempty,
  number,
  optional,
  record,
  size,
  string,
  type,
} from 'superstruct';
import { findings } from '../../protocol/findings.js';
import type { Finding, Result } from '../../types.js';

/** A class of requests: `TrafficClass`. */
export type FleetTraffic = {
  name: string;
  per_s: number;
  shared_tokens: number;
  things: number;
  skew: number;
  own_tokens: number;
  out_tokens: number;
  aim_ms: number;
  deadline_ms: number;
  tries: number;
  resumable: boolean;
  tenants: number;
  isolated: number;
};

/** A fault: `Fault`. */
export type FleetFault = {
  kind: 'runner_crash' | 'site_kill' | 'coordinator_kill' | 'store_loss' | 'new_weights';
  at_s: number;
  for_s: number;
  count: number;
  zone?: string;
};

/** Named changes: values by their paths in the file, such as `traffic.0.per_s`. */
type FleetChange = { name: string; set: Record<string, unknown> };

/** The file, checked. */
export type FleetFile = {
  seed: number;
  seconds: number;
  zones: Record<string, { sites: number; runners: number; clients: number }>;
  coordinators: number;
  network: { in_zone_ms: number; cross_zone_ms: number; client_ms: number };
  runner: {
    slots: number;
    kv_tokens: number;
    read_tokens_per_ms: number;
    step_ms: number;
    step_ms_per_slot: number;
    move_tokens_per_ms: number;
    load_s: number;
  };
  store?: { kv_tokens: number };
  traffic: FleetTraffic[];
  tuning: { epsilon: number; phi: number; hot_set: boolean; moved_tokens: number };
  troubles: FleetFault[];
  changes?: FleetChange[];
};

const notNegative = min(number(), 0);
const positive = min(number(), 0, { exclusive: true });
const share = max(min(number(), 0), 1);
const count = min(integer(), 0);

const trafficShape = type({
  name: nonempty(string()),
  per_s: notNegative,
  shared_tokens: count,
  things: min(integer(), 1),
  skew: notNegative,
  own_tokens: count,
  out_tokens: min(integer(), 1),
  aim_ms: positive,
  deadline_ms: positive,
  tries: min(integer(), 1),
  resumable: boolean(),
  tenants: min(integer(), 1),
  isolated: share,
});

const faultShape = type({
  kind: enums(['runner_crash', 'site_kill', 'coordinator_kill', 'store_loss', 'new_weights']),
  at_s: notNegative,
  for_s: notNegative,
  count: min(integer(), 1),
  zone: optional(string()),
});

/** All of the file but its changes, whose values may be of any type. */
const shape = type({
  seed: integer(),
  seconds: max(positive, 3600),
  zones: record(nonempty(string()), type({ sites: count, runners: count, clients: notNegative })),
  coordinators: max(min(integer(), 1), 9),
  network: type({ in_zone_ms: notNegative, cross_zone_ms: notNegative, client_ms: notNegative }),
  runner: type({
    slots: min(integer(), 1),
    kv_tokens: min(integer(), 1),
    read_tokens_per_ms: positive,
    step_ms: positive,
    step_ms_per_slot: notNegative,
    move_tokens_per_ms: positive,
    load_s: notNegative,
  }),
  store: optional(type({ kv_tokens: min(integer(), 1) })),
  traffic: size(array(trafficShape), 1, 100),
  tuning: type({ epsilon: positive, phi: positive, hot_set: boolean(), moved_tokens: min(integer(), 1) }),
  troubles: array(faultShape),
});

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null;
}

function findingsOfChanges(changes: unknown): Finding[] {
  if (changes === undefined) return [];
  if (!Array.isArray(changes)) return [{ path: 'changes', text: 'expected a list' }];
  return changes.flatMap((change: { name?: unknown; set?: unknown } | null, index) => {
    const found: Finding[] = [];
    if (typeof change?.name !== 'string' || change.name === '')
      found.push({ path: `changes.${index}.name`, text: 'expected a name' });
    if (!isObject(change?.set))
      found.push({ path: `changes.${index}.set`, text: 'expected a table of paths and values' });
    return found;
  });
}

/** What no field shows by itself: a fleet that can't serve, and names of what isn't there. */
function findingsOfFleet(file: FleetFile): Finding[] {
  const found: Finding[] = [];
  const zones = Object.values(file.zones);
  if (!zones.some((zone) => zone.sites > 0)) found.push({ path: 'zones', text: 'there is no router' });
  if (!zones.some((zone) => zone.runners > 0)) found.push({ path: 'zones', text: 'there is no runner' });
  if (!zones.some((zone) => zone.clients > 0)) found.push({ path: 'zones', text: 'there are no clients' });
  if (!file.traffic.some(({ per_s }) => per_s > 0)) found.push({ path: 'traffic', text: 'there is no traffic' });
  if (file.tuning.epsilon > file.tuning.phi) found.push({ path: 'tuning.epsilon', text: 'must not be above phi' });
  file.troubles.forEach(({ zone }, index) => {
    if (zone !== undefined && file.zones[zone] === undefined)
      found.push({ path: `troubles.${index}.zone`, text: `unknown zone ${zone}` });
  });
  return found;
}

/** The fleet file in the value of a YAML document, or all that is wrong with it. */
function parse(raw: unknown): Result<FleetFile, Finding[]> {
  const withoutChanges = isObject(raw) ? { ...raw, changes: undefined } : raw;
  const found = findings.fromStruct(withoutChanges, shape);
  found.push(...findingsOfChanges(isObject(raw) ? raw.changes : undefined));
  if (found.length > 0) return { ok: false, error: found };
  const file = raw as FleetFile;
  const ofFleet = findingsOfFleet(file);
  return ofFleet.length > 0 ? { ok: false, error: ofFleet } : { ok: true, value: file };
}

/** Sets the value at a path of a document; false if there is no such field. */
function setAt(document: unknown, path: string, value: unknown): boolean {
  const steps = path.split('.');
  const last = steps.pop()!;
  let parent: unknown = document;
  for (const step of steps) parent = isObject(parent) ? parent[step] : undefined;
  if (!isObject(parent) || !(last in parent)) return false;
  parent[last] = value;
  return true;
}

/** The file with one of its named changes, checked anew; what is wrong with it is found in the change or the result. */
function withChange(file: FleetFile, name: string): Result<FleetFile, Finding[]> {
  const change = file.changes?.find((each) => each.name === name);
  if (!change) return { ok: false, error: [{ path: 'changes', text: `there is no change named ${name}` }] };
  const copy = structuredClone({ ...file, changes: undefined });
  const found: Finding[] = [];
  for (const [path, value] of Object.entries(change.set))
    if (!setAt(copy, path, value))
      found.push({ path: `changes.${name}.${path}`, text: 'there is no such field in the file' });
  return found.length > 0 ? { ok: false, error: found } : parse(copy);
}

export const fleetFile = { parse, withChange };
