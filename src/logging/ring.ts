// The log: a ring in memory that is written to standard error when something goes wrong, so that a
// quiet process writes next to nothing and a failing one shows what came before.
import bunyan from 'bunyan';

const kept = 200;
const pauseMs = 1000;

export type Log = { logger: bunyan; ring: bunyan.RingBuffer; shownAt: number; shown: number };

function create(name: string, node: string): Log {
  const ring = new bunyan.RingBuffer({ limit: kept });
  const logger = bunyan.createLogger({
    name,
    node,
    streams: [{ level: 'debug', type: 'raw', stream: ring }],
  });
  return { logger, ring, shownAt: -Infinity, shown: 0 };
}

function note(l: Log, fields: object, text: string): void {
  l.logger.info(fields, text);
}

function line(r: Record<string, unknown>): string {
  const { time, msg, v, pid, hostname, name, level, ...rest } = r;
  void v;
  void pid;
  void hostname;
  void name;
  void level;
  return `${(time as Date).toISOString()} ${String(msg)} ${JSON.stringify(rest)}\n`;
}

// Writes out the whole ring; a second error within the pause waits for the next one behind it.
function error(l: Log, fields: object, text: string): void {
  l.logger.warn(fields, text);
  const now = performance.now();
  if (now - l.shownAt < pauseMs) return;
  l.shownAt = now;
  flush(l);
}

function flush(l: Log): void {
  const all = l.ring.records as unknown as Record<string, unknown>[];
  process.stderr.write(all.map(line).join(''));
  all.length = 0;
}

export const ringLog = { create, note, error, flush };
