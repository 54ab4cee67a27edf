/** A valid request and response of every RPC method. */
import { consensusRpc } from '../../src/coordination/consensus/consensus-rpc.js';
import type { Message } from '../../src/coordination/consensus/types.js';
import {
  publishEndpointsMethod,
  type PublishEndpointsResponse,
  type PublishEndpointsRequest,
} from '../../src/protocol/rpc/endpoints.js';
import { operatorMethod } from '../../src/protocol/rpc/operator.js';
import type { Check, RpcMethod } from '../../src/protocol/rpc/rpc-method.js';
import { stateSyncMethod, type SyncResponse, type SyncRequest } from '../../src/protocol/rpc/state-sync.js';
import { statusMethod, type StatusReply } from '../../src/protocol/rpc/status.js';
import { watchMethod, type WatchResponse, type WatchRequest } from '../../src/protocol/rpc/watch.js';
import type { Entry } from '../../src/state/log/types.js';

/** A runner as it stands in an endpoints snapshot. */
export const runnerItem = {
  id: 'i-1',
  service: 's',
  addr: '10.0.0.1:80',
  zone: 'z',
  slotCount: 4,
  draining: false,
  models: [{ label: 'm', revision: 1 }],
  paused: false,
};
const snapshot = { term: 3, seq: 9, runners: [runnerItem], routerCount: 2 };
const route = { label: 'r', hostname: 'h', path_prefix: '/', variant: 'streaming' as const, deadline_ms: 100 };
/** A valid request of the leader to a member. */
export const publishRequest: PublishEndpointsRequest = {
  snapshot,
  leaderProgress: { term: 3, revision: 4, weightsSeq: 1, rulesSeq: 0 },
  lastResponseNumber: 7,
};
const publishResponse: PublishEndpointsResponse = {
  version: { term: 3, seq: 9 },
  responseNumber: 8,
  revision: 4,
  sessions: [{ routerName: 'e-1', incarnation: 'x', ageMs: 12.5, revision: 4 }],
};
/** A valid watch of a router. */
export const watchRequest: WatchRequest = {
  routerName: 'e-1',
  incarnation: 'x',
  revision: 4,
  endpointsVersion: { term: 3, seq: 9 },
  weightsSeq: 1,
  rulesSeq: 1,
  waitMs: 600,
  needsFullState: false,
  acceptsStale: false,
};
const watchResponse: WatchResponse = {
  configuration: {
    revision: 5,
    route_list: [route],
    service_list: [{ label: 's' }],
    tenant_list: [{ label: 't', api_keys: ['k'] }],
  },
  configurationUpdate: {
    fromRevision: 4,
    rest: { revision: 5 },
    routes: { upserts: [route], removals: ['q'], count: 1 },
    services: { upserts: [], removals: [], count: 1 },
    tenants: { upserts: [{ label: 't', api_keys: ['k'] }], removals: [], count: 1 },
  },
  sharedDomainSince: 3,
  weights: { m: 2 },
  weightsSeq: 2,
  accessRules: { seq: 1, activeRules: { t: ['k'] }, pendingRules: { t: ['l'] }, pendingRevision: 2 },
  endpoints: snapshot,
  endpointsUpdate: {
    fromSeq: 8,
    term: 3,
    seq: 9,
    routerCount: 2,
    runners: { upserts: [runnerItem], removals: ['i-0'], count: 1 },
  },
  leaderAddress: '10.0.0.1:18083',
  coordinatorAddresses: ['10.0.0.1:18083'],
  isUpToDate: true,
  confirmsAccessRules: true,
};
/** A valid state sync of a router. */
export const syncRequest: SyncRequest = {
  router: 'e-1',
  incarnation: 'x',
  indexVersion: [-1, 0],
  hotSetRevision: 0,
  holdMs: 500,
  load: [['i-1', 1, 2, 3, 4, 5]],
  loadReportNumber: 1,
  loadRevision: 0,
  unhealthyRunners: ['i-2'],
  outcomes: [['i-1', 3, 1]],
  ejectionsRevision: -1,
  sentPrefixes: [['salt', 'part', 100, 'i-1']],
  countReport: { seq: 1, decayEpoch: 0, total: 10, counts: [['part', 3, 100]], gatherRound: 0 },
};
const syncResponse: SyncResponse = {
  term: 3,
  indexPosition: 4,
  isFullIndex: true,
  indexChanges: [['+', 'salt', 'part', 100, 'i-1']],
  peerLoad: { revision: 2, isFull: false, rows: [['i-1', 1, 2, 3, 4, 5]], includedReport: 1 },
  syncIntervalMs: 20,
  ejections: { revision: 1, rows: [['i-1', null, 0]] },
  appliedCountReport: 1,
  isRouterKnown: true,
  tracking: {
    routerCount: 2,
    total: 10,
    gatherRound: 0,
    decayEpoch: 0,
    hotSetRevision: 1,
    hotSet: { isFull: true, upserts: [['p', 0.1, 9]], removals: ['q'] },
  },
};
/** A valid status. */
export const statusResponse: StatusReply = {
  node: 'core-1',
  role: 'leader',
  term: 3,
  leader: 'a',
  hasLeaderContact: true,
  isActingLeader: true,
  voters: [{ id: 'a', control: '10.0.0.1:80', heardMs: 0, matchIndex: 4 }],
  committed: 4,
  disk: 'writable',
  rpcs: { sent: { calls: 9 }, received: { requests: 8 } },
  configuration: 5,
  weights: { m: 1 },
  rules: { active: { t: ['k'] }, pending: 0 },
  routers: [{ router: 'e-1', revision: 5, seenMs: 3 }],
  runners: [
    {
      id: 'i-1',
      service: 's',
      addr: 'a:1',
      zone: 'z',
      draining: false,
      paused: false,
      models: [{ label: 'm', revision: 1 }],
      unhealthyRouters: 0,
      outlierState: 'clear',
    },
  ],
  hotBlocks: [{ prefixBlock: 'p', share: 0.1, tokens: 9 }],
};

