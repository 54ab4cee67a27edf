/**
 * Requests that wait at the router for an endpoint with capacity, in order of rank with ageing: the more urgent rank is
 * dispatched first, but waiting counts against rank, so that no request starves.
 */

import { timerDelay } from '../runtime/timer-delay.js';

/** One request that waits. */
export type QueuedRequest = {
  /** See `priorityKey`. */
  priorityKey: number;
  /** Reserves an endpoint for the request if there is one; true ends the wait. */
  tryDispatch: () => boolean;
  /** Ends the wait. */
  settle: (isDispatched: boolean) => void;
};

/** `timer` runs while any request waits. */
export type AdmissionQueue = { waiting: QueuedRequest[]; timer: NodeJS.Timeout | null };

/** Milliseconds of waiting that make up for one rank. */
const rankWeightMs = 60;

/** How often all waiting requests are tried if no capacity is reported to be released, in ms. */
const dispatchIntervalMs = 25;

/** An empty queue. */
function create(): AdmissionQueue {
  return { waiting: [], timer: null };
}

/**
 * The order of dispatch, lowest first: the time of reception, later by `rankWeightMs` for each rank. `receivedAt` is in
 * ms on the process's steady clock.
 */
function priorityKey(rank: number, receivedAt: number): number {
  return receivedAt + Math.max(0, rank) * rankWeightMs;
}

/** Tries to dispatch all waiting requests, in order; called when an endpoint may have capacity again. */
function dispatchWaiting(queue: AdmissionQueue): void {
  if (queue.waiting.length === 0) return;
  const inOrder = [...queue.waiting].sort((a, b) => a.priorityKey - b.priorityKey);
  for (const queued of inOrder) if (queued.tryDispatch()) queued.settle(true);
}

function remove(queue: AdmissionQueue, queued: QueuedRequest): void {
  const index = queue.waiting.indexOf(queued);
  if (index >= 0) queue.waiting.splice(index, 1);
  if (queue.waiting.length === 0 && queue.timer) {
    clearInterval(queue.timer);
    queue.timer = null;
  }
}

/**
 * Waits until `tryDispatch` succeeds, or until `timeoutMs` have passed, when it is called a last time. Resolves with
 * whether the request was dispatched; never rejects.
 */
function enqueue(queue: AdmissionQueue, key: number, timeoutMs: number, tryDispatch: () => boolean): Promise<boolean> {
  return new Promise((resolve) => {
    const queued: QueuedRequest = {
      priorityKey: key,
      tryDispatch,
      settle: (isDispatched) => {
        clearTimeout(timer);
        remove(queue, queued);
        resolve(isDispatched);
      },
    };
    const timer = setTimeout(() => {
      queued.settle(tryDispatch());
    }, timerDelay(timeoutMs));
    queue.waiting.push(queued);
    queue.timer ??= setInterval(() => {
      dispatchWaiting(queue);
    }, dispatchIntervalMs);
  });
}

export const admissionQueue = { create, priorityKey, dispatchWaiting, enqueue };
