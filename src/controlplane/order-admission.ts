/**
 * Admission of the operator's orders at one coordinator: orders are decided one after another, copies of an
 * order that are in flight at the same time share one decision, and a shutdown can wait until no call is
 * being answered any more.
 */
import { Mutex } from 'async-mutex';
import type { OperatorReply } from '../protocol/rpc/operator.js';
import type { OrderDigest } from '../state/control/order-memory.js';

/** The admission of one coordinator. */
export class OrderAdmission {
  readonly #mutex = new Mutex();
  readonly #inFlight = new Map<OrderDigest, Promise<OperatorReply>>();
  readonly #idleListeners: (() => void)[] = [];
  #activeCalls = 0;

  /** The result of `decide`, which runs once for all copies of an order in flight, after all earlier orders. */
  decideOnce(digest: OrderDigest, decide: () => Promise<OperatorReply>): Promise<OperatorReply> {
    const pending = this.#inFlight.get(digest);
    if (pending) return pending;
    const result = this.#mutex.runExclusive(decide).finally(() => {
      this.#inFlight.delete(digest);
    });
    this.#inFlight.set(digest, result);
    return result;
  }

  /** Runs `answer`, counted as a call in progress until it has ended. */
  async trackCall<T>(answer: () => Promise<T>): Promise<T> {
    this.#activeCalls++;
    try {
      return await answer();
    } finally {
      this.#activeCalls--;
      if (this.#activeCalls === 0) for (const notify of this.#idleListeners.splice(0)) notify();
    }
  }

  /** Resolves once no call is in progress. */
  whenIdle(): Promise<void> {
    if (this.#activeCalls === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#idleListeners.push(resolve);
    });
  }
}
