// A sound model runner on a loopback address, as the users' pages describe one: it keeps the parts of prompts under
// their salt, tells of them, takes orders for new weights, and streams events. It records what it ran.
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

/** How long a part takes to be read, per 1,000 tokens, and between two events, in ms. */
const readMsPerThousand = 16;
const eventGapMs = 20;

/**
 * `isUnframed`: its answers have no length and end with their connection. `onHalfEvent`, if given, is called with the
 * attempt when half of the event `halfEvent` has been written; the rest comes once what it returns has resolved.
 * `resetAfter`, if given, says of a request behind how many pieces its answer is broken off by a reset, or null.
 * Answers below `/plain/` are plain text, all others are streams of events.
 */
export function createRunner({
  id,
  host,
  port,
  service,
  zone,
  model,
  slots = 24,
  isUnframed = false,
  halfEvent = null,
  onHalfEvent = null,
  resetAfter = null,
}) {
  const runner = {
    id,
    service,
    zone,
    model,
    address: `${host}:${port}`,
    revision: 1,
    slots,
    active: 0,
    draining: false,
    fence: 0,
    callSeq: 0,
    isBusy: false,
    /** By salt and id: the part, and the request that made it. */
    memory: new Map(),
    events: [],
    nextEvent: 1,
    waiting: new Set(),
    ran: [],
    orders: [],
    /** By address: the other runners, from which parts are fetched. */
    others: new Map(),
    eventCount: 6,
    isUnframed,
    halfEvent,
    onHalfEvent,
    resetAfter,
  };
  runner.server = createServer((request, response) => {
    handle(runner, request, response).catch(() => response.destroy());
  });
  runner.start = () => new Promise((resolve) => runner.server.listen(port, host, resolve));
  runner.stop = () => {
    runner.server.closeAllConnections();
    runner.server.close();
  };
  runner.listed = () => ({
    instance_id: id,
    target: service,
    address: runner.address,
    zone_name: zone,
    revision: 'v1',
    slot_count: slots,
    condition: runner.draining ? 'draining' : 'serving',
    cold_left_ms: 0,
    phase: 'whole',
    model_list: [{ label: model, revision: runner.revision, adapter_list: [] }],
  });
  return runner;
}

async function readBody(request) {
  let body = '';
  for await (const chunk of request) body += String(chunk);
  return body;
}

function json(response, status, value) {
  response.writeHead(status, { 'Content-Type': 'application/json' });
  response.end(JSON.stringify(value));
}

async function handle(runner, request, response) {
  const body = await readBody(request);
  const [path, query] = request.url.split('?');
  if (path === '/v1/report')
    return json(response, 200, {
      phase: 'whole',
      model_list: runner.listed().model_list,
      is_busy: runner.isBusy,
      call_seq: runner.callSeq,
      queued: 0,
      active: runner.active,
      kv_used_tokens: 0,
      kv_total_tokens: 149454,
      handle_list: 0,
    });
  if (path === '/v1/order') return takeOrder(runner, request, response, JSON.parse(body));
  if (path === '/v1/kv-events') return tellEvents(runner, request, response, query);
  if (path === '/v1/kv-list') {
    const held = [...runner.memory.values()].map(({ salt, part, tokens }) => [salt, part, tokens, runner.model]);
    return json(response, 200, { epoch_no: 1, next_token: runner.nextEvent, is_held: held });
  }
  if (path === '/health') {
    response.writeHead(200, { 'X-Instance': runner.id });
    return response.end();
  }
  return run(runner, request, response, body);
}

function takeOrder(runner, request, response, order) {
  runner.orders.push(order);
  if (request.headers['x-expect-instance'] !== undefined && request.headers['x-expect-instance'] !== runner.id)
    return json(response, 421, {});
  if (order.fence_no < runner.fence) return json(response, 412, {});
  runner.fence = order.fence_no;
  if (order.revision <= runner.revision) return json(response, 200, {});
  runner.callSeq++;
  runner.revision = order.revision;
  runner.memory.clear();
  return json(response, 202, {});
}

