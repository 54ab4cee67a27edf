/**
 * `/rpc/endpoints`: the leader publishes its endpoints snapshot to another coordinator and gets the router sessions
 * of that one. Clocks are not shared: times are sent as ages.
 */
import type { EndpointsSnapshot, EndpointsVersion } from '../../types.js';
import { rpc, type RpcMethod } from './rpc-method.js';
import { validators } from './validation.js';
import { sharedValidators } from './shared-validators.js';

/** How far the leader's replicated state was at the time of the call, and in which of its terms that was. */
export type LeaderProgress = {
  term: number;
  revision: number;
  weightsSeq: number;
  rulesSeq: number;
  rolloutsSeq?: number;
};

/**
 * `lastResponseNumber` is the number of the last response that came in, 0 if none: by it the receiver knows up to
 * when the leader has heard it. `snapshot` is null when the receiver has it already.
 */
export type PublishEndpointsRequest = {
  snapshot: EndpointsSnapshot | null;
  leaderProgress: LeaderProgress;
  lastResponseNumber: number;
};

/** A router's session: how long ago it last watched, and the configuration and the roll-outs that it had. */
export type RouterSessionRecord = {
  routerName: string;
  incarnation: string;
  ageMs: number;
  revision: number;
  rolloutsSeq?: number;
};

/** `version` is that of the callee's snapshot; `responseNumber` counts the responses of one incarnation. */
export type PublishEndpointsResponse = {
  version: EndpointsVersion;
  responseNumber: number;
  revision: number;
  sessions: RouterSessionRecord[];
};

/** In bytes; a snapshot lists all runners. */
const maxRequestBytes = 8 * 1024 * 1024;

const request = validators.object<PublishEndpointsRequest>({
  snapshot: validators.nullable(sharedValidators.endpointsSnapshot),
  leaderProgress: validators.object<LeaderProgress>({
    term: validators.count,
    revision: validators.count,
    weightsSeq: validators.count,
    rulesSeq: validators.count,
    rolloutsSeq: validators.optional(validators.count),
  }),
  lastResponseNumber: validators.count,
});

const session = validators.object<RouterSessionRecord>({
  routerName: validators.name,
  incarnation: validators.name,
  ageMs: validators.finite,
  revision: validators.count,
  rolloutsSeq: validators.optional(validators.count),
});

const response = validators.object<PublishEndpointsResponse>({
  version: sharedValidators.endpointsVersion,
  responseNumber: validators.count,
  revision: validators.count,
  sessions: validators.list(session),
});

/** Bound to the callee's incarnation: `lastResponseNumber` refers to a response that only that one remembers. */
export const publishEndpointsMethod: RpcMethod<PublishEndpointsRequest, PublishEndpointsResponse> = {
  path: '/rpc/endpoints',
  checkRequest: rpc.checkWith(request),
  checkResponse: rpc.checkWith(response),
  maxRequestBytes,
  channel: 'control',
  bindsToIncarnation: true,
};
