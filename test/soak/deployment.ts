/**
 * The system of a soak: the project's programs as processes of their own, each coordinator behind a proxy of its RPC
 * server, with a stand-in for the platform beside the pool of runners. Hosts are 127.`net`.x.y.
 */
import { mkdirSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { luck, type Luck } from '../support/random.js';
import { machineProcess, type Machine, type NodePlace } from '../standins/machine.js';
import { platformStandin, type PlatformStandin } from '../standins/platform.js';
import { ports } from '../standins/fleet-settings.js';
import type { Recorder } from './history.js';
import { LinkProxy } from './link-proxy.js';
import type { ControlNode } from './operator.js';
import type { RunnerPool } from './runner-pool.js';
import { soakSchedules, type SoakSize } from './schedule.js';
import { boundSet, soakBounds, soakSettings } from './soak-settings.js';
import type { RouterTarget } from './workload.js';

/** Third parts of the addresses. A coordinator is known under one of `core` and listens at one of `coreBehindProxy`. */
const subnets = { core: 1, coreBehindProxy: 2, router: 3, runner: 4, outside: 5 };
const seedCount = 3;
const catchUpMs = boundSet.catch_up_s * 1000;
const bytesPerKilobyte = 1024;

export class Deployment {
  readonly machines: Machine[] = [];
  readonly proxies = new Map<string, LinkProxy>();
  readonly #dir = mkdtempSync(join(tmpdir(), 'milletcleat-soak-'));
  readonly #lives = new Map<string, number>();
  readonly #expectedEnds = new Set<string>();
  /** Machines whose programs the soak wants to be down. */
  readonly #down = new Set<string>();
  /** Until when each lost disk counts as lost. */
  #diskLosses: number[] = [];
  #coreTroubleUntil = 0;
  #platform!: PlatformStandin;
  #isStopping = false;

  constructor(
    readonly net: number,
    readonly size: SoakSize,
    readonly recorder: Recorder,
    readonly source: Luck,
    readonly runners: RunnerPool,
  ) {}

  get coreMachines(): Machine[] {
    return this.machines.filter(({ program }) => program === 'coordinator');
  }

  /** How many core machines may lose their disks at once. */
  get tolerance(): number {
    return Math.floor((this.size.coordinators - 1) / 2);
  }

  get controlNodes(): ControlNode[] {
    return this.coreMachines.map(({ name, ip }) => ({ name, host: ip, port: ports.control }));
  }

  get routerTargets(): RouterTarget[] {
    return this.machines
      .filter(({ program }) => program === 'router')
      .map(({ name, ip }) => ({ name, host: ip, port: ports.client, readyPort: ports.ready }));
  }

  /** Starts everything; the machines within 0.3 s of each other. */
  async start(): Promise<void> {
    // No program outlives the soak, however that ends.
    process.on('exit', () => this.#killAll());
    const runnerHosts = Array.from({ length: this.size.runners }, (_, index) => this.#ip('runner', index + 1));
    await this.runners.start(this.#ip('outside', 2), runnerHosts);
    this.#platform = await platformStandin.start(this.#ip('outside', 1), ports.platform, this.runners.listed);
    for (const [index, name] of soakSchedules.coreNodes(this.size).entries()) await this.#addCore(name, index + 1);
    for (const [index, name] of soakSchedules.routerNodes(this.size).entries())
      this.#add({ name, ip: this.#ip('router', index + 1), program: 'router', dataDir: '' });
    await Promise.all(
      this.machines.map(async (machine) => {
        await sleep(luck.below(this.source, 300));
        this.#boot(machine, true);
      }),
    );
  }

  /** Ends everything that was started. */
  async stop(): Promise<void> {
    this.#isStopping = true;
    for (const machine of this.machines) machine.child?.kill('SIGCONT');
    await Promise.all(this.machines.map((machine) => machineProcess.end(machine, 'SIGKILL')));
    for (const proxy of this.proxies.values()) proxy.stop();
    await this.runners.stop();
    this.#platform.server.close();
    this.#platform.server.closeAllConnections();
    rmSync(this.#dir, { recursive: true, force: true });
  }

  #killAll(): void {
    for (const { child } of this.machines) child?.kill('SIGKILL');
  }

  /** Whether the program of a machine runs. */
  isRunning(node: string): boolean {
    return machineProcess.isRunning(this.#machine(node));
  }

  /** SIGTERM, SIGKILL once the grace is over, and a start `downMs` after the end. */
  async terminate(node: string, downMs: number): Promise<void> {
    const machine = this.#machine(node);
    if (!this.#begin(machine)) return;
    const at = this.recorder.now();
    const { graceMs } = soakBounds;
    const trouble = this.#trouble([node], 'terminate', at + graceMs, true);
    const killer = setTimeout(() => machine.child?.kill('SIGKILL'), graceMs);
    await machineProcess.end(machine, 'SIGTERM');
    clearTimeout(killer);
    await sleep(downMs);
    trouble.until = this.recorder.now();
    this.#boot(machine, false);
  }

  /** SIGKILL, with the disk kept or lost, and a start `downMs` later. */
  async kill(node: string, downMs: number, losesDisk: boolean): Promise<void> {
    const machine = this.#machine(node);
    if (losesDisk && !this.#mayLoseDisk()) return;
    if (!this.#begin(machine)) return;
    const until = this.recorder.now() + downMs;
    const trouble = this.#trouble([node], losesDisk ? 'wipe' : 'kill', until, false);
    if (losesDisk) this.#diskLosses.push(until);
    await machineProcess.end(machine, 'SIGKILL');
    if (losesDisk) {
      rmSync(machine.dataDir, { recursive: true, force: true });
      mkdirSync(machine.dataDir);
    }
    await sleep(downMs);
    trouble.until = this.recorder.now();
    this.#boot(machine, false);
  }

  /** All processes of the core at the same instant, their disks kept. */
  async killCore(downMs: number): Promise<void> {
    await Promise.all(this.coreMachines.map(({ name }) => this.kill(name, downMs, false)));
  }

  /** SIGHUP: the settings file was written anew. */
  hangUp(node: string): void {
    const machine = this.#machine(node);
    if (!this.isRunning(node) || this.#down.has(node)) return;
    machineProcess.writeSettings(machine, this.#settings(machine, false));
    machine.child?.kill('SIGHUP');
    this.#trouble([node], 'hang_up', this.recorder.now(), true);
  }

  /** SIGSTOP, and SIGCONT `forMs` later. */
  async freeze(node: string, forMs: number): Promise<void> {
    const machine = this.#machine(node);
    if (!this.isRunning(node) || this.#down.has(node)) return;
    const trouble = this.#trouble([node], 'freeze', this.recorder.now() + forMs, false);
    machine.child?.kill('SIGSTOP');
    await sleep(forMs);
    machine.child?.kill('SIGCONT');
    trouble.until = this.recorder.now();
  }

  /** A fault of the links to a coordinator. */
  async faultLinks(node: string, fault: Parameters<LinkProxy['setFault']>[0], forMs: number): Promise<void> {
    const everybody = this.machines.map(({ name }) => name);
    const trouble = this.#trouble(everybody, `link ${fault?.effect}`, this.recorder.now() + forMs, false);
    this.proxies.get(node)?.setFault(fault);
    await sleep(forMs);
    this.proxies.get(node)?.setFault(null);
    trouble.until = this.recorder.now();
  }

  async troublePlatform(mode: 'silent' | 'too_many' | 'failing', forMs: number): Promise<void> {
    const everybody = this.machines.map(({ name }) => name);
    this.#trouble(everybody, `platform ${mode}`, this.recorder.now() + forMs, false);
    this.#platform.mode = mode;
    await sleep(forMs);
    this.#platform.mode = 'healthy';
  }

  /** Notes the resident memory of each process. */
  sampleMemory(): void {
    for (const { name, child } of this.machines) {
      const bytes = child?.pid === undefined ? null : residentBytes(child.pid);
      if (bytes !== null) this.recorder.record({ kind: 'memory_sampled', at: this.recorder.now(), node: name, bytes });
    }
  }

  #ip(subnet: keyof typeof subnets, host: number): string {
    return `127.${this.net}.${subnets[subnet]}.${host}`;
  }

  #machine(node: string): Machine {
    return this.machines.find(({ name }) => name === node)!;
  }

  async #addCore(name: string, number: number): Promise<void> {
    const place = { name, ip: this.#ip('core', number), listenIp: this.#ip('coreBehindProxy', number) };
    this.proxies.set(name, await LinkProxy.start(place.ip, place.listenIp, ports.rpc));
    const dataDir = join(this.#dir, name);
    mkdirSync(dataDir);
    this.#add({ ...place, program: 'coordinator', dataDir });
  }

  #add(place: NodePlace): void {
    this.machines.push({ ...place, child: null, errors: '', settingsFile: join(this.#dir, `${place.name}.yaml`) });
  }

  #settings(machine: Machine, isFirstStart: boolean): object {
    const seeds = this.controlNodes.slice(0, seedCount).map(({ host, port }) => `${host}:${port}`);
    const platformAddress = `${this.#ip('outside', 1)}:${ports.platform}`;
    return soakSettings(machine, { seeds, tolerance: this.tolerance, platformAddress }, isFirstStart);
  }

  #boot(machine: Machine, isFirstStart: boolean): void {
    this.#down.delete(machine.name);
    if (this.#isStopping) return;
    const life = (this.#lives.get(machine.name) ?? 0) + 1;
    this.#lives.set(machine.name, life);
    this.#expectedEnds.delete(machine.name);
    machine.errors = '';
    machineProcess.boot(machine, this.#settings(machine, isFirstStart));
    this.recorder.record({ kind: 'process_started', at: this.recorder.now(), node: machine.name, life });
    machine.child?.once('exit', (code) => this.#noteEnd(machine, code));
  }

  #noteEnd(machine: Machine, code: number | null): void {
    const { name, errors } = machine;
    const isExpected = this.#isStopping || this.#expectedEnds.has(name);
    this.recorder.record({ kind: 'process_ended', at: this.recorder.now(), node: name, isExpected, code, errors });
    if (!isExpected) setTimeout(() => this.#boot(machine, false), 300);
  }

  /** Whether the program may be ended now; it is expected to end from here on. */
  #begin(machine: Machine): boolean {
    if (this.#down.has(machine.name) || !machineProcess.isRunning(machine)) return false;
    this.#down.add(machine.name);
    this.#expectedEnds.add(machine.name);
    return true;
  }

  #trouble(nodes: string[], what: string, until: number, isPlanned: boolean): { until: number } {
    const event = { kind: 'trouble' as const, at: this.recorder.now(), until, nodes, what, isPlanned };
    this.recorder.record(event);
    const isCore = nodes.some((node) => this.#machine(node).program === 'coordinator');
    if (isCore) this.#coreTroubleUntil = Math.max(this.#coreTroubleUntil, until);
    return event;
  }

  /** A machine counts as lost until it has been back, without further trouble of the core, for `catch_up_s`. */
  #mayLoseDisk(): boolean {
    const now = this.recorder.now();
    this.#diskLosses = this.#diskLosses.filter((backAt) => now < Math.max(backAt, this.#coreTroubleUntil) + catchUpMs);
    return this.#diskLosses.length < this.tolerance;
  }
}

/** The resident memory of a process, or null once it is gone (Linux). */
function residentBytes(pid: number): number | null {
  try {
    const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
    return kilobytes === undefined ? null : Number(kilobytes) * bytesPerKilobyte;
  } catch {
    return null;
  }
}
