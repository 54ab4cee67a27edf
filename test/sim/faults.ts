/**
 * What happens to the machines, disks and links of the simulated world, and the moments at which it
 * happens on purpose. Disks are lost only as far as the tolerance of the deployment allows; losses of
 * power and kills with the disks kept, freezes, cuts and the rest come in any number.
 */
import { raftLog } from '../../src/coordination/consensus/raft-log.js';
import { luck } from '../support/random.js';
import { catchUpMs, simulatedCluster, type Cluster, type CoreMachine } from './cluster.js';
import { disk } from './disk.js';
import { machines } from './machine.js';
import { simulatedNetwork, type Conditions } from './network.js';
import { simulatedTime } from './scheduler.js';

/** Whom a fault strikes. A number counts the machines that stand at that time. */
export type Target = 'leader' | 'follower' | 'learner' | number;

export type Fault =
  | { kind: 'kill'; target: Target; forMs: number }
  | { kind: 'power'; target: Target; forMs: number }
  | { kind: 'kill_all'; forMs: number }
  | { kind: 'power_all'; forMs: number }
  | { kind: 'power_some'; forMs: number }
  | { kind: 'wipe'; target: Target; forMs: number }
  | { kind: 'wipe_and_power_all'; target: Target; forMs: number }
  /** The members with these numbers lose their disks at once. */
  | { kind: 'wipe_set'; members: number[]; forMs: number }
  /** The members with these numbers lose their disks; all other machines, routers among them, lose power. */
  | { kind: 'wipe_set_and_power_all'; members: number[]; forMs: number }
  | { kind: 'freeze'; target: Target; forMs: number }
  | { kind: 'slow'; target: Target; forMs: number; eventMs: number }
  | { kind: 'cut'; target: Target; forMs: number; direction: 'both' | 'in' | 'out'; reaches: 'core' | 'all' }
  | { kind: 'cut_pair'; target: Target; forMs: number }
  | { kind: 'network'; forMs: number; conditions: Partial<Conditions> }
  | { kind: 'squeeze'; target: Target; forMs: number; megabits: number }
  | { kind: 'disk'; target: Target; forMs: number; trouble: 'full' | 'slow' | 'hang' | 'failed_sync' }
  | { kind: 'replay'; target: Target; count: number }
  | { kind: 'replace'; target: Target; isPlanned: boolean; forMs: number }
  | { kind: 'terminate'; target: Target; forMs: number }
  /** Every machine is replaced as planned, one after the other. */
  | { kind: 'turnover'; everyMs: number }
  | { kind: 'restart_router'; number: number }
  | { kind: 'platform_silent'; forMs: number };

/** When a fault strikes: at once, or at the next occasion of the given kind. */
export type Moment =
  | 'now'
  | 'snapshot_under_way'
  | 'joint_membership'
  | 'after_election'
  | 'before_first_commit'
  | 'order_under_way'
  | 'learner_fed'
  | 'handing_over'
  | 'after_acknowledgement';

/** A disk that is lost, and since when its machine is back. */
type DiskLoss = { backAt: number };

export type FaultState = {
  /** Whether disks may be lost before the machines have run for `catchUpMs`; the pages count machines as lost until then. */
  mayStrikeAtStart: boolean;
  diskLosses: DiskLoss[];
  troubleUntil: number;
  turnoverUntil: number;
  struck: Map<string, number>;
  /** How often each moment was met. */
  moments: Map<string, number>;
  skipped: number;
  acknowledgedBefore: number;
  electionsBefore: number;
};

const graceMs = 8000;
const slowDiskFactor = 40;
const momentPatienceMs = 2500;
const replacementLeadMs = 1500;

function createState(): FaultState {
  return {
    mayStrikeAtStart: false,
    diskLosses: [],
    troubleUntil: 0,
    turnoverUntil: 0,
    struck: new Map(),
    moments: new Map(),
    skipped: 0,
    acknowledgedBefore: 0,
    electionsBefore: 0,
  };
}

function standing(cluster: Cluster): CoreMachine[] {
  return cluster.core.filter((core) => !core.isRemoved);
}

