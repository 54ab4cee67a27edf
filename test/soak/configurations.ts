/**
 * The configurations of a soak: the first one, drawn changes of it, and how a request has to be handled under one of them.
 * The routes that are there from the beginning stay, so that clients always have something to ask for.
 */
import { luck, type Luck } from '../support/random.js';
import type { ChangeKind } from './schedule.js';

export type SoakRoute = {
  label: string;
  hostname: string;
  path_prefix: string;
  variant: 'idempotent' | 'non_idempotent' | 'streaming';
  deadline_ms: number;
  target_ms: number;
  rank: number;
  target?: string;
  branches?: { target: string; share: number }[];
  tries: number;
  public: boolean;
  resumable?: boolean;
  gap_target_ms?: number;
  pinned?: boolean;
};
export type SoakTenant = { label: string; api_keys: string[]; isolated?: boolean; rank?: number };
export type SoakService = Record<string, unknown> & { label: string };
export type SoakDocument = {
  revision: number;
  route_list: SoakRoute[];
  service_list: SoakService[];
  limits: Record<string, number>;
  tenant_list: SoakTenant[];
};

/** What the pages let happen to a request: refused with this status, or run by one of these services for this tenant. */
export type Handling = { status: 401 | 404 } | { status: null; services: string[]; tenant: string };

export const soakModel = 'm-small';
export const soakHost = 'ficu95.example';
export const services = ['s-main', 's-other'] as const;
export const storeService = 's-store';
/** Prefixes of the routes that stay. */
export const lastingPrefixes = { repeat: '/repeat/', once: '/once/', resume: '/resume/', stream: '/stream/' };
/** Prefixes of the routes that come and go. */
export const passingPrefixes = ['/late-a/', '/late-b/', '/late-c/'];

const tenantLabels = ['t-one', 't-two', 't-three'];
const keyAlphabet = 'abcdefghijklmnopqrstuvwxyz0123456789';
/** A header of 16 KiB has to hold the longest key beside all else. */
const keyLengths = [20, 20, 64, 300, 1100, 1500, 6000];
/** Names that an object has by nature, texts of other scripts, and a long one. */
const oddLabels = ['toString', 'constructor', 'hasOwnProperty', 'مقهى', '茶館', 'x'.repeat(3000)];

function route(label: string, over: Partial<SoakRoute>): SoakRoute {
  return {
    label,
    hostname: soakHost,
    path_prefix: `/${label}/`,
    variant: 'idempotent',
    deadline_ms: 4000,
    target_ms: 600,
    rank: 0,
    target: services[0],
    tries: 3,
    public: false,
    ...over,
  };
}

function engine(label: string, slotCount: number): SoakService {
  return {
    label,
    health_path: '/health',
    max_conns: 200,
    protocol: 'h1',
    uses_tls: false,
    engine_kind: { slot_count: slotCount, kv_capacity: 100_000, max_in_flight: 12, model_list: [{ label: soakModel }] },
  };
}

function drawKey(source: Luck): string {
  const length = luck.pick(source, keyLengths);
  return Array.from({ length }, () => luck.pick(source, [...keyAlphabet])).join('');
}

/** The configuration at the start. */
function first(source: Luck, storeAddress: string, slotCount: number): SoakDocument {
  return {
    revision: 1,
    route_list: [
      route('repeat', {}),
      route('once', { variant: 'non_idempotent', tries: 2 }),
      route('resume', { variant: 'streaming', resumable: true, gap_target_ms: 250, pinned: true }),
      route('stream', { variant: 'streaming', resumable: false, gap_target_ms: 250, tries: 2 }),
    ],
    service_list: [
      ...services.map((label) => engine(label, slotCount)),
      { label: storeService, kv_store_addr: storeAddress, zone_name: 'z1', kv_capacity: 100_000, max_in_flight: 12 },
    ],
    limits: { header_bytes: 16_384, body_bytes: 1_000_000, header_ms: 3000, idle_ms: 15_000 },
    tenant_list: tenantLabels.map((label, index) => ({
      label,
      api_keys: [drawKey(source)],
      ...(index === 0 ? { isolated: true } : {}),
    })),
  };
}

function movedRoute(source: Luck, moved: SoakRoute): SoakRoute {
  const { target, branches, ...rest } = moved;
  const before = target ?? branches?.[0]?.target;
  const other = services.find((service) => service !== before)!;
  if (luck.next(source) < 0.6) return { ...rest, target: other };
  return {
    ...rest,
    branches: [
      { target: services[0], share: 70 },
      { target: services[1], share: 30 },
    ],
  };
}

function replaced<Item extends { label: string }>(list: Item[], item: Item): Item[] {
  return list.map((one) => (one.label === item.label ? item : one));
}

