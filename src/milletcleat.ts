// The one command line of the system. Daemons are started with their program's name; the settings
// file is the one the platform names, or the one given. Usage errors end with 2, findings with 1.
import meow from 'meow';
import { findings } from './protocol/findings.js';
import { settings } from './protocol/settings/check.js';
import { tuning } from './protocol/settings/tuning.js';
import { ringLog } from './logging/ring.js';
import { coordinatorProgram } from './programs/coordinator.js';
import { siteProgram } from './programs/site.js';

const cli = meow(`
  Usage
    $ milletcleat site          carries the traffic of clients to runners
    $ milletcleat coordinator   keeps the control state and brings it to all

  Options
    --settings FILE      the settings file (default: the path in MILLETCLEAT_NODE_FILE)
    --epsilon E          allowed error of the hot set, 0 < E <= PHI (default ${tuning.defaults.epsilon})
    --phi PHI            share of requests from which a part is hot (default ${tuning.defaults.phi})
    --moved-tokens N     parts from this size on are tracked and moved (default ${tuning.defaults.movedTokens})
    --no-hot-set         extra copies without regard to the hot set: none are made
    --order-method M     await, truncate or retain (default ${tuning.defaults.orderMethod})
    --order-share S      share of a service's runners under order at once (default ${tuning.defaults.orderShare})
    --help, --version
`, { importMeta: import.meta, allowUnknownFlags: false, flags: tuning.flags });

function fail(status: number, text: string): never {
  process.stderr.write(`${text}\n`);
  process.exit(status);
}

async function daemon(part: 'site' | 'coordinator'): Promise<void> {
  const path = cli.flags.settings ?? process.env.MILLETCLEAT_NODE_FILE;
  if (!path) fail(2, 'no settings file: give --settings or set MILLETCLEAT_NODE_FILE');
  const tuned = tuning.check(cli.flags);
  if (!tuned.ok) fail(2, findings.text(tuned.trouble));
  const read = settings.read(path, part);
  if (!read.ok) fail(1, `${path}:\n${findings.text(read.trouble)}`);
  const log = ringLog.create(part, read.value.node_name);
  process.on('uncaughtException', function bad(err) {
    ringLog.trouble(log, { why: err.stack }, 'ending');
    process.exit(1);
  });
  process.on('SIGUSR2', function show() { ringLog.flush(log); });
  process.on('SIGHUP', function reread() {
    const again = settings.read(path, part);
    if (again.ok) Object.assign(read.value, again.value);
    else ringLog.trouble(log, { findings: again.trouble }, 'the changed settings are not taken');
  });
  try {
    await (part === 'site' ? siteProgram : coordinatorProgram).start(read.value, log, tuned.value);
  } catch (err) {
    ringLog.trouble(log, { why: (err as Error).stack }, 'could not start');
    process.exit(1);
  }
}

const [command, ...more] = cli.input;
if (more.length > 0) fail(2, `unexpected: ${more.join(' ')}`);
switch (command) {
  case 'site':
  case 'coordinator':
    await daemon(command);
    break;
  default:
    fail(2, command === undefined ? cli.help : `there is no command ${command}; see --help`);
}
