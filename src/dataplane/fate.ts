/**
 * The one place that decides whether a request can have run, and so what may still be done about it. It knows
 * nothing of sockets: an attempt tells how it ended, and the fate of the request follows from the ends of all
 * its attempts and from what the client has been given.
 */

/**
 * How one attempt ended.
 * - `not_sent`: no byte of the request left this process.
 * - `turned_away`: the runner's answer to this very attempt says that it did not run.
 * - `lost`: sent, and nothing that proves anything came back: a reset, a close, silence, an attempt that was
 *   given up, or an answer that does not belong to this request.
 * - `failed`: the runner's own failure, which was kept from the client.
 * - `broken`: the runner's answer did not come whole.
 * - `answered`: the client has the whole answer.
 */
export type AttemptEnd =
  | { kind: 'not_sent' }
  | { kind: 'turned_away' }
  | { kind: 'lost' }
  | { kind: 'failed' }
  | { kind: 'broken' }
  | { kind: 'answered' };

/** What is known of a request after its attempts so far; `sent` counts those that may have reached a runner. */
export type Fate = { sent: number; mayHaveRun: boolean; isAnswered: boolean };

/**
 * What the client has been given of an answer: nothing; whole events of a stream, behind which another run can
 * go on; or bytes that only their own runner can complete.
 */
export type Given = 'nothing' | 'events' | 'bytes';

/** What the route allows: whether the request may run more than once, and how many runners may be asked. */
export type Terms = { isRepeatable: boolean; tries: number };

/**
 * How a request ends that gets no further attempt.
 * - `done`: it was answered.
 * - `promise`: it has not run and never will; a status that says so may be given.
 * - `unclear`: it may have run; the client has nothing, and gets a status that promises nothing.
 * - `cut`: the client has a part of an answer; its connection is destroyed.
 */
export type Ending = 'done' | 'promise' | 'unclear' | 'cut';

function begin(): Fate {
  return { sent: 0, mayHaveRun: false, isAnswered: false };
}

function after(fate: Fate, end: AttemptEnd): Fate {
  switch (end.kind) {
    case 'not_sent':
      return fate;
    case 'turned_away':
      return { ...fate, sent: fate.sent + 1 };
    case 'lost':
    case 'failed':
    case 'broken':
      return { ...fate, sent: fate.sent + 1, mayHaveRun: true };
    case 'answered':
      return { sent: fate.sent + 1, mayHaveRun: true, isAnswered: true };
  }
}

/** Whether a further attempt keeps the rules; time, budget and a free runner are the caller's to find. */
function mayRetry(fate: Fate, terms: Terms, given: Given): boolean {
  if (fate.isAnswered || given === 'bytes') return false;
  if (!terms.isRepeatable && (fate.mayHaveRun || given === 'events')) return false;
  return fate.sent < Math.max(1, terms.tries);
}

function ending(fate: Fate, given: Given): Ending {
  if (fate.isAnswered) return 'done';
  if (given !== 'nothing') return 'cut';
  return fate.mayHaveRun ? 'unclear' : 'promise';
}

export const fates = { begin, after, mayRetry, ending };
