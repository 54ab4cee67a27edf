/**
 * Reads the body of a request into memory, within bounds of size and time, and of what all requests of the process may
 * hold together. Bytes are reserved before they are read; where there is no room the connection is not read for a
 * while, and then the body is given up.
 */
import type { IncomingMessage } from 'node:http';
import { resourceBudget, type Reservation, type ResourceBudget } from '../../runtime/resource-budget.js';

/** A whole body, in the pieces in which it is held. */
export type Body = { readonly pieces: readonly Buffer[]; readonly length: number };

/** `aborted`: the connection ended before the body did. `no_capacity`: the process may hold no more at present. */
export type BodyResult =
  { kind: 'complete'; body: Body } | { kind: 'too_large' | 'timed_out' | 'aborted' | 'no_capacity' };

/** The bounds of one body; `timeoutMs` is from the head to the end of the body. */
export type BodyLimits = { maxBytes: number; timeoutMs: number };

/** Reading a connection once brings at most so many bytes; of a body without a length at least so many are reserved. */
const readAheadBytes = 64 * 1024;

/** A body without a length reserves as much again as it has, up to so many bytes. */
const maxGrowthBytes = 1024 * 1024;

/** So many bytes within the time after which a body counts as stalled show that it has not. */
const progressBytes = 4096;

/** A piece of this size or more is kept as it came; smaller ones are copied together. */
const minKeptPieceBytes = 4096;

/** What a piece costs beyond its bytes. */
const pieceOverheadBytes = 512;

/** The smallest and the largest block into which small pieces are copied. */
const minBlockBytes = 1024;
const maxBlockBytes = 64 * 1024;

/** The share of the budget that the bytes of one body may take; the rest is for what its pieces cost. */
const maxBudgetShare = 7 / 8;

/** How long a connection is not read for want of capacity before its body is given up, and how often it is tried; in ms. */
const maxWaitMs = 2000;
const retryIntervalMs = 25;

/** No more connections than this wait at a time: what was already read of each is held beside the budget. */
const maxWaiting = 16;

/** What was read of a body in smaller pieces than this costs too much beside the budget to wait with. */
const minWaitingPieceBytes = 256;

/** A body that has come in so many pieces, of fewer bytes on average, is costly to receive. */
const costlyPieces = 4096;
const costlyPieceBytes = 64;

const emptyBody: Body = { pieces: [], length: 0 };

function announcedBytes({ headers }: IncomingMessage): number | null {
  const length = headers['content-length'];
  return length === undefined || headers['transfer-encoding'] !== undefined ? null : Number(length);
}

function hasBody(request: IncomingMessage): boolean {
  return request.headers['transfer-encoding'] !== undefined || (announcedBytes(request) ?? 0) > 0;
}

function waitingCount({ reservations }: ResourceBudget): number {
  let count = 0;
  for (const { state } of reservations) if (state === 'waiting') count++;
  return count;
}

/** Collects the pieces of a body so that small ones cost little beyond their bytes. */
class PieceCollector {
  length = 0;
  /** What is held, the free part of the last block and the cost of the pieces included. */
  heldBytes = 0;
  readonly #announced: number | null;
  #pieces: Buffer[] = [];
  #block: Buffer | null = null;
  #blockUsed = 0;

  constructor(announced: number | null) {
    this.#announced = announced;
  }

  add(piece: Buffer): void {
    if (piece.length >= minKeptPieceBytes) this.#keep(piece);
    else this.#copy(piece);
    this.length += piece.length;
  }

  finish(): Body {
    this.#closeBlock();
    return { pieces: this.#pieces, length: this.length };
  }

  drop(): void {
    this.#pieces = [];
    this.#block = null;
  }

  #keep(piece: Buffer): void {
    this.#closeBlock();
    this.#pieces.push(piece);
    this.heldBytes += piece.length + pieceOverheadBytes;
  }

