/** One client that doesn't behave: it opens a connection, sends part of a request and stays. */
import { connect, type Socket } from 'node:net';

/** What one client sends. */
export type MemberPlan = {
  host: string;
  port: number;
  /** Request line and headers, without the ones that frame the body. */
  head: string;
  framing: 'length' | 'chunked';
  /** Body bytes of one write, or of one chunk. */
  pieceBytes: number;
  /** The length that is announced; in chunks only what a whole body would have. */
  announcedBytes: number;
  /** Body bytes that are sent; less than announced for a client that stops short. */
  sentBytes: number;
  /** Whether the end of a body in chunks is sent. */
  sendsEnd: boolean;
};

/** `sent`: all that was planned; `closed`: the other end closed first; `held_up`: it no longer reads. */
export type MemberState = 'sending' | 'sent' | 'closed' | 'held_up';

/** Bytes of one write where many pieces are put together. */
const writeBytes = 64 * 1024;

/** A client whose bytes aren't taken for so long is held up, in ms. */
const heldUpAfterMs = 4000;

/** A client whose connection is closed opens another one, so many times in all. */
const maxConnections = 3;

const chunkEnd = '\r\n';
const lastChunk = '0\r\n\r\n';

function chunkOf(bytes: number): Buffer {
  return Buffer.from(`${bytes.toString(16)}${chunkEnd}${'x'.repeat(bytes)}${chunkEnd}`);
}

/** Pieces of one size as they go over the wire, repeated up to about `writeBytes`. */
function batchOf({ framing, pieceBytes }: MemberPlan): { wire: Buffer; bodyBytes: number } {
  const piece = framing === 'chunked' ? chunkOf(pieceBytes) : Buffer.alloc(pieceBytes, 'x');
  const isSentAlone = framing === 'length';
  const pieces = isSentAlone ? 1 : Math.max(1, Math.floor(writeBytes / piece.length));
  return { wire: Buffer.concat(Array.from({ length: pieces }, () => piece)), bodyBytes: pieces * pieceBytes };
}

/** A client that doesn't behave. Its connection stays open until `leave`, or until the other end closes it. */
export class CrowdMember {
  state: MemberState = 'sending';
  readonly #plan: MemberPlan;
  readonly #batch: { wire: Buffer; bodyBytes: number };
  #socket: Socket | null = null;
  #connections = 0;
  #bodyBytesLeft = 0;
  #heldUpTimer: NodeJS.Timeout | undefined;
  #hasLeft = false;

  constructor(plan: MemberPlan) {
    this.#plan = plan;
    this.#batch = batchOf(plan);
    this.#open();
  }

  /** Closes the connection. */
  leave(): void {
    this.#hasLeft = true;
    clearTimeout(this.#heldUpTimer);
    this.#socket?.destroy();
  }

  #open(): void {
    const { host, port, head, framing, announcedBytes, sentBytes } = this.#plan;
    const socket = connect({ host, port });
    this.#socket = socket;
    this.#connections++;
    this.#bodyBytesLeft = sentBytes;
    socket.on('error', () => {
      /* told by close */
    });
    // What comes back is read and not looked at.
    socket.resume();
    socket.on('close', () => this.#onClosed(socket));
    socket.on('connect', () => {
      const frame = framing === 'length' ? `Content-Length: ${announcedBytes}` : 'Transfer-Encoding: chunked';
      socket.write(`${head}${frame}\r\n\r\n`);
      this.#sendNext(socket);
    });
  }

  #onClosed(socket: Socket): void {
    if (this.#socket !== socket) return;
    clearTimeout(this.#heldUpTimer);
    this.state = 'closed';
    if (this.#hasLeft || this.#connections >= maxConnections) return;
    this.state = 'sending';
    this.#open();
  }

  #sendNext(socket: Socket): void {
    if (socket.destroyed) return;
    clearTimeout(this.#heldUpTimer);
    if (this.#bodyBytesLeft <= 0) return this.#finish(socket);
    this.state = 'sending';
    this.#heldUpTimer = setTimeout(() => {
      this.state = 'held_up';
    }, heldUpAfterMs);
    socket.write(this.#nextBytes(), () => setImmediate(() => this.#sendNext(socket)));
  }

  #nextBytes(): Buffer {
    const { wire, bodyBytes } = this.#batch;
    const { framing } = this.#plan;
    const left = this.#bodyBytesLeft;
    this.#bodyBytesLeft -= bodyBytes;
    if (left >= bodyBytes) return wire;
    return framing === 'length'
      ? wire.subarray(0, left)
      : wire.subarray(0, Math.floor((left / bodyBytes) * wire.length));
  }

  #finish(socket: Socket): void {
    if (this.#plan.framing === 'chunked' && this.#plan.sendsEnd) socket.write(lastChunk);
    this.state = 'sent';
  }
}
