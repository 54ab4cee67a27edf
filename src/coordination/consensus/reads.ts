/**
 * Linearizable reads without a write to the log (read index, thesis 6.4): a read is confirmed once a quorum has
 * answered a heartbeat that was sent after the read came in.
 */
import { leadership } from './leadership.js';
import { lease } from './lease.js';
import type { PendingRead, Replica } from './replica-state.js';

/**
 * Waits until this member, as the leader, knows that nobody led in a later term when the call came in; all that was
 * committed before it is applied then. False when it does not lead, ceases to, or after `timeoutMs` (ms).
 */
function confirmLeadership(replica: Replica, timeoutMs: number, sendHeartbeat: () => void): Promise<boolean> {
  if (!leadership.isLeader(replica)) return Promise.resolve(false);
  const { clock } = replica.runtime;
  return new Promise((resolve) => {
    const read: PendingRead = {
      since: clock.now(),
      resolve,
      timer: clock.after(timeoutMs, () => {
        replica.pendingReads = replica.pendingReads.filter((pending) => pending !== read);
        resolve(false);
      }),
    };
    replica.pendingReads.push(read);
    scheduleHeartbeat(replica, sendHeartbeat);
  });
}

/** One heartbeat confirms all reads of this turn of the event loop. */
function scheduleHeartbeat(replica: Replica, sendHeartbeat: () => void): void {
  if (replica.isConfirmationScheduled) return;
  replica.isConfirmationScheduled = true;
  replica.runtime.clock.after(0, () => {
    replica.isConfirmationScheduled = false;
    sendHeartbeat();
  });
}

/** Resolves the reads that are confirmed by now, or all of them with false when leadership was lost. */
function complete(replica: Replica): void {
  if (replica.pendingReads.length === 0) return;
  const isLeader = leadership.isLeader(replica);
  const confirmedUpTo = isLeader ? lease.confirmedUpTo(replica.consensus, replica.runtime.clock.now()) : Infinity;
  const completed = replica.pendingReads.filter((read) => read.since <= confirmedUpTo);
  replica.pendingReads = replica.pendingReads.filter((read) => read.since > confirmedUpTo);
  for (const read of completed) {
    read.timer.cancel();
    read.resolve(isLeader);
  }
}

export const reads = { confirmLeadership, complete };
