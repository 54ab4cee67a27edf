/**
 * The program of the data plane: the HTTP server for clients, an answer to the platform's readiness probe, and a
 * session with the control plane. It has no disk and starts with nothing known.
 */
import { createServer, type Server } from 'node:http';
import { replica } from '../coordination/consensus/replica.js';
import { clientServer } from '../dataplane/client-server.js';
import { stateSyncClient } from '../dataplane/state-sync.js';
import { configWatcher, type ConfigWatcher } from '../dataplane/config-watcher.js';
import { gracefulShutdown } from '../dataplane/graceful-shutdown.js';
import { routers, type Router } from '../dataplane/router.js';
import { silenceSweep } from '../dataplane/silence-sweep.js';
import type { Log } from '../logging/ring.js';
import { callerLimits } from '../runtime/caller-limits.js';
import { hash } from '../state/rendezvous-hash.js';
import { connectionLimit } from '../transport/http/connection-limit.js';
import { httpClient } from '../transport/http/client.js';
import { httpResponse } from '../transport/http/response.js';
import type { Settings, Tuning } from '../types.js';
import { machineRuntime, type MachineRuntime } from './runtime.js';
import { settingsReload } from './settings-reload.js';

/** The control plane counts as reached for so long after a coordinator's last answer, in ms. */
const inContactMs = 1500;

/** Connections that the system holds until they are accepted: all clients may turn to one router at once. */
const listenBacklog = 1024;

const readyPath = '/v1/ready';

function listen(server: Server, address: string): Promise<void> {
  const { host, port } = httpClient.splitAddress(address);
  return new Promise((resolve, reject) => {
    server.on('error', reject);
    server.listen({ host, port, backlog: listenBacklog }, resolve);
  });
}

function readinessServer(router: Router): Server {
  const server = createServer((request, response) => {
    const status = request.url !== readyPath ? 404 : routers.isReady(router) ? 200 : 503;
    httpResponse.send(response, httpResponse.text(status));
  });
  connectionLimit.apply(server, callerLimits.forMachine(router.settings.limits ?? {}).probeConnections);
  return server;
}

/** Routers begin with different coordinators, so that not all turn to one. */
function createWatcher(settings: Settings, runtime: MachineRuntime): ConfigWatcher {
  const seeds = (): string[] => settings.seed_addrs.map((seed) => replica.rpcAddress(seed, settings.port_range[0]));
  const first = Math.floor(hash.toUnitInterval(settings.node_name) * settings.seed_addrs.length);
  return configWatcher.create({ incarnation: runtime.network.incarnation, runtime, seedAddresses: seeds }, first);
}

/** Rejects when an address can't be listened on. `reread` reads the settings file again, in place. */
async function start(settings: Settings, log: Log, tuning: Tuning, reread: () => void): Promise<void> {
  const router = routers.create(settings, log, tuning);
  await listen(readinessServer(router), settings.bind_addrs.ready_probe!);
  const runtime = machineRuntime.create();
  const watcher = createWatcher(settings, runtime);
  const server = clientServer.create(router);
  router.events.on('configuration', () => clientServer.applyLimits(router, server));
  await listen(server, settings.bind_addrs.front_addr!);
  void configWatcher.run(router, watcher);
  settingsReload.start(runtime.clock, () => runtime.clock.now() - watcher.lastUpToDateAt < inContactMs, reread);
  void stateSyncClient.run(router, watcher);
  silenceSweep.start(router);
  const exit = (): never => process.exit(0);
  const stopWatching = (): void => {
    watcher.isStopped = true;
  };
  process.on('SIGTERM', () => void gracefulShutdown.run(router, { server, stopWatching, exit }));
}

export const routerProgram = { start };
