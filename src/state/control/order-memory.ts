/**
 * The memory of operator orders, a part of the replicated state and so of every snapshot. An order is
 * known by a digest of its method, path, `If-Match` and body, which a caller that got no clear answer
 * sends again unchanged.
 *
 * What may be forgotten, and why that is safe: each base revision has at most one successor, so an
 * order that is not remembered was accepted only if its base is one of those whose order was forgotten.
 * Those are exactly the bases up to `highestForgottenBase`. An order on such a base is answered as indeterminate;
 * an order on any later base that is not remembered was certainly not accepted. The order in force is the
 * newest one and never forgotten.
 */
import { createHash } from 'node:crypto';
import type { OperatorRequest } from '../../protocol/rpc/operator.js';

/** 16 bytes of SHA-256 in base64url, 22 characters: collisions are out of reach for the orders of any system's life. */
export type OrderDigest = string;

/** An order that came into force, and the revision that it built on. */
export type AcceptedOrder = { digest: OrderDigest; baseRevision: number };

/**
 * `rejectedOrders`: digests of orders that were rejected although their base may yet come into force. Both
 * lists are oldest first. `highestForgottenBase`: the highest base whose order is no longer among
 * `acceptedOrders`, -1 while all are. Stored in snapshots as `stored-format.ts` maps it.
 */
export type OrderMemory = {
  acceptedOrders: AcceptedOrder[];
  rejectedOrders: OrderDigest[];
  highestForgottenBase: number;
};

/**
 * A day may hold hundreds of changes and eight orders at once; 4,096 covers several such days. With its
 * base an entry takes about 30 bytes packed, so the whole adds at most 120 KB to a snapshot.
 */
const maxAccepted = 4096;

/**
 * Rejections are remembered only against copies of the same order that are still in flight between
 * members, a second or two; at eight orders at once that is far below this many.
 */
const maxRejected = 256;

/** The memory before the first order. */
function empty(): OrderMemory {
  return { acceptedOrders: [], rejectedOrders: [], highestForgottenBase: -1 };
}

/** By what an order is recognised: everything of the call but its `id`. */
function digest(request: OperatorRequest): OrderDigest {
  return createHash('sha256')
    .update(`${request.method} ${request.path} ${request.ifMatch ?? ''}\n`)
    .update(request.body)
    .digest()
    .subarray(0, 16)
    .toString('base64url');
}

/** Whether the order is remembered as accepted; see `mayBeForgotten` for those that are not. */
function isAccepted(memory: OrderMemory, digest: OrderDigest): boolean {
  return memory.acceptedOrders.some((accepted) => accepted.digest === digest);
}

/** Whether the order was rejected for good. */
function isRejected(memory: OrderMemory, digest: OrderDigest): boolean {
  return memory.rejectedOrders.includes(digest);
}

/** Whether an order on this base may have been accepted and forgotten since. */
function mayBeForgotten(memory: OrderMemory, baseRevision: number): boolean {
  return baseRevision <= memory.highestForgottenBase;
}

/** The memory with an accepted order; the oldest beyond `maxAccepted` are forgotten. */
function recordAccepted(memory: OrderMemory, order: AcceptedOrder): OrderMemory {
  const all = [...memory.acceptedOrders, order];
  const excess = all.length - maxAccepted;
  if (excess <= 0) return { ...memory, acceptedOrders: all };
  return {
    ...memory,
    acceptedOrders: all.slice(excess),
    highestForgottenBase: all[excess - 1]!.baseRevision,
  };
}

/** The memory with an order that was rejected for good; the oldest beyond `maxRejected` are forgotten. */
function recordRejected(memory: OrderMemory, digest: OrderDigest): OrderMemory {
  return { ...memory, rejectedOrders: [...memory.rejectedOrders, digest].slice(-maxRejected) };
}

export const orderMemory = {
  maxAccepted,
  empty,
  digest,
  isAccepted,
  isRejected,
  mayBeForgotten,
  recordAccepted,
  recordRejected,
};
