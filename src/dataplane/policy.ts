/**
 * One step in the handling of a request, as a filter of a proxy: it passes the request on to the next one, answers it,
 * or finds it done. The client server applies them in their order.
 */
import type { HttpResponse } from '../transport/http/response.js';
import type { Router } from './router.js';

/**
 * How the handling of a request ends.
 * - `answer`: with this answer; `closesConnection` where the rest of the request isn't read.
 * - `done`: the client has its answer, or can't be given one any more.
 */
export type FinalResult = { kind: 'answer'; answer: HttpResponse; closesConnection?: boolean } | { kind: 'done' };

/** `next`: on to the next policy with the request, to which this one has added what it learnt. */
export type PolicyResult<Output> = { kind: 'next'; request: Output } | FinalResult;

/** `apply` is called once a request, which has all fields of `Input`; it never rejects but for a fault of its own. */
export type Policy<Input, Output> = {
  apply: (router: Router, request: Input) => PolicyResult<Output> | Promise<PolicyResult<Output>>;
};

/** The last policy: it ends every request. */
export type FinalPolicy<Input> = { apply: (router: Router, request: Input) => Promise<FinalResult> };
