/**
 * Schedules: which world, and what happens in it when. `fast-check` draws and shrinks them; a run plays
 * one, lets the world come to rest and then asks for what must hold once it is calm.
 */
import fc from 'fast-check';
import type { ControlState } from '../../src/state/control/reducer.js';
import { checks } from './checks.js';
import { simulatedCluster, type Cluster, type ClusterOptions, type CoreMachine } from './cluster.js';
import { faults, type Fault, type FaultState, type Moment, type Target } from './faults.js';
import { operators, type Operator } from './operators.js';
import { runnerFleet } from './runners.js';
import { simulatedTime } from './scheduler.js';

/** After `waitMs` the fault strikes at the next occasion of `moment`. */
export type Step = { waitMs: number; moment: Moment; fault: Fault };

/** `isFounding`: the operators and the faults begin with the machines, not once the group is at its full size. */
export type Schedule = { options: ClusterOptions; steps: Step[]; isFounding?: boolean };

/** `violation` is null when everything held. */
export type RunResult = {
  violation: { atMs: number; text: string } | null;
  hash: number;
  simulatedMs: number;
  events: number;
  struck: Map<string, number>;
  moments: Map<string, number>;
  acknowledged: number;
  unclear: number;
  elections: number;
  membershipChanges: number;
  settledMs: number;
};

/** Once calm, a new order is in force and read back, and all members and routers have it, within this. */
export const settleBoundMs = 12_000;
const ruledModel = 'model-a';
const beforeFaultsMs = 5000;
const afterFaultsMs = 1500;
const checkEveryMs = 100;

const targets = fc.oneof(
  { weight: 4, arbitrary: fc.constant<Target>('leader') },
  { weight: 2, arbitrary: fc.constant<Target>('follower') },
  { weight: 1, arbitrary: fc.constant<Target>('learner') },
  { weight: 2, arbitrary: fc.integer({ min: 0, max: 6 }) },
);
const durations = fc.oneof(
  { weight: 4, arbitrary: fc.integer({ min: 50, max: 1200 }) },
  { weight: 4, arbitrary: fc.integer({ min: 1000, max: 6000 }) },
  { weight: 1, arbitrary: fc.integer({ min: 6000, max: 22_000 }) },
);
const moments = fc.oneof(
  { weight: 5, arbitrary: fc.constant<Moment>('now') },
  {
    weight: 6,
    arbitrary: fc.constantFrom<Moment>(
      'snapshot_under_way',
      'joint_membership',
      'after_election',
      'before_first_commit',
      'order_under_way',
      'learner_fed',
      'handing_over',
      'after_acknowledgement',
    ),
  },
);

function kind<Kind extends Fault['kind']>(name: Kind): fc.Arbitrary<Kind> {
  return fc.constant(name);
}

/** Shares in steps of a hundredth. */
function shares(mostPercent: number): fc.Arbitrary<number> {
  return fc.integer({ min: 0, max: mostPercent }).map((percent) => percent / 100);
}

const conditions = fc.record(
  {
    lossShare: shares(25),
    duplicateShare: shares(30),
    overtakeShare: shares(50),
    overtakeMs: fc.integer({ min: 5, max: 900 }),
    resetShare: shares(20),
    misdirectShare: shares(20),
    idleMs: fc.integer({ min: 20, max: 2000 }),
    latencyMs: fc.constantFrom<[number, number]>([0.3, 2], [10, 40], [60, 120]),
  },
  { requiredKeys: [] },
);

