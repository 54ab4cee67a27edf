/**
 * The configuration as the request path reads it: routes by host with the longest prefix first,
 * services, keys and tenants by name. Built once for each revision and never changed after.
 */
import type { Configuration, Limits, Route, Service, Tenant } from '../../types.js';
import { headerText } from '../../protocol/calls/header-text.js';
import { cacheIsolation } from './cache-isolation.js';

/**
 * A route and its path prefix as request targets have it. One beyond ASCII is compared in its encoded form
 * (`headerText.encodedTarget`), any other byte by byte.
 */
export type HostRoute = { prefix: string; isEncoded: boolean; route: Route };

export type RouteTable = {
  revision: number;
  /** The routes of a lower-case host name, longest prefix first. */
  hosts: Map<string, HostRoute[]>;
  /** By label. */
  services: Map<string, Service>;
  /** The tenant of an API key, as header fields carry it. */
  keys: Map<string, Tenant>;
  /** Whether the configuration lists tenants at all; without a list no key is asked for. */
  hasTenants: boolean;
  limits: Limits;
  /** The cache domain of all requests whose tenant is not isolated. */
  sharedDomain: string;
  /** The services that are stores of cached prefixes. */
  stores: Service[];
};

function hostRouteOf(route: Route): HostRoute {
  const isEncoded = !headerText.isAscii(route.path_prefix);
  const prefix = headerText.toWire(route.path_prefix);
  return { prefix: isEncoded ? headerText.encodedTarget(prefix) : prefix, isEncoded, route };
}

function routesByHost(routes: Route[]): Map<string, HostRoute[]> {
  const hosts = new Map<string, HostRoute[]>();
  for (const route of routes) {
    const host = headerText.toWire(route.hostname).toLowerCase();
    const hostRoute = hostRouteOf(route);
    const hostRoutes = hosts.get(host);
    if (hostRoutes) hostRoutes.push(hostRoute);
    else hosts.set(host, [hostRoute]);
  }
  for (const hostRoutes of hosts.values()) hostRoutes.sort((a, b) => b.prefix.length - a.prefix.length);
  return hosts;
}

/** Keys beyond ASCII are found in UTF-8 and, as far as it has their characters, in Latin-1, as clients differ in it. */
function tenantsByKey(tenants: Tenant[]): Map<string, Tenant> {
  const keys = new Map<string, Tenant>();
  for (const tenant of tenants) for (const key of tenant.api_keys) keys.set(key, tenant);
  for (const tenant of tenants) for (const key of tenant.api_keys) keys.set(headerText.toWire(key), tenant);
  return keys;
}

/** The route table of a configuration; `sharedSince`: the revision that renewed the shared cache domain last. */
function build(configuration: Configuration, sharedSince = 0): RouteTable {
  return {
    revision: configuration.revision,
    hosts: routesByHost(configuration.route_list),
    keys: tenantsByKey(configuration.tenant_list ?? []),
    hasTenants: configuration.tenant_list !== undefined,
    limits: configuration.limits ?? {},
    sharedDomain: cacheIsolation.sharedDomain(sharedSince),
    services: new Map(configuration.service_list.map((service) => [service.label, service] as const)),
    stores: configuration.service_list.filter((service) => service.kv_store_addr !== undefined),
  };
}

/**
 * The route of a request: by host, then the longest matching prefix; null when there is none. A host that is configured
 * with its port goes before the same one without.
 */
function find(table: RouteTable, host: string, path: string): Route | null {
  const hostname = host.toLowerCase();
  const encodedPath = headerText.encodedTarget(path);
  for (const name of [hostname, hostname.replace(/:\d+$/, '')]) {
    const found = table.hosts
      .get(name)
      ?.find(({ prefix, isEncoded }) => (isEncoded ? encodedPath : path).startsWith(prefix));
    if (found) return found.route;
  }
  return null;
}

/**
 * The label of the service that serves a request; null when the route names none. `draw` in [0, 1) selects a
 * branch by the shares; it is derived from the request's id, so that all routers split alike.
 */
function pickService(route: Route, draw: number): string | null {
  if (!route.branches || route.branches.length === 0) return route.target ?? null;
  let shareSum = 0;
  for (const branch of route.branches) shareSum += branch.share;
  let remaining = draw * shareSum;
  for (const branch of route.branches) {
    remaining -= branch.share;
    if (remaining < 0 && branch.share > 0) return branch.target;
  }
  return route.branches.findLast((branch) => branch.share > 0)?.target ?? null;
}

export const routeTable = { build, find, pickService };
