/** Relays a runner's answer to the client until it ends, and returns how it ended. */
import type { ServerResponse } from 'node:http';
import { runnerEndpoint } from '../state/runners/endpoint.js';
import { timerDelay } from '../runtime/timer-delay.js';
import type { EndpointAssignment } from './endpoint-assignment.js';
import type { RequestContext } from './request-context.js';
import { responseForwarders, type ResponseForwarder, type RunnerResponse } from './response-forwarder.js';
import type { Router } from './router.js';

/**
 * - `complete`: the client has been sent all of it.
 * - `upstream_aborted`: the runner's connection ended before the answer did, or what came is no part of it or not all.
 * - `client_disconnected`: the client's connection ended first.
 * - `deadline_exceeded`: the client's deadline, and a short grace, passed first.
 */
export type RelayOutcome = 'complete' | 'upstream_aborted' | 'client_disconnected' | 'deadline_exceeded';

/** How long past the deadline an answer that is under way may still end, in ms. */
const deadlineGraceMs = 60;

/** Owns the runner's answer: it is read to its end, or its request is destroyed. */
class Relay {
  readonly outcome: Promise<RelayOutcome>;
  readonly #assignment: EndpointAssignment;
  readonly #runnerResponse: RunnerResponse;
  readonly #downstream: ServerResponse;
  readonly #forwarder: ResponseForwarder;
  readonly #onPrefilled: () => void;
  readonly #deadlineTimer: NodeJS.Timeout;
  #resolve!: (outcome: RelayOutcome) => void;
  #isOver = false;

  constructor(
    context: RequestContext,
    assignment: EndpointAssignment,
    runnerResponse: RunnerResponse,
    forwarder: ResponseForwarder,
    onPrefilled: () => void,
  ) {
    this.outcome = new Promise((resolve) => {
      this.#resolve = resolve;
    });
    this.#assignment = assignment;
    this.#runnerResponse = runnerResponse;
    this.#downstream = context.response.raw;
    this.#forwarder = forwarder;
    this.#onPrefilled = onPrefilled;
    const timeLeftMs = context.deadlineAt + deadlineGraceMs - performance.now();
    this.#deadlineTimer = setTimeout(() => this.#end('deadline_exceeded'), timerDelay(timeLeftMs));
    this.#downstream.on('close', this.#onClientGone);
    this.#downstream.on('drain', this.#onDrained);
    const { response } = runnerResponse;
    response.on('data', (bytes: Buffer) => this.#onData(bytes));
    response.on('end', () => this.#onEnd());
    response.on('error', () => this.#end('upstream_aborted'));
    response.on('close', () => this.#end('upstream_aborted'));
  }

  readonly #onClientGone = (): void => this.#end('client_disconnected');

  readonly #onDrained = (): void => {
    this.#runnerResponse.response.resume();
  };

  #onData(bytes: Buffer): void {
    if (this.#isOver) return;
    runnerEndpoint.recordActivity(this.#assignment.endpoint, performance.now());
    this.#onPrefilled();
    if (!this.#forwarder.accept(bytes)) this.#end('upstream_aborted');
    else if (this.#downstream.writableNeedDrain) this.#runnerResponse.response.pause();
  }

  #onEnd(): void {
    if (this.#isOver) return;
    const isWhole = this.#runnerResponse.end.isComplete() && this.#forwarder.finish();
    this.#end(isWhole ? 'complete' : 'upstream_aborted');
  }

  #end(outcome: RelayOutcome): void {
    if (this.#isOver) return;
    this.#isOver = true;
    clearTimeout(this.#deadlineTimer);
    this.#downstream.removeListener('close', this.#onClientGone);
    this.#downstream.removeListener('drain', this.#onDrained);
    if (outcome !== 'complete') this.#runnerResponse.request.destroy();
    this.#resolve(outcome);
  }
}

/**
 * Forwards the body until the answer ends. `onPrefilled` is called when the prompt has been prefilled: at the first
 * bytes of an event stream, at once for any other answer; it may be called again.
 */
function forward(
  router: Router,
  context: RequestContext,
  assignment: EndpointAssignment,
  runnerResponse: RunnerResponse,
  onPrefilled: () => void,
): Promise<RelayOutcome> {
  const forwarder = responseForwarders.create(router, context, assignment, runnerResponse);
  if (!runnerResponse.isEventStream) onPrefilled();
  return new Relay(context, assignment, runnerResponse, forwarder, onPrefilled).outcome;
}

export const relay = { forward };
