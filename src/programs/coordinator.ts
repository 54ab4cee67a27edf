/**
 * The coordinator program: a member of the group that replicates the control state, the operator's HTTP
 * server, and the RPC server for routers and other coordinators. It opens the replica, listens, starts the
 * services, and on SIGTERM shuts down gracefully.
 */
import type { Server } from 'node:http';
import { coordinatorContext, type Coordinator } from '../controlplane/coordinator-context.js';
import { freshness } from '../controlplane/freshness.js';
import { operatorServer } from '../controlplane/operator-server.js';
import { httpApis } from '../controlplane/external-apis.js';
import { replicaGroup } from '../controlplane/replica-group.js';
import { services } from '../controlplane/services.js';
import { shutdown } from '../controlplane/shutdown.js';
import { replica, type Replica } from '../coordination/consensus/replica.js';
import { ringLog, type Log } from '../logging/ring.js';
import type { Runtime } from '../runtime.js';
import { httpClient } from '../transport/http/client.js';
import { files } from '../transport/files.js';
import { rpcServer, type RpcServer } from '../transport/rpc/server.js';
import type { Settings, Tuning } from '../types.js';
import { machineRuntime } from './runtime.js';
import { settingsReload } from './settings-reload.js';

/** Makes the data folder where it is missing and reads it; throws where either fails, which ends the process. */
async function openReplica(settings: Settings, log: Log, runtime: Runtime): Promise<Replica> {
  const dataDir = settings.data_dir!;
  const prepared = await files.createFolder(dataDir);
  if (!prepared.ok)
    throw new Error(`the data folder cannot be made: ${prepared.error.message}`, { cause: prepared.error });
  const opened = await replica.open({ settings, log, runtime, folder: prepared.value });
  if (opened.ok) return opened.value;
  const { cause } = opened.error;
  throw new Error(`the data folder cannot be read: ${cause.message}`, { cause });
}

/** The server for the calls of routers and other coordinators, whose faults and failures are logged. */
function listenRpc(coordinator: Coordinator, member: Replica, incarnation: string): Promise<RpcServer> {
  const handlers = [replicaGroup.consensusHandler(member), ...services.rpcHandlers(coordinator)];
  return rpcServer.listen(coordinator.settings.ip_addr, coordinator.settings.port_range[0], handlers, {
    incarnation,
    onFault: (fault) => {
      ringLog.note(coordinator.log, 'rpc_rejected', fault);
    },
    onFailure: (path, error) => {
      ringLog.error(coordinator.log, 'rpc_handler_failed', { path, stack: error.stack });
    },
  });
}

function listenForOperators(coordinator: Coordinator): Promise<Server> {
  const server = operatorServer.create(coordinator);
  const { host, port } = httpClient.splitAddress(coordinator.settings.bind_addrs.control_addr!);
  return new Promise((resolve, reject) => {
    // The listener stays: a failed accept later on is an error event too, and no reason to end.
    server.on('error', reject);
    server.listen(port, host, () => {
      resolve(server);
    });
  });
}

/** Shuts down gracefully, as long as that takes, and ends the process. */
async function stop(coordinator: Coordinator, server: Server): Promise<void> {
  await shutdown.stop(coordinator);
  server.close();
  server.closeIdleConnections();
  process.exit(0);
}

/**
 * Starts the program; rejects where the disk or an address can't be had. `reread` reads the settings file again, in
 * place.
 */
async function start(settings: Settings, log: Log, tuning: Tuning, reread: () => void): Promise<void> {
  const runtime = machineRuntime.create();
  const member = await openReplica(settings, log, runtime);
  const agent = httpClient.createAgent();
  const coordinator = coordinatorContext.create(settings, log, tuning, {
    group: replicaGroup.fromReplica(member),
    runtime,
    externalApis: httpApis.create(agent, () => settings.cloud_api.address),
    agent,
  });
  const rpcListener = await listenRpc(coordinator, member, runtime.network.incarnation);
  coordinator.rpcCounters = { sent: runtime.network.counters, received: rpcListener.counters };
  const operatorListener = await listenForOperators(coordinator);
  services.start(coordinator);
  replica.start(member);
  settingsReload.start(coordinator.runtime.clock, () => freshness.hasLeader(coordinator), reread);
  process.on('SIGTERM', () => {
    if (!coordinator.isStopping) void stop(coordinator, operatorListener);
  });
}

export const coordinatorProgram = { start };
