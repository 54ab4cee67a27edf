/** Plays one schedule against real processes and returns what was seen. */
import { setTimeout as sleep } from 'node:timers/promises';
import { luck } from '../support/random.js';
import { soakConfigurations } from './configurations.js';
import { Deployment } from './deployment.js';
import { Recorder, type History } from './history.js';
import { SoakOperator } from './operator.js';
import { RunnerPool, slotCount } from './runner-pool.js';
import { soakSchedules, type Action, type SoakSchedule } from './schedule.js';
import { soakBounds } from './soak-settings.js';
import { Workload } from './workload.js';

/** What a play depends on beside its schedule. `net`: its hosts are 127.`net`.x.y. */
export type PlayOptions = { net: number; clients: number; mostRestMs: number; brokenShare: number };

/** Far above the time for an acknowledgement: without a first configuration there is nothing to play. */
const beginMs = 60_000;
const readIntervalMs = 700;
const sampleIntervalMs = 2000;
const stallCheckMs = 20;
/** Longer pauses of the soak's own process than this are written down. */
const stallMs = 150;
/** After the last trouble a change comes into force and is read back within it. */
const settleMs = 15_000;
const settlePauseMs = 100;
/** For so long requests go on after the last change has to be in force everywhere. */
const judgedAtEndMs = 1500;

/** Watches whether this process gets to run. */
function watchStalls(recorder: Recorder): NodeJS.Timeout {
  let lastAt = recorder.now();
  return setInterval(() => {
    const at = recorder.now();
    const ms = at - lastAt - stallCheckMs;
    if (ms > stallMs) recorder.record({ kind: 'stalled', at, ms });
    lastAt = at;
  }, stallCheckMs);
}

class Play {
  readonly recorder = new Recorder();
  readonly #deployment: Deployment;
  readonly #runners: RunnerPool;
  readonly #timers: NodeJS.Timeout[] = [];
  readonly #actions: Promise<void>[] = [];
  #operator!: SoakOperator;
  #workload!: Workload;

  constructor(
    readonly schedule: SoakSchedule,
    readonly options: PlayOptions,
  ) {
    const { seed, size } = schedule;
    const habits = { brokenShare: options.brokenShare };
    const source = luck.create(seed + 1);
    this.#runners = new RunnerPool(this.recorder, source, habits);
    this.#deployment = new Deployment(options.net, size, this.recorder, source, this.#runners);
  }

  async run(): Promise<History> {
    try {
      await this.#begin();
      await this.#playEntries();
      await this.#comeToRest();
    } finally {
      for (const timer of this.#timers) clearInterval(timer);
      await this.#deployment.stop();
    }
    const coreNodes = soakSchedules.coreNodes(this.schedule.size);
    return { bounds: soakBounds, coreNodes, events: this.recorder.events };
  }

  async #begin(): Promise<void> {
    const { seed } = this.schedule;
    const deployment = this.#deployment;
    this.#timers.push(watchStalls(this.recorder));
    await deployment.start();
    const initial = soakConfigurations.first(luck.create(seed + 2), this.#runners.storeAddress, slotCount);
    const nodes = deployment.controlNodes;
    this.#operator = new SoakOperator(this.recorder, nodes, initial, luck.create(seed + 3));
    this.#operator.onWeightsNamed = (revision) => this.#runners.setNewestWeights(revision);
    const isBegun = await Promise.race([this.#operator.begin().then(() => true), sleep(beginMs).then(() => false)]);
    if (!isBegun) throw new Error(`the first configuration was not acknowledged within ${beginMs} ms`);
    this.#workload = new Workload(this.recorder, deployment.routerTargets, () => this.#operator.current);
    this.#workload.start(seed, this.options.clients, this.options.mostRestMs);
    this.#timers.push(setInterval(() => deployment.sampleMemory(), sampleIntervalMs));
    const reader = luck.create(seed + 4);
    this.#timers.push(setInterval(() => void this.#operator.read(luck.pick(reader, nodes)), readIntervalMs));
  }

  async #playEntries(): Promise<void> {
    const startedAt = this.recorder.now();
    for (const { atMs, action } of this.schedule.entries) {
      await sleep(Math.max(0, startedAt + atMs - this.recorder.now()));
      this.#actions.push(this.#act(action));
    }
    await sleep(Math.max(0, startedAt + this.schedule.size.seconds * 1000 - this.recorder.now()));
    await Promise.all(this.#actions);
  }

  async #act(action: Action): Promise<void> {
    const deployment = this.#deployment;
    const operator = this.#operator;
    switch (action.kind) {
      case 'terminate':
        return deployment.terminate(action.node, action.downMs);
      case 'kill':
        return deployment.kill(action.node, action.downMs, false);
      case 'wipe':
        return deployment.kill(action.node, action.downMs, true);
      case 'kill_core':
        return deployment.killCore(action.downMs);
      case 'hang_up':
        return deployment.hangUp(action.node);
      case 'freeze':
        return deployment.freeze(action.node, action.forMs);
      case 'link': {
        const { effect, callers, salt, forMs } = action;
        return deployment.faultLinks(action.node, { effect, callers, salt, delayMs: salt }, forMs);
      }
      case 'change':
        return operator.change(action.change, action.draw, action.isWhole);
      case 'race':
        return operator.race(action.count, action.draw);
      case 'invalid_order':
        return operator.invalidOrder(action.draw);
      case 'name_weights':
        return operator.nameWeights();
      case 'crash_runner':
        return this.#runners.crash(action.runner, action.how, action.downMs, action.isOtherService);
      case 'drain_runner':
        return this.#runners.drain(action.runner);
      case 'platform':
        return deployment.troublePlatform(action.effect, action.forMs);
    }
  }

  /** A last change must come into force everywhere, be read back, and everything that is under way must end. */
  async #comeToRest(): Promise<void> {
    const { recorder } = this;
    const until = recorder.now() + settleMs;
    this.#operator.change('change_numbers', this.schedule.seed, false);
    const isDone = await Promise.race([this.#operator.whenIdle().then(() => true), sleep(settleMs).then(() => false)]);
    this.#operator.isEnding = true;
    for (let turn = 0; isDone && recorder.now() < until; turn++) {
      const nodes = this.#deployment.controlNodes;
      const { status } = await this.#operator.read(nodes[turn % nodes.length]!, true);
      if (status === 200) break;
      await sleep(settlePauseMs);
    }
    if (!isDone) await this.#operator.read(this.#deployment.controlNodes[0]!, true);
    await sleep(soakBounds.applyMs + judgedAtEndMs);
    await this.#workload.stop();
    await this.#runners.whenIdle();
  }
}

/** Plays a schedule; everything that was started has ended when it resolves. */
export function playSchedule(schedule: SoakSchedule, options: PlayOptions): Promise<History> {
  return new Play(schedule, options).run();
}
