/**
 * Several coordinators with the real modules of the control plane, on virtual time and on a stand-in for
 * the replicated log: one shared list of committed commands, which every member applies as far as it is
 * let. What the log is asked to do, and who leads, is set by the test.
 */
import { strict as assert } from 'node:assert';
import { publishEndpointsMethod } from '../../src/protocol/rpc/endpoints.js';
import { watchMethod } from '../../src/protocol/rpc/watch.js';
import { operatorMethod } from '../../src/protocol/rpc/operator.js';
import { Agent } from 'node:http';
import { Packr } from 'msgpackr';
import type { RunnerListError } from '../../src/coordination/singletons/runner-listing.js';
import type { PublishEndpointsRequest } from '../../src/protocol/rpc/endpoints.js';
import { endpointsReplication } from '../../src/controlplane/endpoints-replication.js';
import type { ReplicaGroup, ProposalResult } from '../../src/controlplane/replica-group.js';
import { watchServer } from '../../src/controlplane/watch-server.js';
import { operator } from '../../src/controlplane/operator.js';
import { coordinatorContext, type Coordinator } from '../../src/controlplane/coordinator-context.js';
import { services } from '../../src/controlplane/services.js';
import { versionRollouts } from '../../src/controlplane/version-rollouts.js';
import { status } from '../../src/controlplane/status.js';
import { ringLog } from '../../src/logging/ring.js';
import { tuning } from '../../src/protocol/settings/tuning.js';
import type { Clock, Network, Runtime } from '../../src/runtime.js';
import { controlState, type ApplyOutcome, type Command, type ControlState } from '../../src/state/control/reducer.js';
import { storedFormat } from '../../src/state/control/stored-format.js';
import type { WatchRequest } from '../../src/protocol/rpc/watch.js';
import type { OperatorReply, OperatorRequest } from '../../src/protocol/rpc/operator.js';
import type { Result, Runner, Settings } from '../../src/types.js';
import { eventQueue, type QueuedEvent } from './event-queue.js';
import { luck, type Luck } from './random.js';

const packr = new Packr({ useRecords: false });

/** Through the wire's encoding and back. */
export function repacked<T>(value: T): T {
  return packr.unpack(packr.pack(value)) as T;
}

/** A command as it comes out of the log: through the stored form and its encoding, and back. */
export function storedAndRead<C extends Command>(command: C): C {
  const read = storedFormat.decodeCommand(repacked(storedFormat.encodeCommand(command)));
  assert.equal(read?.kind, command.kind);
  return read as C;
}

type Due = QueuedEvent & { run: () => void; isCancelled: boolean };
export type VirtualTime = { now: number; due: Due[]; sequence: number };

function schedule(time: VirtualTime, delayMs: number, run: () => void): Due {
  const due: Due = { at: time.now + Math.max(0, delayMs), sequence: time.sequence++, run, isCancelled: false };
  eventQueue.push(time.due, due);
  return due;
}

function clockOf(time: VirtualTime): Clock {
  return {
    now: () => time.now,
    after: (delayMs, run) => {
      const due = schedule(time, delayMs, run);
      return { cancel: () => void (due.isCancelled = true) };
    },
    every: (intervalMs, run) => {
      let due = schedule(time, intervalMs, again);
      function again(): void {
        due = schedule(time, intervalMs, again);
        run();
      }
      return { cancel: () => void (due.isCancelled = true) };
    },
  };
}

/** Runs everything that is due within `ms` of virtual time. */
async function advance(time: VirtualTime, ms: number): Promise<void> {
  const end = time.now + ms;
  for (;;) {
    await eventQueue.settle();
    while (time.due[0]?.isCancelled) eventQueue.pop(time.due);
    const next = time.due[0];
    if (!next || next.at > end) break;
    eventQueue.pop(time.due);
    time.now = next.at;
    next.run();
  }
  time.now = end;
}

/** The result of `work` with the virtual time it took. */
async function timed<T>(time: VirtualTime, work: Promise<T>): Promise<{ value: T; ms: number }> {
  const from = time.now;
  const end: { value: T; ms: number }[] = [];
  void work.then((value) => end.push({ value, ms: time.now - from }));
  for (let step = 0; step < 20_000 && end.length === 0; step++) await advance(time, 1);
  if (end.length === 0) throw new Error('nothing came back in 20 s of virtual time');
  return end[0]!;
}

export const virtualTime = { clockOf, advance, timed };

/** `lost`: committed, but the proposer does not hear of it. `dropped`: never committed. */
export type LogMode = 'commits' | 'lost' | 'dropped';

export type Node = {
  address: string;
  coordinator: Coordinator;
  state: ControlState;
  applied: number;
  /** Entries applied at most; Infinity unless the test holds the node back. */
  mayApply: number;
  term: number;
  thinksLeader: boolean;
  electedAt: number;
  knownLeader: string | null;
  isFresh: boolean;
  hasSettled: boolean;
  roleListeners: (() => void)[];
  applyListeners: (() => void)[];
  handedOver: boolean;
  polls: number;
};

