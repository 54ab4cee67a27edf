/**
 * A router in this process, over loopback, between one client and scripted runners: the k-th call that
 * arrives at any runner under an attempt id takes the k-th step of that id's script, byte for byte. Nothing of
 * the control side runs; the router is given its table and its runners by hand.
 */
import { request, type IncomingHttpHeaders, type Server } from 'node:http';
import { createServer, type Server as TcpServer, type Socket } from 'node:net';
import { runnerEndpoint } from '../../src/state/runners/endpoint.js';
import { clientServer } from '../../src/dataplane/client-server.js';
import { routers, type Router } from '../../src/dataplane/router.js';
import { ringLog } from '../../src/logging/ring.js';
import { tuning } from '../../src/protocol/settings/tuning.js';
import { routeTable } from '../../src/state/control/route-table.js';
import { endpointPool } from '../../src/state/runners/endpoint-pool.js';
import type { Configuration, Route, Settings } from '../../src/types.js';
import { events, head, steps, type Call, type ScriptStep } from './script-steps.js';

export type { Call, ScriptStep } from './script-steps.js';

/** What the client got: `isWhole` is false when the connection ended before the answer did. */
export type ClientResult = { status: number; headers: IncomingHttpHeaders; body: string; isWhole: boolean };

export type RouterWorld = {
  net: number;
  router: Router;
  server: Server;
  runners: TcpServer[];
  sockets: Set<Socket>;
  connections: number;
  scripts: Map<string, ScriptStep[]>;
  calls: Call[];
};

/** The model whose weights the runners are listed with, at revision 1. */
const model = 'm';
const runnerPort = 7000;
const frontPort = 7001;
const headEnd = '\r\n\r\n';
const deadlineMs = 10_000;

/**
 * Runners and router share this process, so that a stall of it may pass for a runner that does not respond: both targets are
 * far above the stalls of a slow machine. The shorter one is for the test that waits for a retry.
 */
const patientTargetMs = deadlineMs;
const impatientTargetMs = 1500;

function route(label: string, over: Partial<Route>): Route {
  return {
    label,
    hostname: 'a.example',
    path_prefix: `/${label}/`,
    variant: 'idempotent',
    deadline_ms: deadlineMs,
    target_ms: patientTargetMs,
    target: 'pool',
    tries: 3,
    ...over,
  };
}

const document: Configuration = {
  revision: 1,
  route_list: [
    route('repeat', {}),
    route('impatient', { target_ms: impatientTargetMs }),
    route('once', { variant: 'non_idempotent' }),
    route('resume', { variant: 'streaming', resumable: true }),
    route('stream', { variant: 'streaming' }),
  ],
  service_list: [{ label: 'pool', max_conns: 90, engine_kind: { slot_count: 8, kv_capacity: 100_000 } }],
};
const table = routeTable.build(document);

function settings(): Settings {
  return {
    node_name: 'edge-1',
    zone_name: 'z',
    zones: { z: 'r' },
    bound_set: { retry_window_s: 10, retry_ratio: 0.2, retry_slack: 1000, version_ms: 8000 },
  } as unknown as Settings;
}

function headerOf(head: string, name: string): string | undefined {
  return new RegExp(`^${name}: *([^\\r]*)`, 'im').exec(head)?.[1];
}

function readCall(world: RouterWorld, runner: string, socket: Socket): void {
  const connection = ++world.connections;
  let order = 0;
  let buffered = '';
  world.sockets.add(socket);
  socket.setNoDelay(true);
  socket.on('error', () => {
    /* told by close */
  });
  socket.on('data', (bytes) => {
    buffered += bytes.toString('latin1');
    for (;;) {
      const headLength = buffered.indexOf(headEnd);
      if (headLength < 0) return;
      const head = buffered.slice(0, headLength);
      const end = headLength + headEnd.length + Number(headerOf(head, 'content-length') ?? 0);
      if (buffered.length < end) return;
      const [method, path] = head.split(' ') as [string, string];
      const call: Call = {
        attemptId: headerOf(head, 'x-attempt-id') ?? '',
        runner,
        method,
        path,
        body: buffered.slice(headLength + headEnd.length, end),
        lastEventId: headerOf(head, 'last-event-id'),
        tenant: headerOf(head, 'x-tenant'),
        head,
        connection,
        order: order++,
      };
      buffered = buffered.slice(end);
      const earlier = world.calls.filter((other) => other.attemptId === call.attemptId).length;
      world.calls.push(call);
      (world.scripts.get(call.attemptId)?.[earlier] ?? steps.whole('fine'))(call, socket);
    }
  });
}

