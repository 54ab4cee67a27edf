/**
 * Validators of the shared types that travel inside messages. Those of a configuration and its items are the very ones by
 * which it was accepted (`protocol/configuration/shape.ts`).
 */
import type {
  EndpointsSnapshot,
  EndpointsVersion,
  Configuration,
  ModelRevision,
  Route,
  AccessRulesState,
  Runner,
  Service,
  Tenant,
} from '../../types.js';
import { configurationShapes } from '../configuration/shape.js';
import { validators, type Validator } from './validation.js';

const { struct } = validators;
const route: Validator<Route> = struct(configurationShapes.route);
const service: Validator<Service> = struct(configurationShapes.service);
const tenant: Validator<Tenant> = struct(configurationShapes.tenant);
const configuration: Validator<Configuration> = struct(configurationShapes.configuration);
const revision: Validator<number> = struct(configurationShapes.revision);

const modelRevision = validators.object<ModelRevision>({ label: validators.name, revision: validators.finite });

const runner = validators.object<Runner>({
  id: validators.name,
  service: validators.name,
  addr: validators.name,
  zone: validators.name,
  slotCount: validators.finite,
  draining: validators.boolean,
  models: validators.list(modelRevision),
  paused: validators.boolean,
  version: validators.optional(validators.name),
});

const endpointsVersion = validators.object<EndpointsVersion>({ term: validators.count, seq: validators.count });

const endpointsSnapshot = validators.object<EndpointsSnapshot>({
  term: validators.count,
  seq: validators.count,
  runners: validators.nullable(validators.list(runner)),
  routerCount: validators.count,
});

const accessRules = validators.record(validators.list(validators.name));

const accessRulesState = validators.object<AccessRulesState>({
  seq: validators.count,
  activeRules: accessRules,
  pendingRules: validators.nullable(accessRules),
  pendingRevision: validators.count,
});

/** Validators by the type that they check. */
export const sharedValidators = {
  revision,
  route,
  service,
  tenant,
  configuration,
  runner,
  endpointsVersion,
  endpointsSnapshot,
  accessRulesState,
};
