/** The tools as a user calls them: each on good input, on broken input, and against a running system. */
import { strict as assert } from 'node:assert';
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, test } from 'node:test';
import { fleetStandin, model, type Fleet } from './standins/fleet.js';

let fleet: Fleet;
let folder: string;

/** How a call of the command line ended. */
type Run = { status: number | null; out: string; err: string };

function cli(...args: string[]): Promise<Run> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, ['target/milletcleat.mjs', ...args]);
    const run: Run = { status: null, out: '', err: '' };
    child.stdout.on('data', (chunk) => {
      run.out += String(chunk);
    });
    child.stderr.on('data', (chunk) => {
      run.err += String(chunk);
    });
    child.on('close', (status) => {
      resolve({ ...run, status });
    });
  });
}

/** A file of this name in the folder of the tests; the path to it. */
function fileWith(name: string, text: string): string {
  const path = join(folder, name);
  writeFileSync(path, text);
  return path;
}

function assertNoStackTrace({ out, err }: Run): void {
  assert.doesNotMatch(err + out, /^\s+at .*\(.*:\d+:\d+\)/m, 'no stack trace');
}

before(
  async () => {
    folder = mkdtempSync(join(tmpdir(), 'milletcleat-tools-'));
    fleet = await fleetStandin.create(72, 1, 2);
    await fleetStandin.until(
      () => cli('status', '--control', control(1), '--json'),
      ({ status, out }) => status === 0 && (JSON.parse(out) as { role: string }).role === 'leader',
      'a leader',
    );
  },
  { timeout: 60_000 },
);

after(async () => {
  await fleetStandin.stop(fleet);
  rmSync(folder, { recursive: true });
});

/** The control address of the coordinator of this number, from 1. */
function control(number: number): string {
  return `${fleetStandin.ip(fleet.net, number)}:${fleetStandin.ports.control}`;
}

test('rollout start and status against a running system', async () => {
  const first = fileWith('rollout.json', JSON.stringify(fleetStandin.configuration(3)));
  await cli('config', 'put', first, '--control', control(1), '--match', '0');
  const { label } = (fleetStandin.configuration(3) as { service_list: { label: string }[] }).service_list[0]!;
  assert.equal((await cli('rollout', 'status', label, '--control', control(1))).status, 1);
  assert.equal((await cli('rollout', 'start', label, 'v9', '--control', control(2))).status, 2);
  const order = ['rollout', 'start', label, 'v9', '--over', '16', '--control'];
  assert.deepEqual(await cli(...order, control(2)), { status: 0, out: 'accepted\n', err: '' });
  assert.equal((await cli(...order, control(3))).status, 0, 'the same order again is known');
  assert.equal((await cli('rollout', 'start', label, 'v8', '--over', '16', '--control', control(1))).status, 1);
  const shown = await cli('rollout', 'status', label, '--control', control(3));
  assert.match(shown.out, /^v9: rolling, share 0\.00\n {2}0\.0 s {2}share 0\.00 {2}ordered\n$/);
});

test('config put, get, diff and patch against a running system', async () => {
  const first = fileWith('first.json', JSON.stringify(fleetStandin.configuration(3)));
  assert.equal((await cli('config', 'put', first, '--control', control(2))).status, 2);
  assert.deepEqual(await cli('config', 'put', first, '--control', control(2), '--match', '0'), {
    status: 0,
    out: 'taken\n',
    err: '',
  });
  const got = await cli('config', 'get', '--control', control(3));
  assert.deepEqual(JSON.parse(got.out), fleetStandin.configuration(3));
  const next = fleetStandin.configuration(4) as { tenant_list: object[] };
  next.tenant_list.reverse();
  next.tenant_list.push({ label: 't-three', api_keys: ['key-three'] });
  const difference = await cli('config', 'diff', fileWith('next.json', JSON.stringify(next)), '--control', control(1));
  assert.deepEqual(difference.out.trim().split('\n').sort(), [
    '+ tenant_list.t-three: {"label":"t-three","api_keys":["key-three"]}',
    '~ revision: 3 -> 4',
  ]);
  const again = await cli('config', 'put', first, '--control', control(1), '--match', '0');
  assert.equal(again.status, 0, 'the same call again is known');
  const stale = await cli(
    'config',
    'patch',
    fileWith('p.json', '{"revision": 9}'),
    '--control',
    control(1),
    '--match',
    '1',
  );
  assert.equal(stale.status, 1);
  assert.match(stale.err, /another revision is in place/);
  const bad = await cli(
    'config',
    'patch',
    fileWith('q.json', '{"revision": 9, "upserts": {"route_list": [{"label": "x"}]}}'),
    '--control',
    control(1),
    '--match',
    '3',
  );
  assert.equal(bad.status, 1);
  assert.match(bad.err, /not valid; nothing was changed\n {2}route_list\.2\./);
  assert.equal(
    (
      await cli(
        'config',
        'patch',
        fileWith('r.json', '{"revision": 9, "removals": {"route_list": ["once"]}}'),
        '--control',
        control(1),
        '--match',
        '3',
      )
    ).status,
    0,
  );
  for (const run of [stale, bad]) assertNoStackTrace(run);
});