const faultKinds: { weight: number; arbitrary: fc.Arbitrary<Fault> }[] = [
  { weight: 4, arbitrary: fc.record({ kind: kind('kill'), target: targets, forMs: durations }) },
  { weight: 5, arbitrary: fc.record({ kind: kind('power'), target: targets, forMs: durations }) },
  { weight: 2, arbitrary: fc.record({ kind: kind('kill_all'), forMs: durations }) },
  { weight: 3, arbitrary: fc.record({ kind: kind('power_all'), forMs: durations }) },
  { weight: 2, arbitrary: fc.record({ kind: kind('power_some'), forMs: durations }) },
  { weight: 4, arbitrary: fc.record({ kind: kind('wipe'), target: targets, forMs: durations }) },
  { weight: 2, arbitrary: fc.record({ kind: kind('wipe_and_power_all'), target: targets, forMs: durations }) },
  { weight: 4, arbitrary: fc.record({ kind: kind('freeze'), target: targets, forMs: durations }) },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: kind('slow'),
      target: targets,
      forMs: durations,
      eventMs: fc.integer({ min: 1, max: 12 }),
    }),
  },
  {
    weight: 5,
    arbitrary: fc.record({
      kind: kind('cut'),
      target: targets,
      forMs: durations,
      direction: fc.constantFrom('both' as const, 'in' as const, 'out' as const),
      reaches: fc.constantFrom('core' as const, 'all' as const),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: kind('cut_pair'), target: targets, forMs: durations }) },
  { weight: 4, arbitrary: fc.record({ kind: kind('network'), forMs: durations, conditions }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: kind('squeeze'),
      target: targets,
      forMs: durations,
      megabits: fc.integer({ min: 1, max: 20 }),
    }),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: kind('disk'),
      target: targets,
      forMs: durations,
      trouble: fc.constantFrom('full' as const, 'slow' as const, 'hang' as const, 'failed_sync' as const),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({ kind: kind('replay'), target: targets, count: fc.integer({ min: 1, max: 12 }) }),
  },
  {
    weight: 4,
    arbitrary: fc.record({ kind: kind('replace'), target: targets, isPlanned: fc.boolean(), forMs: durations }),
  },
  { weight: 3, arbitrary: fc.record({ kind: kind('terminate'), target: targets, forMs: durations }) },
  { weight: 1, arbitrary: fc.record({ kind: kind('restart_router'), number: fc.integer({ min: 0, max: 3 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: kind('turnover'), everyMs: fc.integer({ min: 14_000, max: 18_000 }) }) },
  { weight: 1, arbitrary: fc.record({ kind: kind('platform_silent'), forMs: durations }) },
];

const waits = fc.oneof(fc.integer({ min: 0, max: 400 }), fc.integer({ min: 0, max: 4000 }));
const anyFault = fc.oneof(...faultKinds);
const oneStep = fc.record<Step>({ waitMs: waits, moment: moments, fault: anyFault }).map((step) => [step]);

/** A fault, and a second one at a moment that the first brings about. */
function atWorst(first: fc.Arbitrary<Fault>, worst: Moment[]): fc.Arbitrary<Step[]> {
  return fc
    .record({ waitMs: waits, first, moment: fc.constantFrom(...worst), second: anyFault })
    .map(({ waitMs, first: fault, moment, second }): Step[] => [
      { waitMs, moment: 'now', fault },
      { waitMs: 0, moment, fault: second },
    ]);
}

const leaderEnds: fc.Arbitrary<Fault> = fc.record({
  kind: fc.constantFrom('kill' as const, 'power' as const),
  target: fc.constant<Target>('leader'),
  forMs: durations,
});
const leaderLeaves: fc.Arbitrary<Fault> = fc.record({
  kind: kind('terminate'),
  target: fc.constant<Target>('leader'),
  forMs: durations,
});
const memberIsNew: fc.Arbitrary<Fault> = fc.oneof(
  fc.record({ kind: kind('wipe'), target: targets, forMs: fc.integer({ min: 50, max: 400 }) }),
  fc.record({ kind: kind('replace'), target: targets, isPlanned: fc.boolean(), forMs: fc.constant(100) }),
);
const stepGroups = fc.oneof(
  { weight: 4, arbitrary: oneStep },
  { weight: 1, arbitrary: atWorst(leaderEnds, ['after_election', 'before_first_commit']) },
  { weight: 1, arbitrary: atWorst(leaderLeaves, ['handing_over', 'before_first_commit']) },
  { weight: 2, arbitrary: atWorst(memberIsNew, ['learner_fed', 'snapshot_under_way', 'joint_membership']) },
);

const habits = fc.record({
  underWay: fc.integer({ min: 1, max: 8 }),
  pauseMs: fc.integer({ min: 60, max: 400 }),
  paddingBytes: fc.oneof(
    { weight: 2, arbitrary: fc.constant(0) },
    { weight: 1, arbitrary: fc.integer({ min: 150_000, max: 400_000 }) },
  ),
  patienceMs: fc.integer({ min: 500, max: 8000 }),
});

/** All schedules, of up to eighteen faults. */
const arbitrary: fc.Arbitrary<Schedule> = fc.record({
  options: fc.record({
    seed: fc.integer({ min: 1, max: 2 ** 31 - 1 }),
    coreCount: fc.constantFrom(3, 3, 3, 5),
    routerCount: fc.integer({ min: 1, max: 3 }),
    operatorCount: fc.integer({ min: 1, max: 3 }),
    runnerCount: fc.integer({ min: 0, max: 3 }),
    habits,
    megabits: fc.constantFrom(Infinity, Infinity, 120),
  }),
  steps: fc.array(stepGroups, { minLength: 2, maxLength: 9, size: 'max' }).map((groups) => groups.flat()),
});

function createOperator(cluster: Cluster): Operator {
  return cluster.operators[0]!;
}

async function runFaults(cluster: Cluster, state: FaultState, list: Step[]): Promise<void> {
  for (const step of list) {
    await advance(cluster, step.waitMs);
    await faults.awaitMoment(cluster, state, step.moment);
    if (cluster.checks.violation !== null) return;
    faults.strike(cluster, state, step.fault);
  }
  await advance(
    cluster,
    Math.max(0, Math.max(state.troubleUntil, state.turnoverUntil) - cluster.scheduler.now) + afterFaultsMs,
  );
}

/** Lets time pass, but stops at the first violation. */
async function advance(cluster: Cluster, ms: number): Promise<void> {
  const until = cluster.scheduler.now + ms;
  await simulatedTime.runUntilTrue(cluster.scheduler, until, () => cluster.checks.violation !== null);
}

/** Why the world is not at rest, or null: everybody has everything, and the voters are those that run. */
function unrest(cluster: Cluster): string | null {
  const leader = simulatedCluster.leader(cluster);
  if (leader === null) return 'there is no leader';
  const { consensus: machine, state } = leader.process!.replica;
  if (machine.membership.next !== null) return 'a change of members is under way';
  const { voters } = machine.membership;
  const running = simulatedCluster.running(cluster);
  for (const voter of voters) {
    const isRunning = running.some((core) => core.process!.replica.consensus.self.id === voter.id);
    if (!isRunning) return `voter ${voter.id} is not among the running`;
  }
  const wanted = Math.min(machine.targetVoterCount, running.length);
  if (voters.length < wanted) return `${voters.length} voters of ${wanted}`;
  for (const core of running) {
    const own = core.process!.replica;
    if (own.consensus.lastApplied !== machine.lastApplied) return `${core.name} is at ${own.consensus.lastApplied}`;
    if (JSON.stringify(own.state) !== JSON.stringify(state)) return `${core.name} has another state`;
  }
  const revision = state.configuration?.revision ?? 0;
  for (const router of cluster.routers)
    if (router.process !== null && router.process.revision() !== revision)
      return `${router.name} has an older revision`;
  return dutiesLeft(cluster, state);
}

/** What the leader still has to bring about: versions at the runners, access rules in effect, news of both. */
function dutiesLeft(cluster: Cluster, state: ControlState): string | null {
  const { pendingRevision } = state.accessRules;
  if (pendingRevision !== 0) return `the access rules of ${pendingRevision} are not in effect`;
  for (const router of cluster.routers) {
    if (router.process === null) continue;
    if (router.process.router.weights.seq !== state.weightsSeq) return `${router.name} has older weight versions`;
    if (router.process.router.accessRules.state.seq !== state.accessRules.seq)
      return `${router.name} has older access rules`;
    if (!router.process.isReady()) return `${router.name} is not ready`;
  }
  const isDone = runnerFleet.haveAll(cluster.fleet, ruledModel, state.weights[ruledModel] ?? 0);
  return isDone ? null : 'runners have older weights';
}

/** Runs until `isDone`; a violation where that takes longer than the bound. */
async function within(cluster: Cluster, boundMs: number, what: () => string | null): Promise<void> {
  const until = cluster.scheduler.now + boundMs;
  for (;;) {
    const why = what();
    if (why === null || cluster.checks.violation !== null) return;
    if (cluster.scheduler.now >= until) {
      checks.fail(cluster.checks, cluster.scheduler.now, `not at rest ${boundMs} ms after all was calm: ${why}`);
      return;
    }
    await advance(cluster, checkEveryMs);
  }
}

/** Calm comes: the operators stop, a last order must come into force and everybody must have it. */
async function comeToRest(cluster: Cluster): Promise<void> {
  for (const operator of cluster.operators) operator.isStopped = true;
  faults.calmAll(cluster);
  let isAlive = false;
  const first = createOperator(cluster);
  const until = cluster.scheduler.now + settleBoundMs;
  void operators.confirmAlive(first, settleBoundMs).then((result) => {
    isAlive = result;
  });
  await within(cluster, settleBoundMs, () => (isAlive ? null : 'no order comes into force'));
  await within(cluster, Math.max(0, until - cluster.scheduler.now), () => unrest(cluster));
}

/** Each member in turn is stopped as planned and started again; the group must go on. */
async function everyMemberCanLeave(cluster: Cluster): Promise<void> {
  for (const core of [...simulatedCluster.running(cluster)]) {
    if (cluster.checks.violation !== null) return;
    await leaveAndReturn(cluster, core);
  }
}

async function leaveAndReturn(cluster: Cluster, core: CoreMachine): Promise<void> {
  let hasEnded = false;
  faults.terminate(cluster, core, () => {
    hasEnded = true;
  });
  await within(cluster, settleBoundMs, () => (hasEnded ? null : `${core.name} does not end`));
  simulatedCluster.startCore(cluster, core);
  await within(cluster, settleBoundMs, () => unrest(cluster));
}

/**
 * Plays a schedule to its end, or to the first violation. `prepare` may change the world before it starts; a
 * short run ends once the world is at rest.
 */
async function run(schedule: Schedule, prepare?: (cluster: Cluster) => void, isShort = false): Promise<RunResult> {
  const cluster = simulatedCluster.create(schedule.options);
  const state = faults.createState();
  const isFounding = schedule.isFounding === true;
  const calmMs = isFounding ? 0 : beforeFaultsMs / 2;
  state.mayStrikeAtStart = isFounding;
  prepare?.(cluster);
  simulatedCluster.startAll(cluster);
  await advance(cluster, calmMs);
  for (const operator of cluster.operators) operators.start(operator);
  await advance(cluster, calmMs);
  await runFaults(cluster, state, schedule.steps);
  const calmAt = cluster.scheduler.now;
  if (cluster.checks.violation === null) await comeToRest(cluster);
  const settledMs = cluster.scheduler.now - calmAt;
  if (cluster.checks.violation === null && !isShort) await everyMemberCanLeave(cluster);
  checkHistories(cluster);
  return resultOf(cluster, state, settledMs);
}

function checkHistories(cluster: Cluster): void {
  const { checks: found, scheduler, histories } = cluster;
  const text = operators.violation(histories);
  if (text !== null) checks.fail(found, scheduler.now, text);
}

function resultOf(cluster: Cluster, state: FaultState, settledMs: number): RunResult {
  const { scheduler, histories } = cluster;
  return {
    violation: cluster.checks.violation,
    hash: scheduler.hash,
    simulatedMs: scheduler.now,
    events: scheduler.executed,
    struck: state.struck,
    moments: state.moments,
    acknowledged: histories.acknowledgedCount,
    unclear: histories.unclearAnswers,
    elections: cluster.checks.elections,
    membershipChanges: cluster.checks.membershipChanges,
    settledMs,
  };
}

/** The schedule that a number stands for. */
function ofSeed(seed: number): Schedule {
  return fc.sample(arbitrary, { seed, numRuns: 1, unbiased: true })[0]!;
}

/** A schedule on one line, as it can be kept in a test. */
function format(schedule: Schedule): string {
  return JSON.stringify(schedule, (_, value: unknown) => (value === Infinity ? 'Infinity' : value));
}

export const schedules = { arbitrary, run, ofSeed, format };
