/**
 * The fields of a configuration and their types, as the users' pages give them; unknown fields are allowed. This is the
 * one definition: coordinators accept a configuration by it, and routers check what they are told by it
 * (`protocol/rpc/shared-validators.ts`), so that whatever was accepted can be told.
 */
import { httpClient } from '../../transport/http/client.js';
import { headerText } from '../calls/header-text.js';
import { array, boolean, define, enums, min, nonempty, optional, refine, string, type } from 'superstruct';

/** JSON has numbers that JavaScript reads as infinite (`1e999`). */
const finite = define<number>('finite number', (value) => Number.isFinite(value) || 'Expected a finite number');
const atLeastZero = min(finite, 0);
const name = nonempty(string());

/** Goes to runners in a header field. */
function isSendable(value: string): true | string {
  return headerText.isSendable(value) || 'holds a character that no header can, or a blank at an end';
}

/** A name by which values are kept in an object: assigning to this one sets the object's prototype instead. */
const recordName = refine(name, 'record name', (value) => value !== '__proto__' || 'is no name that can be kept');

/** `host:port`, as it stands in headers and is connected to. */
const address = define<string>(
  'address',
  (value) => (typeof value === 'string' && httpClient.isAddress(value)) || 'Expected host:port',
);

/** Larger integers have no exact value here, so that two of them could be taken for one. */
const revision = define<number>(
  'revision',
  (value) =>
    (Number.isSafeInteger(value) && (value as number) >= 1) ||
    `Expected an integer from 1 to ${Number.MAX_SAFE_INTEGER}`,
);

const route = type({
  label: name,
  hostname: name,
  path_prefix: name,
  variant: enums(['idempotent', 'non_idempotent', 'streaming']),
  deadline_ms: atLeastZero,
  target_ms: optional(atLeastZero),
  rank: optional(finite),
  target: optional(string()),
  branches: optional(array(type({ target: string(), share: atLeastZero }))),
  tries: optional(atLeastZero),
  public: optional(boolean()),
  pinned: optional(boolean()),
  resumable: optional(boolean()),
  gap_target_ms: optional(atLeastZero),
});

const engineKind = type({
  slot_count: optional(atLeastZero),
  kv_capacity: optional(atLeastZero),
  token_bytes: optional(atLeastZero),
  link_mbps: optional(atLeastZero),
  max_in_flight: optional(atLeastZero),
  model_list: optional(array(type({ label: string() }))),
});

const service = type({
  label: name,
  health_path: optional(string()),
  max_conns: optional(atLeastZero),
  engine_kind: optional(engineKind),
  kv_store_addr: optional(address),
  zone_name: optional(string()),
  kv_capacity: optional(atLeastZero),
  link_mbps: optional(atLeastZero),
  max_in_flight: optional(atLeastZero),
});

const limits = type({
  header_bytes: optional(atLeastZero),
  body_bytes: optional(atLeastZero),
  header_ms: optional(atLeastZero),
  idle_ms: optional(atLeastZero),
});

const tenant = type({
  label: refine(recordName, 'tenant label', isSendable),
  api_keys: array(name),
  rank: optional(finite),
  isolated: optional(boolean()),
  model_rule: optional(array(name)),
});

/** The shape alone; what must hold between fields is in `check.ts`. */
const configuration = type({
  revision,
  route_list: array(route),
  service_list: array(service),
  limits: optional(limits),
  tenant_list: optional(array(tenant)),
});

export const configurationShapes = { recordName, revision, route, service, tenant, configuration };
