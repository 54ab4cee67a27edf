/**
 * Checks that the events of a further run go on where the client stands. A runner that was asked to go on may
 * begin earlier; what the client has is skipped then, and the rest is taken only if the runs meet at exactly
 * the client's last event.
 */
import type { Event } from './events.js';

/** `lastId`: the client's last event. `skipped`: the last event skipped. `passed`: the last one passed on. */
export type Continuation = { lastId: string; skipped: string | null; passed: string | null };

/** What to do with an event: `mismatch` says that this run does not continue what the client has. */
export type Continued = 'pass' | 'skip' | 'mismatch';

function create(lastId: string): Continuation {
  return { lastId, skipped: null, passed: null };
}

function isAfter(id: string, other: string): boolean {
  return Number(id) > Number(other);
}

function take(state: Continuation, event: Event): Continued {
  const { id } = event;
  if (id === null) return event.hasData ? 'mismatch' : 'skip';
  if (isAfter(id, state.passed ?? state.lastId)) {
    if (state.passed === null && state.skipped !== null && state.skipped !== state.lastId) return 'mismatch';
    state.passed = id;
    return 'pass';
  }
  if (state.passed !== null || !Number.isFinite(Number(id))) return 'mismatch';
  state.skipped = id;
  return 'skip';
}

export const continuation = { create, take };
