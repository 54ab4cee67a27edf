/** What a model runner says of itself (`GET /v1/report`), in the words of the users' page. */
import { runnerOrders, type OrdersState } from './runner-orders.js';

/** The engine's side of a report: requests that wait and run, and the KV cache in tokens. */
export type EngineLoad = {
  phase: string;
  queuedRequests: number;
  activeRequests: number;
  /** What running requests take and can't give way; cached prefixes can. */
  usedTokens: number;
  totalTokens: number;
  handles: number;
};

export type RunnerReportReply = {
  phase: string;
  model_list: { label: string; revision: number; adapter_list: string[] }[];
  is_busy: boolean;
  call_seq: number;
  queued: number;
  active: number;
  kv_used_tokens: number;
  kv_total_tokens: number;
  handle_list: number;
};

/** A runner that serves and has nothing to do. */
function idle(totalTokens: number): EngineLoad {
  return { phase: 'whole', queuedRequests: 0, activeRequests: 0, usedTokens: 0, totalTokens, handles: 0 };
}

/** The loaded models as the report and the platform's list name them. */
function modelList(orders: OrdersState, now: number): RunnerReportReply['model_list'] {
  return runnerOrders.models(orders, now).map(({ label, revision }) => ({ label, revision, adapter_list: [] }));
}

/** The report at `now` (ms). */
function reply(orders: OrdersState, load: EngineLoad, now: number): RunnerReportReply {
  return {
    phase: load.phase,
    model_list: modelList(orders, now),
    is_busy: runnerOrders.isBusy(orders, now),
    call_seq: orders.callSeq,
    queued: load.queuedRequests,
    active: load.activeRequests,
    kv_used_tokens: load.usedTokens,
    kv_total_tokens: load.totalTokens,
    handle_list: load.handles,
  };
}

export const runnerReport = { idle, modelList, reply };
