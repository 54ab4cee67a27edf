/**
 * Checks a configuration as the operator sent it. All findings are collected, each with its path, so that a
 * rejected call says everything that is wrong with it; unknown fields are left as they are.
 */
import type { Branch, Configuration, Finding, Route, Service, Tenant } from '../../types.js';
import { headerText } from '../calls/header-text.js';
import { findings } from '../findings.js';
import { jsonDocument } from '../json-document.js';
import { configurationShapes } from './shape.js';

function duplicateLabels(list: { label: string }[], path: string): Finding[] {
  const seen = new Set<string>();
  const found: Finding[] = [];
  list.forEach(({ label }, index) => {
    if (seen.has(label)) found.push({ path: `${path}.${index}.label`, text: `the label ${label} occurs twice` });
    seen.add(label);
  });
  return found;
}

function branchFindings(branches: Branch[], path: string, services: Map<string, Service>): Finding[] {
  const found: Finding[] = [];
  let shareSum = 0;
  branches.forEach(({ target, share }, index) => {
    shareSum += share;
    if (!services.has(target)) found.push({ path: `${path}.${index}.target`, text: `unknown service ${target}` });
  });
  if (branches.length > 0 && !(shareSum > 0)) found.push({ path, text: 'the shares sum to 0' });
  return found;
}

function routeFindings(route: Route, path: string, services: Map<string, Service>): Finding[] {
  const found: Finding[] = [];
  const { target, path_prefix: prefix, branches = [] } = route;
  if (route.deadline_ms === 0) found.push({ path: `${path}.deadline_ms`, text: 'must be above 0' });
  if (!prefix.startsWith('/') || !prefix.endsWith('/'))
    found.push({ path: `${path}.path_prefix`, text: 'must begin and end with a slash' });
  if (target === undefined && branches.length === 0) found.push({ path, text: 'names no service' });
  if (target !== undefined && !services.has(target))
    found.push({ path: `${path}.target`, text: `unknown service ${target}` });
  return [...found, ...branchFindings(branches, `${path}.branches`, services)];
}

/** The prefix as request targets have it, in one form for all ways to write it. */
function encodedPrefix({ path_prefix: prefix }: Route): string {
  return headerText.encodedTarget(headerText.toWire(prefix));
}

/** Whether two routes of one host whose encoded prefixes are the same match the same requests. */
function matchSameRequests({ path_prefix: one }: Route, { path_prefix: other }: Route): boolean {
  return one === other || !headerText.isAscii(one) || !headerText.isAscii(other);
}

function sharedPrefixText(route: Route, other: Route): string {
  const text = `shares host and prefix with ${other.label}`;
  if (route.path_prefix === other.path_prefix) return text;
  return `${text}: ${route.path_prefix} and ${other.path_prefix} are the same in a request`;
}

/** Two routes must not match the same requests: host, without regard to case, and prefix are unique together. */
function routeListFindings(routes: Route[], services: Map<string, Service>): Finding[] {
  const found: Finding[] = [];
  const earlierByHostAndPrefix = new Map<string, Route[]>();
  routes.forEach((route, index) => {
    const path = `route_list.${index}`;
    found.push(...routeFindings(route, path, services));
    const hostAndPrefix = `${route.hostname.toLowerCase()} ${encodedPrefix(route)}`;
    const earlier = earlierByHostAndPrefix.get(hostAndPrefix) ?? [];
    const other = earlier.findLast((one) => matchSameRequests(route, one));
    if (other) found.push({ path, text: sharedPrefixText(route, other) });
    earlierByHostAndPrefix.set(hostAndPrefix, [...earlier, route]);
  });
  return found;
}

/** A request's tenant is known by its API key, so no two tenants may have the same one. */
function sharedKeyFindings(tenants: Tenant[]): Finding[] {
  const found: Finding[] = [];
  const ownerByKey = new Map<string, string>();
  tenants.forEach((tenant, tenantIndex) => {
    tenant.api_keys.forEach((key, keyIndex) => {
      const owner = ownerByKey.get(key);
      if (owner !== undefined && owner !== tenant.label)
        found.push({
          path: `tenant_list.${tenantIndex}.api_keys.${keyIndex}`,
          text: `the key is also held by ${owner}`,
        });
      ownerByKey.set(key, tenant.label);
    });
  });
  return found;
}

/**
 * What is wrong with a configuration, empty for a valid one. What must hold between fields is checked only
 * where all types fit.
 */
function check(raw: unknown): Finding[] {
  const unfit = jsonDocument.check(raw);
  if (unfit.length > 0) return unfit;
  const found = findings.fromStruct(raw, configurationShapes.configuration);
  if (found.length > 0) return found;
  const { service_list: services, route_list: routes, tenant_list: tenants = [] } = raw as Configuration;
  const serviceByLabel = new Map(services.map((service) => [service.label, service] as const));
  return [
    ...duplicateLabels(services, 'service_list'),
    ...duplicateLabels(routes, 'route_list'),
    ...duplicateLabels(tenants, 'tenant_list'),
    ...routeListFindings(routes, serviceByLabel),
    ...sharedKeyFindings(tenants),
  ];
}

export const configurationCheck = { check };