export type Group = {
  time: VirtualTime;
  luck: Luck;
  commands: Command[];
  outcomes: ApplyOutcome[];
  nodes: Node[];
  leader: Node | null;
  hasMajority: boolean;
  hasTargetVoters: boolean;
  mode: LogMode;
  commitMs: number;
  linkMs: number;
  /** Calls into and out of these addresses are never answered. */
  cutOff: Set<string>;
  runners: Runner[];
  platformAnswers: boolean;
  /** Calls that are under way go on for so long beyond their time-out, as bulk does while bytes move. */
  bulkMs: number;
  /** Commands that were proposed, committed or not. */
  proposals: number;
  /** Questions for news that were sent. */
  questions: number;
};

function applyAll(group: Group, node: Node): void {
  const end = Math.min(group.commands.length, node.mayApply);
  const before = node.applied;
  while (node.applied < end) {
    const done = controlState.apply(node.state, storedAndRead(group.commands[node.applied]!));
    node.state = done.state;
    group.outcomes[node.applied] = done.outcome;
    node.applied++;
  }
  if (node.applied > before) for (const run of node.applyListeners) run();
}

function applyEverywhere(group: Group): void {
  for (const node of group.nodes) if (node.isFresh) applyAll(group, node);
}

function commit(group: Group, command: Command): ProposalResult {
  group.commands.push(storedAndRead(command));
  applyEverywhere(group);
  const outcome = group.outcomes[group.commands.length - 1];
  return outcome ? { kind: 'applied', outcome } : { kind: 'unknown' };
}

function propose(group: Group, node: Node, command: Command): Promise<ProposalResult> {
  if (!node.thinksLeader) return Promise.resolve({ kind: 'not_leader' });
  const { mode } = group;
  group.proposals++;
  return new Promise((done) => {
    schedule(group.time, group.commitMs, () => {
      if (mode === 'dropped' || !group.hasMajority || group.leader !== node) return;
      const result = commit(group, command);
      if (mode === 'commits') done(result);
    });
  });
}

function confirm(group: Group, node: Node, timeoutMs: number): Promise<boolean> {
  return new Promise((done) => {
    const isTrue = group.hasMajority && group.leader === node;
    schedule(group.time, isTrue ? group.linkMs * 2 : timeoutMs, () => {
      const holds = isTrue && group.leader === node;
      if (holds) applyAll(group, node);
      done(holds);
    });
  });
}

function coreOf(group: Group, node: Node): ReplicaGroup {
  return {
    state: () => node.state,
    term: () => node.term,
    isLeader: () => node.thinksLeader,
    leaderAddress: () => node.knownLeader,
    hasLeaderContact: () => node.isFresh,
    hasCommittedInTerm: () => node.hasSettled,
    isSoleLeader: () => node.thinksLeader,
    hasTargetVoters: () => group.hasTargetVoters,
    electedAt: () => node.electedAt,
    ownAddress: () => node.address,
    memberAddresses: () => group.nodes.map((one) => one.address),
    peers: () =>
      node.thinksLeader
        ? group.nodes
            .filter((one) => one !== node)
            .map((one) => ({ id: one.address, address: one.address, heardAt: group.time.now }))
        : [],
    confirmLeadership: (timeoutMs) => confirm(group, node, timeoutMs),
    propose: (command) => propose(group, node, command),
    transferLeadership: () => {
      node.handedOver = true;
      return Promise.resolve();
    },
    close: () => Promise.resolve(),
    onApplied: (run) => void node.applyListeners.push(run),
    onRoleChanged: (run) => void node.roleListeners.push(run),
    status: () => ({ role: 'follower', term: node.term, leader: null, voters: [], committed: 0, disk: 'writable' }),
  };
}

function serve(node: Node, path: string, body: unknown): unknown {
  if (path === operatorMethod.path) return operator.handleAsLeader(node.coordinator, body as OperatorRequest);
  if (path === watchMethod.path) return watchServer.handle(node.coordinator, body as WatchRequest);
  if (path === publishEndpointsMethod.path)
    return endpointsReplication.acceptPublication(node.coordinator, body as PublishEndpointsRequest);
  return status.local(node.coordinator);
}

