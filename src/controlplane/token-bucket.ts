/**
 * A token bucket of bytes for what a coordinator sends in bulk, so that heartbeats and orders are not delayed on its
 * link. It is refilled at a constant rate up to a small burst; what was sent is consumed afterwards and may overdraw
 * it, and then nothing more is sent before it has recovered.
 */

/** `availableBytes`: what may be sent now, negative after an overdraft; `refilledAtMs` in ms of the steady clock. */
export type TokenBucket = { bytesPerMs: number; availableBytes: number; refilledAtMs: number };

/** The burst, as the time in which the bucket fills, in milliseconds. */
const burstMs = 250;
const bytesPerMsAtOneMegabit = 125;

/** A full bucket for a share of a link of `linkMbps` megabits per second; `now` in ms of the steady clock. */
function create(linkMbps: number, share: number, now: number): TokenBucket {
  const bytesPerMs = linkMbps * bytesPerMsAtOneMegabit * share;
  return { bytesPerMs, availableBytes: bytesPerMs * burstMs, refilledAtMs: now };
}

function refill(bucket: TokenBucket, now: number): void {
  const refilled = bucket.availableBytes + (now - bucket.refilledAtMs) * bucket.bytesPerMs;
  bucket.availableBytes = Math.min(refilled, bucket.bytesPerMs * burstMs);
  bucket.refilledAtMs = now;
}

/** Whether anything may be sent now. */
function hasTokens(bucket: TokenBucket, now: number): boolean {
  refill(bucket, now);
  return bucket.availableBytes > 0;
}

/** Consumes what was sent, also more than is available. */
function consume(bucket: TokenBucket, bytes: number): void {
  bucket.availableBytes -= bytes;
}

export const tokenBucket = { create, hasTokens, consume };
