/** The runners of a soak with their store: they crash, drain and are replaced, also by runners of the other service. */
import { setTimeout as sleep } from 'node:timers/promises';
import { runnerOrders } from '../../src/emulator/runner-orders.js';
import { ports } from '../standins/fleet-settings.js';
import { runnerStandin, type RunnerStandin } from '../standins/runner.js';
import { luck, type Luck } from '../support/random.js';
import { services, soakModel, storeService } from './configurations.js';
import type { Recorder } from './history.js';
import { observeRunner, type AnswerHabits } from './runner-answers.js';
import { boundSet } from './soak-settings.js';

/** How many requests a runner works on at a time. */
export const slotCount = 6;
/** For so long a runner serves on once it is listed as draining, beyond `drain_ms`. */
const servesOnMs = 2000;
/** Above the longest stall and pauses of an answer. */
const longestRunMs = 8000;
const idlePollMs = 20;

export class RunnerPool {
  /** Those that are listed; the platform reads this list. */
  readonly listed: RunnerStandin[] = [];
  readonly #all: RunnerStandin[] = [];
  #runnerCount = 0;
  #weightsRevision = 1;
  #store!: RunnerStandin;
  #isStopping = false;

  constructor(
    readonly recorder: Recorder,
    readonly source: Luck,
    readonly habits: AnswerHabits,
  ) {}

  get storeAddress(): string {
    return runnerStandin.addressOf(this.#store);
  }

  /** Starts the store and a runner at each host, for the services in turn. */
  async start(storeHost: string, hosts: string[]): Promise<void> {
    this.#store = await this.#startRunner(storeService, 'store', storeHost);
    for (const [index, host] of hosts.entries())
      this.listed.push(await this.#startRunner(services[index % services.length]!, this.#nextId(), host));
  }

  async stop(): Promise<void> {
    this.#isStopping = true;
    await Promise.all([...this.listed, this.#store].map(runnerStandin.stop));
  }

  /** New runners begin with the newest weights that were named. */
  setNewestWeights(revision: number): void {
    this.#weightsRevision = revision;
  }

  /** A runner ends without notice; another one begins at its address, of another service perhaps. */
  async crash(number: number, how: 'fin' | 'reset', downMs: number, isOtherService: boolean): Promise<void> {
    const position = number % this.listed.length;
    const runner = this.listed[position]!;
    this.#note(runner, `crash ${how}`);
    await endRunner(runner, how);
    await sleep(isOtherService ? Math.max(downMs, boundSet.reuse_after_s * 1000) : downMs);
    const service = isOtherService ? services.find((one) => one !== runner.service)! : runner.service;
    await this.#replace(position, runner, service);
  }

  /** A runner is listed as draining, serves on for a while, ends, and another takes its place. One at a time. */
  async drain(number: number): Promise<void> {
    const position = number % this.listed.length;
    const runner = this.listed[position]!;
    if (this.listed.some(({ draining }) => draining)) return;
    runner.draining = true;
    this.recorder.record({ kind: 'runner_draining', at: this.recorder.now(), runner: runner.id });
    await sleep(boundSet.drain_ms + servesOnMs);
    if (this.#isStopping || this.listed[position] !== runner) return;
    this.#note(runner, 'end');
    await endRunner(runner, 'fin');
    await this.#replace(position, runner, runner.service);
  }

  /** Resolves when no runner is at work any more, so that what each sent is in the history. */
  async whenIdle(): Promise<void> {
    const until = this.recorder.now() + longestRunMs;
    while (this.#all.some(({ activeCount }) => activeCount > 0) && this.recorder.now() < until) await sleep(idlePollMs);
  }

  #nextId(): string {
    return `i-${++this.#runnerCount}`;
  }

  async #startRunner(service: string, id: string, host: string): Promise<RunnerStandin> {
    const identity = { id, host, port: ports.runner, service, zone: 'z1', model: soakModel };
    const runner = await runnerStandin.start(identity);
    this.#all.push(runner);
    runner.slotCount = slotCount;
    runner.orders = runnerOrders.create(id, [{ label: soakModel, revision: this.#weightsRevision }]);
    observeRunner(runner, this.recorder, luck.create(luck.below(this.source, 2 ** 31)), this.habits);
    if (service !== storeService) this.#connectCaches(runner);
    this.#note(runner, 'start');
    return runner;
  }

  /** Runners fetch prefixes from each other and from the store. */
  #connectCaches(runner: RunnerStandin): void {
    runner.store = this.#store;
    runner.sources.set(this.storeAddress, this.#store);
    for (const other of this.listed) {
      runner.sources.set(runnerStandin.addressOf(other), other);
      other.sources.set(runnerStandin.addressOf(runner), runner);
    }
  }

  async #replace(position: number, former: RunnerStandin, service: string): Promise<void> {
    if (this.#isStopping || this.listed[position] !== former) return;
    this.listed[position] = await this.#startRunner(service, this.#nextId(), former.host);
  }

  #note({ id, service }: RunnerStandin, what: string): void {
    this.recorder.record({ kind: 'runner_changed', at: this.recorder.now(), runner: id, service, what });
  }
}

/** Ends a runner as the death of its process would: its connections end in order, or are reset. */
function endRunner(runner: RunnerStandin, how: 'fin' | 'reset'): Promise<void> {
  for (const socket of runner.sockets) {
    if (how === 'fin') socket.end();
    else socket.resetAndDestroy();
  }
  return runnerStandin.stop(runner);
}
