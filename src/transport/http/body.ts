/** Reads the body of a request into memory, within bounds of size and time. */
import type { IncomingMessage } from 'node:http';

/** A whole body, in the pieces in which it is held. */
type Body = { readonly pieces: readonly Buffer[]; readonly length: number };

/** `aborted`: the connection ended before the body did. */
export type BodyResult =
  { kind: 'complete'; body: Buffer } | { kind: 'too_large' } | { kind: 'timed_out' } | { kind: 'aborted' };

/** A piece of this size or more is kept as it came; smaller ones are copied together. */
const minKeptPieceBytes = 4096;

/** What a piece costs beyond its bytes. */
const pieceOverheadBytes = 512;

/** The smallest and the largest block into which small pieces are copied. */
const minBlockBytes = 1024;
const maxBlockBytes = 64 * 1024;

function announcedBytes({ headers }: IncomingMessage): number | null {
  const length = headers['content-length'];
  return length === undefined || headers['transfer-encoding'] !== undefined ? null : Number(length);
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

/** Never rejects. What comes after `maxBytes` or `timeoutMs` is read and dropped; the caller closes the connection. */
function read(request: IncomingMessage, maxBytes: number, timeoutMs: number | null = null): Promise<BodyResult> {
  return new Promise((resolve) => {
    const collector = new PieceCollector(announcedBytes(request));
    let isOver = false;
    const timer = timeoutMs === null ? undefined : setTimeout(() => end({ kind: 'timed_out' }), timeoutMs);
    function end(result: BodyResult): void {
      isOver = true;
      collector.drop();
      clearTimeout(timer);
      resolve(result);
    }
    request.on('data', (piece: Buffer) => {
      if (isOver) return;
      collector.add(piece);
      if (collector.length > maxBytes) end({ kind: 'too_large' });
    });
    request.on('end', () => end({ kind: 'complete', body: Buffer.concat(collector.finish().pieces) }));
    request.on('error', () => end({ kind: 'aborted' }));
    request.on('close', () => end({ kind: 'aborted' }));
  });
}

export const requestBody = { read };