  #copy(piece: Buffer): void {
    let copied = 0;
    while (copied < piece.length) {
      const block = this.#block ?? this.#openBlock(piece.length - copied);
      const count = piece.copy(block, this.#blockUsed, copied);
      copied += count;
      this.#blockUsed += count;
      if (this.#blockUsed === block.length) this.#closeBlock();
    }
  }

  /** As large as what has come so far, within bounds, and no larger than what is still to come. */
  #openBlock(atLeast: number): Buffer {
    const grown = Math.min(maxBlockBytes, Math.max(minBlockBytes, this.length, atLeast));
    const left = this.#announced === null ? Infinity : Math.max(atLeast, this.#announced - this.length);
    this.#block = Buffer.allocUnsafeSlow(Math.min(grown, left));
    this.#blockUsed = 0;
    this.heldBytes += this.#block.length + pieceOverheadBytes;
    return this.#block;
  }

  #closeBlock(): void {
    if (this.#block && this.#blockUsed > 0) this.#pieces.push(this.#block.subarray(0, this.#blockUsed));
    this.#block = null;
  }
}

/** Reads one body from its construction on, and holds it until `release`. */
export class BodyReader {
  /** Never rejects. */
  readonly result: Promise<BodyResult>;
  readonly #request: IncomingMessage;
  readonly #budget: ResourceBudget;
  readonly #reservation: Reservation;
  readonly #collector: PieceCollector;
  readonly #timeoutTimer: NodeJS.Timeout;
  readonly #announced: number | null;
  #resolve!: (result: BodyResult) => void;
  #maxBytes: number;
  #receivedPieces = 0;
  #lengthAtProgress = 0;
  #isOver = false;
  #waitTimer: NodeJS.Timeout | undefined;

