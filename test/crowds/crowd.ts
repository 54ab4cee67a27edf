/**
 * Plays a crowd against one process of a fleet of its own and checks what doesn't depend on the machine's speed: the
 * process lives, its memory and its descriptors stay below those of its machine, and an ordinary request is answered
 * while the crowd stays and after it has left.
 */
import { strict as assert } from 'node:assert';
import { setTimeout as sleep } from 'node:timers/promises';
import { fleetStandin, type Fleet, type Machine } from '../standins/fleet.js';
import { CrowdMember, type MemberPlan } from './member.js';
import { ProcessWatch } from './process-watch.js';

/** What the settings say of the machine. */
export type MachineLimits = { memory_mb: number; max_fds: number };

/** The operator's limits on clients, of the configuration. */
export type ClientLimits = { header_bytes: number; body_bytes: number; header_ms: number; idle_ms: number };

/** A process with a crowd at one of its doors. */
export type CrowdScene = {
  net: number;
  limits: MachineLimits;
  clientLimits?: ClientLimits;
  /** The process whose door it is. */
  target: (fleet: Fleet) => Machine;
  members: (fleet: Fleet) => MemberPlan[];
  /** An ordinary request to that process: whether it was answered as it should be. */
  askOrdinary: (fleet: Fleet) => Promise<boolean>;
};

const bytesPerMegabyte = 1024 * 1024;

/** The longest wait until each member has sent what it means to send, was closed, or is held up; in ms. */
const maxPlayMs = 60_000;
const pollMs = 50;

/** The smallest machines of the users' site files, by class. */
export const smallestMachines = { edge: { memory_mb: 160, max_fds: 4100 }, core: { memory_mb: 346, max_fds: 4096 } };

/** The limits in the users' site files. */
export const usualClientLimits: ClientLimits = {
  header_bytes: 16_384,
  body_bytes: 4_194_304,
  header_ms: 3000,
  idle_ms: 15_000,
};

async function untilSettled(members: CrowdMember[]): Promise<void> {
  const until = performance.now() + maxPlayMs;
  while (members.some(({ state }) => state === 'sending') && performance.now() < until) await sleep(pollMs);
}

async function start({ net, limits, clientLimits }: CrowdScene): Promise<Fleet> {
  const fleet = await fleetStandin.create(net, 1, 1, limits);
  const document = { ...fleetStandin.configuration(1, net), limits: clientLimits ?? usualClientLimits };
  await fleetStandin.until(
    () => fleetStandin.operator(fleet, 1, 'PUT', '/v1/config', document, 0),
    ({ status }) => status === 200,
    'the first configuration',
  );
  await fleetStandin.until(
    () => fleetStandin.ready(fleet, 1),
    ({ status }) => status === 200,
    'a router that is ready',
  );
  return fleet;
}

/** Plays the crowd and checks what has to hold. */
export async function playCrowd(scene: CrowdScene): Promise<void> {
  const fleet = await start(scene);
  const members: CrowdMember[] = [];
  const target = scene.target(fleet);
  const watch = new ProcessWatch(target.child!.pid!);
  const isAlive = (): boolean => target.child!.exitCode === null && target.child!.signalCode === null;
  const untilAnswered = (when: string): Promise<boolean> =>
    fleetStandin.until(
      () => {
        assert.ok(isAlive(), `the process ended ${when}: ${target.errors.slice(-2000)}`);
        return scene.askOrdinary(fleet);
      },
      (isAnswered) => isAnswered,
      `an answer to an ordinary request ${when}`,
    );
  try {
    await untilAnswered('before the crowd');
    members.push(...scene.members(fleet).map((plan) => new CrowdMember(plan)));
    await untilSettled(members);
    await untilAnswered('beside the crowd');
    for (const member of members) member.leave();
    await untilAnswered('after the crowd');
    const peakMegabytes = watch.peakMemoryBytes()! / bytesPerMegabyte;
    process.stdout.write(`peak: ${peakMegabytes.toFixed(1)} MB, ${watch.peakDescriptors} descriptors\n`);
    assert.ok(isAlive());
    assert.ok(peakMegabytes <= scene.limits.memory_mb, `${peakMegabytes.toFixed(1)} MB of memory`);
    assert.ok(watch.peakDescriptors <= scene.limits.max_fds, `${watch.peakDescriptors} descriptors`);
  } finally {
    watch.stop();
    for (const member of members) member.leave();
    await fleetStandin.stop(fleet);
  }
}