test('status tells the term, the voters, routers and runners', async () => {
  const run = await fleetStandin.until(
    () => cli('status', '--control', control(2)),
    ({ out }) => /edge-1 +9/.test(out) && /i-1/.test(out),
    'the router at revision 9',
  );
  assert.equal(run.status, 0);
  assert.match(run.out, /^term \d+, leader 127/m);
  assert.equal(run.out.match(/#first/g)!.length >= 3, true);
  assert.match(run.out, new RegExp(`i-0 +s-llm .* serving +${model}=1`));
});

test('an unreachable or silent control address gets plain words', async () => {
  const none = await cli('status', '--control', '127.72.0.200:1');
  assert.equal(none.status, 1);
  assert.match(none.err, /^127\.72\.0\.200:1 cannot be reached/);
  assert.equal((await cli('status')).status, 2);
  assert.equal((await cli('status', '--control', 'nonsense')).status, 2);
  assert.equal((await cli('config', 'frobnicate', '--control', control(1))).status, 2);
  assertNoStackTrace(none);
});

test('check finds what is wrong in each kind of file, with its place', async () => {
  assert.equal((await cli('check', 'deploy/system.toml')).status, 0);
  const good = fileWith('good.json', JSON.stringify(fleetStandin.configuration(1)));
  assert.equal((await cli('check', good, '--json')).status, 0);
  const run = await cli(
    'check',
    fileWith(
      'bad.toml',
      'build = "x"\n[roles.a]\nrun = "x"\non = "edge"\nserves = ["edge"]\n[roles.b]\nrun = "x"\non = "edge"\nshare = 2\n',
    ),
    fileWith('torn.toml', 'build = \n'),
    fileWith('bad.json', '{"revision": 0}'),
    fileWith('torn.json', '{"revision": '),
    fileWith('bad.yaml', 'node_name: 3\n'),
    join(folder, 'missing.yaml'),
    folder,
  );
  assert.equal(run.status, 1);
  for (const path of [
    'bad.toml: roles.b.share',
    'torn.toml:1',
    'bad.json: revision',
    'bad.json: route_list',
    'torn.json: ',
    'bad.yaml: node_name',
    'missing.yaml: there is no such file',
  ])
    assert.ok(run.err.includes(path), `${path} in ${run.err}`);
  assertNoStackTrace(run);
  assert.equal((await cli('check')).status, 2);
});

test('log inspect reads a folder, names what is torn, and changes nothing', async () => {
  const dataFolder = fleet.machines[0]!.dataDir;
  await fleetStandin.end(fleet.machines[0]!, 'SIGKILL');
  const names = readdirSync(dataFolder);
  const contents = names.map((name) => readFileSync(join(dataFolder, name)));
  const sound = await cli('log', 'inspect', dataFolder);
  assert.equal(sound.status, 0, sound.err);
  assert.match(sound.out, /configuration 3/);
  assert.match(sound.out, /configuration 9/);
  assert.match(sound.out, /known here to be committed up to \d+/);
  const last = names
    .filter((name) => name.startsWith('segment'))
    .sort((a, b) => Number(a.slice(8)) - Number(b.slice(8)))
    .at(-1)!;
  names.forEach((name, index) => {
    assert.deepEqual(readFileSync(join(dataFolder, name)), contents[index]);
  });
  appendFileSync(join(dataFolder, last), 'torn');
  const torn = await cli('log', 'inspect', dataFolder, '--json');
  assert.equal(torn.status, 1);
  assert.match((JSON.parse(torn.out) as { findings: string[] }).findings[0]!, /torn behind byte/);
  assert.equal((await cli('log', 'inspect', join(folder, 'none'))).status, 1);
  assert.equal((await cli('log', 'inspect', folder)).status, 1);
  assert.equal((await cli('log')).status, 2);
  fleetStandin.boot(fleet, fleet.machines[0]!, false);
});

test('import carries over what it can and lists the rest with its line', async () => {
  const run = await cli('import', 'test/data/traefik.yaml', '--json');
  assert.equal(run.status, 1);
  const { configuration, left } = JSON.parse(run.out) as {
    configuration: Record<string, object[]>;
    left: { place: string; text: string }[];
  };
  assert.deepEqual(configuration.route_list, [
    {
      label: 'shop',
      hostname: 'shop.example',
      path_prefix: '/api/',
      variant: 'non_idempotent',
      deadline_ms: 30000,
      tries: 1,
      public: true,
      branches: [
        { target: 'one', share: 3 },
        { target: 'two', share: 1 },
      ],
    },
  ]);
  assert.deepEqual(configuration.service_list, [
    { label: 'one', health_path: '/up' },
    { label: 'two', health_path: '/health' },
  ]);
  assert.deepEqual(
    left.map(({ place }) => Number(place.split(':')[1])).sort((a, b) => a - b),
    [6, 7, 10, 13, 19, 23, 31],
  );
  const complete = fileWith(
    'complete.yaml',
    'http:\n  routers:\n    a: { rule: "Host(`a.example`)", service: s }\n  services:\n    s: { loadBalancer: {} }\n',
  );
  assert.equal((await cli('import', complete)).status, 0);
  assert.equal((await cli('import', fileWith('empty.yaml', ''))).status, 1);
  const torn = await cli('import', fileWith('torn.yaml', 'http: [\n'));
  assert.equal(torn.status, 1);
  assert.match(torn.err, /torn\.yaml:\d+: /);
  assertNoStackTrace(torn);
});

test('simulate gives the same output for the same seed, and findings for a bad file', async () => {
  const small = readFileSync('examples/fleet.yaml', 'utf8')
    .replace('seconds: 30', 'seconds: 6')
    .replace(/at_s: \d+/g, 'at_s: 2');
  const good = fileWith('fleet.yaml', small);
  const [first, again, otherSeed] = await Promise.all([
    cli('simulate', good, '--change', 'a zone less'),
    cli('simulate', good, '--change', 'a zone less'),
    cli('simulate', fileWith('other.yaml', small.replace('seed: 7', 'seed: 8'))),
  ]);
  assert.equal(first.status, 0, first.err);
  assert.equal(first.out, again.out);
  assert.notEqual(first.out.split('\n')[1], otherSeed.out.split('\n')[1]);
  assert.match(first.out, /a zone less/);
  const bad = await cli(
    'simulate',
    fileWith(
      'bad-fleet.yaml',
      small.replace('read_tokens_per_ms: 50', 'read_tokens_per_ms: fast').replace('coordinators: 3', 'coordinators: 0'),
    ),
  );
  assert.equal(bad.status, 1);
  assert.match(bad.err, /bad-fleet\.yaml: coordinators: /);
  assert.match(bad.err, /bad-fleet\.yaml: runner\.read_tokens_per_ms: /);
  const none = await cli('simulate', fileWith('none.yaml', small.replace(/per_s: \d+/g, 'per_s: 0')));
  assert.match(none.err, /traffic: there is no traffic/);
  const unknown = await cli('simulate', good, '--change', 'nothing');
  assert.match(unknown.err, /no change named nothing/);
  for (const run of [bad, none, unknown]) {
    assert.equal(run.status, 1);
    assertNoStackTrace(run);
  }
});

test('help and version are there, usage errors end with 2', async () => {
  assert.match((await cli('nothing')).err, /^unknown command: nothing; see milletcleat --help\n$/);
  assert.match((await cli('router', 'x')).err, /^router takes no arguments, but was given: x\n$/);
  assert.match((await cli('--help')).out, /milletcleat simulate FILE/);
  assert.match((await cli('--version')).out, /^\d+\.\d+\.\d+/);
  for (const args of [
    [],
    ['nothing'],
    ['status', 'x'],
    ['simulate'],
    ['import'],
    ['router', 'x'],
    ['site', 'x'],
    ['status', '--nonsense'],
  ])
    assert.equal((await cli(...args)).status, 2, args.join(' '));
});