function resolve(cluster: Cluster, target: Target): CoreMachine | null {
  const all = standing(cluster);
  if (typeof target === 'number') return all[target % all.length] ?? null;
  const leader = simulatedCluster.leader(cluster);
  if (target === 'leader') return leader ?? luck.pick(cluster.luck, all);
  const learners = simulatedCluster
    .running(cluster)
    .filter((core) => core.process!.replica.consensus.role === 'learner');
  const others = all.filter((core) => core !== leader);
  const candidates = target === 'learner' && learners.length > 0 ? learners : others;
  return candidates.length > 0 ? luck.pick(cluster.luck, candidates) : null;
}

function later(cluster: Cluster, ms: number, label: string, run: () => void): void {
  simulatedTime.after(cluster.scheduler, ms, label, run);
}

function trouble(cluster: Cluster, state: FaultState, forMs: number): void {
  state.troubleUntil = Math.max(state.troubleUntil, cluster.scheduler.now + forMs);
}

/** Whether one more disk may be lost; losses that the group has had time to make good no longer count. */
function mayLoseDisk(cluster: Cluster, state: FaultState): boolean {
  const { now } = cluster.scheduler;
  state.diskLosses = state.diskLosses.filter((loss) => now < Math.max(loss.backAt, state.troubleUntil) + catchUpMs);
  const isStarting = now < catchUpMs && !state.mayStrikeAtStart;
  return !isStarting && state.diskLosses.length < simulatedCluster.tolerated(cluster);
}

function noteDiskLoss(cluster: Cluster, state: FaultState, backInMs: number): void {
  state.diskLosses.push({ backAt: cluster.scheduler.now + backInMs });
}

function restart(cluster: Cluster, core: CoreMachine, inMs: number): void {
  later(cluster, inMs, `${core.name} starts`, () => {
    simulatedCluster.startCore(cluster, core);
  });
}

function end(cluster: Cluster, core: CoreMachine, how: 'kill' | 'power' | 'wipe', forMs: number): void {
  if (core.machine.status !== 'running') return;
  simulatedCluster.endCore(cluster, core, how);
  restart(cluster, core, forMs);
}

function wipe(cluster: Cluster, state: FaultState, target: Target, forMs: number): boolean {
  const core = resolve(cluster, target);
  if (core === null || core.machine.status !== 'running' || !mayLoseDisk(cluster, state)) return false;
  noteDiskLoss(cluster, state, forMs);
  end(cluster, core, 'wipe', forMs);
  return true;
}

function cut(cluster: Cluster, core: CoreMachine, fault: Fault & { kind: 'cut' }): void {
  const { network } = cluster;
  const others = [...network.endpoints.keys()].filter((address) => {
    const isCore = cluster.core.some((one) => one.address === address);
    return address !== core.address && (fault.reaches === 'all' || isCore);
  });
  for (const other of others) {
    if (fault.direction !== 'in') simulatedNetwork.cut(network, core.address, other);
    if (fault.direction !== 'out') simulatedNetwork.cut(network, other, core.address);
  }
  later(cluster, fault.forMs, `${core.name} is joined`, () => {
    for (const other of others) {
      simulatedNetwork.heal(network, core.address, other);
      simulatedNetwork.heal(network, other, core.address);
    }
    cluster.fleet.recentTroubleAt = cluster.scheduler.now;
  });
}

function cutPair(cluster: Cluster, core: CoreMachine, forMs: number): void {
  const others = standing(cluster).filter((one) => one !== core);
  if (others.length === 0) return;
  const other = luck.pick(cluster.luck, others);
  simulatedNetwork.cut(cluster.network, core.address, other.address);
  later(cluster, forMs, 'a pair is joined', () => {
    simulatedNetwork.heal(cluster.network, core.address, other.address);
  });
}

function changeNetwork(cluster: Cluster, conditions: Partial<Conditions>, forMs: number): void {
  const { network } = cluster;
  network.conditions = { ...network.conditions, ...conditions };
  later(cluster, forMs, 'the network is calm', () => {
    network.conditions = { ...simulatedNetwork.calm };
  });
}

