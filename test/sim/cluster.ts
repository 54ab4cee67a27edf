/**
 * The simulated world: core machines that run the real modules of a coordinator on simulated disks and a
 * simulated network, routers that run the real session, operators, runners and the platform's list. What
 * is done to the machines stands in `faults.ts`, what must hold in `checks.ts`.
 */
import type { ExternalApis } from '../../src/controlplane/coordinator-context.js';
import type { Folder, Runtime } from '../../src/runtime.js';
import type { Result, Settings } from '../../src/types.js';
import { consensusRpc } from '../../src/coordination/consensus/consensus-rpc.js';
import type { OpenError } from '../../src/coordination/consensus/replica.js';
import type { Message } from '../../src/coordination/consensus/types.js';
import { luck, type Luck } from '../support/random.js';
import { checks, type Checks } from './checks.js';
import { coreProcess, type CoreProcess } from './core.js';
import { disk, type Disk } from './disk.js';
import { durableState } from './durable-state.js';
import { links } from './link.js';
import { silentLog } from './log.js';
import { machines, type Machine } from './machine.js';
import { simulatedNetwork, type Endpoint, type SimulatedNetwork } from './network.js';
import { operators, type Habits, type Histories, type Operator } from './operators.js';
import { routerProcess, type RouterProcess } from './router.js';
import { runnerFleet, type Fleet } from './runners.js';
import { simulatedTime, type Scheduler } from './scheduler.js';

export type ClusterOptions = {
  seed: number;
  coreCount: number;
  routerCount: number;
  operatorCount: number;
  runnerCount: number;
  habits: Habits;
  /** Of each machine's link; Infinity for links without bound. */
  megabits: number;
};

export type CoreMachine = {
  name: string;
  address: string;
  controlAddress: string;
  machine: Machine;
  endpoint: Endpoint;
  disk: Disk;
  settings: Settings;
  process: CoreProcess | null;
  isRemoved: boolean;
  failedStarts: number;
};

export type RouterMachine = {
  name: string;
  machine: Machine;
  endpoint: Endpoint;
  settings: Settings;
  process: RouterProcess | null;
  shownRevision: number;
  startedAt: number;
  /** The newest revision that had been acknowledged a second before its process started. */
  acknowledgedBefore: number;
};

export type Cluster = {
  options: ClusterOptions;
  scheduler: Scheduler;
  luck: Luck;
  network: SimulatedNetwork;
  checks: Checks;
  histories: Histories;
  fleet: Fleet;
  core: CoreMachine[];
  routers: RouterMachine[];
  operators: Operator[];
  nextHost: number;
  /** Folders and networks of new processes pass through these, so that tests can put mistakes in. */
  wrapFolder: (folder: Folder) => Folder;
  wrapRuntime: (runtime: Runtime) => Runtime;
  wrapOutside: (outside: ExternalApis) => ExternalApis;
  afterEvent: ((cluster: Cluster) => void) | null;
  /** What members said in this event and is still to be compared with their disks. */
  unchecked: { core: CoreMachine; messages: Message[] }[];
  sentCount: number;
};

const innerPort = 7000;
const controlPort = 8080;
const seedCount = 3;
const restartFailedMs = 500;
const smallDiskBytes = 2048;
export const leaseMs = 3000;
export const catchUpMs = 4000;
const contactMs = 3000;
/** What a member in touch hands out may lag by so much. */
const newsLagMs = 1000;

function create(options: ClusterOptions): Cluster {
  const scheduler = simulatedTime.create();
  const found = checks.create();
  const cluster: Cluster = {
    options,
    scheduler,
    luck: luck.create(options.seed),
    network: simulatedNetwork.create(scheduler, options.seed + 1),
    checks: found,
    histories: operators.createHistories(),
    fleet: runnerFleet.create(scheduler, options.seed + 2, found, options.runnerCount, leaseMs),
    core: [],
    routers: [],
    operators: [],
    nextHost: 1,
    wrapFolder: (folder) => folder,
    wrapRuntime: (runtime) => runtime,
    wrapOutside: (outside) => outside,
    afterEvent: null,
    unchecked: [],
    sentCount: 0,
  };
  scheduler.afterEvent = () => {
    checkAll(cluster);
    cluster.afterEvent?.(cluster);
    return cluster.unchecked.length > 0 ? checkKept(cluster) : null;
  };
  cluster.network.onSent = (from, path, body) => {
    if (path === consensusRpc.path) noteSent(cluster, from, (body as { messages: Message[] }).messages);
  };
  const hosts = Array.from({ length: options.coreCount }, () => nextHost(cluster));
  const seeds = hosts.slice(0, seedCount).map((host) => `${host}:${controlPort}`);
  for (const host of hosts) addCore(cluster, host, seeds, true);
  for (let i = 0; i < options.routerCount; i++) addRouter(cluster, i, seeds);
  for (let i = 0; i < options.operatorCount; i++) addOperator(cluster, i);
  return cluster;
}

