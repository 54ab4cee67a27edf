/** All that a history says of one request of a client, joined by its id. */
import { eventsOf, type Answered, type Arrived, type History, type RequestSent, type RunEnded } from '../history.js';
import { lastingPrefixes } from '../configurations.js';

export type RequestRecord = {
  sent: RequestSent;
  writtenAt: number | null;
  leftAt: number | null;
  answer: Answered | null;
  arrivals: Arrived[];
  runs: RunEnded[];
};

/** The requests that clients sent, and what reached runners under ids that no client sent. */
export type RequestRecords = { records: RequestRecord[]; strays: Arrived[] };

export function requestRecords(history: History): RequestRecords {
  const byId = new Map<string, RequestRecord>();
  for (const sent of eventsOf(history, 'request_sent'))
    byId.set(sent.id, { sent, writtenAt: null, leftAt: null, answer: null, arrivals: [], runs: [] });
  const strays: Arrived[] = [];
  for (const event of history.events) {
    const record = 'id' in event ? byId.get(event.id) : undefined;
    if (!record) {
      if (event.kind === 'arrived') strays.push(event);
      continue;
    }
    if (event.kind === 'request_written') record.writtenAt = event.at;
    else if (event.kind === 'client_left') record.leftAt = event.at;
    else if (event.kind === 'answered') record.answer = event;
    else if (event.kind === 'arrived') record.arrivals.push(event);
    else if (event.kind === 'run_ended') record.runs.push(event);
  }
  return { records: [...byId.values()], strays };
}

/** Whether a request for this path may run more than once. */
export function isRepeatable(path: string): boolean {
  return !path.startsWith(lastingPrefixes.once) && !path.startsWith(lastingPrefixes.stream);
}

/** Whether the answer may be continued at another runner. */
export function isResumable(path: string): boolean {
  return path.startsWith(lastingPrefixes.resume);
}

/** When the request was over for its client. */
export function endOf({ sent, leftAt, answer }: RequestRecord): number {
  return answer?.at ?? leftAt ?? sent.at;
}