function squeeze(cluster: Cluster, core: CoreMachine, megabits: number, forMs: number): void {
  const { uplink, downlink } = core.endpoint;
  const before = uplink.bytesPerMs;
  uplink.bytesPerMs = megabits * 125;
  downlink.bytesPerMs = megabits * 125;
  later(cluster, forMs, `${core.name} has its link again`, () => {
    uplink.bytesPerMs = before;
    downlink.bytesPerMs = before;
  });
}

function troubleDisk(cluster: Cluster, core: CoreMachine, fault: Fault & { kind: 'disk' }): void {
  const { now } = cluster.scheduler;
  if (fault.trouble === 'hang') return disk.hangUntil(core.disk, now + fault.forMs);
  if (fault.trouble === 'failed_sync') return disk.failNextSync(core.disk, 1);
  if (fault.trouble === 'full') disk.setFull(core.disk, true);
  else disk.setSlow(core.disk, slowDiskFactor);
  later(cluster, fault.forMs, `${core.name} has its disk again`, () => {
    disk.setFull(core.disk, false);
    disk.setSlow(core.disk, 1);
  });
}

/** A stop by SIGTERM: the process hands over, ends by itself or at the end of its grace. */
function terminate(cluster: Cluster, core: CoreMachine, then: () => void): void {
  const { process, machine } = core;
  if (process === null) return;
  const { life } = machine;
  let isOver = false;
  function ended(): void {
    if (isOver || !machines.isAlive(machine, life)) return;
    isOver = true;
    simulatedCluster.endCore(cluster, core, 'kill');
    then();
  }
  void process.terminate().then(ended);
  later(cluster, graceMs, `${core.name} has had its grace`, ended);
}

function remove(cluster: Cluster, core: CoreMachine): void {
  simulatedCluster.endCore(cluster, core, 'wipe');
  core.isRemoved = true;
}

/** A new machine at a new address takes the place of another; planned: first the new one, then SIGTERM. */
function replace(cluster: Cluster, state: FaultState, fault: Fault & { kind: 'replace' }): boolean {
  const core = resolve(cluster, fault.target);
  if (core === null || core.process === null || !mayLoseDisk(cluster, state)) return false;
  const seeds = simulatedCluster.drawSeeds(cluster);
  const successor = simulatedCluster.addCore(cluster, simulatedCluster.nextHost(cluster), seeds, false);
  if (!fault.isPlanned) {
    noteDiskLoss(cluster, state, fault.forMs);
    trouble(cluster, state, fault.forMs);
    remove(cluster, core);
    restart(cluster, successor, fault.forMs);
    return true;
  }
  noteDiskLoss(cluster, state, replacementLeadMs + graceMs);
  trouble(cluster, state, replacementLeadMs + graceMs);
  simulatedCluster.startCore(cluster, successor);
  later(cluster, replacementLeadMs, `${core.name} is to stop`, () => {
    if (core.process === null) return remove(cluster, core);
    terminate(cluster, core, () => remove(cluster, core));
  });
  return true;
}

function turnover(cluster: Cluster, state: FaultState, everyMs: number): void {
  state.turnoverUntil = cluster.scheduler.now + standing(cluster).length * everyMs;
  standing(cluster).forEach((core, place) => {
    later(cluster, place * everyMs, `${core.name} is to be replaced`, () => {
      const target = standing(cluster).indexOf(core);
      if (target >= 0) replace(cluster, state, { kind: 'replace', target, isPlanned: true, forMs: 0 });
    });
  });
}