  constructor(request: IncomingMessage, budget: ResourceBudget, { maxBytes, timeoutMs }: BodyLimits) {
    this.result = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    this.#request = request;
    this.#budget = budget;
    this.#announced = announcedBytes(request);
    this.#collector = new PieceCollector(this.#announced);
    this.#maxBytes = this.#bounded(maxBytes);
    this.#reservation = resourceBudget.open(budget, performance.now(), () => this.#end({ kind: 'no_capacity' }));
    this.#timeoutTimer = setTimeout(() => this.#end({ kind: 'timed_out' }), timeoutMs);
    request.on('data', (piece: Buffer) => this.#onData(piece));
    request.on('end', () => this.#onEnd());
    request.on('error', () => this.#end({ kind: 'aborted' }));
    request.on('close', () => this.#end({ kind: 'aborted' }));
    if (this.#isTooLarge()) this.#end({ kind: 'too_large' });
    else if (hasBody(request)) this.#reserveAhead();
  }

  /** Lowers the bound of size, once it is known. */
  limitTo(maxBytes: number): void {
    this.#maxBytes = Math.min(this.#maxBytes, this.#bounded(maxBytes));
    if (this.#isTooLarge()) this.#end({ kind: 'too_large' });
  }

  /** Gives back what the body holds; its owner uses it no longer. */
  release(): void {
    this.#end({ kind: 'aborted' });
    resourceBudget.release(this.#budget, this.#reservation);
  }

  #bounded(maxBytes: number): number {
    return Math.min(maxBytes, Math.floor(this.#budget.capacityBytes * maxBudgetShare));
  }

  #isTooLarge(): boolean {
    return Math.max(this.#announced ?? 0, this.#collector.length) > this.#maxBytes;
  }

  #onData(piece: Buffer): void {
    // What comes behind the end of the reading is dropped.
    if (this.#isOver) return;
    this.#receivedPieces++;
    this.#collector.add(piece);
    this.#noteProgress();
    if (this.#isTooLarge()) this.#end({ kind: 'too_large' });
    else if (this.#isTooCostly()) this.#cutOff();
    else this.#reserveAhead();
  }

  #isTooCostly(): boolean {
    if (this.#reservation.isCostly || this.#receivedPieces < costlyPieces) return false;
    if (this.#collector.length >= this.#receivedPieces * costlyPieceBytes) return false;
    return !resourceBudget.tryMarkCostly(this.#budget, this.#reservation, performance.now());
  }

  /** Without an answer: while that is on its way, more pieces would be received. */
  #cutOff(): void {
    this.#giveUp();
    this.#request.socket.destroy();
  }

  #noteProgress(): void {
    if (this.#collector.length - this.#lengthAtProgress < progressBytes) return;
    this.#lengthAtProgress = this.#collector.length;
    this.#reservation.lastProgressAt = performance.now();
  }

  #onEnd(): void {
    if (this.#isOver) return;
    const body = this.#collector.length === 0 ? emptyBody : this.#collector.finish();
    this.#reservation.state = 'in_use';
    resourceBudget.shrinkTo(this.#budget, this.#reservation, this.#collector.heldBytes);
    this.#end({ kind: 'complete', body });
  }

  /** What is held, and all that is announced, or what the next readings may bring. */
  #wantedBytes(): number {
    const { heldBytes, length } = this.#collector;
    if (this.#announced !== null) return heldBytes + Math.max(0, this.#announced - length);
    return heldBytes + Math.min(maxGrowthBytes, Math.max(readAheadBytes, length));
  }

  /** Of a body without a length more is reserved once the next reading might not fit. */
  #neededBytes(): number {
    const { heldBytes } = this.#collector;
    return this.#announced !== null ? this.#wantedBytes() : heldBytes + readAheadBytes;
  }

  #tryReserve(): boolean {
    const { heldBytes } = this.#reservation;
    if (this.#neededBytes() <= heldBytes) return true;
    const missing = this.#wantedBytes() - heldBytes;
    return resourceBudget.tryReserve(this.#budget, this.#reservation, missing, performance.now());
  }

  #reserveAhead(): void {
    if (this.#waitTimer || this.#tryReserve()) return;
    if (!this.#isOver) this.#wait();
  }

  #mayWait(): boolean {
    if (waitingCount(this.#budget) >= maxWaiting) return false;
    if (this.#receivedPieces === 0) return this.#announced !== null;
    return this.#collector.length / this.#receivedPieces >= minWaitingPieceBytes;
  }

  #wait(): void {
    if (!this.#mayWait()) return this.#giveUp();
    this.#reservation.state = 'waiting';
    this.#request.pause();
    const waitUntil = performance.now() + maxWaitMs;
    this.#waitTimer = setInterval(() => {
      if (this.#tryReserve()) this.#readOn();
      else if (performance.now() >= waitUntil) this.#giveUp();
    }, retryIntervalMs);
  }

  #readOn(): void {
    clearInterval(this.#waitTimer);
    this.#waitTimer = undefined;
    this.#reservation.state = 'reading';
    this.#reservation.lastProgressAt = performance.now();
    this.#request.resume();
  }

  #giveUp(): void {
    this.#budget.counters.refused++;
    this.#end({ kind: 'no_capacity' });
  }

  /** The first result stands; without a whole body nothing is held any more. */
  #end(result: BodyResult): void {
    if (this.#isOver) return;
    this.#isOver = true;
    clearTimeout(this.#timeoutTimer);
    clearInterval(this.#waitTimer);
    this.#resolve(result);
    if (result.kind === 'complete') return;
    this.#collector.drop();
    resourceBudget.release(this.#budget, this.#reservation);
    this.#request.resume();
  }
}

/** The body in one buffer. */
function joined({ pieces }: Body): Buffer {
  return pieces.length === 1 ? pieces[0]! : Buffer.concat(pieces);
}

/** A body that is at hand. */
function of(bytes: Buffer): Body {
  return bytes.length === 0 ? emptyBody : { pieces: [bytes], length: bytes.length };
}

export const bodies = { empty: emptyBody, joined, of };
