/**
 * The log of a process: a ring in memory that is written to standard error when something goes wrong, so
 * that a quiet process writes next to nothing and a failing one shows what came before. The events, their fields and
 * their levels are declared in `events.ts`.
 */
import bunyan from 'bunyan';
import type { ErrorEvents, NoteEvents } from './events.js';

/** Records kept in memory; older ones are dropped. */
const ringLimit = 200;

/** A second error within this time waits in the ring for the next one behind it. */
const flushIntervalMs = 1000;

/** What bunyan adds to each record beside time, event and fields; the same in all records of a process. */
const bunyanFields = new Set(['v', 'pid', 'hostname', 'name', 'level']);

/** The process's own log. `flushedAt`: when the ring was last written out, in ms of the steady clock. */
export type Log = { logger: bunyan; ring: bunyan.RingBuffer; flushedAt: number };

/** `program` and `node` stand in each record. */
function create(program: string, node: string): Log {
  const ring = new bunyan.RingBuffer({ limit: ringLimit });
  const logger = bunyan.createLogger({
    name: program,
    node,
    streams: [{ level: 'debug', type: 'raw', stream: ring }],
  });
  return { logger, ring, flushedAt: -Infinity };
}

/** Keeps an event of level `note` in the ring. */
function note<Name extends keyof NoteEvents>(log: Log, event: Name, fields: NoteEvents[Name]): void {
  log.logger.info(fields, event);
}

/** One record as a line: time, event, and its fields with the node's name. */
function formatRecord({ time, msg, ...others }: Record<string, unknown>): string {
  const fields = Object.entries(others).filter(([name]) => !bunyanFields.has(name));
  return `${(time as Date).toISOString()} ${String(msg)} ${JSON.stringify(Object.fromEntries(fields))}\n`;
}

/** Keeps an event of level `error` and writes the whole ring out, at most once in `flushIntervalMs`. */
function error<Name extends keyof ErrorEvents>(log: Log, event: Name, fields: ErrorEvents[Name]): void {
  log.logger.error(fields, event);
  const now = performance.now();
  if (now - log.flushedAt < flushIntervalMs) return;
  log.flushedAt = now;
  flush(log);
}

/** Writes the ring to standard error and empties it. */
function flush(log: Log): void {
  // Bunyan types the records as any[]; a raw stream keeps the objects that it was given.
  const records = log.ring.records as Record<string, unknown>[];
  process.stderr.write(records.map(formatRecord).join(''));
  records.length = 0;
}

export const ringLog = { create, note, error, flush };
