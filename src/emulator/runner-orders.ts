/**
 * Orders to a model runner (`POST /v1/order`) as the served system takes them: which are rejected, which start the
 * loading of new weights, and when that ends. Pure: each function maps a state to the next one, and time is an
 * argument, so that the HTTP stand-in and the simulated world share one set of rules.
 */
import { nullable, number, optional, string, type } from 'superstruct';
import type { ModelRevision } from '../types.js';
import { hasShape } from '../protocol/shape-match.js';

/** What an order says on the wire; `null` for what it leaves out. */
export type RunnerOrder = {
  /** `op_kind`; only `revision` exists. */
  operation: string;
  model: string;
  revision: number;
  holder: string | null;
  fence: number | null;
  /** The `call_seq` that the runner must be at. */
  expectedCallSeq: number | null;
  /** `X-Expect-Instance`: the runner that is meant. */
  instance: string | null;
};

/** How strict a runner is, and how fast. `orderRules.strict` is what the users' page describes. */
export type OrderRules = {
  /** Milliseconds to load new weights; with 0 they are loaded by the time of the reply. */
  loadMs: number;
  /** `checked`: operation, holder, fence, instance, `expected` and revision are checked. `trusted`: none of them is. */
  validation: 'checked' | 'trusted';
  /** `checked`: a fence lower than one seen before is rejected. */
  fencing: 'checked' | 'ignored';
  /** Which orders `call_seq` counts: those that started a loading, or all that were received. */
  callSeqCounts: 'started' | 'received';
  /** Whether the operator has named this revision of the model. */
  isNamed: (model: string, revision: number) => boolean;
};

/** The orders' side of one runner. `revisions` are the loaded weights by model. */
export type OrdersState = {
  instance: string;
  revisions: ReadonlyMap<string, number>;
  loading: { model: string; revision: number; endsAt: number } | null;
  callSeq: number;
  /** The highest fence seen, or null before the first. */
  highestFence: number | null;
};

/** What became of an order. */
export type OrderReply =
  | { kind: 'started' }
  | { kind: 'already_loaded' }
  | { kind: 'other_in_progress' }
  | { kind: 'unexpected_call_seq' }
  | { kind: 'fenced' }
  | { kind: 'invalid' }
  | { kind: 'wrong_instance' };

/** `loaded`: the weights whose loading has ended with this step, if any; what was cached under the old ones is stale. */
export type OrderStep = { state: OrdersState; reply: OrderReply; loaded: ModelRevision | null };

const statusByReply: Record<OrderReply['kind'], number> = {
  started: 202,
  already_loaded: 200,
  other_in_progress: 409,
  unexpected_call_seq: 409,
  fenced: 412,
  invalid: 400,
  wrong_instance: 421,
};

const orderShape = type({
  op_kind: string(),
  model_name: string(),
  revision: number(),
  holder_name: optional(nullable(string())),
  fence_no: optional(nullable(number())),
  expected: optional(nullable(number())),
});

/** The rules of the users' page; a user of the emulator names where it differs. */
const strict: OrderRules = {
  loadMs: 0,
  validation: 'checked',
  fencing: 'checked',
  callSeqCounts: 'started',
  isNamed: () => true,
};

function create(instance: string, models: ModelRevision[]): OrdersState {
  const revisions = new Map(models.map(({ label, revision }) => [label, revision]));
  return { instance, revisions, loading: null, callSeq: 0, highestFence: null };
}

/** Reads the body of an order, and its header `X-Expect-Instance`; null if it is no order at all (400). */
function parse(body: unknown, instance: string | undefined): RunnerOrder | null {
  if (!hasShape(body, orderShape)) return null;
  return {
    operation: body.op_kind,
    model: body.model_name,
    revision: body.revision,
    holder: body.holder_name ?? null,
    fence: body.fence_no ?? null,
    expectedCallSeq: body.expected ?? null,
    instance: instance ?? null,
  };
}

