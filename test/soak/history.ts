/**
 * What clients, runners, platform and operator saw in one soak, in the order of time. The checker reads nothing else.
 * Times are in milliseconds since the soak began, on one steady clock.
 */

/** A request as its client sends it. */
export type RequestSent = {
  kind: 'request_sent';
  at: number;
  /** `X-Attempt-Id`, unique. */
  id: string;
  router: string;
  method: string;
  path: string;
  body: string;
  key: string | null;
  headers: PromptHeaders;
  timeLeftMs: number;
  lastEventId: number;
  /** Whether its connection had carried another request before. */
  isOnKeptConnection: boolean;
};

/** The headers that tell a runner what to compute. */
export type PromptHeaders = { model: string; tokenCounts: string; prefix: string };

/** The last byte of a request was handed to the connection. */
export type RequestWritten = { kind: 'request_written'; at: number; id: string };

/** The client closed its connection without waiting for the end of the answer. */
export type ClientLeft = { kind: 'client_left'; at: number; id: string };

/** The answer, or the end of the connection in its place (`status` 0). */
export type Answered = {
  kind: 'answered';
  at: number;
  id: string;
  status: number;
  /** `X-Server-Seal`; null for an answer of a router's own. */
  seal: string | null;
  echoedId: string | null;
  body: string;
  isComplete: boolean;
  firstByteMs: number | null;
};

/** Bytes of a prompt that a runner did not compute again: by whom they had been made. */
export type CacheUse = { blockId: string; madeBy: string; madeAtRevision: number };

/** A request reached a runner: it ran, or was turned away with `X-Not-Run` or 421. */
export type Arrived = {
  kind: 'arrived';
  at: number;
  id: string;
  runner: string;
  service: string;
  hasRun: boolean;
  method: string;
  path: string;
  body: string;
  headers: PromptHeaders;
  tenant: string | null;
  apiKey: string | null;
  lastEventId: number;
  timeLeftMs: number | null;
  weightsRevision: number;
  used: CacheUse[];
};

/** What a runner answered to a request that it ran; `isWhole`: to the end, with the end told. */
export type RunEnded = {
  kind: 'run_ended';
  at: number;
  id: string;
  runner: string;
  seal: string;
  status: number;
  body: string;
  isWhole: boolean;
  /** The body had no length: nothing but the end of the connection tells its end. */
  endsWithConnection: boolean;
  /** The caller closed the connection before the end. */
  isCancelled: boolean;
};

/** An order of the operator to change the configuration. */
export type OrderSent = {
  kind: 'order_sent';
  at: number;
  order: string;
  base: number;
  revision: number;
  isValid: boolean;
  /** The whole configuration that is in force if it is accepted, as JSON. */
  document: string;
};

/** The clear answer to an order; without one there is no such event. */
export type OrderAnswered = { kind: 'order_answered'; at: number; order: string; status: number };

/** Weights were named to the operator's server and acknowledged. */
export type WeightsNamed = { kind: 'weights_named'; at: number; model: string; revision: number };

/** A read of the configuration; `document` is null without a complete 200. */
export type ConfigurationRead = {
  kind: 'configuration_read';
  sentAt: number;
  at: number;
  node: string;
  status: number;
  document: string | null;
  isFinal: boolean;
};

/** Something was done to a process, its links or its disk, from `at` until `until`. */
export type Trouble = {
  kind: 'trouble';
  at: number;
  until: number;
  /** The nodes concerned. */
  nodes: string[];
  what: string;
  /** SIGTERM and SIGHUP are planned work. */
  isPlanned: boolean;
};

/** A process began; `life` counts from 1. */
export type ProcessStarted = { kind: 'process_started'; at: number; node: string; life: number };

/** A process ended; `isExpected`: by a signal of the soak or in the grace after SIGTERM. */
export type ProcessEnded = {
  kind: 'process_ended';
  at: number;
  node: string;
  isExpected: boolean;
  code: number | null;
  errors: string;
};

/** An order of a coordinator to a runner. */
export type RunnerOrdered = {
  kind: 'runner_ordered';
  at: number;
  runner: string;
  model: string;
  revision: number;
  holder: string;
  fence: number;
  status: number;
};

/** The platform's list shows a runner as leaving. */
export type RunnerDraining = { kind: 'runner_draining'; at: number; runner: string };

/** A runner came or went; `what` as the schedule has it. */
export type RunnerChanged = { kind: 'runner_changed'; at: number; runner: string; service: string; what: string };

/** The soak's own process did not get to run for `ms`: nothing can be said of times around it. */
export type Stalled = { kind: 'stalled'; at: number; ms: number };

/** The resident memory of a process, in bytes. */
export type MemorySampled = { kind: 'memory_sampled'; at: number; node: string; bytes: number };

export type SoakEvent =
  | RequestSent
  | RequestWritten
  | ClientLeft
  | Answered
  | Arrived
  | RunEnded
  | OrderSent
  | OrderAnswered
  | WeightsNamed
  | ConfigurationRead
  | Trouble
  | ProcessStarted
  | ProcessEnded
  | RunnerOrdered
  | RunnerDraining
  | RunnerChanged
  | Stalled
  | MemorySampled;

/** All events of one kind. */
export type EventsOf<Kind extends SoakEvent['kind']> = Extract<SoakEvent, { kind: Kind }>;

/** The bounds of the deployment that the checker needs, in milliseconds unless said otherwise. */
export type SoakBounds = {
  contactMs: number;
  applyMs: number;
  drainMs: number;
  graceMs: number;
  lossSlackMs: number;
  revertSlackMs: number;
  leaseMs: number;
  thawMs: number;
  versionMs: number;
  ackMs: number;
  /** Further tries of a window for each request. */
  retryRatio: number;
  retryWindowMs: number;
  /** Further tries of a window beside those. */
  retrySlack: number;
};

export type History = { bounds: SoakBounds; coreNodes: string[]; events: SoakEvent[] };

/** Writes down events as they come. */
export class Recorder {
  readonly events: SoakEvent[] = [];
  readonly #startedAt = performance.now();

  now(): number {
    return performance.now() - this.#startedAt;
  }

  record(event: SoakEvent): void {
    this.events.push(event);
  }
}

/** The events of one kind, in their order. */
export function eventsOf<Kind extends SoakEvent['kind']>(history: History, kind: Kind): EventsOf<Kind>[] {
  return history.events.filter((event): event is EventsOf<Kind> => event.kind === kind);
}
