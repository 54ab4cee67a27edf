/**
 * Executes the effects of the consensus state machine: messages, writes, entries to apply, snapshots to install and
 * changes of role. Effects are executed in the order in which one step returned them; none waits for network or disk.
 */
import { ringLog } from '../../logging/ring.js';
import { controlState } from '../../state/control/reducer.js';
import { storedFormat } from '../../state/control/stored-format.js';
import { snapshotCodec } from '../../state/log/codec.js';
import { logErrors } from '../../state/log/errors.js';
import { storage } from '../../state/log/storage.js';
import type { Entry } from '../../state/log/types.js';
import type { Member } from '../../types.js';
import { compaction } from './compaction.js';
import { outbox } from './outbox.js';
import { proposals } from './proposals.js';
import { raft } from './raft.js';
import { reads } from './reads.js';
import type { Replica } from './replica-state.js';
import type { ConsensusEffect, ConsensusEvent, StoredSnapshot } from './types.js';

/**
 * Steps the state machine by one event, executes the effects, which it returns, and answers the reads confirmed by it.
 */
function step(replica: Replica, event: ConsensusEvent): ConsensusEffect[] {
  const effects = raft.step(replica.consensus, event, replica.runtime.clock.now());
  executeAll(replica, effects);
  reads.complete(replica);
  return effects;
}

/** Executes effects that did not come out of `step`: those of the start, of a proposal and of a request to join. */
function executeAll(replica: Replica, effects: ConsensusEffect[]): void {
  for (const effect of effects) execute(replica, effect);
}

function execute(replica: Replica, effect: ConsensusEffect): void {
  switch (effect.type) {
    case 'send':
      return outbox.send(replica.outbox, effect.address, effect.message, effect.channel);
    case 'write':
      return storage.write(replica.storage, effect.records, effect.token);
    case 'apply':
      return applyEntry(replica, effect.entry);
    case 'install':
      return installSnapshot(replica, effect.snapshot);
    case 'role':
      ringLog.note(replica.log, 'role_changed', { role: effect.role, term: effect.term });
      if (effect.role !== 'leader') proposals.abandonAll(replica);
      replica.emit('role', effect.role);
      return;
    case 'truncated':
      ringLog.note(replica.log, 'entries_truncated', { from: effect.from });
      return;
    case 'proposed':
      return;
  }
}

function applyEntry(replica: Replica, entry: Entry): void {
  const command = entry.data.kind === 'command' ? storedFormat.decodeCommand(entry.data.command) : null;
  const applied = command && controlState.apply(replica.state, command);
  if (applied) replica.state = applied.state;
  replica.appliedIndex = entry.index;
  replica.appliedTerm = entry.term;
  if (entry.data.kind === 'membership') logMembershipChange(replica, entry);
  proposals.complete(replica, entry, applied?.outcome ?? null);
  replica.emit('applied');
  compaction.compactIfLarge(replica);
}

function logMembershipChange(replica: Replica, entry: Entry): void {
  if (entry.data.kind !== 'membership') return;
  const { voters, next } = entry.data.membership;
  ringLog.note(replica.log, 'membership_changed', { voters: memberIds(voters), next: next && memberIds(next) });
}

function memberIds(members: Member[]): string[] {
  return members.map((member) => member.id);
}

function installSnapshot(replica: Replica, stored: StoredSnapshot): void {
  const decoded = snapshotCodec.decode(stored.data);
  if (!decoded.ok) {
    ringLog.error(replica.log, 'snapshot_unreadable', { error: logErrors.decodeText(decoded.error) });
    return;
  }
  replica.state = storedFormat.decodeState(decoded.value.state);
  replica.appliedIndex = stored.index;
  replica.appliedTerm = stored.term;
  proposals.abandonAll(replica);
  const tail = compaction.logTailAfter(replica, stored.index);
  storage.saveSnapshot(replica.storage, decoded.value, tail, { installed: true, encoded: stored.data });
  ringLog.note(replica.log, 'snapshot_installed', { index: stored.index, bytes: stored.data.length });
  replica.emit('applied');
}

export const effects = { step, executeAll };