function strikeTarget(cluster: Cluster, state: FaultState, fault: Fault & { target: Target }): boolean {
  const core = resolve(cluster, fault.target);
  if (core === null || core.machine.status !== 'running') return false;
  switch (fault.kind) {
    case 'kill':
    case 'power':
      trouble(cluster, state, fault.forMs);
      end(cluster, core, fault.kind, fault.forMs);
      return true;
    case 'freeze':
      trouble(cluster, state, fault.forMs);
      machines.freeze(core.machine, cluster.scheduler.now + fault.forMs);
      later(cluster, fault.forMs, `${core.name} is thawed`, () => {
        cluster.fleet.recentTroubleAt = cluster.scheduler.now;
      });
      return true;
    case 'slow':
      trouble(cluster, state, fault.forMs);
      core.machine.slowMs = fault.eventMs;
      later(cluster, fault.forMs, `${core.name} is fast again`, () => {
        core.machine.slowMs = 0;
      });
      return true;
    case 'cut':
      trouble(cluster, state, fault.forMs);
      cut(cluster, core, fault);
      return true;
    case 'cut_pair':
      trouble(cluster, state, fault.forMs);
      cutPair(cluster, core, fault.forMs);
      return true;
    case 'squeeze':
      trouble(cluster, state, fault.forMs);
      squeeze(cluster, core, fault.megabits, fault.forMs);
      return true;
    case 'disk':
      trouble(cluster, state, fault.forMs);
      troubleDisk(cluster, core, fault);
      return true;
    case 'replay':
      simulatedNetwork.replay(cluster.network, core.address, fault.count);
      return true;
    case 'terminate':
      trouble(cluster, state, graceMs + fault.forMs);
      terminate(cluster, core, () => restart(cluster, core, fault.forMs));
      return true;
    default:
      return false;
  }
}

function all(cluster: Cluster, state: FaultState, how: 'kill' | 'power', forMs: number, share: number): void {
  trouble(cluster, state, forMs);
  for (const core of standing(cluster))
    if (luck.next(cluster.luck) < share) end(cluster, core, how, forMs + luck.next(cluster.luck) * 300);
}

/** Routers have no disk: for them a loss of power is a restart of which the others hear nothing. */
function powerRouters(cluster: Cluster, forMs: number): void {
  for (const router of cluster.routers) {
    simulatedCluster.endRouter(cluster, router, 'silent');
    later(cluster, forMs, `${router.name} starts`, () => simulatedCluster.startRouter(cluster, router));
  }
}

/** Strikes only where the tolerance allows all of the losses. */
function wipeSet(cluster: Cluster, state: FaultState, members: number[], forMs: number): boolean {
  if (members.length > simulatedCluster.tolerated(cluster)) return false;
  return members.every((member) => wipe(cluster, state, member, forMs));
}

function wipeSetAndPowerAll(
  cluster: Cluster,
  state: FaultState,
  { members, forMs }: Fault & { kind: 'wipe_set_and_power_all' },
): boolean {
  if (!wipeSet(cluster, state, members, forMs)) return false;
  all(cluster, state, 'power', forMs, 1);
  powerRouters(cluster, forMs);
  return true;
}

function strikeUncounted(cluster: Cluster, state: FaultState, fault: Fault): boolean {
  switch (fault.kind) {
    case 'kill_all':
      all(cluster, state, 'kill', fault.forMs, 1);
      return true;
    case 'power_all':
      all(cluster, state, 'power', fault.forMs, 1);
      return true;
    case 'power_some':
      all(cluster, state, 'power', fault.forMs, 0.6);
      return true;
    case 'wipe':
      if (!wipe(cluster, state, fault.target, fault.forMs)) return false;
      trouble(cluster, state, fault.forMs);
      return true;
    case 'wipe_and_power_all':
      if (!wipe(cluster, state, fault.target, fault.forMs)) return false;
      all(cluster, state, 'power', fault.forMs, 1);
      return true;
    case 'wipe_set':
      if (!wipeSet(cluster, state, fault.members, fault.forMs)) return false;
      trouble(cluster, state, fault.forMs);
      return true;
    case 'wipe_set_and_power_all':
      return wipeSetAndPowerAll(cluster, state, fault);
    case 'replace':
      return replace(cluster, state, fault);
    case 'turnover':
      turnover(cluster, state, fault.everyMs);
      return true;
    case 'network':
      trouble(cluster, state, fault.forMs);
      changeNetwork(cluster, fault.conditions, fault.forMs);
      return true;
    case 'restart_router': {
      const router = cluster.routers[fault.number % Math.max(1, cluster.routers.length)];
      if (!router) return false;
      simulatedCluster.endRouter(cluster, router);
      later(cluster, 200, `${router.name} starts`, () => simulatedCluster.startRouter(cluster, router));
      return true;
    }
    case 'platform_silent':
      cluster.fleet.isListed = false;
      later(cluster, fault.forMs, 'the platform answers', () => {
        cluster.fleet.isListed = true;
      });
      return true;
    default:
      return strikeTarget(cluster, state, fault);
  }
}

