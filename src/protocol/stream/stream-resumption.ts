/**
 * Resumes a stream of the client with the events of a further attempt. A runner that was asked to go on after
 * `Last-Event-Id` may begin earlier; what the client has is skipped then, and the rest is forwarded only if the last
 * event skipped is exactly the client's last event.
 */
import type { ServerSentEvent } from './event-stream-parser.js';

/** `lastEventId`: the client's last event. The others are ids of events of the further attempt. */
export type StreamResumption = {
  lastEventId: string;
  lastSkippedId: string | null;
  lastForwardedId: string | null;
};

/** `mismatch`: this stream does not continue what the client has, and nothing more of it may be forwarded. */
export type ResumptionDecision = 'forward' | 'skip' | 'mismatch';

/** A resumption after the client's last event, before any event of the further attempt. */
function create(lastEventId: string): StreamResumption {
  return { lastEventId, lastSkippedId: null, lastForwardedId: null };
}

function isAfter(id: string, other: string): boolean {
  return Number(id) > Number(other);
}

/** What to do with the next event. */
function accept(resumption: StreamResumption, event: ServerSentEvent): ResumptionDecision {
  const { id } = event;
  if (id === null) return event.hasData ? 'mismatch' : 'skip';
  const { lastEventId, lastSkippedId, lastForwardedId } = resumption;
  if (isAfter(id, lastForwardedId ?? lastEventId)) {
    if (lastForwardedId === null && lastSkippedId !== null && lastSkippedId !== lastEventId) return 'mismatch';
    resumption.lastForwardedId = id;
    return 'forward';
  }
  if (lastForwardedId !== null || !Number.isFinite(Number(id))) return 'mismatch';
  resumption.lastSkippedId = id;
  return 'skip';
}

export const streamResumption = { create, accept };
