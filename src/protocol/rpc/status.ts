/** `/rpc/status`: the status of the system as a coordinator sees it, at this moment; not bound to an incarnation. */
import { array, boolean, enums, nullable, number, optional, record, string, type } from 'superstruct';
import type { ModelRevision } from '../../types.js';
import { rpc, type RpcMethod } from './rpc-method.js';

/** Has no fields. */
export type StatusRequest = Record<string, never>;

/** Ages (`heardMs`, `seenMs`) are in milliseconds; `matchIndex` is the last log index known to be durable there. */
export type StatusReply = {
  node: string;
  role: string;
  term: number;
  leader: string | null;
  hasLeaderContact: boolean;
  isActingLeader: boolean;
  voters: { id: string; control: string; heardMs: number | null; matchIndex: number | null }[];
  committed: number;
  disk: 'writable' | 'failing';
  /** What became of the RPCs that this process sent and received since its start, by kind. */
  rpcs: { sent: Record<string, number>; received: Record<string, number> };
  configuration: number;
  weights: Record<string, number>;
  rules: { active: Record<string, string[]>; pending: number };
  routers: { router: string; revision: number; seenMs: number }[];
  runners: {
    id: string;
    service: string;
    addr: string;
    zone: string;
    draining: boolean;
    paused: boolean;
    models: ModelRevision[];
    /** For how long the runner has lacked weights that were named; null if it lacks none. */
    behindMs?: number | null;
    unhealthyRouters: number | null;
    outlierState: string | null;
  }[];
  hotBlocks: { prefixBlock: string; share: number; tokens: number }[] | null;
};

/** Bound on an encoded request, in bytes. */
const maxBytes = 1024;

const request = type({});

const reply = type({
  node: string(),
  role: string(),
  term: number(),
  leader: nullable(string()),
  hasLeaderContact: boolean(),
  isActingLeader: boolean(),
  voters: array(type({ id: string(), control: string(), heardMs: nullable(number()), matchIndex: nullable(number()) })),
  committed: number(),
  disk: enums(['writable', 'failing']),
  rpcs: type({ sent: record(string(), number()), received: record(string(), number()) }),
  configuration: number(),
  weights: record(string(), number()),
  rules: type({ active: record(string(), array(string())), pending: number() }),
  routers: array(type({ router: string(), revision: number(), seenMs: number() })),
  runners: array(
    type({
      id: string(),
      service: string(),
      addr: string(),
      zone: string(),
      draining: boolean(),
      paused: boolean(),
      models: array(type({ label: string(), revision: number() })),
      behindMs: optional(nullable(number())),
      unhealthyRouters: nullable(number()),
      outlierState: nullable(string()),
    }),
  ),
  hotBlocks: nullable(array(type({ prefixBlock: string(), share: number(), tokens: number() }))),
});

/** On the bulk channel, since a response lists all runners and routers. */
export const statusMethod: RpcMethod<StatusRequest, StatusReply> = {
  path: '/rpc/status',
  checkRequest: rpc.checkWithStruct(request),
  checkResponse: rpc.checkWithStruct(reply),
  maxRequestBytes: maxBytes,
  channel: 'bulk',
  bindsToIncarnation: false,
};
