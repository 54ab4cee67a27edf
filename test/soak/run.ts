/**
 * The soak: the programs as processes on the real clock, under drawn trouble, judged by what clients, runners, platform and
 * operator saw. Exits with 1 if a rule was broken.
 */
import { mkdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import meow from 'meow';
import { checkHistory } from './checker/check.js';
import type { Violation } from './checker/violation.js';
import type { History } from './history.js';
import { playSchedule } from './play.js';
import { requestTrace, soakReport } from './report.js';
import { soakSchedules, type SoakSchedule } from './schedule.js';

const cli = meow(
  `
  Usage
    $ npm run soak -- [options]

  Options
    --seed N           first seed (default: 1)
    --seeds N          how many seeds are played one after another (default: 1)
    --seconds S        how long each is under trouble (default: 30)
    --coordinators C   (default: 3)
    --routers R        (default: 3)
    --runners M        (default: 6)
    --clients N        (default: 4 for each router)
    --rest MS          the longest pause of a client between two requests (default: 200)
    --broken SHARE     share of the runners' answers that break off (default: 0.05)
    --net N            hosts are 127.N.x.y (default: 100 and more, by the seed)
    --from FILE        plays the schedule in FILE
    --until-found      ends with the first seed that fails
    --shrink PLAYS     plays a failing schedule up to PLAYS times more, with entries left out
    --out FOLDER       where schedules, histories and reports of failing seeds go (default: target/soak)
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      seeds: { type: 'number', default: 1 },
      seconds: { type: 'number', default: 30 },
      coordinators: { type: 'number', default: 3 },
      routers: { type: 'number', default: 3 },
      runners: { type: 'number', default: 6 },
      clients: { type: 'number', default: 0 },
      rest: { type: 'number', default: 200 },
      broken: { type: 'number', default: 0.05 },
      net: { type: 'number', default: 0 },
      from: { type: 'string', default: '' },
      untilFound: { type: 'boolean', default: false },
      shrink: { type: 'number', default: 0 },
      out: { type: 'string', default: 'target/soak' },
    },
  },
);
const { flags } = cli;

const clientsPerRouter = 4;
const firstNet = 100;
const netCount = 100;
const interruptedCode = 130;

type Outcome = { history: History; violations: Violation[] };

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

async function play(schedule: SoakSchedule): Promise<Outcome> {
  const history = await playSchedule(schedule, {
    net: flags.net > 0 ? flags.net : firstNet + (schedule.seed % netCount),
    clients: flags.clients > 0 ? flags.clients : schedule.size.routers * clientsPerRouter,
    mostRestMs: flags.rest,
    brokenShare: flags.broken,
  });
  return { history, violations: checkHistory(history) };
}

/** The id of the request that a violation names, if it names one. */
function requestOf({ text }: Violation): string | null {
  return /\bq[0-9a-z]+-[0-9a-z]+\b/.exec(text)?.[0] ?? null;
}

function keep(schedule: SoakSchedule, { history, violations }: Outcome): void {
  mkdirSync(flags.out, { recursive: true });
  const name = join(flags.out, `seed-${schedule.seed}`);
  const traces = violations.slice(0, 5).map((violation) => {
    const id = requestOf(violation);
    return `${violation.rule} ${violation.text}\n${id === null ? '' : requestTrace(history, id)}\n`;
  });
  writeFileSync(`${name}.schedule.json`, soakSchedules.format(schedule));
  writeFileSync(`${name}.history.jsonl`, history.events.map((event) => JSON.stringify(event)).join('\n'));
  writeFileSync(`${name}.txt`, `${soakReport(history, violations)}\n\n${traces.join('\n')}`);
  print(`kept in ${name}.*`);
}

async function runSeed(schedule: SoakSchedule): Promise<boolean> {
  print(soakSchedules.format(schedule));
  const outcome = await play(schedule);
  print(`seed ${schedule.seed}`);
  print(soakReport(outcome.history, outcome.violations));
  if (outcome.violations.length === 0) return true;
  keep(schedule, outcome);
  if (flags.shrink > 0) {
    const { rule } = outcome.violations[0]!;
    const fails = async (candidate: SoakSchedule): Promise<boolean> =>
      (await play(candidate)).violations.some((violation) => violation.rule === rule);
    print(`made smaller:\n${soakSchedules.format(await soakSchedules.shrink(schedule, fails, flags.shrink))}`);
  }
  return false;
}

function scheduleOf(seed: number): SoakSchedule {
  const { seconds, coordinators, routers, runners } = flags;
  return soakSchedules.draw(seed, { seconds, coordinators, routers, runners });
}

const schedules =
  flags.from === ''
    ? Array.from({ length: flags.seeds }, (_, index) => scheduleOf(flags.seed + index))
    : [soakSchedules.parse(readFileSync(flags.from, 'utf8'))];
const failed: number[] = [];
for (const signal of ['SIGINT', 'SIGTERM'] as const) process.on(signal, () => process.exit(interruptedCode));
let played = 0;
for (const schedule of schedules) {
  played++;
  if (!(await runSeed(schedule))) failed.push(schedule.seed);
  if (flags.untilFound && failed.length > 0) break;
}
print(`${played - failed.length} of ${played} seeds without a broken rule`);
if (failed.length > 0) print(`failed: ${failed.join(' ')}`);
// Not by itself: Node 20 may wait for ever for the handles of sockets that were reset when it ends.
process.exit(failed.length > 0 ? 1 : 0);
