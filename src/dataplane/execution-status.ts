/**
 * The one place that decides whether a request can have been executed, and so what may still be done about it. It
 * knows nothing of sockets: an attempt says how it ended, and the execution status of the request follows from the
 * outcomes of all its attempts and from what the client has been sent.
 */

/**
 * How one attempt ended.
 * - `not_sent`: no byte of the request left this process.
 * - `rejected`: the runner's response to this very attempt says that it did not run.
 * - `unanswered`: sent, and nothing that proves anything came back: a reset, a close, silence, an attempt that was
 *   cancelled, or a response that does not belong to this request.
 * - `failed`: the runner's own failure, which was not forwarded to the client.
 * - `incomplete`: the runner's answer did not come complete.
 * - `answered`: the client has the complete answer.
 */
export type AttemptOutcome =
  | { kind: 'not_sent' }
  | { kind: 'rejected' }
  | { kind: 'unanswered' }
  | { kind: 'failed' }
  | { kind: 'incomplete' }
  | { kind: 'answered' };

/** What is known of a request after its attempts so far; `attemptsSent` counts those that may have reached a runner. */
export type ExecutionStatus = { attemptsSent: number; mayHaveExecuted: boolean; isAnswered: boolean };

/**
 * What the client has been sent of an answer: nothing; complete events of a stream, behind which another runner can
 * resume; or bytes that only the runner they came from can complete.
 */
export type ResponseProgress = 'none' | 'events' | 'bytes';

/** What the route allows: whether the request may run more than once, and how many runners may be asked. */
export type AnswerTerms = { isIdempotent: boolean; maxAttempts: number };

/**
 * How a request ends that gets no further attempt.
 * - `completed`: it was answered.
 * - `rejected`: it has not been executed and never will be; a status that says so may be given.
 * - `indeterminate`: it may have been executed; the client has nothing, and gets a status that leaves this open.
 * - `aborted`: the client has a part of an answer; its connection is destroyed.
 */
export type RequestOutcome = 'completed' | 'rejected' | 'indeterminate' | 'aborted';

/** The status of a request before its first attempt. */
function initial(): ExecutionStatus {
  return { attemptsSent: 0, mayHaveExecuted: false, isAnswered: false };
}

/** The status of a request after a further attempt. */
function afterAttempt(status: ExecutionStatus, outcome: AttemptOutcome): ExecutionStatus {
  switch (outcome.kind) {
    case 'not_sent':
      return status;
    case 'rejected':
      return { ...status, attemptsSent: status.attemptsSent + 1 };
    case 'unanswered':
    case 'failed':
    case 'incomplete':
      return { ...status, attemptsSent: status.attemptsSent + 1, mayHaveExecuted: true };
    case 'answered':
      return { attemptsSent: status.attemptsSent + 1, mayHaveExecuted: true, isAnswered: true };
  }
}

/** Whether a further attempt is safe and allowed; the caller checks deadline, retry budget and endpoints. */
function mayRetry(status: ExecutionStatus, terms: AnswerTerms, progress: ResponseProgress): boolean {
  if (status.isAnswered || progress === 'bytes') return false;
  if (!terms.isIdempotent && (status.mayHaveExecuted || progress === 'events')) return false;
  return status.attemptsSent < Math.max(1, terms.maxAttempts);
}

/** How the request ends if it gets no further attempt. */
function requestOutcome(status: ExecutionStatus, progress: ResponseProgress): RequestOutcome {
  if (status.isAnswered) return 'completed';
  if (progress !== 'none') return 'aborted';
  return status.mayHaveExecuted ? 'indeterminate' : 'rejected';
}

export const executionStatus = { initial, afterAttempt, mayRetry, requestOutcome };
