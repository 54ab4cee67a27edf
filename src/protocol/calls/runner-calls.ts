/** Calls to a runner or the store: its report, revision orders, and what its prefix cache holds (PROTOCOL, `/v1/...`). */
import { array, boolean, number, string, tuple, type, unknown, type Infer } from 'superstruct';
import type { ModelRevision, Tuning } from '../../types.js';
import type { ExternalCall } from './external-calls.js';
import { hasShape } from '../shape-match.js';

/** A model and its revision, as runners and the platform give them. */
export const modelRevisionShape = type({ label: string(), revision: number() });

const reportShape = type({
  model_list: array(modelRevisionShape),
  is_busy: boolean(),
  call_seq: number(),
  queued: number(),
  active: number(),
  kv_used_tokens: number(),
  kv_total_tokens: number(),
});

/** What a runner says of itself; `isBusy` while it carries out an order, `callSeq` counts its orders. */
export type RunnerReport = {
  models: ModelRevision[];
  isBusy: boolean;
  callSeq: number;
  queued: number;
  active: number;
};

/** Asks for the runner's report. */
function runnerReport(): ExternalCall<RunnerReport> {
  return {
    method: 'GET',
    path: '/v1/report',
    parse: (status, body) => {
      if (status !== 200 || !hasShape(body, reportShape)) return null;
      const { model_list: models, is_busy: isBusy, call_seq: callSeq, queued, active } = body;
      return { models, isBusy, callSeq, queued, active };
    },
  };
}

/**
 * What happens to running requests: their end is awaited, their streams are reset, or they go on under the new weights.
 */
export type OrderMethod = Tuning['orderMethod'];

/** Brings a model to a revision of its weights. `fence` is the fencing token: the term in which `holder` leads. */
export type RevisionOrder = {
  model: string;
  revision: number;
  method: OrderMethod;
  holder: string;
  fence: number;
  /** The runner that is meant; another at the same address refuses with `wrong_instance`. */
  instance: string;
  /** The `callSeq` that the runner must be at, if that matters. */
  expected?: number;
};

/**
 * What became of an order. `fenced`: a later holder has ordered before, this one must not order any more.
 * `other_in_progress`: another order is being carried out; this one may be given again later.
 */
export type RevisionOrderResult =
  'started' | 'already_loaded' | 'other_in_progress' | 'fenced' | 'wrong_instance' | 'unknown_revision';

const resultByStatus: Record<number, RevisionOrderResult> = {
  200: 'already_loaded',
  202: 'started',
  400: 'unknown_revision',
  409: 'other_in_progress',
  412: 'fenced',
  421: 'wrong_instance',
};

/** Orders a runner to load a revision. A lost answer leaves it open whether the order was carried out. */
function revisionOrder(order: RevisionOrder): ExternalCall<RevisionOrderResult> {
  const body: Record<string, unknown> = {
    op_kind: 'revision',
    model_name: order.model,
    revision: order.revision,
    method: order.method,
    holder_name: order.holder,
    fence_no: order.fence,
  };
  if (order.expected !== undefined) body.expected = order.expected;
  return {
    method: 'POST',
    path: '/v1/order',
    headers: { 'X-Expect-Instance': order.instance },
    body,
    parse: (status) => resultByStatus[status] ?? null,
  };
}

/** Number of the event, `+` or `-`, cache namespace, block, tokens, model. */
const eventShape = tuple([number(), string(), string(), string(), number(), string()]);
type EventRow = Infer<typeof eventShape>;

const eventsShape = type({
  epoch_no: number(),
  next_token: number(),
  is_lost: boolean(),
  event_list: array(unknown()),
});

/** A prefix block in a cache: how many of its tokens are cached, and the model that computed them. */
export type CachedBlock = { cacheNamespace: string; blockId: string; tokens: number; model: string };

/** A block was cached, or removed from the cache; `tokens` are those that are cached after it. */
export type PrefixCacheEvent = CachedBlock & { eventNo: number; kind: 'cached' | 'removed' };

/**
 * Changes of a prefix cache since a token. A new `epoch` is an empty cache; `isLost` when events since the token
 * are gone, so that the full listing is needed.
 */
export type PrefixCacheEvents = { epoch: number; nextToken: number; isLost: boolean; events: PrefixCacheEvent[] };

function isEventRow(row: unknown): row is EventRow {
  return hasShape(row, eventShape);
}

/** Any sign but `-` is that of a cached block. */
function readEvent([eventNo, sign, cacheNamespace, blockId, tokens, model]: EventRow): PrefixCacheEvent {
  return { eventNo, kind: sign === '-' ? 'removed' : 'cached', cacheNamespace, blockId, tokens, model };
}

/** Waits at the runner for up to `waitMs` for a first event. Rows that can't be read are left out. */
function prefixCacheEvents(since: number, waitMs: number): ExternalCall<PrefixCacheEvents> {
  return {
    method: 'GET',
    path: `/v1/kv-events?since_at=${since}`,
    headers: { 'Wait-Ms': String(waitMs) },
    parse: (status, body) => {
      if (status !== 200 || !hasShape(body, eventsShape)) return null;
      const events = body.event_list.filter(isEventRow).map(readEvent);
      return { epoch: body.epoch_no, nextToken: body.next_token, isLost: body.is_lost, events };
    },
  };
}

/** Cache namespace, block, tokens, model. */
const listedBlockShape = tuple([string(), string(), number(), string()]);

function isListedBlock(row: unknown): row is Infer<typeof listedBlockShape> {
  return hasShape(row, listedBlockShape);
}

const listingShape = type({
  epoch_no: number(),
  next_token: number(),
  is_held: array(unknown()),
});

/** All blocks of a prefix cache; events go on from `nextToken`. */
export type PrefixCacheListing = { epoch: number; nextToken: number; blocks: CachedBlock[] };

/** Asks for all blocks. Rows that can't be read are left out. */
function prefixCacheListing(): ExternalCall<PrefixCacheListing> {
  return {
    method: 'GET',
    path: '/v1/kv-list',
    parse: (status, body) => {
      if (status !== 200 || !hasShape(body, listingShape)) return null;
      const blocks = body.is_held.filter(isListedBlock).map(([cacheNamespace, blockId, tokens, model]) => ({
        cacheNamespace,
        blockId,
        tokens,
        model,
      }));
      return { epoch: body.epoch_no, nextToken: body.next_token, blocks };
    },
  };
}

export const runnerCalls = { runnerReport, revisionOrder, prefixCacheEvents, prefixCacheListing };
