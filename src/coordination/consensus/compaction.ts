/**
 * Log compaction: each member by itself replaces the applied part of its log by a snapshot of the control state (thesis
 * 5.1). Called by `effects.ts` after each applied entry.
 */
import { storedFormat } from '../../state/control/stored-format.js';
import { snapshotCodec } from '../../state/log/codec.js';
import { storage, type LogTail } from '../../state/log/storage.js';
import type { Snapshot } from '../../state/log/types.js';
import { persistence } from './persistence.js';
import { raftLog } from './raft-log.js';
import { raft } from './raft.js';
import type { Replica } from './replica-state.js';

/**
 * The log after the snapshot grows to this size, or to that of the snapshot if it is larger, before the next one. A
 * member that lost its disk receives a snapshot, at most that much of the log, and what was written meanwhile.
 */
const minCompactionBytes = 1024 * 1024;

/** The hard state and the entries after a snapshot, read at the moment when it is written. */
function logTailAfter(replica: Replica, index: number): () => LogTail {
  return () => {
    const { consensus } = replica;
    return {
      hardState: persistence.hardStateOf(consensus),
      entries: consensus.entries.filter((entry) => entry.index > index),
    };
  };
}

/** Creates a snapshot if the log is large and none waits for the disk: a newer one would only restart its writing. */
function compactIfLarge(replica: Replica): void {
  if (storage.isSnapshotPending(replica.storage)) return;
  const latest = replica.consensus.snapshot?.data.length ?? 0;
  if (storage.logBytes(replica.storage) <= Math.max(minCompactionBytes, latest)) return;
  const { membership } = raftLog.membershipAt(replica.consensus, replica.appliedIndex);
  const snapshot: Snapshot = {
    index: replica.appliedIndex,
    term: replica.appliedTerm,
    membership,
    state: storedFormat.encodeState(replica.state),
  };
  const encoded = snapshotCodec.encode(snapshot);
  raft.step(replica.consensus, { type: 'compact', index: snapshot.index, data: encoded }, replica.runtime.clock.now());
  storage.saveSnapshot(replica.storage, snapshot, logTailAfter(replica, snapshot.index), { installed: false, encoded });
}

export const compaction = { logTailAfter, compactIfLarge };