/** A change of this kind, or null where there is nothing to change. `revision` is not set. */
function changed(document: SoakDocument, kind: ChangeKind, source: Luck): SoakDocument | null {
  const { route_list: routes, tenant_list: tenants } = document;
  const passing = routes.filter((one) => passingPrefixes.includes(one.path_prefix));
  switch (kind) {
    case 'rotate_key': {
      if (tenants.length === 0) return null;
      const tenant = luck.pick(source, tenants);
      const kept = luck.next(source) < 0.5 ? tenant.api_keys.slice(-1) : [];
      return { ...document, tenant_list: replaced(tenants, { ...tenant, api_keys: [...kept, drawKey(source)] }) };
    }
    case 'toggle_isolation': {
      if (tenants.length === 0) return null;
      const tenant = luck.pick(source, tenants);
      return { ...document, tenant_list: replaced(tenants, { ...tenant, isolated: tenant.isolated !== true }) };
    }
    case 'remove_tenant': {
      if (tenants.length < 2) return null;
      const removed = luck.pick(source, tenants);
      return { ...document, tenant_list: tenants.filter((tenant) => tenant !== removed) };
    }
    case 'add_tenant': {
      const label = tenantLabels.find((one) => !tenants.some((tenant) => tenant.label === one));
      if (label === undefined) return null;
      const added = { label, api_keys: [drawKey(source)], isolated: luck.next(source) < 0.5 };
      return { ...document, tenant_list: [...tenants, added] };
    }
    case 'add_route': {
      const free = passingPrefixes.find((prefix) => !passing.some((one) => one.path_prefix === prefix));
      if (free === undefined) return null;
      const label = luck.next(source) < 0.3 ? luck.pick(source, oddLabels) : free.slice(1, -1);
      if (routes.some((one) => one.label === label)) return null;
      return { ...document, route_list: [...routes, route(label, { path_prefix: free })] };
    }
    case 'remove_route': {
      if (passing.length === 0) return null;
      const removed = luck.pick(source, passing);
      return { ...document, route_list: routes.filter((one) => one !== removed) };
    }
    case 'move_route':
      return { ...document, route_list: replaced(routes, movedRoute(source, luck.pick(source, routes))) };
    case 'change_numbers': {
      const one = luck.pick(source, routes);
      const numbers = { target_ms: luck.pick(source, [0.5, 300, 600.25, 2 ** 40]), rank: luck.below(source, 3) };
      return { ...document, route_list: replaced(routes, { ...one, ...numbers }) };
    }
    case 'add_odd_item': {
      const label = luck.pick(source, oddLabels);
      if (tenants.some((tenant) => tenant.label === label)) {
        return { ...document, tenant_list: tenants.filter((tenant) => tenant.label !== label) };
      }
      return { ...document, tenant_list: [...tenants, { label, api_keys: [drawKey(source)] }] };
    }
  }
}

type ItemList = 'route_list' | 'service_list' | 'tenant_list';
const itemLists: ItemList[] = ['route_list', 'service_list', 'tenant_list'];

/** The body of the PATCH that makes `after` of `before`. */
function patchBetween(before: SoakDocument, after: SoakDocument): object {
  const upserts: Partial<Record<ItemList, object[]>> = {};
  const removals: Partial<Record<ItemList, string[]>> = {};
  for (const list of itemLists) {
    const earlier = new Map(before[list].map((item) => [item.label, JSON.stringify(item)]));
    const changedItems = after[list].filter((item) => earlier.get(item.label) !== JSON.stringify(item));
    const labels = new Set(after[list].map((item) => item.label));
    const gone = before[list].map((item) => item.label).filter((label) => !labels.has(label));
    if (changedItems.length > 0) upserts[list] = changedItems;
    if (gone.length > 0) removals[list] = gone;
  }
  return { revision: after.revision, upserts, removals };
}

/** Documents that are no valid configurations, each in another way. */
function invalid(document: SoakDocument, source: Luck): unknown {
  const kinds: (() => unknown)[] = [
    () => ({ ...document, route_list: [route('bad', { target: 'nobody' })] }),
    () => ({ ...document, route_list: [...document.route_list, { ...document.route_list[0], label: 'twin' }] }),
    () => ({ ...document, route_list: 'a text', limits: { header_bytes: { toString: 1 } } }),
    () => ({ ...document, route_list: [route('bad', { deadline_ms: 0 })] }),
    () => ({
      ...document,
      route_list: [{ ...route('bad', {}), target: undefined, branches: [{ target: services[0], share: 0 }] }],
    }),
    () => ({
      ...document,
      tenant_list: [
        { label: 'a', api_keys: ['same'] },
        { label: 'b', api_keys: ['same'] },
      ],
    }),
    () => ({ ...document, revision: 0 }),
    () => [document],
  ];
  return luck.pick(source, kinds)();
}

function pathOf(path: string): string {
  return path.split('?')[0]!;
}

/** How a request for this path with this key has to be handled under a configuration. */
function handling(document: SoakDocument, path: string, key: string | null): Handling {
  const matching = document.route_list
    .filter((one) => one.hostname === soakHost && pathOf(path).startsWith(one.path_prefix))
    .sort((a, b) => b.path_prefix.length - a.path_prefix.length)[0];
  const tenant = document.tenant_list.find((one) => key !== null && one.api_keys.includes(key));
  if (!matching) return { status: 404 };
  if (!tenant) return { status: 401 };
  const targets = matching.branches?.map((branch) => branch.target) ?? [matching.target!];
  return { status: null, services: targets, tenant: tenant.label };
}

/** The route of a path that is there under each of the documents that this one was changed from. */
function routeOf(document: SoakDocument, path: string): SoakRoute | null {
  return document.route_list.find((one) => pathOf(path).startsWith(one.path_prefix)) ?? null;
}

export const soakConfigurations = { first, changed, patchBetween, invalid, handling, routeOf };
