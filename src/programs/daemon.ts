/**
 * What both daemons do around their programs: they check options and settings, keep the ring log and take SIGHUP and
 * SIGUSR2. The programs are loaded only when they are asked for.
 */
import { ringLog, type Log } from '../logging/ring.js';
import { findings } from '../protocol/findings.js';
import { settings } from '../protocol/settings/check.js';
import { tuning, type TuningOptions } from '../protocol/settings/tuning.js';
import type { Finding, Result, Settings, Tuning } from '../types.js';

/** The programs that run as daemons. */
export type DaemonRole = 'router' | 'coordinator';

/** The options of the command line as they were given: the path of the settings file, and what may be tuned. */
export type DaemonOptions = { settings?: string } & TuningOptions;

/** Starts a program; rejects where an address or the disk can't be had. `reread` reads the settings again, in place. */
type StartProgram = (settings: Settings, log: Log, tuning: Tuning, reread: () => void) => Promise<void>;

/** Why a daemon was not started. A retry does not help: command line or settings file have to be changed. */
export type DaemonError =
  | { kind: 'no_settings_file' }
  | { kind: 'invalid_options'; findings: Finding[] }
  | { kind: 'invalid_settings'; path: string; findings: Finding[] };

/** The environment variable that names the settings file where `--settings` does not. */
const settingsPathVariable = 'MILLETCLEAT_NODE_FILE';

/** SIGUSR2 prints the ring log; an error that nobody caught prints it and ends the process with 1. */
function watchProcess(log: Log): void {
  process.on('uncaughtException', (error) => {
    ringLog.error(log, 'process_failed', { stack: error.stack });
    process.exit(1);
  });
  process.on('SIGUSR2', () => ringLog.flush(log));
}

/** Rereads the settings file: valid settings are put into the object that the program holds, others are logged. */
function reloader(path: string, role: DaemonRole, current: Settings, log: Log): () => void {
  return () => {
    const read = settings.read(path, role);
    if (read.ok) Object.assign(current, read.value);
    else ringLog.error(log, 'settings_rejected', { findings: read.error });
  };
}

async function loadProgram(role: DaemonRole): Promise<StartProgram> {
  return role === 'router'
    ? (await import('./router.js')).routerProgram.start
    : (await import('./coordinator.js')).coordinatorProgram.start;
}

/** Starts the program; one that can't start, for want of an address or its disk, ends the process with 1. */
async function startProgram(role: DaemonRole, current: Settings, tuned: Tuning, path: string): Promise<void> {
  const log = ringLog.create(role, current.node_name);
  watchProcess(log);
  const reload = reloader(path, role, current, log);
  process.on('SIGHUP', reload);
  try {
    const start = await loadProgram(role);
    await start(current, log, tuned, reload);
  } catch (error) {
    ringLog.error(log, 'start_failed', { stack: (error as Error).stack });
    process.exit(1);
  }
}

/** Checks options and settings, and starts the program of a role; SIGHUP reads the settings again. */
async function run(role: DaemonRole, options: DaemonOptions): Promise<Result<void, DaemonError>> {
  const path = options.settings ?? process.env[settingsPathVariable];
  if (!path) return { ok: false, error: { kind: 'no_settings_file' } };
  const tuned = tuning.check(options);
  if (!tuned.ok) return { ok: false, error: { kind: 'invalid_options', findings: tuned.error } };
  const read = settings.read(path, role);
  if (!read.ok) return { ok: false, error: { kind: 'invalid_settings', path, findings: read.error } };
  await startProgram(role, read.value, tuned.value, path);
  return { ok: true, value: undefined };
}

/** Whether the command line is wrong, rather than a file that it names. */
function isUsageError({ kind }: DaemonError): boolean {
  return kind === 'no_settings_file' || kind === 'invalid_options';
}

/** The error for a reader, in one line or more. */
function describeError(error: DaemonError): string {
  switch (error.kind) {
    case 'no_settings_file':
      return `no settings file: give --settings FILE or set ${settingsPathVariable}`;
    case 'invalid_options':
      return findings.format(error.findings);
    case 'invalid_settings':
      return `${error.path}:\n${findings.format(error.findings)}`;
  }
}

export const daemon = { run, isUsageError, describeError };