/** Carries a fault out; it is skipped where its target is down or the tolerance is used up. */
function strike(cluster: Cluster, state: FaultState, fault: Fault): void {
  if (!strikeUncounted(cluster, state, fault)) {
    state.skipped++;
    return;
  }
  state.struck.set(fault.kind, (state.struck.get(fault.kind) ?? 0) + 1);
}

function anyMachine(cluster: Cluster, holds: (core: CoreMachine) => boolean): boolean {
  return simulatedCluster.running(cluster).some(holds);
}

/** Whether the moment is here. */
function isMoment(cluster: Cluster, state: FaultState, moment: Moment): boolean {
  switch (moment) {
    case 'now':
      return true;
    case 'snapshot_under_way':
      return anyMachine(cluster, (core) => (core.process!.replica.consensus.incomingSnapshot?.receivedBytes ?? 0) > 0);
    case 'joint_membership':
      return anyMachine(cluster, (core) => core.process!.replica.consensus.membership.next !== null);
    case 'after_election':
      return cluster.checks.elections > state.electionsBefore;
    case 'before_first_commit':
      return anyMachine(cluster, (core) => {
        const { consensus: machine } = core.process!.replica;
        return machine.role === 'leader' && raftLog.termAt(machine, machine.commitIndex) !== machine.term;
      });
    case 'order_under_way':
      return anyMachine(cluster, (core) => core.process!.replica.pendingProposals.length > 0);
    case 'learner_fed':
      return anyMachine(cluster, (core) =>
        [...core.process!.replica.consensus.peers.values()].some((peer) => peer.isLearner && peer.matchIndex > 0),
      );
    case 'handing_over':
      return anyMachine(cluster, (core) => core.process!.replica.consensus.leadershipTransferSince !== null);
    case 'after_acknowledgement':
      return cluster.histories.acknowledgedCount > state.acknowledgedBefore;
  }
}

/** Lets time pass until the moment comes, or patience ends. */
async function awaitMoment(cluster: Cluster, state: FaultState, moment: Moment): Promise<void> {
  state.acknowledgedBefore = cluster.histories.acknowledgedCount;
  state.electionsBefore = cluster.checks.elections;
  const until = cluster.scheduler.now + momentPatienceMs;
  const isMet =
    isMoment(cluster, state, moment) ||
    (await simulatedTime.runUntilTrue(cluster.scheduler, until, () => isMoment(cluster, state, moment)));
  if (isMet) state.moments.set(moment, (state.moments.get(moment) ?? 0) + 1);
}

/** Ends all troubles that still last, but not the downtime of machines. */
function calmAll(cluster: Cluster): void {
  simulatedNetwork.healAll(cluster.network);
  cluster.network.conditions = { ...simulatedNetwork.calm };
  cluster.fleet.isListed = true;
  for (const core of standing(cluster)) {
    core.machine.slowMs = 0;
    core.machine.frozenUntil = Math.min(core.machine.frozenUntil, cluster.scheduler.now);
    core.disk.hangsUntil = Math.min(core.disk.hangsUntil, cluster.scheduler.now);
    disk.setFull(core.disk, false);
    disk.setSlow(core.disk, 1);
    core.disk.failingSyncs = { skip: 0, count: 0 };
    if (core.machine.status !== 'running') simulatedCluster.startCore(cluster, core);
  }
  for (const router of cluster.routers) simulatedCluster.startRouter(cluster, router);
}

export const faults = { createState, strike, awaitMoment, calmAll, terminate };
