/**
 * The deltas between revisions of the configuration, for routers that have an earlier one. The lists of
 * routes, services and tenants are sent by their changed items; the rest is small and sent complete. A
 * router whose revision is older than the history is sent everything.
 */
import type { ConfigurationUpdate } from '../../protocol/rpc/updates.js';
import type { Configuration, Route, Service, Tenant } from '../../types.js';
import { itemHistory, type ItemHistory } from './item-history.js';

/** `current`: the configuration in force. `revisions`: the last `maxRevisions` that were in force here. */
export type ConfigurationHistory = {
  current: Configuration | null;
  revisions: Set<number>;
  routes: ItemHistory<Route>;
  services: ItemHistory<Service>;
  tenants: ItemHistory<Tenant>;
};

/** Revisions that a delta may start from; routers at older ones are sent everything. */
const maxRevisions = 256;

/** An empty history. */
function create(): ConfigurationHistory {
  return {
    current: null,
    revisions: new Set(),
    routes: itemHistory.create(),
    services: itemHistory.create(),
    tenants: itemHistory.create(),
  };
}

function labelOf(item: { label: string }): string {
  return item.label;
}

/** Records a configuration that came into force; one that is not newer than the current one is ignored. */
function record(history: ConfigurationHistory, configuration: Configuration): void {
  if (history.current && history.current.revision >= configuration.revision) return;
  const previous = history.current;
  history.current = configuration;
  const startsOver =
    previous === null || (previous.tenant_list === undefined) !== (configuration.tenant_list === undefined);
  if (startsOver) history.revisions.clear();
  const recordList = startsOver ? itemHistory.reset : itemHistory.advance;
  recordList(history.routes, configuration.revision, configuration.route_list, labelOf);
  recordList(history.services, configuration.revision, configuration.service_list, labelOf);
  recordList(history.tenants, configuration.revision, configuration.tenant_list ?? [], labelOf);
  history.revisions.add(configuration.revision);
  if (history.revisions.size > maxRevisions) history.revisions.delete(history.revisions.values().next().value!);
}

function withoutLists(configuration: Configuration): ConfigurationUpdate['rest'] {
  const rest: Partial<Configuration> = { ...configuration };
  delete rest.route_list;
  delete rest.service_list;
  delete rest.tenant_list;
  return rest;
}

/**
 * What a router at a revision lacks; null when it must be sent everything. Only a revision that was in
 * force here is known to be the one the router has.
 */
function deltaSince(history: ConfigurationHistory, revision: number): ConfigurationUpdate | null {
  const current = history.current;
  if (!current || !history.revisions.has(revision)) return null;
  const routes = itemHistory.deltaSince(history.routes, revision);
  const services = itemHistory.deltaSince(history.services, revision);
  const tenants = itemHistory.deltaSince(history.tenants, revision);
  if (!routes || !services || !tenants) return null;
  const hasTenants = current.tenant_list !== undefined;
  return {
    fromRevision: revision,
    rest: withoutLists(current),
    routes,
    services,
    tenants: hasTenants ? tenants : null,
  };
}

/** The configuration that an update leads to; null when it was made for another one than `base`. */
function apply(base: Configuration | null, update: ConfigurationUpdate): Configuration | null {
  if (!base || base.revision !== update.fromRevision) return null;
  const routes = itemHistory.apply(base.route_list, update.routes, labelOf);
  const services = itemHistory.apply(base.service_list, update.services, labelOf);
  const tenants =
    update.tenants === null ? undefined : itemHistory.apply(base.tenant_list ?? [], update.tenants, labelOf);
  if (!routes || !services || tenants === null) return null;
  const next = { ...update.rest, route_list: routes, service_list: services } as Configuration;
  if (tenants !== undefined) next.tenant_list = tenants;
  return next;
}

export const configurationHistory = { create, record, deltaSince, apply };