/** A network in which every call takes the link's delay both ways. */
function networkOf(group: Group, from: string): Network {
  return {
    call: (address, path, body, options) =>
      new Promise((done) => {
        if (path === watchMethod.path) group.questions++;
        const late = schedule(group.time, options.timeoutMs + group.bulkMs, () =>
          done({ ok: false, error: { kind: 'timed_out' } }),
        );
        const node = group.nodes.find((one) => one.address === address);
        schedule(group.time, group.linkMs, () => {
          if (!node || group.cutOff.has(address) || group.cutOff.has(from)) return;
          void Promise.resolve(serve(node, path, repacked(body))).then((value) => {
            schedule(group.time, group.linkMs, () => {
              if (group.cutOff.has(address) || group.cutOff.has(from)) return;
              late.isCancelled = true;
              done({ ok: true, value: repacked(value) });
            });
          });
        });
      }),
  };
}

/** A runtime in the group's world, for a coordinator or a site. */
function runtimeOf(group: Group, from: string): Runtime {
  return { clock: clockOf(group.time), network: networkOf(group, from), random: () => luck.next(group.luck) };
}

function settingsOf(address: string): Settings {
  return {
    node_name: address,
    bound_set: { contact_ms: 3000, ack_ms: 4000, drain_ms: 3000, lease_ms: 500, grace_s: 8 },
    cloud_api: { address: 'platform', rate_per_s: 40, lag_ms: 100 },
  } as unknown as Settings;
}

function listRunners(group: Group, node: Node): Promise<Result<Runner[], RunnerListError>> {
  node.polls++;
  return new Promise((done) => {
    schedule(group.time, 20, () => {
      done(
        group.platformAnswers
          ? { ok: true, value: structuredClone(group.runners) }
          : { ok: false, error: { kind: 'timeout' } },
      );
    });
  });
}

function add(group: Group, address: string): Node {
  const node: Node = {
    address,
    coordinator: null as unknown as Coordinator,
    state: controlState.empty(),
    applied: 0,
    mayApply: Infinity,
    term: 1,
    thinksLeader: false,
    electedAt: 0,
    knownLeader: null,
    isFresh: false,
    hasSettled: true,
    roleListeners: [],
    applyListeners: [],
    handedOver: false,
    polls: 0,
  };
  const settings = settingsOf(address);
  node.coordinator = coordinatorContext.create(settings, ringLog.create('coordinator', address), tuning.defaults, {
    group: coreOf(group, node),
    runtime: runtimeOf(group, address),
    externalApis: {
      listRunners: () => listRunners(group, node),
      sendOrder: () => Promise.resolve({ ok: false, error: { kind: 'timeout' } }),
      getRunnerReport: () => Promise.resolve({ ok: false, error: { kind: 'timeout' } }),
    },
    agent: new Agent(),
  });
  group.nodes.push(node);
  return node;
}

/** Coordinators `c1` to `c<n>` without a leader. */
function create(seed: number, nodeCount: number): Group {
  const group: Group = {
    time: { now: 0, due: [], sequence: 0 },
    luck: luck.create(seed),
    commands: [],
    outcomes: [],
    nodes: [],
    leader: null,
    hasMajority: true,
    hasTargetVoters: true,
    mode: 'commits',
    commitMs: 10,
    linkMs: 2,
    cutOff: new Set(),
    runners: [],
    platformAnswers: true,
    bulkMs: 0,
    proposals: 0,
    questions: 0,
  };
  for (let number = 1; number <= nodeCount; number++) {
    const { coordinator } = add(group, `c${number}`);
    services.startDistribution(coordinator);
    versionRollouts.start(coordinator);
  }
  return group;
}

/** Lets a node win: all that are not cut off hear it. The earlier leader learns of it unless it is cut off. */
function elect(group: Group, node: Node): void {
  const before = group.leader;
  const term = Math.max(...group.nodes.map((one) => one.term)) + 1;
  group.leader = node;
  node.electedAt = group.time.now;
  for (const one of group.nodes) {
    if (group.cutOff.has(one.address)) continue;
    one.term = term;
    one.thinksLeader = one === node;
    one.knownLeader = node.address;
    one.isFresh = true;
    applyAll(group, one);
  }
  for (const run of node.roleListeners) run();
  if (before && before !== node && !group.cutOff.has(before.address)) for (const run of before.roleListeners) run();
}

/** Nobody leads and nobody hears a leader. */
function loseLeader(group: Group): void {
  group.leader = null;
  for (const node of group.nodes) {
    node.thinksLeader = false;
    node.knownLeader = null;
    node.isFresh = false;
    for (const run of node.roleListeners) run();
  }
}

let calls = 0;

/** An order as an operator sends it to a node. */
function order(method: string, match: number | null, body: unknown, path = '/v1/config'): OperatorRequest {
  const text = JSON.stringify(body);
  return {
    id: `call ${++calls}`,
    method,
    path,
    ifMatch: match === null ? null : String(match),
    body: Buffer.from(text),
  };
}

function send(node: Node, call: OperatorRequest): Promise<OperatorReply> {
  return operator.handle(node.coordinator, call);
}

export const coordinators = { create, elect, loseLeader, commit, runtimeOf, order, send };
