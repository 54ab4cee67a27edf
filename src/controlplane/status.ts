/**
 * The status of the system as a coordinator reports it: the leader's view when the leader answers, else
 * its own, marked as such by `role`.
 */
import { stateSync } from '../coordination/state-sync/state-sync.js';
import type { StatusReply } from '../protocol/rpc/status.js';
import { stateSyncServer, type LeaderSync } from './state-sync.js';
import { rpcClient } from './rpc-client.js';
import type { Coordinator } from './coordinator-context.js';
import { weightsProgress } from './weights-progress.js';

/** How long the leader is waited for. */
const leaderTimeoutMs = 600;

function routerStatuses(coordinator: Coordinator, now: number): StatusReply['routers'] {
  const { own, peers } = coordinator.sessions;
  const peerSessions = coordinator.group.isLeader() ? [...peers.values()].flatMap((peer) => peer.sessions) : [];
  const sessionByName = new Map(
    [...peerSessions, ...own.values()].map((session) => [session.routerName, session] as const),
  );
  return [...sessionByName.values()].map((session) => ({
    router: session.routerName,
    revision: session.revision,
    seenMs: Math.round(now - session.seenAt),
  }));
}

function runnerStatuses(coordinator: Coordinator, sync: LeaderSync | null): StatusReply['runners'] {
  return (coordinator.endpoints.runners ?? []).map((runner) => ({
    id: runner.id,
    service: runner.service,
    addr: runner.addr,
    zone: runner.zone,
    draining: runner.draining,
    paused: runner.paused,
    models: runner.models,
    behindMs: weightsProgress.behindMs(coordinator, runner),
    unhealthyRouters: sync ? stateSync.suspectingRouterCount(sync, runner.id) : null,
    outlierState: sync ? (sync.outliers.hosts.get(runner.id)?.state ?? 'admitted') : null,
  }));
}

function hotBlocks(sync: LeaderSync): StatusReply['hotBlocks'] {
  return [...sync.hotSet.history.items.values()].map(({ value }) => ({
    prefixBlock: value.prefix,
    share: value.share,
    tokens: value.tokens,
  }));
}

/** The status as this coordinator sees it; health and hot blocks are known to the leader only. */
function local(coordinator: Coordinator): StatusReply {
  const now = coordinator.runtime.clock.now();
  const state = coordinator.group.state();
  const sync = coordinator.group.isLeader() ? stateSyncServer.state(coordinator) : null;
  return {
    node: coordinator.settings.node_name,
    ...coordinator.group.status(now),
    hasLeaderContact: coordinator.group.hasLeaderContact(),
    isActingLeader: coordinator.group.isSoleLeader(coordinator.settings.bound_set.lease_ms),
    rpcs: coordinator.rpcCounters,
    configuration: state.configuration?.revision ?? 0,
    weights: state.weights,
    rules: { active: state.accessRules.activeRules, pending: state.accessRules.pendingRevision },
    routers: routerStatuses(coordinator, now),
    runners: runnerStatuses(coordinator, sync),
    hotBlocks: sync && hotBlocks(sync),
  };
}

/** The leader's status, or this coordinator's own where the leader does not answer in time. */
async function query(coordinator: Coordinator): Promise<StatusReply> {
  const leader = coordinator.group.leaderAddress();
  if (leader === null || leader === coordinator.group.ownAddress()) return local(coordinator);
  const reply = await rpcClient.getStatus(coordinator, leader, leaderTimeoutMs);
  return reply.ok ? reply.value : local(coordinator);
}

export const status = { local, query };
