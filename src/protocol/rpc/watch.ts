/**
 * `/rpc/watch`: a router asks a coordinator for the updates since the versions that it has: a long poll, held open up
 * to `waitMs` milliseconds while there are none. All of its contents are ordered by revision or (term, seq), so it need
 * not be bound to the callee's incarnation.
 */
import type {
  AccessRulesState,
  Configuration,
  EndpointsSnapshot,
  EndpointsVersion,
  Finding,
  NamingAge,
  RolloutStep,
  RolloutsState,
  ServiceRollout,
  Result,
} from '../../types.js';
import { updateValidators, type EndpointsUpdate, type ConfigurationUpdate } from './updates.js';
import { rpc, type RpcMethod } from './rpc-method.js';
import { validators } from './validation.js';
import { sharedValidators } from './shared-validators.js';

/**
 * What the router has. `needsFullState` asks for configuration and endpoints in full: an update did not fit.
 * `acceptsStale` asks a coordinator that is not up to date for what it has, see `dataplane/config-watcher.ts`.
 */
export type WatchRequest = {
  routerName: string;
  incarnation: string;
  revision: number;
  endpointsVersion: EndpointsVersion;
  weightsSeq: number;
  rulesSeq: number;
  /** Missing from a router of version 0.6.0, which knows no roll-outs. */
  rolloutsSeq?: number;
  waitMs: number;
  needsFullState: boolean;
  acceptsStale: boolean;
};

/**
 * Null fields are not newer than what the router has. Of the full state and its update at most one is given.
 * `isUpToDate`: the coordinator is in touch with a majority and has caught up; `confirmsAccessRules`: the router may
 * enforce its access rules for `routerLeaseMs` from its request on (`state/control/access-lease.ts`).
 */
export type WatchResponse = {
  configuration: Configuration | null;
  configurationUpdate: ConfigurationUpdate | null;
  /** The revision that renewed the shared cache domain last; it belongs to the configuration that is sent. */
  sharedDomainSince: number;
  weights: Record<string, number> | null;
  weightsSeq: number;
  /** When the revisions that still matter were named; missing from a coordinator of version 0.6.0. */
  weightNamings?: NamingAge[] | null;
  accessRules: AccessRulesState | null;
  /** Missing from a coordinator of version 0.6.0. */
  rollouts?: RolloutsState | null;
  endpoints: EndpointsSnapshot | null;
  endpointsUpdate: EndpointsUpdate | null;
  leaderAddress: string | null;
  coordinatorAddresses: string[];
  isUpToDate: boolean;
  confirmsAccessRules: boolean;
};

const maxRequestBytes = 8 * 1024;
const maxWaitMs = 60_000;

const request = validators.object<WatchRequest>({
  routerName: validators.name,
  incarnation: validators.name,
  revision: validators.count,
  endpointsVersion: sharedValidators.endpointsVersion,
  weightsSeq: validators.count,
  rulesSeq: validators.count,
  rolloutsSeq: validators.optional(validators.count),
  waitMs: validators.range(0, maxWaitMs),
  needsFullState: validators.boolean,
  acceptsStale: validators.boolean,
});

const namingAge = validators.object<NamingAge>({
  model: validators.name,
  revision: validators.finite,
  ageMs: validators.finite,
});

const serviceRollout = validators.object<ServiceRollout>({
  service: validators.name,
  number: validators.count,
  toVersion: validators.name,
  overMs: validators.finite,
  orderDigest: validators.name,
  condition: validators.oneOf('rolling', 'complete', 'reverted'),
  share: validators.range(0, 1),
  fromVersions: validators.list(validators.name),
  steps: validators.list(
    validators.object<RolloutStep>({
      share: validators.range(0, 1),
      elapsedMs: validators.finite,
      reason: validators.name,
    }),
  ),
});

const rolloutsState = validators.object<RolloutsState>({
  seq: validators.count,
  byService: validators.record(serviceRollout),
});

const response = validators.object<WatchResponse>({
  configuration: validators.nullable(sharedValidators.configuration),
  configurationUpdate: validators.nullable(updateValidators.configurationUpdate),
  sharedDomainSince: validators.count,
  weights: validators.nullable(validators.record(validators.finite)),
  weightsSeq: validators.count,
  weightNamings: validators.optional(validators.nullable(validators.list(namingAge))),
  accessRules: validators.nullable(sharedValidators.accessRulesState),
  rollouts: validators.optional(validators.nullable(rolloutsState)),
  endpoints: validators.nullable(sharedValidators.endpointsSnapshot),
  endpointsUpdate: validators.nullable(updateValidators.endpointsUpdate),
  leaderAddress: validators.nullable(validators.name),
  coordinatorAddresses: validators.list(validators.name),
  isUpToDate: validators.boolean,
  confirmsAccessRules: validators.boolean,
});

/** On the bulk channel, for a full configuration may take longer than a watch waits. */
export const watchMethod: RpcMethod<WatchRequest, WatchResponse> = {
  path: '/rpc/watch',
  checkRequest: rpc.checkWith(request),
  checkResponse: rpc.checkWith(response),
  maxRequestBytes,
  channel: 'bulk',
  bindsToIncarnation: false,
};

/** A response of which each readable part may be applied; `unreadable`: the findings on the parts that were left out. */
export type PartialWatchResponse = { response: WatchResponse; unreadable: Finding[] };

/** The parts that stand for themselves: without one of them the others are as good as before. */
const separableParts: string[] = [
  'configuration',
  'configurationUpdate',
  'weights',
  'accessRules',
  'rollouts',
  'endpoints',
  'endpointsUpdate',
] satisfies (keyof WatchResponse)[];

function partOf(finding: Finding): string | undefined {
  const [part] = finding.path.split('.');
  return separableParts.find((separable) => separable === part);
}

/**
 * Checks a response by its parts, so that one that this process can't read does not keep it from all others. The access
 * rules are not confirmed then, since a part that is missing may have changed them.
 */
function checkParts(raw: unknown): Result<PartialWatchResponse, Finding> {
  const unreadable: Finding[] = [];
  let readable = raw;
  for (;;) {
    const checked = watchMethod.checkResponse(readable);
    if (checked.ok) {
      const confirmsAccessRules = checked.value.confirmsAccessRules && unreadable.length === 0;
      return { ok: true, value: { response: { ...checked.value, confirmsAccessRules }, unreadable } };
    }
    const part = partOf(checked.error);
    if (part === undefined || (readable as WatchResponse)[part as keyof WatchResponse] === null) return checked;
    unreadable.push(checked.error);
    readable = { ...(readable as WatchResponse), [part]: null };
  }
}

/** `watchMethod` as a router calls it. */
export const partialWatchMethod: RpcMethod<WatchRequest, PartialWatchResponse> = {
  ...watchMethod,
  checkResponse: checkParts,
};
