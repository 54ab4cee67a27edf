/**
 * Converts a dynamic configuration of the Traefik proxy (its file provider, YAML) to a configuration of ours. Whatever
 * has no counterpart is listed with its line; nothing is dropped in silence.
 * Source: https://doc.traefik.io/traefik/routing/overview/
 */
import { isMap, isScalar, isSeq, type Node } from 'yaml';
import type { Branch, Configuration, Route, Service } from '../types.js';
import type { YamlFile } from './file-reader.js';
import { traefikRule, type RouteMatch, type RuleError } from './traefik-rule.js';

/** Why something was not carried over. */
export type UnsupportedReason =
  | { kind: 'no_counterpart' }
  | { kind: 'not_http' }
  | { kind: 'unknown_service_kind' }
  | { kind: 'active_health_check' }
  | { kind: 'static_servers' }
  | { kind: 'unnamed_branch' }
  | { kind: 'router_priority' }
  | { kind: 'invalid_rule'; cause: RuleError }
  | { kind: 'incomplete_router'; missing: 'rule' | 'service' };

/** Something that was not carried over: its line in the file, from 1, and its path in the document. */
export type Unsupported = { line: number; path: string; reason: UnsupportedReason };

/** The configuration, not checked yet, and what is missing in it, in the order of the document's sections. */
export type Conversion = { configuration: Configuration; unsupported: Unsupported[] };

/** What a conversion has collected so far; the branches of weighted services wait there for their routes. */
type ConversionState = {
  yaml: YamlFile;
  services: Service[];
  branchesByService: Map<string, Branch[]>;
  routes: Route[];
  unsupported: Unsupported[];
};

/** An entry of a YAML map; `path` is that of the entry, `value` null where nothing stands behind the key. */
type Entry = { key: unknown; name: string; path: string; value: unknown };

/** Traefik has no deadline for a whole request; the operator sets the real one after the import. */
const defaultDeadlineMs = 30_000;
const defaultHealthPath = '/health';
/** Traefik marks services by the provider that they come from; those of one file need no mark. */
const fileProviderSuffix = /@file$/;

function lineOf({ yaml }: ConversionState, node: unknown): number {
  const offset = (node as Node | null)?.range?.[0];
  return offset === undefined ? 1 : yaml.lines.linePos(offset).line;
}

function reportUnsupported(state: ConversionState, node: unknown, path: string, reason: UnsupportedReason): void {
  state.unsupported.push({ line: lineOf(state, node), path, reason });
}

/** The entries of a map; none for any other node. `path` is the map's own, empty for the document. */
function entriesOf(map: unknown, path: string): Entry[] {
  if (!isMap(map)) return [];
  return map.items.map(({ key, value }) => {
    const name = String(isScalar(key) ? key.value : key);
    return { key, name, path: path === '' ? name : `${path}.${name}`, value };
  });
}

function scalarOf(node: unknown): unknown {
  return isScalar(node) ? node.value : undefined;
}

function convertService(state: ConversionState, { name, path, value }: Entry): void {
  for (const kind of entriesOf(value, path)) {
    if (kind.name === 'weighted') state.branchesByService.set(name, convertBranches(state, kind));
    else if (kind.name === 'loadBalancer') state.services.push(convertLoadBalancer(state, name, kind));
    else reportUnsupported(state, kind.key, kind.path, { kind: 'unknown_service_kind' });
  }
}

function convertLoadBalancer(state: ConversionState, label: string, { path, value }: Entry): Service {
  const service: Service = { label, health_path: defaultHealthPath };
  for (const field of entriesOf(value, path)) {
    if (field.name === 'healthCheck') service.health_path = convertHealthCheck(state, field);
    else if (field.name === 'servers') reportUnsupported(state, field.key, field.path, { kind: 'static_servers' });
    else reportUnsupported(state, field.key, field.path, { kind: 'no_counterpart' });
  }
  return service;
}

/** The path of a health check, the only one of its options that has a counterpart. */
function convertHealthCheck(state: ConversionState, { path, value }: Entry): string {
  let healthPath = defaultHealthPath;
  for (const option of entriesOf(value, path)) {
    const optionValue = scalarOf(option.value);
    if (option.name === 'path' && typeof optionValue === 'string') healthPath = optionValue;
    else reportUnsupported(state, option.key, option.path, { kind: 'active_health_check' });
  }
  return healthPath;
}

function convertBranches(state: ConversionState, { path, value }: Entry): Branch[] {
  const branches: Branch[] = [];
  for (const field of entriesOf(value, path)) {
    if (field.name !== 'services' || !isSeq(field.value)) {
      reportUnsupported(state, field.key, field.path, { kind: 'no_counterpart' });
      continue;
    }
    field.value.items.forEach((item, index) => {
      const branch = convertBranch(state, item, `${field.path}.${index}`);
      if (branch) branches.push(branch);
    });
  }
  return branches;
}

