/** MIXED, ORDER and REFUSED: what clients got, held against what runners sent. */
import { isStreamPath, partCount } from '../runner-answers.js';
import { eventsOf, type Answered, type RunEnded } from '../history.js';
import type { Evidence } from './evidence.js';
import { isRepeatable, isResumable, type RequestRecord } from './request-record.js';
import type { Violation } from './violation.js';

type Part = { number: number; run: string };

/** Between the end of a runner's process and the end of the answers that it was sending. */
const processEndMs = 200;
const promises = [408, 421, 429, 503];
const eventPattern = /^id: (\d+)\ndata: (\d+)\/(\d+) of ([^\n]+)\n\n/;

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** The whole events of a body, and what is left behind them. */
function parseEvents(body: string): { parts: Part[]; rest: string } {
  const parts: Part[] = [];
  let rest = body;
  for (let match = eventPattern.exec(rest); match; match = eventPattern.exec(rest)) {
    parts.push({ number: Number(match[1]), run: match[4]! });
    rest = rest.slice(match[0].length);
  }
  return { parts, rest };
}

/**
 * Whether the runner's process ended while it sent a body without a length. Its connections end in order then, and between
 * two parts that can't be told from the end of the body (`docs/questions.md`, 9).
 */
function endedUntold({ history }: Evidence, run: RunEnded, answer: Answered): boolean {
  if (!run.endsWithConnection || run.isWhole) return false;
  return eventsOf(history, 'runner_changed').some(
    ({ at, runner, what }) =>
      runner === run.runner && (what === 'crash fin' || what === 'end') && Math.abs(answer.at - at) < processEndMs,
  );
}

function runName({ seal }: RunEnded): string {
  return seal.replace(/^seal-/, '');
}

/** Why a stream is not what its runs sent, or null. */
function streamFault(evidence: Evidence, record: RequestRecord, answer: Answered): string | null {
  const { sent, runs } = record;
  const { parts, rest } = parseEvents(answer.body);
  const count = partCount(sent.id);
  const runNames = new Set(runs.map(runName));
  let expected = sent.lastEventId + 1;
  for (const { number, run } of parts) {
    if (number !== expected) return `event ${number} where ${expected} was due`;
    if (!runNames.has(run)) return `an event of ${run}, which did not run this request`;
    expected++;
  }
  const joined = new Set(parts.map(({ run }) => run));
  if (joined.size > 1 && !isResumable(sent.path)) return `events of ${[...joined].join(' and ')} joined`;
  if (!answer.isComplete) return null;
  if (rest !== '') return `complete, but it ends with ${JSON.stringify(rest)}`;
  if (parts.length > 0 && runs.some((run) => endedUntold(evidence, run, answer))) return null;
  if (expected <= count) return `complete with ${expected - 1} of ${count} events`;
  return runs.some((run) => run.isWhole && isSuccess(run.status)) ? null : 'complete, but no run came to its end';
}

/** Why a body that is no stream is not its runner's, or null. */
function bodyFault(evidence: Evidence, run: RunEnded, answer: Answered): string | null {
  if (!answer.isComplete || endedUntold(evidence, run, answer))
    return run.body.startsWith(answer.body) ? null : 'bytes that its runner did not send';
  if (answer.body !== run.body) return 'complete, but not the whole body';
  return run.isWhole ? null : 'complete, but its runner broke off';
}

function answerFault(evidence: Evidence, record: RequestRecord, answer: Answered): Violation | null {
  const { at, seal, status, id } = answer;
  const run = record.runs.find((one) => one.seal === seal);
  const mixed = (text: string): Violation => ({ rule: 'MIXED', at, text: `${id}: ${text}` });
  if (answer.echoedId !== null && answer.echoedId !== id) return mixed(`the answer to ${answer.echoedId}`);
  if (isSuccess(status)) {
    if (!run) return mixed('a success that bears the seal of none of its runs');
    if (!isSuccess(run.status)) return mixed(`${status}, its runner gave ${run.status}`);
    if (!isStreamPath(record.sent.path)) {
      const fault = bodyFault(evidence, run, answer);
      return fault === null ? null : mixed(fault);
    }
    const fault = streamFault(evidence, record, answer);
    return fault === null ? null : { rule: 'ORDER', at, text: `${id}: ${fault}` };
  }
  if (seal !== null && run?.status !== status) return mixed(`${status} under the seal of another answer`);
  return null;
}

export function checkAnswers(evidence: Evidence): Violation[] {
  const found: Violation[] = [];
  for (const record of evidence.records) {
    const { sent, answer, arrivals } = record;
    if (answer === null || answer.status === 0) continue;
    const fault = answerFault(evidence, record, answer);
    if (fault) found.push(fault);
    const hasRun = arrivals.some((arrival) => arrival.hasRun);
    if (hasRun && promises.includes(answer.status) && answer.seal === null && !isRepeatable(sent.path))
      found.push({ rule: 'REFUSED', at: answer.at, text: `${sent.id}: answered ${answer.status} and run` });
  }
  return found;
}