async function tellEvents(runner, request, response, query) {
  const since = Number(/since_at=(\d+)/.exec(query ?? '')?.[1] ?? 0);
  if (runner.nextEvent <= since || runner.nextEvent === 1) {
    let wake;
    const woken = new Promise((resolve) => (wake = resolve));
    runner.waiting.add(wake);
    await Promise.race([woken, sleep(Math.min(1000, Number(request.headers['wait-ms'] ?? 0)))]);
    runner.waiting.delete(wake);
  }
  json(response, 200, {
    epoch_no: 1,
    next_token: runner.nextEvent,
    is_lost: false,
    event_list: runner.events.filter(([number]) => number >= since),
  });
}

function keep(runner, salt, part, tokens, madeBy) {
  runner.memory.set(`${salt} ${part}`, { salt, part, tokens, ...madeBy });
  runner.events.push([runner.nextEvent++, '+', salt, part, tokens, runner.model]);
  for (const wake of runner.waiting) wake();
}

/** Finds the parts of the prompt that are kept under the salt, reads the others, and tells whose memory was used. */
async function readPrompt(runner, salt, headers, madeBy) {
  const used = [];
  let hasGap = false;
  const source = runner.others.get(headers['x-kv-fetch-from']);
  for (const item of (headers['x-prompt-prefix'] ?? '').split(',').filter(Boolean)) {
    const [part, tokens] = [item.split(':')[0], Number(item.split(':')[1])];
    const key = `${salt} ${part}`;
    const kept = hasGap ? undefined : (runner.memory.get(key) ?? source?.memory.get(key));
    if (kept) {
      used.push({ part, tokens, by: kept.attempt, tenant: kept.tenant });
      if (!runner.memory.has(key)) keep(runner, salt, part, tokens, { attempt: kept.attempt, tenant: kept.tenant });
      continue;
    }
    hasGap = true;
    await sleep((tokens / 1000) * readMsPerThousand);
    keep(runner, salt, part, tokens, madeBy);
  }
  return used;
}

async function run(runner, request, response, body) {
  const { headers } = request;
  const attempt = headers['x-attempt-id'];
  const refuse = (status, more) => {
    response.writeHead(status, { 'X-Attempt-Id': attempt ?? '', 'Content-Length': 0, ...more });
    response.end();
  };
  if (attempt === undefined) return refuse(400, { 'X-Not-Run': '1' });
  if (headers['x-expect-instance'] !== undefined && headers['x-expect-instance'] !== runner.id)
    return refuse(421, { 'X-Instance': runner.id });
  if (headers['x-expect-version'] !== undefined && Number(headers['x-expect-version']) !== runner.revision)
    return refuse(421, { 'X-Instance': runner.id });
  if (runner.active >= runner.slots) return refuse(503, { 'X-Not-Run': '1' });
  runner.active++;
  const salt = headers['x-cache-salt'] ?? '';
  const entry = { attempt, tenant: headers['x-tenant'], path: request.url, body, salt, used: [] };
  runner.ran.push(entry);
  const isPlain = request.url.startsWith('/plain/');
  const resetAfter = runner.resetAfter?.(entry) ?? null;
  try {
    entry.used = await readPrompt(runner, salt, headers, { attempt, tenant: entry.tenant });
    if (runner.isUnframed) response.removeHeader('Transfer-Encoding');
    response.writeHead(200, {
      ...(runner.isUnframed ? { Connection: 'close' } : {}),
      'Content-Type': isPlain ? 'text/plain' : 'text/event-stream',
      'X-Attempt-Id': attempt,
      'X-Server-Seal': `seal.${runner.id}.${attempt}`,
      'X-Weight-Versions': String(runner.revision),
    });
    for (let event = Number(headers['last-event-id'] ?? 0) + 1; event <= runner.eventCount; event++) {
      if (response.destroyed) return;
      const text = isPlain ? `line ${event}\n` : `id: ${event}\ndata: piece ${event}\n\n`;
      const half = event === runner.halfEvent && runner.onHalfEvent ? text.length / 2 : 0;
      if (half > 0) {
        response.write(text.slice(0, half));
        await runner.onHalfEvent(attempt);
      }
      response.write(text.slice(half));
      await sleep(eventGapMs);
      if (event === resetAfter) {
        await sleep(50);
        response.socket.resetAndDestroy();
        return;
      }
    }
    response.end();
  } finally {
    runner.active--;
  }
}