/** One service of a weighted one; its weight is 1 unless it is given. */
function convertBranch(state: ConversionState, item: unknown, path: string): Branch | null {
  let target: string | null = null;
  let share = 1;
  for (const option of entriesOf(item, path)) {
    const value = scalarOf(option.value);
    if (option.name === 'name') target = String(value);
    else if (option.name === 'weight' && typeof value === 'number') share = value;
    else reportUnsupported(state, option.key, option.path, { kind: 'no_counterpart' });
  }
  if (target !== null) return { target, share };
  reportUnsupported(state, item, path, { kind: 'unnamed_branch' });
  return null;
}

/** A router becomes a route, or nothing if its rule or its service is missing or can't be expressed. */
function convertRouter(state: ConversionState, { name, path, value }: Entry): Route | null {
  let match: RouteMatch | null = null;
  let target: string | null = null;
  let isRuleInvalid = false;
  for (const field of entriesOf(value, path)) {
    if (field.name === 'rule') {
      match = convertRule(state, field);
      isRuleInvalid = match === null;
    } else if (field.name === 'service') target = String(scalarOf(field.value)).replace(fileProviderSuffix, '');
    else if (field.name === 'priority') reportUnsupported(state, field.key, field.path, { kind: 'router_priority' });
    else reportUnsupported(state, field.key, field.path, { kind: 'no_counterpart' });
  }
  if (match !== null && target !== null) return createRoute(state, name, match, target);
  const missing = match === null ? 'rule' : 'service';
  if (!isRuleInvalid) reportUnsupported(state, value, path, { kind: 'incomplete_router', missing });
  return null;
}

function convertRule(state: ConversionState, { key, path, value }: Entry): RouteMatch | null {
  const parsed = traefikRule.parse(String(scalarOf(value)));
  if (parsed.ok) return parsed.value;
  reportUnsupported(state, key, path, { kind: 'invalid_rule', cause: parsed.error });
  return null;
}

/** What Traefik does not say gets the cautious value: nothing is sent twice. */
function createRoute(state: ConversionState, label: string, match: RouteMatch, target: string): Route {
  const branches = state.branchesByService.get(target);
  return {
    label,
    hostname: match.hostname,
    path_prefix: match.pathPrefix,
    variant: 'non_idempotent',
    deadline_ms: defaultDeadlineMs,
    tries: 1,
    public: true,
    ...(branches ? { branches } : { target }),
  };
}

/** A section of `http` other than services and routers, for example middlewares: each of its entries is listed. */
function reportSection(state: ConversionState, section: Entry): void {
  const entries = entriesOf(section.value, section.path);
  const unsupported = entries.length > 0 ? entries : [section];
  for (const { key, path } of unsupported) reportUnsupported(state, key, path, { kind: 'no_counterpart' });
}

/** Converts a document. Services go before routers, wherever they stand, since routes need their branches. */
function convert(yaml: YamlFile): Conversion {
  const state: ConversionState = { yaml, services: [], branchesByService: new Map(), routes: [], unsupported: [] };
  const top = entriesOf(yaml.doc.contents, '');
  for (const section of top)
    if (section.name !== 'http') reportUnsupported(state, section.key, section.path, { kind: 'not_http' });
  const http = entriesOf(top.find(({ name }) => name === 'http')?.value, 'http');
  for (const section of http) {
    if (section.name === 'services')
      for (const service of entriesOf(section.value, section.path)) convertService(state, service);
    else if (section.name !== 'routers') reportSection(state, section);
  }
  const routers = http.find(({ name }) => name === 'routers');
  for (const router of routers ? entriesOf(routers.value, routers.path) : []) {
    const route = convertRouter(state, router);
    if (route) state.routes.push(route);
  }
  const configuration = { revision: 1, route_list: state.routes, service_list: state.services };
  return { configuration, unsupported: state.unsupported };
}

/** The reason for a reader. */
function describeReason(reason: UnsupportedReason): string {
  switch (reason.kind) {
    case 'no_counterpart':
      return 'has no counterpart';
    case 'not_http':
      return 'only http is carried over';
    case 'unknown_service_kind':
      return 'this kind of service has no counterpart';
    case 'active_health_check':
      return 'health is learned from requests; only the path is carried over';
    case 'static_servers':
      return "runners come from the platform's list, not from the configuration";
    case 'unnamed_branch':
      return 'names no service';
    case 'router_priority':
      return 'the longest prefix always wins here';
    case 'invalid_rule':
      return `${traefikRule.describeError(reason.cause)}; the route is left out`;
    case 'incomplete_router':
      return `has no ${reason.missing}; the route is left out`;
  }
}

export const traefikConversion = { convert, describeReason };
