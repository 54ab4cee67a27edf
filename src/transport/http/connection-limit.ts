/**
 * Bounds the open connections of a server. Where there is one too many, the connection gives way that has been without
 * a request for longest, then the one whose request has been incomplete for longest, and else the new one. One whose
 * request has been read whole is never closed.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** `closed`: connections that gave way since the server was created. */
export type ConnectionCounters = { peak: number; closed: number };

/** The requests on one connection: those without a complete response, and of these the ones not yet read to their end. */
type ConnectionRecord = { openRequests: number; incompleteRequests: number };

/** The connections of one server, the one that has been without any change for longest first. */
class ConnectionTable {
  readonly counters: ConnectionCounters = { peak: 0, closed: 0 };
  readonly #records = new Map<Socket, ConnectionRecord>();
  readonly #maxConnections: number;

  constructor(maxConnections: number) {
    this.#maxConnections = maxConnections;
  }

  add(socket: Socket): void {
    this.#records.set(socket, { openRequests: 0, incompleteRequests: 0 });
    socket.once('close', () => this.#records.delete(socket));
    if (this.#records.size > this.#maxConnections) this.#giveWay(socket);
    this.counters.peak = Math.max(this.counters.peak, this.#records.size);
  }

  onRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    this.#change(socket, { openRequests: 1, incompleteRequests: 1 });
    request.once('end', () => this.#change(socket, { openRequests: 0, incompleteRequests: -1 }));
    response.once('close', () => this.#change(socket, { openRequests: -1, incompleteRequests: 0 }));
  }

  #change(socket: Socket, { openRequests, incompleteRequests }: ConnectionRecord): void {
    const record = this.#records.get(socket);
    if (!record) return;
    record.openRequests += openRequests;
    record.incompleteRequests += incompleteRequests;
    // Behind all others, since it has changed last.
    this.#records.delete(socket);
    this.#records.set(socket, record);
  }

  #giveWay(newcomer: Socket): void {
    const isIdle = ({ openRequests }: ConnectionRecord): boolean => openRequests === 0;
    const isIncomplete = (record: ConnectionRecord): boolean => record.incompleteRequests === record.openRequests;
    const victim = this.#first(newcomer, isIdle) ?? this.#first(newcomer, isIncomplete) ?? newcomer;
    this.counters.closed++;
    this.#records.delete(victim);
    victim.destroy();
  }

  #first(newcomer: Socket, matches: (record: ConnectionRecord) => boolean): Socket | null {
    for (const [socket, record] of this.#records) if (socket !== newcomer && matches(record)) return socket;
    return null;
  }
}

/** Bounds the connections of a server that has not accepted any yet. */
function apply(server: Server, maxConnections: number): ConnectionCounters {
  const table = new ConnectionTable(maxConnections);
  server.on('connection', (socket: Socket) => table.add(socket));
  server.prependListener('request', (request: IncomingMessage, response: ServerResponse) =>
    table.onRequest(request, response),
  );
  return table.counters;
}

export const connectionLimit = { apply };