function nextHost(cluster: Cluster): string {
  return `10.0.0.${cluster.nextHost++}`;
}

function nextSeed(cluster: Cluster): number {
  return luck.below(cluster.luck, 2 ** 31);
}

function settingsOf(cluster: Cluster, name: string, host: string, seeds: string[], isFirstStart: boolean): Settings {
  return {
    node_name: name,
    ip_addr: host,
    zone_name: 'zone',
    zones: { zone: 'region' },
    bind_addrs: { control_addr: `${host}:${controlPort}` },
    port_range: [innerPort, innerPort + 10],
    seed_addrs: seeds,
    is_first_start: isFirstStart,
    data_dir: '/data',
    beat_ms: 100,
    tolerance: { machine_losses: tolerated(cluster) },
    bound_set: {
      contact_ms: contactMs,
      ack_ms: 4000,
      catch_up_s: catchUpMs / 1000,
      drain_ms: 3000,
      grace_s: 8,
      apply_ms: 2000,
      retry_ratio: 0.2,
      retry_window_s: 10,
      retry_slack: 58,
      transit_ms: 120,
      lease_ms: leaseMs,
      thaw_ms: 300,
      version_ms: 8000,
      reuse_after_s: 2,
    },
    cloud_api: { address: '10.9.9.9:80', rate_per_s: 40, lag_ms: 800 },
  };
}

/** How many core machines may be lost at once with their disks. */
function tolerated(cluster: Cluster): number {
  return Math.floor((cluster.options.coreCount - 1) / 2);
}

function addCore(cluster: Cluster, host: string, seeds: string[], isFirstStart: boolean): CoreMachine {
  const { scheduler, network, options } = cluster;
  const name = `core-${cluster.core.length + 1}`;
  const machine = machines.create(scheduler, name, nextSeed(cluster));
  const address = `${host}:${innerPort}`;
  const diskLuck = luck.create(nextSeed(cluster));
  const diskClock = {
    now: () => scheduler.now,
    after: (delayMs: number, run: () => void) => {
      const event = simulatedTime.after(scheduler, delayMs, `${name} disk`, run);
      return { cancel: () => simulatedTime.cancel(event) };
    },
    every: () => ({ cancel: () => undefined }),
  };
  const core: CoreMachine = {
    name,
    address,
    controlAddress: `${host}:${controlPort}`,
    machine,
    endpoint: simulatedNetwork.attach(network, address, machine, options.megabits * links.bytesPerMsAtOneMegabit),
    disk: disk.create(diskClock, () => luck.next(diskLuck)),
    settings: settingsOf(cluster, name, host, seeds, isFirstStart),
    process: null,
    isRemoved: false,
    failedStarts: 0,
  };
  cluster.core.push(core);
  return core;
}

/** A folder whose answers wait while the machine is frozen or slow, and never reach a later life. */
function folderOf(core: CoreMachine): Folder {
  const { machine } = core;
  const { life } = machine;
  function gate<T>(answer: Promise<T>): Promise<T> {
    return new Promise((resolve) => {
      void answer.then((value) => {
        machines.enter(machine, life, () => resolve(value));
      });
    });
  }
  const plain = disk.folder(core.disk);
  return {
    list: () => gate(plain.list()),
    read: (name) => gate(plain.read(name)),
    create: async (name) => {
      const made = await gate(plain.create(name));
      if (!made.ok) return made;
      const file = made.value;
      const gated = {
        append: (bytes: Uint8Array) => gate(file.append(bytes)),
        sync: () => gate(file.sync()),
        close: () => gate(file.close()),
      };
      return { ok: true, value: gated };
    },
    rename: (from, to) => gate(plain.rename(from, to)),
    remove: (name) => gate(plain.remove(name)),
    syncFolder: () => gate(plain.syncFolder()),
  };
}

function runtimeOf(cluster: Cluster, machine: Machine, endpoint: Endpoint): Runtime {
  return cluster.wrapRuntime({
    clock: machines.clockOf(machine, machine.life),
    network: simulatedNetwork.networkOf(cluster.network, endpoint),
    random: machines.randomOf(machine),
  });
}

