/** Updates of named lists that coordinators send to routers: `state/history` makes and applies them. */
import type { Route, Runner, Service, Tenant } from '../../types.js';
import { validators, type Validator } from './validation.js';
import { sharedValidators } from './shared-validators.js';

/** `count` is the length of the list after the update; a result of another length does not fit. */
export type ListUpdate<T> = { upserts: T[]; removals: string[]; count: number };

/** From revision `fromRevision` to the one in `rest`, which holds all other fields of the configuration in full. */
export type ConfigurationUpdate = {
  fromRevision: number;
  rest: Record<string, unknown>;
  routes: ListUpdate<Route>;
  services: ListUpdate<Service>;
  tenants: ListUpdate<Tenant> | null;
};

/** From snapshot (`term`, `fromSeq`) to snapshot (`term`, `seq`). */
export type EndpointsUpdate = {
  fromSeq: number;
  term: number;
  seq: number;
  routerCount: number;
  runners: ListUpdate<Runner>;
};

function listUpdate<T>(item: Validator<T>): Validator<ListUpdate<T>> {
  return validators.object<ListUpdate<T>>({
    upserts: validators.list(item),
    removals: validators.list(validators.name),
    count: validators.count,
  });
}

/** Checks a `ConfigurationUpdate`. */
const configurationUpdate = validators.object<ConfigurationUpdate>({
  fromRevision: validators.count,
  rest: validators.object<{ revision: number }>({ revision: sharedValidators.revision }),
  routes: listUpdate(sharedValidators.route),
  services: listUpdate(sharedValidators.service),
  tenants: validators.nullable(listUpdate(sharedValidators.tenant)),
});

/** Checks an `EndpointsUpdate`. */
const endpointsUpdate = validators.object<EndpointsUpdate>({
  fromSeq: validators.count,
  term: validators.count,
  seq: validators.count,
  routerCount: validators.count,
  runners: listUpdate(sharedValidators.runner),
});

export const updateValidators = { configurationUpdate, endpointsUpdate };