function listen(server: TcpServer | Server, host: string, port: number): Promise<void> {
  return new Promise((done) => {
    server.listen(port, host, done);
  });
}

/** What a runner does with a new connection. */
export type AcceptConnection = (world: RouterWorld, runner: string, socket: Socket) => void;

/** Starts a router at 127.78.`net`.1 and `count` runners behind it. */
async function create(net: number, count: number, accept: AcceptConnection = readCall): Promise<RouterWorld> {
  const router = routers.create(settings(), ringLog.create('test', 'edge-1'), tuning.defaults);
  const world: RouterWorld = {
    net,
    router,
    server: clientServer.create(router),
    runners: [],
    sockets: new Set(),
    connections: 0,
    scripts: new Map(),
    calls: [],
  };
  const list = [];
  for (let n = 0; n < count; n++) {
    const host = `127.78.${net}.${10 + n}`;
    const id = `runner-${n}`;
    const runner = createServer((socket) => {
      accept(world, id, socket);
    });
    await listen(runner, host, runnerPort);
    world.runners.push(runner);
    list.push({
      id,
      service: 'pool',
      addr: `${host}:${runnerPort}`,
      zone: 'z',
      slotCount: 8,
      draining: false,
      paused: false,
      models: [{ label: model, revision: 1 }],
    });
  }
  router.configuration = { document, routeTable: table };
  router.weights.revisions = { [model]: 1 };
  router.endpointsSnapshot = { term: 1, seq: 1, runners: list, routerCount: 1 };
  endpointPool.applyList(router.endpointPool, list);
  endpointPool.limitConnections(router.endpointPool, table, 1);
  await listen(world.server, `127.78.${net}.1`, frontPort);
  return world;
}

async function stop(world: RouterWorld): Promise<void> {
  for (const slot of world.router.endpointPool.byId.values()) slot.connections.agent.destroy();
  for (const socket of world.sockets) socket.destroy();
  world.server.closeAllConnections();
  await Promise.all(
    [world.server, ...world.runners].map(
      (server) =>
        new Promise((done) => {
          server.close(done);
        }),
    ),
  );
}

/** What earlier requests met is forgotten, so that each finds all runners healthy. */
function heal(world: RouterWorld): void {
  for (const slot of world.router.endpointPool.byId.values())
    runnerEndpoint.transitionTo(slot, 'healthy', performance.now());
}

/** Sends one request of the client on a new connection and waits for its end, whichever that is. */
function send(
  world: RouterWorld,
  path: string,
  attemptId: string,
  script: ScriptStep[],
  headers: Record<string, string> = {},
  body = 'body',
): Promise<ClientResult> {
  heal(world);
  world.scripts.set(attemptId, script);
  return new Promise((done) => {
    const got: ClientResult = { status: 0, headers: {}, body: '', isWhole: false };
    const call = request({
      host: `127.78.${world.net}.1`,
      port: frontPort,
      agent: false,
      method: 'POST',
      path,
      headers: { Host: 'a.example', 'X-Attempt-Id': attemptId, 'Content-Length': String(body.length), ...headers },
    });
    call.on('response', (answer) => {
      got.status = answer.statusCode ?? 0;
      got.headers = answer.headers;
      answer.on('data', (bytes) => {
        got.body += String(bytes);
      });
      answer.on('error', () => {
        /* told by close */
      });
      answer.on('close', () => {
        got.isWhole = answer.complete;
        done(got);
      });
    });
    call.on('error', () => {
      if (got.status === 0) done(got);
    });
    // Not as text: Node would then encode the head in UTF-8 too.
    call.end(Buffer.from(body));
  });
}

/** The calls that arrived at runners under an attempt id. */
function callsOf(world: RouterWorld, attemptId: string): Call[] {
  return world.calls.filter((call) => call.attemptId === attemptId);
}

/** Whether the client can see that the answer is incomplete. */
function isIncomplete(result: ClientResult): boolean {
  return result.status === 0 || !result.isWhole;
}

export const routerStandin = { create, stop, send, callsOf, isIncomplete, steps, events, head, model, frontPort };