const member = { id: 'a#1', addr: '10.0.0.1:18083', control: '10.0.0.1:80' };
const membership = { voters: [member], next: null };
const envelope = { from: 'a#1', fromAddress: '10.0.0.1:18083', to: 'b#1' };
const entries: Entry[] = [
  { index: 5, term: 2, data: { kind: 'noop' } },
  { index: 6, term: 2, data: { kind: 'command', command: { any: 1 }, size: 10 } },
  { index: 7, term: 3, data: { kind: 'membership', membership } },
];
/** A valid message of each of four types. */
export const consensusMessages: Message[] = [
  {
    ...envelope,
    type: 'request_vote',
    term: 3,
    lastLogIndex: 7,
    lastLogTerm: 3,
    leaseReleasedBy: { id: 'a#1', term: 2 },
  },
  { ...envelope, type: 'request_vote_response', term: 3, voteGranted: true },
  { ...envelope, type: 'append_entries', term: 3, prevLogIndex: 4, prevLogTerm: 2, entries, commitIndex: 4 },
  { ...envelope, type: 'append_entries_response', term: 3, rejected: false, prevLogIndex: 4, matchIndex: 7 },
];

/** A valid message and the check that accepts it. */
export type MessageSample = { name: string; check: Check<unknown>; valid: unknown };

/** A method with a valid request and response. */
export type MethodSample = { method: RpcMethod<unknown, unknown>; request: unknown; response: unknown };

/** One sample of each method. */
export const methodSamples: MethodSample[] = [
  { method: publishEndpointsMethod, request: publishRequest, response: publishResponse },
  { method: watchMethod, request: watchRequest, response: watchResponse },
  { method: stateSyncMethod, request: syncRequest, response: syncResponse },
  { method: statusMethod, request: {}, response: statusResponse },
  {
    method: operatorMethod,
    request: { id: 'c-1', method: 'PUT', path: '/v1/config', ifMatch: '3', body: new Uint8Array([1, 2, 3]) },
    response: { status: 200, body: '{}' },
  },
  {
    method: consensusRpc,
    request: { messages: consensusMessages },
    response: { messages: consensusMessages },
  },
];

/** The requests and responses of all methods. */
export const messageSamples: MessageSample[] = methodSamples.flatMap((each) => [
  { name: `${each.method.path} request`, check: each.method.checkRequest, valid: each.request },
  { name: `${each.method.path} response`, check: each.method.checkResponse, valid: each.response },
]);
