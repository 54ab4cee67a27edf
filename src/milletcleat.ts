/**
 * The command line of the system: two daemons and the tools beside them. Each program or tool is loaded only when it is
 * asked for. `site` is accepted for `router`, its name up to 0.3, since deploy files and service units may still have it.
 */
import meow from 'meow';
import { daemon, type DaemonRole } from './programs/daemon.js';
import { tuning } from './protocol/settings/tuning.js';
import type { ToolResult, ToolFlags } from './tools/types.js';

const { defaults } = tuning;

const cli = meow(
  `
  Usage
    $ milletcleat router|coordinator [options]
    $ milletcleat <tool> [arguments] [options]

  Daemons
    milletcleat router               forwards the requests of clients to runners
    milletcleat coordinator          replicates the control state and brings it to the routers

  Tools
    milletcleat check FILE...        checks settings (.yaml), configurations (.json) and deploy files (.toml)
    milletcleat status               shows the status of a running system
    milletcleat config get           prints the configuration in force
    milletcleat config put FILE      replaces the configuration
    milletcleat config patch FILE    changes named items of the configuration
    milletcleat config diff FILE     shows what putting FILE would change
    milletcleat rollout start SERVICE VERSION  orders the roll-out of a service's version
    milletcleat rollout status SERVICE         shows how far it is, with its timeline
    milletcleat log inspect FOLDER   reads a coordinator's data folder, offline
    milletcleat simulate FILE        plays the fleet described in FILE on virtual time
    milletcleat import FILE          converts Traefik's dynamic configuration (YAML) to a configuration

  Options of the daemons
    --settings FILE          settings file (default: the path in MILLETCLEAT_NODE_FILE)
    --epsilon SHARE          error allowed in the shares of hot prefix blocks, above 0 and at most --phi
                             (default: ${defaults.epsilon})
    --phi SHARE              share of requests from which a prefix block is hot, between 0 and 1 (default: ${defaults.phi})
    --moved-tokens TOKENS    size from which prefix blocks are tracked and transferred (default: ${defaults.movedTokens})
    --no-hot-set             do not copy hot prefix blocks to the store
    --no-transfers           do not fetch prefix blocks from other runners or the store
    --order-method METHOD    what becomes of a runner's running requests when it is ordered to load new weights:
                             await, truncate or retain (default: ${defaults.orderMethod})
    --order-share SHARE      share of a service's runners that load new weights at once, above 0 and at most 1
                             (default: ${defaults.orderShare})
    --urgency                send the rank of requests to runners, which may preempt less urgent ones

  Options of the tools
    --control IP:PORT        control address of any coordinator (status, config, rollout; required)
    --match REVISION         revision that the change builds on, 0 for the first (config put, patch; required)
    --over SECONDS           term of the roll-out (rollout start; required)
    --part ROLE              role whose settings are checked, router or coordinator (check; default: router)
    --change NAME            also play the fleet with this change named in FILE; may be repeated (simulate)
    --json                   print JSON in place of text

    --help                   print this text
    --version                print the version

  Exit codes
    0 success, 1 findings or an error, 2 wrong usage
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      ...tuning.flags,
      control: { type: 'string' },
      match: { type: 'number' },
      over: { type: 'number' },
      part: { type: 'string' },
      change: { type: 'string', isMultiple: true },
      json: { type: 'boolean', default: false },
    },
  },
);

/** The exit codes of a command line that fails; the tools' own are in `ToolResult`. */
const exitCode = { failure: 1, usageError: 2 } as const;

/** Ends the process with a message on standard error. */
function fail(code: number, message: string): never {
  process.stderr.write(`${message}\n`);
  process.exit(code);
}

/** Runs a daemon, which goes on after this has returned; a start that fails ends the process. */
async function runDaemon(role: DaemonRole, args: string[]): Promise<void> {
  if (args.length > 0) fail(exitCode.usageError, `${role} takes no arguments, but was given: ${args.join(' ')}`);
  const started = await daemon.run(role, cli.flags);
  if (started.ok) return;
  const { error } = started;
  fail(daemon.isUsageError(error) ? exitCode.usageError : exitCode.failure, daemon.describeError(error));
}

/** The result of a tool, or null when there is none of that name. */
async function runTool(name: string, args: string[], flags: ToolFlags): Promise<ToolResult | null> {
  switch (name) {
    case 'check':
      return (await import('./tools/check.js')).checkTool.run(args, flags);
    case 'status':
      return (await import('./tools/status.js')).statusTool.run(args, flags);
    case 'config':
      return (await import('./tools/config.js')).configTool.run(args, flags);
    case 'rollout':
      return (await import('./tools/rollout.js')).rolloutTool.run(args, flags);
    case 'log':
      return (await import('./tools/log-inspect.js')).inspectTool.run(args, flags);
    case 'simulate':
      return (await import('./tools/simulate/simulate-tool.js')).simulateTool.run(args, flags);
    case 'import':
      return (await import('./tools/import.js')).importTool.run(args, flags);
    default:
      return null;
  }
}

async function main(): Promise<void> {
  const [name, ...args] = cli.input;
  const command = name === 'site' ? 'router' : name;
  if (command === undefined) fail(exitCode.usageError, cli.help);
  if (command === 'router' || command === 'coordinator') return runDaemon(command, args);
  const result = await runTool(command, args, cli.flags);
  if (!result) fail(exitCode.usageError, `unknown command: ${command}; see milletcleat --help`);
  if (result.stdout) process.stdout.write(`${result.stdout}\n`);
  if (result.stderr) process.stderr.write(`${result.stderr}\n`);
  process.exitCode = result.exitCode;
}

await main();
