/**
 * A replica: the consensus state machine connected to its clock, its network and its disk. It makes no decisions of its
 * own: events go into the state machine, and its effects are executed (`effects.ts`). This is what the control plane
 * calls (`controlplane/replica-group.ts`): to propose commands, confirm reads, pass messages in and prepare a stop.
 * Nothing here rejects.
 */
import { snapshotCodec } from '../../state/log/codec.js';
import { storage } from '../../state/log/storage.js';
import type { Command } from '../../state/control/reducer.js';
import { storedFormat } from '../../state/control/stored-format.js';
import { rpcAddress } from './consensus-rpc.js';
import { effects } from './effects.js';
import { leadership } from './leadership.js';
import { outbox } from './outbox.js';
import { proposals } from './proposals.js';
import { raft } from './raft.js';
import { reads } from './reads.js';
import { replicaOpening } from './replica-open.js';
import type { ProposalResult, Replica } from './replica-state.js';
import type { ConsensusEvent, Message } from './types.js';

export type { OpenError, ProposalResult, Replica, ReplicaOptions } from './replica-state.js';

/** Resolution of election time-outs, heartbeats and retransmissions, in milliseconds. */
const tickIntervalMs = 50;

/** How long a stopping follower waits to be replaced by a caught-up learner, in milliseconds. */
const replacementWaitMs = 400;

/** Begins to tick; the replica must have been opened. */
function start(replica: Replica): void {
  replica.tickTimer = replica.runtime.clock.every(tickIntervalMs, () => {
    effects.step(replica, { type: 'tick' });
    requestJoin(replica);
  });
}

/** Asks the group to be added where that is needed, also at the addresses that the settings name at this moment. */
function requestJoin(replica: Replica): void {
  const seeds = replica.settings.seed_addrs.map((address) => rpcAddress(address, replica.settings.port_range[0]));
  const requested = raft.requestJoin(replica.consensus, seeds, replica.runtime.clock.now());
  effects.executeAll(replica, requested);
}

/** Proposes a command and waits until it was applied or its outcome cannot be known here. */
function propose(replica: Replica, command: Command): Promise<ProposalResult> {
  return new Promise((resolve) => {
    const stored = storedFormat.encodeCommand(command);
    const size = snapshotCodec.sizeOf(stored);
    const event: ConsensusEvent = { type: 'propose', command: stored, size };
    const appended = raft.step(replica.consensus, event, replica.runtime.clock.now());
    const proposed = appended.find((effect) => effect.type === 'proposed');
    if (proposed?.type !== 'proposed') return resolve({ kind: 'not_leader' });
    replica.pendingProposals.push({ index: proposed.index, term: proposed.term, resolve });
    effects.executeAll(replica, appended);
  });
}

/** Handles checked messages of one other member; the messages to it that are ready go back in the response. */
function handleMessages(replica: Replica, list: Message[]): Message[] {
  const from = list[0]?.fromAddress ?? '';
  for (const message of list) effects.step(replica, { type: 'message', message });
  return outbox.drainResponses(replica.outbox, from);
}

/** See `reads.ts`: whether a quorum confirmed this member as the leader after the call, within `timeoutMs`. */
function confirmLeadership(replica: Replica, timeoutMs: number): Promise<boolean> {
  return reads.confirmLeadership(replica, timeoutMs, () => effects.step(replica, { type: 'confirm' }));
}

/**
 * Prepares a planned stop: a leader transfers its leadership, and a member asks to be replaced by a
 * caught-up learner. Resolves once that is done, or after `timeoutMs` (ms).
 */
function prepareStop(replica: Replica, timeoutMs: number): Promise<void> {
  const { clock } = replica.runtime;
  const startedAt = clock.now();
  let followingSince: number | null = null;
  return new Promise((resolve) => {
    function poll(): void {
      effects.step(replica, { type: 'prepare_stop' });
      const now = clock.now();
      if (!leadership.isLeader(replica)) followingSince ??= now;
      const waited = followingSince !== null && now - followingSince >= replacementWaitMs;
      if (now - startedAt >= timeoutMs || waited || leadership.isReplaced(replica)) {
        timer.cancel();
        resolve();
      }
    }
    const timer = clock.every(tickIntervalMs, poll);
    effects.step(replica, { type: 'prepare_stop' });
  });
}

/** Stops ticking, resolves pending proposals with `unknown` and flushes the log, for a second at most. */
async function close(replica: Replica): Promise<void> {
  replica.tickTimer?.cancel();
  proposals.abandonAll(replica);
  await storage.close(replica.storage);
}

export const replica = {
  open: replicaOpening.open,
  start,
  propose,
  handleMessages,
  confirmLeadership,
  isLeader: leadership.isLeader,
  leaderAddress: leadership.leaderAddress,
  isFresh: leadership.isFresh,
  holdsExclusiveLease: leadership.holdsExclusiveLease,
  hasTargetVoters: leadership.hasTargetVoters,
  prepareStop,
  close,
  rpcAddress,
};
