/**
 * The simulated coordinators: the Raft state machine of each on virtual time, with a disk that keeps what was written
 * and a network that loses nothing. Says who the leader is; what a leader does is in `leader.ts`.
 */
import { consensusTiming } from '../../coordination/consensus/timing.js';
import { raft } from '../../coordination/consensus/raft.js';
import type { ConsensusEffect, ConsensusEvent, ConsensusState } from '../../coordination/consensus/types.js';
import type { Member } from '../../types.js';
import type { VirtualClock } from './virtual-clock.js';

/** How long a write takes to be durable, and how often the state machines are ticked. */
const diskSyncMs = 5;
const tickMs = 50;
/** Apart enough that no two coordinators draw the same election time-outs. */
const seedStep = 7919;
const maxSeedOffset = 1e6;

type SimulatedCoordinator = { address: string; isUp: boolean; machine: ConsensusState };

/** The coordinators and the network between them, with one delay for all messages. */
export type SimulatedConsensus = {
  nodes: SimulatedCoordinator[];
  messagesSent: number;
  clock: VirtualClock;
  networkMs: number;
};

/** No snapshots are taken in the simulator, so there is none that can't be decoded. */
function canDecodeSnapshot(): boolean {
  return true;
}

/** Coordinators that are up with empty logs; the first election follows on the clock. */
function create(clock: VirtualClock, count: number, networkMs: number): SimulatedConsensus {
  const voters = Array.from({ length: count }, (_, index): Member => ({
    id: `c${index}#first`,
    addr: `c${index}`,
    control: `c${index}`,
  }));
  const simulated: SimulatedConsensus = { clock, networkMs, messagesSent: 0, nodes: [] };
  voters.forEach((self, index) => {
    const { state, effects } = raft.create({
      self,
      timing: consensusTiming,
      randomSeed: index * seedStep + clock.randomBelow(maxSeedOffset),
      targetVoterCount: count,
      hardState: { term: 0, votedFor: null, leader: null },
      snapshot: { index: 0, term: 0, membership: { voters, next: null }, data: new Uint8Array(), checksum: 0 },
      entries: [],
      commitIndex: 0,
      canDecodeSnapshot,
      now: clock.now,
    });
    simulated.nodes.push({ address: self.addr, isUp: true, machine: state });
    execute(simulated, self.addr, effects);
  });
  for (const { address } of simulated.nodes) startTicking(simulated, address);
  return simulated;
}

function startTicking(simulated: SimulatedConsensus, address: string): void {
  step(simulated, address, { type: 'tick' });
  simulated.clock.after(tickMs, () => {
    startTicking(simulated, address);
  });
}

function nodeAt({ nodes }: SimulatedConsensus, address: string): SimulatedCoordinator | undefined {
  return nodes.find((node) => node.address === address);
}

function step(simulated: SimulatedConsensus, address: string, event: ConsensusEvent): void {
  const node = nodeAt(simulated, address);
  if (!node?.isUp) return;
  execute(simulated, address, raft.step(node.machine, event, simulated.clock.now));
}

/** Executes the effects that the machine asked for: messages and writes; the others have no meaning here. */
function execute(simulated: SimulatedConsensus, address: string, effects: ConsensusEffect[]): void {
  const { clock, networkMs } = simulated;
  for (const effect of effects) {
    if (effect.type === 'send') {
      simulated.messagesSent++;
      const message = structuredClone(effect.message);
      clock.after(networkMs, () => {
        step(simulated, effect.address, { type: 'message', message });
      });
    } else if (effect.type === 'write') {
      const { token } = effect;
      clock.after(diskSyncMs, () => {
        step(simulated, address, { type: 'synced', token });
      });
    }
  }
}

/** The address of a coordinator that is up and leads, or null. */
function leader({ nodes }: SimulatedConsensus): string | null {
  return nodes.find(({ isUp, machine }) => isUp && machine.role === 'leader')?.address ?? null;
}

/** Crashes a coordinator, which starts again from its disk after `downMs`. */
function crash(simulated: SimulatedConsensus, address: string, downMs: number): void {
  const node = nodeAt(simulated, address)!;
  if (!node.isUp) return;
  node.isUp = false;
  simulated.clock.after(downMs, () => {
    restart(simulated, node);
  });
}

function restart(simulated: SimulatedConsensus, node: SimulatedCoordinator): void {
  const { machine: before } = node;
  const { state, effects } = raft.create({
    self: before.self,
    timing: consensusTiming,
    randomSeed: before.randomSeed,
    targetVoterCount: before.targetVoterCount,
    hardState: { term: before.term, votedFor: before.votedFor, leader: before.acknowledgedLeader },
    snapshot: before.snapshot!,
    entries: before.entries,
    commitIndex: before.commitIndex,
    canDecodeSnapshot,
    now: simulated.clock.now,
  });
  node.machine = state;
  node.isUp = true;
  execute(simulated, node.address, effects);
}

export const simulatedConsensus = { create, leader, crash };
