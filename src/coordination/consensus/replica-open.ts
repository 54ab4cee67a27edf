/** Opens a replica: recovers its log, creates the consensus state and connects it to storage and network. */
import { EventEmitter } from 'node:events';
import { crc32 } from 'node:zlib';
import { ringLog } from '../../logging/ring.js';
import { controlState } from '../../state/control/reducer.js';
import { storedFormat } from '../../state/control/stored-format.js';
import { snapshotCodec } from '../../state/log/codec.js';
import { logErrors } from '../../state/log/errors.js';
import { storage, type Storage } from '../../state/log/storage.js';
import type { Recovered, Recovery, Snapshot } from '../../state/log/types.js';
import type { Member, Result, Settings } from '../../types.js';
import { rpcAddress } from './consensus-rpc.js';
import { effects } from './effects.js';
import type { ConsensusOptions } from './initial-state.js';
import { outbox } from './outbox.js';
import { quorum } from './quorum.js';
import { raftLog } from './raft-log.js';
import { raft } from './raft.js';
import type { OpenError, Replica, ReplicaEvents, ReplicaOptions } from './replica-state.js';
import { consensusTiming } from './timing.js';
import type { ConsensusState, StoredSnapshot } from './types.js';

/** The members that the settings name, under the ids that they have if they found the group at its very first start. */
function seedMembers(settings: Settings): Member[] {
  return settings.seed_addrs.map((address) => {
    const addr = rpcAddress(address, settings.port_range[0]);
    return { id: `${addr}#first`, addr, control: address };
  });
}

function toStoredSnapshot(snapshot: Snapshot): StoredSnapshot {
  const data = snapshotCodec.encode(snapshot);
  return { ...snapshot, data, checksum: crc32(data) };
}

/**
 * What the member begins with. At the very first start the seeds found the group under known ids. A member without its
 * disk, or whose disk lost what it had acknowledged, is a new one under a new id, and a learner until the others have
 * added it as a voter.
 */
function recoveredOrNew(options: ReplicaOptions, addr: string, recovery: Recovery): Recovered {
  if (recovery.kind === 'recovered') return recovery.recovered;
  const seeds = seedMembers(options.settings);
  const isFounder =
    recovery.kind === 'empty' && options.settings.is_first_start && seeds.some((member) => member.addr === addr);
  const voters = isFounder ? seeds : [];
  const state = storedFormat.encodeState(controlState.empty());
  const suffix = Math.floor(options.runtime.random() * 2 ** 48).toString(16);
  return {
    memberId: isFounder ? `${addr}#first` : `${addr}#${suffix}`,
    hardState: { term: 0, votedFor: null, leader: null },
    snapshot: { index: 0, term: 0, membership: { voters, next: null }, state },
    entries: [],
    commitIndex: 0,
  };
}

/** Enough voters to bear as many losses at a time as the deployment allows. */
function targetVoterCount(settings: Settings): number {
  return Math.max(1, settings.seed_addrs.length, 2 * (settings.tolerance?.machine_losses ?? 0) + 1);
}

/**
 * Opens the replica whose log is in `options.folder`. It must be started before it takes part; the error says why the
 * folder could not be read.
 */
async function open(options: ReplicaOptions): Promise<Result<Replica, OpenError>> {
  const { settings, runtime } = options;
  const opened = await storage.open(options.folder, runtime.clock);
  if (!opened.ok) return { ok: false, error: { kind: 'disk_unreadable', cause: opened.error } };
  const { recovery } = opened.value;
  const controlAddress = settings.bind_addrs.control_addr!;
  const addr = rpcAddress(controlAddress, settings.port_range[0]);
  const initial = recoveredOrNew(options, addr, recovery);
  if (recovery.kind === 'recovered') storage.resume(opened.value.storage, recovery.recovered);
  else storage.initialize(opened.value.storage, initial.memberId, initial.snapshot, initial.hardState);
  const start: ConsensusOptions = {
    self: { id: initial.memberId, addr, control: controlAddress },
    timing: consensusTiming,
    randomSeed: Math.floor(runtime.random() * 2 ** 32),
    targetVoterCount: targetVoterCount(settings),
    hardState: initial.hardState,
    snapshot: toStoredSnapshot(initial.snapshot),
    entries: initial.entries,
    commitIndex: initial.commitIndex,
    canDecodeSnapshot: (data) => snapshotCodec.decode(data).ok,
    now: runtime.clock.now(),
  };
  const { state, effects: initialEffects } = raft.create(start);
  const replica = assemble(options, opened.value.storage, state, initial.snapshot);
  effects.executeAll(replica, initialEffects);
  logOpened(replica, recovery);
  return { ok: true, value: replica };
}

function assemble(
  options: ReplicaOptions,
  logStorage: Storage,
  consensus: ConsensusState,
  snapshot: Snapshot,
): Replica {
  const replica: Replica = Object.assign(new EventEmitter<ReplicaEvents>(), {
    settings: options.settings,
    log: options.log,
    runtime: options.runtime,
    consensus,
    storage: logStorage,
    isDiskFailing: false,
    state: storedFormat.decodeState(snapshot.state),
    appliedIndex: snapshot.index,
    appliedTerm: snapshot.term,
    pendingProposals: [],
    pendingReads: [],
    isConfirmationScheduled: false,
    outbox: outbox.create(options.runtime, (list) => {
      for (const message of list) effects.step(replica, { type: 'message', message });
    }),
    tickTimer: null,
  });
  logStorage.on('synced', (token) => {
    replica.isDiskFailing = false;
    effects.step(replica, { type: 'synced', token });
  });
  logStorage.on('write_failed', (error) => {
    replica.isDiskFailing = true;
    ringLog.error(replica.log, 'disk_write_failed', { error: error.message, code: error.code });
  });
  return replica;
}

function logOpened(replica: Replica, recovery: Recovery): void {
  if (recovery.kind === 'lost') {
    ringLog.error(replica.log, 'disk_data_lost', { reason: logErrors.dataLossText(recovery.loss) });
  }
  const { self, term, membership } = replica.consensus;
  const note = { member: self.id, disk: recovery.kind, lastIndex: raftLog.lastIndex(replica.consensus), term };
  ringLog.note(replica.log, 'replica_opened', { ...note, voters: quorum.allVoters(membership).length });
}

export const replicaOpening = { open };
