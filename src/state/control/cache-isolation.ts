/**
 * Which requests may use one another's cached prefixes. An isolated tenant has a domain of its own, all others share
 * one. What a tenant cached in the shared domain can't be taken back from the runners, so when one of its tenants
 * becomes isolated the shared domain is renewed: it gets another name, and nothing under the old one is used again.
 *
 * The proposer of a configuration decides whether it renews the domain, and the command says so: members that replay a
 * log which an earlier version began all come to the same name.
 */
import type { Configuration, Tenant } from '../../types.js';

/**
 * `sharedSince`: the revision that renewed the shared domain last, 0 for none. `formerMembers`: the labels of tenants
 * that were in the shared domain since then and are not now, sorted.
 */
export type CacheIsolation = { sharedSince: number; formerMembers: string[] };

/** With more former members than this the domain is renewed, which forgets them. */
const maxFormerMembers = 4096;

/** Before the first configuration. */
function initial(): CacheIsolation {
  return { sharedSince: 0, formerMembers: [] };
}

function isIsolated(tenant: Tenant): boolean {
  return tenant.isolated === true;
}

function membersOf(configuration: Configuration | null): string[] {
  const tenants = configuration?.tenant_list ?? [];
  return tenants.filter((tenant) => !isIsolated(tenant)).map((tenant) => tenant.label);
}

/** All that were in the shared domain under its present name, while `current` is in force. */
function pastAndPresentMembers(isolation: CacheIsolation, current: Configuration | null): Set<string> {
  return new Set([...isolation.formerMembers, ...membersOf(current)]);
}

function formerMembersAfter(isolation: CacheIsolation, current: Configuration | null, next: Configuration): string[] {
  const former = pastAndPresentMembers(isolation, current);
  for (const label of membersOf(next)) former.delete(label);
  return [...former].sort();
}

/** Whether `next`, coming after `current`, has to renew the shared domain. */
function needsRenewal(isolation: CacheIsolation, current: Configuration | null, next: Configuration): boolean {
  const members = pastAndPresentMembers(isolation, current);
  const isolatesMember = (next.tenant_list ?? []).some((tenant) => isIsolated(tenant) && members.has(tenant.label));
  return isolatesMember || formerMembersAfter(isolation, current, next).length > maxFormerMembers;
}

/** The isolation once `next` is in force; `renews`: as the command says that brings it. */
function afterConfiguration(
  isolation: CacheIsolation,
  current: Configuration | null,
  next: Configuration,
  renews: boolean,
): CacheIsolation {
  if (renews) return { sharedSince: next.revision, formerMembers: [] };
  return { sharedSince: isolation.sharedSince, formerMembers: formerMembersAfter(isolation, current, next) };
}

/** The name of the shared domain, a part of the cache namespace. */
function sharedDomain(sharedSince: number): string {
  return `all-${sharedSince}`;
}

/** The name of an isolated tenant's domain. Encoded, since it becomes a part of a header's value. */
function tenantDomain(label: string): string {
  return `t-${Buffer.from(label).toString('base64url')}`;
}

export const cacheIsolation = { initial, needsRenewal, afterConfiguration, sharedDomain, tenantDomain };
