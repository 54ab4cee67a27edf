/** Proposals made at this member whose entry is not applied yet. Each is resolved exactly once. */
import type { ApplyOutcome } from '../../state/control/reducer.js';
import type { Entry } from '../../state/log/types.js';
import type { Replica } from './replica-state.js';

/**
 * Resolves the proposals up to an applied entry. One whose index holds an entry of another term was overwritten by
 * another leader's, or was replaced by a snapshot: its outcome is not known here.
 */
function complete(replica: Replica, entry: Entry, outcome: ApplyOutcome | null): void {
  const completed = replica.pendingProposals.filter((proposal) => proposal.index <= entry.index);
  if (completed.length === 0) return;
  replica.pendingProposals = replica.pendingProposals.filter((proposal) => proposal.index > entry.index);
  for (const proposal of completed) {
    const isThis = proposal.index === entry.index && proposal.term === entry.term && outcome !== null;
    proposal.resolve(isThis ? { kind: 'applied', outcome } : { kind: 'unknown' });
  }
}

/** Resolves all with `unknown`: leadership was lost, and their entries may yet be committed or not. */
function abandonAll(replica: Replica): void {
  const all = replica.pendingProposals;
  replica.pendingProposals = [];
  for (const proposal of all) proposal.resolve({ kind: 'unknown' });
}

export const proposals = { complete, abandonAll };