/** The seeds that the platform writes into a settings file: three machines of its list, which lags. */
function drawSeeds(cluster: Cluster): string[] {
  const listed = cluster.core.filter((core) => !core.isRemoved).map((core) => core.controlAddress);
  const drawn: string[] = [];
  while (drawn.length < seedCount && listed.length > 0)
    drawn.push(...listed.splice(luck.below(cluster.luck, listed.length), 1));
  return drawn;
}

/** Starts the process of a core machine with what its disk holds; its settings file is written anew. */
function startCore(cluster: Cluster, core: CoreMachine): void {
  if (core.machine.status === 'running' || core.isRemoved) return;
  const life = machines.start(core.machine);
  if (life > 1) core.settings = { ...core.settings, seed_addrs: drawSeeds(cluster) };
  const folder = cluster.wrapFolder(folderOf(core));
  const runtime = runtimeOf(cluster, core.machine, core.endpoint);
  const outside = cluster.wrapOutside(runnerFleet.outsideOf(cluster.fleet, core.machine));
  void coreProcess.open({ settings: core.settings, runtime, folder, outside }).then(
    (result) => {
      if (machines.isAlive(core.machine, life)) coreOpened(cluster, core, result);
    },
    (error: Error) => {
      checks.fail(cluster.checks, cluster.scheduler.now, `${core.name} broke off: ${error.stack}`);
    },
  );
}

function coreOpened(cluster: Cluster, core: CoreMachine, result: Result<CoreProcess, OpenError>): void {
  if (!result.ok) {
    core.failedStarts++;
    endCore(cluster, core, 'kill');
    simulatedTime.after(cluster.scheduler, restartFailedMs, `${core.name} starts again`, () => {
      startCore(cluster, core);
    });
    return;
  }
  core.process = result.value;
  simulatedNetwork.listen(core.endpoint, result.value.handlers);
  result.value.start();
}

/** Ends the process: killed, or with the machine's power. */
function endCore(cluster: Cluster, core: CoreMachine, how: 'kill' | 'power' | 'wipe'): void {
  if (core.machine.status === 'running') {
    simulatedNetwork.processEnded(cluster.network, core.endpoint, how === 'power' ? 'silent' : 'reset');
    core.process = null;
    machines.stop(core.machine, how === 'kill' ? 'stopped' : 'off');
    if (how === 'kill') disk.kill(core.disk);
  }
  if (how === 'power') disk.powerLoss(core.disk);
  if (how === 'wipe') disk.wipe(core.disk);
  if (how !== 'kill') core.machine.status = 'off';
  if (how === 'wipe') core.settings = { ...core.settings, is_first_start: false };
}

function addRouter(cluster: Cluster, number: number, seeds: string[]): void {
  const name = `router-${number + 1}`;
  const host = `10.1.0.${number + 1}`;
  const machine = machines.create(cluster.scheduler, name, nextSeed(cluster));
  const endpoint = simulatedNetwork.attach(cluster.network, `${host}:${innerPort}`, machine);
  const settings = settingsOf(cluster, name, host, seeds, false);
  cluster.routers.push({
    name,
    machine,
    endpoint,
    settings,
    process: null,
    shownRevision: 0,
    startedAt: 0,
    acknowledgedBefore: 0,
  });
}

function startRouter(cluster: Cluster, router: RouterMachine): void {
  if (router.machine.status === 'running') return;
  machines.start(router.machine);
  router.shownRevision = 0;
  router.startedAt = cluster.scheduler.now;
  router.acknowledgedBefore = operators.acknowledgedBy(cluster.histories, cluster.scheduler.now - newsLagMs);
  const runtime = runtimeOf(cluster, router.machine, router.endpoint);
  router.process = routerProcess.start(router.settings, runtime, silentLog);
}

function endRouter(cluster: Cluster, router: RouterMachine, how: 'reset' | 'silent' = 'reset'): void {
  if (router.machine.status !== 'running') return;
  simulatedNetwork.processEnded(cluster.network, router.endpoint, how);
  machines.stop(router.machine, how === 'reset' ? 'stopped' : 'off');
  router.process = null;
}

/** The inner addresses at which operators look for members; the list lags, so it holds the dead as well. */
function listedAddresses(cluster: Cluster): string[] {
  return cluster.core.filter((core) => !core.isRemoved).map((core) => core.address);
}

