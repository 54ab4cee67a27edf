/**
 * A whole system over loopback: the real programs, each with its own address in 127.0.0.0/8 and its own settings file,
 * with stand-ins for the platform and the runners.
 */
import { mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import type { Agent } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { StatusReply } from '../../src/protocol/rpc/status.js';
import {
  configuration,
  coordinatorHosts,
  firstRunnerHost,
  ip,
  model,
  platformHost,
  ports,
  routerHostBase,
  settingsOf,
  storeHost,
  type NodeLimits,
} from './fleet-settings.js';
import { sendRequest, type HttpResult } from './http-request.js';
import { machineProcess, type Machine, type NodePlace } from './machine.js';
import { platformStandin, type PlatformStandin } from './platform.js';
import { runnerStandin, type RunnerStandin } from './runner.js';

export { model } from './fleet-settings.js';

export type { Machine } from './machine.js';

/** A running system. All its files are below `dir`; its hosts are 127.`net`.0.x. */
export type Fleet = {
  dir: string;
  net: number;
  machines: Machine[];
  platform: PlatformStandin;
  runners: RunnerStandin[];
  store: RunnerStandin;
  limits: NodeLimits;
};

/** Far longer than anything that is waited for takes, also on a slow machine. */
const untilTimeoutMs = 60_000;

function startRunner(net: number, hostNumber: number, id: string, service: string): Promise<RunnerStandin> {
  return runnerStandin.start({ id, host: ip(net, hostNumber), port: ports.runner, service, zone: 'z1', model });
}

/** Starts three coordinators, the routers, the runners with their store, and the platform. */
async function create(net: number, routerCount: number, runnerCount: number, limits: NodeLimits = {}): Promise<Fleet> {
  const dir = mkdtempSync(join(tmpdir(), 'milletcleat-fleet-'));
  const runners: RunnerStandin[] = [];
  for (let index = 0; index < runnerCount; index++)
    runners.push(await startRunner(net, firstRunnerHost + index, `i-${index}`, 's-llm'));
  const store = await startRunner(net, storeHost, 'store', 's-store');
  for (const runner of runners) runner.store = store;
  const platform = await platformStandin.start(ip(net, platformHost), ports.platform, runners);
  const fleet: Fleet = { dir, net, machines: [], store, platform, runners, limits };
  for (const hostNumber of coordinatorHosts) addMachine(fleet, `core-${hostNumber}`, hostNumber, 'coordinator');
  for (let number = 1; number <= routerCount; number++)
    addMachine(fleet, `edge-${number}`, routerHostBase + number, 'router');
  for (const machine of fleet.machines) boot(fleet, machine, true);
  return fleet;
}

function addMachine(fleet: Fleet, name: string, hostNumber: number, program: NodePlace['program']): void {
  const dir = join(fleet.dir, name);
  mkdirSync(dir);
  fleet.machines.push({
    name,
    ip: ip(fleet.net, hostNumber),
    program,
    child: null,
    settingsFile: join(fleet.dir, `${name}.yaml`),
    dataDir: join(dir, 'data'),
    errors: '',
  });
}

/** Starts the program of a machine. */
function boot(fleet: Fleet, machine: Machine, isFirstStart: boolean): void {
  machineProcess.boot(machine, settingsOf(fleet.net, machine, isFirstStart, fleet.limits));
}

/** Kills all programs, closes the stand-ins and removes the files. */
async function stop(fleet: Fleet): Promise<void> {
  await Promise.all(fleet.machines.map((machine) => machineProcess.end(machine, 'SIGKILL')));
  await Promise.all([...fleet.runners, fleet.store].map(runnerStandin.stop));
  await new Promise((resolve) => {
    fleet.platform.server.close(resolve);
    fleet.platform.server.closeAllConnections();
  });
  rmSync(fleet.dir, { recursive: true });
}

function encodeBody(body: unknown): string {
  if (typeof body === 'string') return body;
  return body === null ? '' : JSON.stringify(body);
}

/**
 * A call to the operator API of the n-th coordinator, counted from 1. A string is sent as it is, null as no body,
 * anything else as JSON; `baseRevision` goes into `If-Match`.
 */
function operator(
  fleet: Fleet,
  coordinator: number,
  method: string,
  path: string,
  body: unknown,
  baseRevision?: number,
): Promise<HttpResult> {
  const headers: Record<string, string> = baseRevision === undefined ? {} : { 'If-Match': String(baseRevision) };
  return sendRequest(ip(fleet.net, coordinator), ports.control, method, path, headers, encodeBody(body));
}

/** A client's request to the n-th router, counted from 1. */
function client(
  fleet: Fleet,
  router: number,
  headers: Record<string, string>,
  path = '/gen/x',
  body = 'prompt',
  host = 'a.example',
  agent: Agent | false = false,
): Promise<HttpResult> {
  const address = ip(fleet.net, routerHostBase + router);
  return sendRequest(address, ports.client, 'POST', path, { Host: host, ...headers }, body, agent);
}

/** The status that the n-th coordinator reports. */
async function status(fleet: Fleet, coordinator: number): Promise<StatusReply> {
  return JSON.parse((await operator(fleet, coordinator, 'GET', '/v1/status', null)).body) as StatusReply;
}

/** The readiness probe of the n-th router. */
function ready(fleet: Fleet, router: number): Promise<HttpResult> {
  return sendRequest(ip(fleet.net, routerHostBase + router), ports.ready, 'GET', '/v1/ready', {}, '');
}

/** Asks again and again, each time over a real connection, until the condition holds; throws after the time-out. */
async function until<T>(
  ask: () => Promise<T>,
  isAsExpected: (value: T) => boolean,
  description: string,
  timeoutMs = untilTimeoutMs,
): Promise<T> {
  const deadline = performance.now() + timeoutMs;
  for (;;) {
    const value = await ask();
    if (isAsExpected(value)) return value;
    if (performance.now() > deadline) throw new Error(`never came: ${description}; last ${JSON.stringify(value)}`);
    await new Promise(setImmediate);
  }
}

/** The fleet of the loopback tests. */
export const fleetStandin = {
  create,
  stop,
  boot,
  end: machineProcess.end,
  operator,
  client,
  status,
  ready,
  until,
  configuration,
  ip,
  ports,
};
