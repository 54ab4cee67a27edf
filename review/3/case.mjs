// WALL: a tenant becomes isolated; requests of other tenants go on using the memory that its requests made before.
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { bounds, call, hasTrouble, order, readBack, runCase, startFleet, untilReady } from '../fleet.mjs';
import { createRunner } from '../runner.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const model = 'daka510000';
const service = 'huvo11a';
const promptCount = 12;

const route = {
  label: 'r-ruling',
  hostname: 'ficu95.example',
  path_prefix: '/ruling/',
  variant: 'streaming',
  deadline_ms: 6000,
  target_ms: 600,
  rank: 1,
  target: service,
  tries: 1,
  public: false,
  pinned: true,
  resumable: false,
  gap_target_ms: 250,
};
const league = { label: 'cafe-league', api_keys: ['3d3zji9n73hh2b9wu3fe'] };
const open = { label: 'national-open', api_keys: ['xd9dnn2ctnfzs989anu6'] };
const configuration = {
  revision: 1,
  route_list: [route],
  service_list: [
    {
      label: service,
      health_path: '/health',
      max_conns: 210,
      protocol: 'h1',
      uses_tls: false,
      engine_kind: {
        slot_count: 24,
        kv_capacity: 149454,
        token_bytes: 163840,
        link_mbps: 1100000,
        max_in_flight: 24,
        model_list: [{ label: model }],
      },
    },
  ],
  limits: { header_bytes: 16384, body_bytes: 4194304, header_ms: 3000, idle_ms: 15000 },
  tenant_list: [league, open],
};

/** The prompt of number `index`: a shared part that is alike for all tenants, and one of the request's own. */
function prompt(index, own) {
  return `5c1e07a${index.toString(16)}:13300,${own}${index.toString(16)}:400`;
}

await runCase(folder, async (record, onEnd) => {
  const runners = [];
  const fleet = await startFleet({ routers: 2, list: () => runners.map((runner) => runner.listed()) });
  onEnd(fleet.stop);
  for (const host of [50, 51]) {
    const runner = createRunner({
      id: `i-${host}`,
      host: fleet.ip(host),
      port: fleet.ports.runner,
      service,
      zone: 'nasr-hall',
      model,
    });
    await runner.start();
    runners.push(runner);
    onEnd(runner.stop);
  }
  for (const runner of runners) runner.others = new Map(runners.map((other) => [other.address, other]));
  const taken = await order(fleet, 'PUT', configuration, 0);
  record(`PUT revision 1, both tenants not isolated: ${taken.status}`);
  await untilReady(fleet);

  let count = 0;
  async function ask(tenant, index, own) {
    const attempt = `${own}-${String(count++)}`;
    const headers = {
      Host: route.hostname,
      'X-Attempt-Id': attempt,
      'X-Model': model,
      'X-Token-Counts': '13700,6',
      'X-Prompt-Prefix': prompt(index, own),
      'X-Time-Left-Ms': '6000',
      'X-Api-Key': tenant.api_keys[0],
    };
    const answer = await call(fleet.front(1 + (count % 2)), 'POST', '/ruling/x', headers, 'prompt');
    record(`${tenant.label} sends ${attempt}: ${answer.status}, complete ${answer.complete}`);
    return attempt;
  }

  for (let index = 0; index < promptCount; index++) await ask(league, index, 'aa');

  if (hasTrouble) {
    const change = { revision: 2, upserts: { tenant_list: [{ ...league, isolated: true }] } };
    const changed = await order(fleet, 'PATCH', change, 1);
    record(`PATCH revision 2, ${league.label} isolated: ${changed.status}`);
    if (changed.status !== 200) throw new Error('the change was not acknowledged');
  }
  await sleep(bounds.apply_ms + 1000);
  const inForce = await readBack(fleet);
  const isolated = inForce.tenant_list.filter((tenant) => tenant.isolated === true).map(({ label }) => label);
  record(`in force: revision ${inForce.revision}, isolated: ${isolated.join(', ') || 'none'}`);

  const later = new Set();
  for (let index = 0; index < promptCount; index++) later.add(await ask(open, index, 'bb'));

  let broken = 0;
  for (const runner of runners) {
    for (const { attempt, tenant, salt, used } of runner.ran) {
      record(`${runner.id} ran ${attempt} of ${tenant} under salt "${salt}"; used ${JSON.stringify(used)}`);
      if (!later.has(attempt)) continue;
      for (const memory of used)
        if (memory.tenant !== tenant && (isolated.includes(memory.tenant) || isolated.includes(tenant))) broken++;
    }
  }
  const ran = runners.reduce((sum, runner) => sum + runner.ran.length, 0);
  if (ran !== 2 * promptCount) throw new Error(`only ${String(ran)} requests ran`);
  record(`memory of another tenant used, one of the two isolated: ${String(broken)} times`);
  return broken === 0;
});