function addOperator(cluster: Cluster, number: number): void {
  const name = `operator-${number + 1}`;
  const machine = machines.create(cluster.scheduler, name, nextSeed(cluster));
  const endpoint = simulatedNetwork.attach(cluster.network, `10.2.0.${number + 1}:1`, machine);
  machines.start(machine);
  cluster.operators.push({
    name,
    scheduler: cluster.scheduler,
    clock: machines.clockOf(machine, machine.life),
    network: simulatedNetwork.networkOf(cluster.network, endpoint),
    random: machines.randomOf(machine),
    habits: cluster.options.habits,
    members: () => listedAddresses(cluster),
    histories: cluster.histories,
    knownRevision: 0,
    sent: [],
    orderNumber: 0,
    underWay: 0,
    isStopped: false,
  });
}

/** Starts all machines within a third of a second of each other, in any order. */
function startAll(cluster: Cluster): void {
  const starts = [
    ...cluster.core.map((core) => () => startCore(cluster, core)),
    ...cluster.routers.map((router) => () => startRouter(cluster, router)),
  ];
  for (const start of starts)
    simulatedTime.after(cluster.scheduler, luck.next(cluster.luck) * 300, 'a machine starts', start);
}

function running(cluster: Cluster): CoreMachine[] {
  return cluster.core.filter((core) => core.process !== null);
}

/** The leader of the latest term among those that run and are not frozen. */
function leader(cluster: Cluster): CoreMachine | null {
  let best: CoreMachine | null = null;
  for (const core of running(cluster)) {
    const { consensus: machine } = core.process!.replica;
    if (machine.role !== 'leader' || machines.isFrozen(core.machine)) continue;
    if (best === null || machine.term > best.process!.replica.consensus.term) best = core;
  }
  return best;
}

function checkAll(cluster: Cluster): void {
  const { now } = cluster.scheduler;
  const all = running(cluster).map((core) => core.process!.replica.consensus);
  for (const core of cluster.core) {
    if (core.process === null || machines.isFrozen(core.machine)) continue;
    const { consensus: machine } = core.process.replica;
    checks.member(cluster.checks, machine, now);
    if (machine.role === 'leader') checks.peers(cluster.checks, machine, all, now);
    if (machine.role === 'leader' && core.process.mayAct(leaseMs))
      checks.mayAct(cluster.checks, machine.self.id, machine.term, leaseMs, now);
  }
  for (const router of cluster.routers) checkRouter(cluster, router, now);
}

/** Large disks are read for a share of the messages only, for the time it takes. */
function noteSent(cluster: Cluster, address: string, messages: Message[]): void {
  const core = cluster.core.find((one) => one.address === address);
  if (core === undefined || core.process === null) return;
  cluster.sentCount++;
  const isVote = messages.some(
    (message) => message.type === 'request_vote_response' || message.type === 'request_vote',
  );
  const every = Math.ceil(durableState.durableSize(core.disk) / smallDiskBytes);
  if (isVote || cluster.sentCount % Math.max(1, every) === 0) cluster.unchecked.push({ core, messages });
}

async function checkKept(cluster: Cluster): Promise<void> {
  const list = cluster.unchecked;
  cluster.unchecked = [];
  for (const { core, messages } of list) {
    const text = await durableState.check(core.disk, messages, cluster.checks.leaders);
    if (text !== null) checks.fail(cluster.checks, cluster.scheduler.now, text);
  }
}

function checkRouter(cluster: Cluster, router: RouterMachine, now: number): void {
  if (router.process === null) return;
  const revision = router.process.revision();
  if (revision === router.shownRevision) return;
  const isFirst = router.shownRevision === 0;
  const mayBeStale = now - router.startedAt >= contactMs;
  if (isFirst && !mayBeStale && revision < router.acknowledgedBefore)
    checks.fail(cluster.checks, now, `${router.name} began with ${revision}, older than ${router.acknowledgedBefore}`);
  if (revision < router.shownRevision)
    checks.fail(cluster.checks, now, `${router.name} went back from ${router.shownRevision} to ${revision}`);
  router.shownRevision = revision;
  const isCommitted = cluster.checks.committed.some(
    (entry) => entry?.data.kind === 'command' && coreProcess.revisionOf(entry.data.command) === revision,
  );
  if (!isCommitted) checks.fail(cluster.checks, now, `${router.name} has ${revision}, which was never committed`);
}

export const simulatedCluster = {
  create,
  startAll,
  startCore,
  endCore,
  startRouter,
  endRouter,
  addCore,
  drawSeeds,
  nextHost,
  running,
  leader,
  tolerated,
  listedAddresses,
};
