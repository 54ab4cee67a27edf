/**
 * The writes that the state machine asks of the disk. Each gets a token, one higher than the last; the event `synced`
 * brings it back once the write and all earlier ones are durable.
 */
import type { HardState, LogRecord } from '../../state/log/types.js';
import type { ConsensusState, Effects } from './types.js';

/** Hands records to the disk and returns the token that will come back once they are durable. */
function persist(state: ConsensusState, records: LogRecord[], now: number, effects: Effects): number {
  if (state.lastSyncedToken === state.lastWriteToken) state.writePendingSince = now;
  state.lastWriteToken++;
  effects.push({
    type: 'write',
    records: [...records, { kind: 'commit_index', index: state.commitIndex }],
    token: state.lastWriteToken,
  });
  return state.lastWriteToken;
}

/** What must be durable before this member answers: term, vote and acknowledged leader (thesis figure 3.1). */
function hardStateOf(state: ConsensusState): HardState {
  return { term: state.term, votedFor: state.votedFor, leader: state.acknowledgedLeader };
}

/** Writes the hard state; `hardStateToken` tells when it is durable. */
function persistHardState(state: ConsensusState, now: number, effects: Effects): void {
  state.hardStateToken = persist(state, [{ kind: 'hard_state', hardState: hardStateOf(state) }], now, effects);
}

export const persistence = { hardStateOf, persist, persistHardState };
