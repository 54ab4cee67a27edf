/** One program of a fleet as a process of its own, started with the command of the deploy file. */
import { spawn, type ChildProcess } from 'node:child_process';
import { readFileSync, writeFileSync } from 'node:fs';
import { dump } from 'js-yaml';
import { parse } from 'smol-toml';

/** What the settings of a node depend on. `dataDir` is only used by coordinators. */
export type NodePlace = {
  name: string;
  /** The address under which the others know it. */
  ip: string;
  /** Where its RPC server listens, if that is another address: there is a proxy between. */
  listenIp?: string;
  program: 'router' | 'coordinator';
  dataDir: string;
};

/** `child` is null until it is first started, `errors` is what it wrote to stderr. */
export type Machine = NodePlace & { child: ChildProcess | null; settingsFile: string; errors: string };

const deployFile = 'deploy/system.toml';
/** Of the caller's variables a program gets these (deployment page, "The deploy file"). */
const passedVariables = ['PATH', 'HOME', 'LANG'];

function commandOf(program: NodePlace['program']): string[] {
  const { roles } = parse(readFileSync(deployFile, 'utf8')) as { roles: Record<string, { run: string }> };
  return roles[program]!.run.split(' ');
}

/** Lays the settings of a machine where it reads them. */
function writeSettings(machine: Machine, settings: object): void {
  writeFileSync(machine.settingsFile, dump(settings));
}

/** Starts the program of a machine. */
function boot(machine: Machine, settings: object): void {
  writeSettings(machine, settings);
  const [command, ...words] = commandOf(machine.program) as [string, ...string[]];
  const passed = Object.fromEntries(passedVariables.map((name) => [name, process.env[name] ?? '']));
  machine.child = spawn(command, words, {
    env: { ...passed, MILLETCLEAT_NODE_FILE: machine.settingsFile },
    stdio: ['ignore', 'ignore', 'pipe'],
  });
  machine.child.stderr!.on('data', (chunk) => {
    machine.errors += String(chunk);
  });
}

function isRunning({ child }: Machine): boolean {
  return child !== null && child.exitCode === null && child.signalCode === null;
}

/** Signals the program of a machine and waits for its end; the exit code, null if a signal ended it. */
function end(machine: Machine, signal: NodeJS.Signals): Promise<number | null> {
  return new Promise((resolve) => {
    const { child } = machine;
    if (child === null || !isRunning(machine)) return resolve(child?.exitCode ?? null);
    child.once('exit', (code) => {
      resolve(code);
    });
    child.kill(signal);
  });
}

export const machineProcess = { boot, writeSettings, isRunning, end };
