/**
 * How the runners of a soak answer: the forms are drawn, and the number of events follows from the request alone, so that the
 * end of a stream that is resumed elsewhere is known. Each part names the run that made it.
 */
import { answerForms, type FormedAnswer } from '../standins/answer-forms.js';
import type { ReceivedRequest, RunnerStandin } from '../standins/runner.js';
import type { Luck } from '../support/random.js';
import { lastingPrefixes } from './configurations.js';
import type { Recorder } from './history.js';

/** `brokenShare` of the answers break off. */
export type AnswerHabits = { brokenShare: number };

const leastParts = 2;
const drawnParts = 7;

/** How many events or lines the answer to a request has, from the first on. */
export function partCount(attemptId: string): number {
  const sum = [...attemptId].reduce((total, letter) => (total * 31 + letter.charCodeAt(0)) >>> 0, 7);
  return leastParts + (sum % drawnParts);
}

/** Whether requests for this path are answered by a stream of events. */
export function isStreamPath(path: string): boolean {
  return path.startsWith(lastingPrefixes.resume) || path.startsWith(lastingPrefixes.stream);
}

/** One part of an answer; `run` names the run that made it. */
export function partText(isStream: boolean, part: number, count: number, run: string): string {
  const text = `${part}/${count} of ${run}`;
  return isStream ? `id: ${part}\ndata: ${text}\n\n` : `${text}\n`;
}

let runSerial = 0;

function planAnswer(request: ReceivedRequest, runner: RunnerStandin, source: Luck, habits: AnswerHabits): FormedAnswer {
  const { attemptId, path, lastEventId, weightsRevision } = request;
  const isStream = isStreamPath(path);
  const run = `${runner.id}.${++runSerial}`;
  const count = partCount(attemptId);
  const first = isStream ? Number(lastEventId ?? 0) + 1 : 1;
  const form = answerForms.draw(source, isStream, habits.brokenShare);
  const parts: string[] = [];
  for (let part = first; part <= count; part++) parts.push(partText(isStream && form.status === 200, part, count, run));
  return {
    form,
    parts,
    headers: {
      'Content-Type': isStream && form.status === 200 ? 'text/event-stream' : 'text/plain',
      'X-Attempt-Id': attemptId,
      'X-Server-Seal': `seal-${run}`,
      'X-Weight-Versions': String(weightsRevision),
    },
  };
}

function headersOf(headers: Record<string, string | undefined>) {
  return {
    model: headers['x-model'] ?? '',
    tokenCounts: headers['x-token-counts'] ?? '',
    prefix: headers['x-prompt-prefix'] ?? '',
  };
}

/** A tenant's label as the configuration has it; Node hands out the bytes of a header as Latin-1. */
function labelOf(header: string): string {
  return Buffer.from(header, 'latin1').toString('utf8');
}

/** The order of a coordinator, as its body has it. */
type OrderBody = { model_name?: string; revision?: number; holder_name?: string; fence_no?: number };

/** Makes a runner answer in drawn forms, and writes down what it sees. */
export function observeRunner(runner: RunnerStandin, recorder: Recorder, source: Luck, habits: AnswerHabits): void {
  runner.observer = {
    plan: (request) => planAnswer(request, runner, source, habits),
    onReceived: (request, hasRun) => {
      const timeLeft = request.headers['x-time-left-ms'];
      recorder.record({
        kind: 'arrived',
        at: recorder.now(),
        id: request.attemptId,
        runner: runner.id,
        service: runner.service,
        hasRun,
        method: request.method,
        path: request.path,
        body: request.body,
        headers: headersOf(request.headers),
        tenant: request.tenant === undefined ? null : labelOf(request.tenant),
        apiKey: request.apiKey ?? null,
        lastEventId: Number(request.lastEventId ?? 0),
        timeLeftMs: timeLeft === undefined ? null : Number(timeLeft),
        weightsRevision: request.weightsRevision,
        used: request.used.map((use) => ({ ...use, madeBy: labelOf(use.madeBy) })),
      });
    },
    onAnswered: (request, answer, { isWhole, isCancelled }) => {
      recorder.record({
        kind: 'run_ended',
        at: recorder.now(),
        id: request.attemptId,
        runner: runner.id,
        seal: answer.headers['X-Server-Seal']!,
        status: answer.form.status,
        body: answer.parts.join(''),
        isWhole,
        endsWithConnection: answer.form.framing === 'none',
        isCancelled,
      });
    },
    onOrder: (body, status) => {
      const order = body as OrderBody;
      recorder.record({
        kind: 'runner_ordered',
        at: recorder.now(),
        runner: runner.id,
        model: order.model_name ?? '',
        revision: order.revision ?? 0,
        holder: order.holder_name ?? '',
        fence: order.fence_no ?? 0,
        status,
      });
    },
  };
}
