/** The services of a coordinator: the RPCs that it answers, and what runs on its clock while its replica runs. */
import { stateSyncMethod } from '../protocol/rpc/state-sync.js';
import { operatorMethod } from '../protocol/rpc/operator.js';
import { publishEndpointsMethod } from '../protocol/rpc/endpoints.js';
import { rpc } from '../protocol/rpc/rpc-method.js';
import type { RpcHandler } from '../transport/rpc/rpc-handler.js';
import { statusMethod } from '../protocol/rpc/status.js';
import { watchMethod } from '../protocol/rpc/watch.js';
import { configurationHistory } from '../state/history/configuration-history.js';
import { accessActivation } from './access-activation.js';
import type { Coordinator } from './coordinator-context.js';
import { endpointsReplication } from './endpoints-replication.js';
import { pendingWatches } from './pending-watches.js';
import { stateSyncServer } from './state-sync.js';
import { prefixCachePoller } from './prefix-cache-poller.js';
import { operator } from './operator.js';
import { weightsLoading } from './weights-loading.js';
import { runnerDiscovery } from './runner-discovery.js';
import { status } from './status.js';
import { watchServer } from './watch-server.js';
import { versionRollouts } from './version-rollouts.js';
import { weightsProgress } from './weights-progress.js';

/** The handlers of all RPCs but those of the consensus, each of which checks its request first. */
function rpcHandlers(coordinator: Coordinator): RpcHandler[] {
  return [
    rpc.handler(publishEndpointsMethod, (request) => endpointsReplication.acceptPublication(coordinator, request)),
    rpc.handler(watchMethod, (request) => watchServer.handle(coordinator, request)),
    rpc.handler(stateSyncMethod, (request) => stateSyncServer.handle(coordinator, request)),
    rpc.handler(statusMethod, () => status.local(coordinator)),
    rpc.handler(operatorMethod, (request) => operator.handleAsLeader(coordinator, request)),
  ];
}

/** Starts what brings the configuration and the runners to the routers. */
function startDistribution(coordinator: Coordinator): void {
  coordinator.group.onApplied(() => {
    const { configuration } = coordinator.group.state();
    if (configuration) configurationHistory.record(coordinator.configurations, configuration);
    pendingWatches.respondToDue(coordinator.pendingWatches);
  });
  weightsProgress.start(coordinator);
  runnerDiscovery.start(coordinator);
  endpointsReplication.start(coordinator);
  watchServer.start(coordinator);
}

/** Starts all services; those of the leader do nothing while this coordinator does not lead. */
function start(coordinator: Coordinator): void {
  startDistribution(coordinator);
  weightsLoading.start(coordinator);
  versionRollouts.start(coordinator);
  stateSyncServer.start(coordinator);
  accessActivation.start(coordinator);
  prefixCachePoller.start(coordinator);
}

export const services = { rpcHandlers, startDistribution, start };
