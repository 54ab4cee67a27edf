/**
 * The state that the modules of a coordinator share: settings, the replica group, the external APIs and the soft state.
 * State that several modules need is here only. Time and RPCs come from `runtime`, so that the simulated world
 * runs the same modules.
 */
import type { Agent } from 'node:http';
import type { Log } from '../logging/ring.js';
import type { LeaderProgress } from '../protocol/rpc/endpoints.js';
import type { StatusReply } from '../protocol/rpc/status.js';
import type { RunnerListError } from '../coordination/singletons/runner-listing.js';
import type { ExternalCallError } from '../protocol/calls/external-calls.js';
import type { RevisionOrder, RevisionOrderResult, RunnerReport } from '../protocol/calls/runner-calls.js';
import type { Runtime } from '../runtime.js';
import { callerLimits } from '../runtime/caller-limits.js';
import { resourceBudget, type ResourceBudget } from '../runtime/resource-budget.js';
import { endpointsSnapshots } from '../state/endpoints-snapshot.js';
import { endpointsHistory, type EndpointsHistory } from '../state/history/endpoints-history.js';
import { configurationHistory, type ConfigurationHistory } from '../state/history/configuration-history.js';
import { OrderAdmission } from './order-admission.js';
import type { ReplicationProgress } from './endpoints-replication.js';
import { pendingWatches, type PendingWatches } from './pending-watches.js';
import { runnerDiscovery, type RunnerDiscovery } from './runner-discovery.js';
import { stateSyncServer, type StateSyncServer } from './state-sync.js';
import type { ReplicaGroup } from './replica-group.js';
import { routerSessions, type RouterSessions } from './router-sessions.js';
import { versionRollouts, type VersionRollouts } from './version-rollouts.js';
import { weightsProgress, type WeightsProgress } from './weights-progress.js';
import type { EndpointsSnapshot, Result, Runner, Settings, Tuning } from '../types.js';

/** The APIs that are not part of the system: the platform's and the runners'. */
export type ExternalApis = {
  listRunners: () => Promise<Result<Runner[], RunnerListError>>;
  sendOrder: (
    address: string,
    order: RevisionOrder,
    timeoutMs: number,
  ) => Promise<Result<RevisionOrderResult, ExternalCallError>>;
  getRunnerReport: (address: string, timeoutMs: number) => Promise<Result<RunnerReport, ExternalCallError>>;
};

/** All that the modules of one coordinator share. */
export type Coordinator = {
  settings: Settings;
  log: Log;
  group: ReplicaGroup;
  runtime: Runtime;
  externalApis: ExternalApis;
  /** Persistent connections for the long polls of the runners' cache events. */
  agent: Agent;
  /** The newest snapshot, the leader's own or as the leader published it, and the updates that lead to it. */
  endpoints: EndpointsSnapshot;
  endpointsHistory: EndpointsHistory;
  /** The revisions that were in force here lately, for updates of the configuration. */
  configurations: ConfigurationHistory;
  /** Of a leader: what it knows of the other coordinators' snapshots. */
  replicationProgress: ReplicationProgress;
  /** The routers that watch this coordinator, and at a leader those that the other ones reported. */
  sessions: RouterSessions;
  /**
   * This coordinator's responses to the leader: the last one's number, when each was sent, and the time of
   * the newest that the leader acknowledged, in ms of the steady clock.
   */
  responsesToLeader: { lastNumber: number; sentAt: Map<number, number>; acknowledgedSentAt: number };
  /** How far the leader said that it has applied the log; see `freshness.ts`. */
  leaderProgress: LeaderProgress;
  /** What became of the RPCs sent and received, by kind; live. */
  rpcCounters: StatusReply['rpcs'];
  /** Watches that are held open. */
  pendingWatches: PendingWatches;
  stateSync: StateSyncServer;
  discovery: RunnerDiscovery;
  /** When weights were named, and which runners lack them. */
  weightsProgress: WeightsProgress;
  /** The roll-outs of versions: since when, and what their judges have seen. */
  versionRollouts: VersionRollouts;
  /** Set on SIGTERM: no new orders are accepted and routers are sent to other members. */
  isStopping: boolean;
  /** The operator's orders in progress here. */
  orderAdmission: OrderAdmission;
  /** What the operator's calls may hold together. */
  orderBudget: ResourceBudget;
  tuning: Tuning;
};

/** What is passed to a coordinator: the replica group, time and network, and the external APIs. */
export type CoordinatorEnvironment = Pick<Coordinator, 'group' | 'runtime' | 'externalApis' | 'agent'>;

/** A coordinator that has not started yet. */
function create(settings: Settings, log: Log, tuning: Tuning, environment: CoordinatorEnvironment): Coordinator {
  return {
    ...environment,
    settings,
    log,
    endpoints: endpointsSnapshots.empty(),
    endpointsHistory: endpointsHistory.create(),
    configurations: configurationHistory.create(),
    replicationProgress: new Map(),
    sessions: routerSessions.create(),
    responsesToLeader: { lastNumber: 0, sentAt: new Map(), acknowledgedSentAt: -Infinity },
    leaderProgress: { term: 0, revision: 0, weightsSeq: 0, rulesSeq: 0, rolloutsSeq: 0 },
    rpcCounters: { sent: {}, received: {} },
    pendingWatches: pendingWatches.create(),
    stateSync: stateSyncServer.create(),
    discovery: runnerDiscovery.create(),
    weightsProgress: weightsProgress.create(),
    versionRollouts: versionRollouts.create(),
    isStopping: false,
    orderAdmission: new OrderAdmission(),
    orderBudget: resourceBudget.create(callerLimits.forMachine(settings.limits ?? {}).orderBytes),
    tuning,
  };
}

export const coordinatorContext = { create };