/** Ends a loading whose time is over. */
function advance(state: OrdersState, now: number): { state: OrdersState; loaded: ModelRevision | null } {
  const { loading } = state;
  if (loading === null || loading.endsAt > now) return { state, loaded: null };
  const revisions = new Map(state.revisions).set(loading.model, loading.revision);
  return {
    state: { ...state, revisions, loading: null },
    loaded: { label: loading.model, revision: loading.revision },
  };
}

function isHolding(state: OrdersState, order: RunnerOrder): boolean {
  return (state.revisions.get(order.model) ?? 0) >= order.revision;
}

/** Why the order must not be taken, whatever is loaded or loading; null if it may be. */
function rejection(rules: OrderRules, state: OrdersState, order: RunnerOrder): OrderReply | null {
  const isChecked = rules.validation === 'checked';
  if (isChecked && order.instance !== null && order.instance !== state.instance) return { kind: 'wrong_instance' };
  if (isChecked && !isValid(rules, order)) return { kind: 'invalid' };
  if (rules.fencing === 'checked' && isOutdated(state, order)) return { kind: 'fenced' };
  if (isChecked && order.expectedCallSeq !== null && order.expectedCallSeq !== state.callSeq)
    return { kind: 'unexpected_call_seq' };
  return null;
}

function isValid(rules: OrderRules, order: RunnerOrder): boolean {
  if (order.operation !== 'revision' || order.holder === null || order.fence === null) return false;
  return rules.isNamed(order.model, order.revision);
}

function isOutdated({ highestFence }: OrdersState, { fence }: RunnerOrder): boolean {
  return fence !== null && highestFence !== null && fence < highestFence;
}

/** Whether the order got past the checks of form and addressee, so that its fence counts as seen. */
function isSeen(rejected: OrderReply | null): boolean {
  return rejected?.kind !== 'wrong_instance' && rejected?.kind !== 'invalid';
}

function withFence(state: OrdersState, { fence }: RunnerOrder): OrdersState {
  if (fence === null) return state;
  return { ...state, highestFence: Math.max(state.highestFence ?? fence, fence) };
}

function answer(state: OrdersState, order: RunnerOrder, rejected: OrderReply | null): OrderReply {
  if (rejected !== null) return rejected;
  if (isHolding(state, order)) return { kind: 'already_loaded' };
  return state.loading === null ? { kind: 'started' } : { kind: 'other_in_progress' };
}

/** Takes an order at `now` (ms). A loading of 0 ms has ended in the state that is returned. */
function take(rules: OrderRules, before: OrdersState, order: RunnerOrder, now: number): OrderStep {
  const { state: current, loaded: loadedBefore } = advance(before, now);
  const rejected = rejection(rules, current, order);
  const reply = answer(current, order, rejected);
  let state = isSeen(rejected) ? withFence(current, order) : current;
  const isStarted = reply.kind === 'started';
  if (isStarted || rules.callSeqCounts === 'received') state = { ...state, callSeq: state.callSeq + 1 };
  if (!isStarted) return { state, reply, loaded: loadedBefore };
  const loading = { model: order.model, revision: order.revision, endsAt: now + rules.loadMs };
  const started = advance({ ...state, loading }, now);
  return { state: started.state, reply, loaded: started.loaded ?? loadedBefore };
}

/** A restart forgets `call_seq`, the fences and what is still being loaded; the loaded weights stay as they are. */
function restart(state: OrdersState, instance: string, now: number): OrdersState {
  return { ...advance(state, now).state, instance, loading: null, callSeq: 0, highestFence: null };
}

/** Whether an order is being carried out at `now`. */
function isBusy(state: OrdersState, now: number): boolean {
  return advance(state, now).state.loading !== null;
}

/** The loaded weights at `now`. */
function models(state: OrdersState, now: number): ModelRevision[] {
  const { revisions } = advance(state, now).state;
  return [...revisions].map(([label, revision]) => ({ label, revision }));
}

/** The HTTP status of a reply. */
function statusOf(reply: OrderReply): number {
  return statusByReply[reply.kind];
}

export const orderRules = { strict };
export const runnerOrders = { create, parse, advance, take, restart, isBusy, models, statusOf };
