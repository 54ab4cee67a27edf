/**
 * What a router knows about one runner: its identity, whether it is listed, its health as this router sees it,
 * the load that this router and its peers put on it, its connections, and what the leader's outlier detector
 * says of it. Each is a type of its own; `RunnerEndpoint` joins them. All times are in milliseconds of the
 * process's steady clock (`performance.now()`).
 */
import { endpointLoad } from '../load/endpoint-load.js';
import { RunnerAgent } from './runner-agent.js';
import type { EndpointLoad, Runner } from '../../types.js';

/**
 * `healthy`: gets requests. `suspect`: an attempt failed there or it fell silent. `unreachable`: no connection
 * came up. An endpoint that is not healthy gets requests again once its backoff is over.
 */
export type HealthState = 'healthy' | 'suspect' | 'unreachable';

/** This router's own view of an endpoint's health; changed by `transitionTo` only. */
export type EndpointHealth = {
  state: HealthState;
  /** When the backoff is over; 0 while healthy. */
  retryAt: number;
  consecutiveFailures: number;
  /** When the runner last sent a byte of any answer, or when the first request of a busy period went there. */
  lastByteAt: number;
};

/** This router's own requests at an endpoint; its cache transfers are counted by the transfer machine. */
export type RequestLoad = Pick<EndpointLoad, 'activeRequests' | 'prefillTokens' | 'reservedTokens'>;

/** Keep-alive connections to the runner, and how many of them this router may open. */
export type EndpointConnections = { agent: RunnerAgent; limit: number };

/**
 * What the outlier detector decided: `admitted`, `ejected`, or `probe` when this router is to send one idempotent
 * request as a probe.
 */
export type OutlierStatus = 'admitted' | 'ejected' | 'probe';

/** The detector's decision, and the answers counted since the last state sync for it to decide by. */
export type EndpointOutlier = {
  status: OutlierStatus;
  /** Number of the last probe assigned to anyone. */
  probeNumber: number;
  /** Number of the last probe that this router sent, so that one number is probed once. */
  sentProbeNumber: number;
  successes: number;
  failures: number;
};

/** A runner as the platform's list has it; `index` is dense and never used again for another endpoint. */
export type EndpointIdentity = {
  index: number;
  id: string;
  service: string;
  addr: string;
  zone: string;
  /** How many requests the runner executes at once. */
  slotCount: number;
  /** The version of its software; null where the platform gives none. */
  version: string | null;
};

/** Whether the endpoint may get new requests at all, whatever its health. */
export type EndpointListing = {
  /** It is on the newest list. */
  isListed: boolean;
  /** The platform is about to stop it. */
  isDraining: boolean;
  /** The roll-out of weights has paused it. */
  isPaused: boolean;
};

/** All that a router knows about one runner. */
export type RunnerEndpoint = EndpointIdentity &
  EndpointListing & {
    /** The newest weight revision seen there, by model. */
    modelRevisions: Map<string, number>;
    health: EndpointHealth;
    load: RequestLoad;
    /** The load of all other routers together, as it was at `peerLoadAsOf`. */
    peerLoad: EndpointLoad;
    peerLoadAsOf: number;
    /**
     * How far, in ms, what is known of the peers may lag behind: a change older than this would have been told. 0 where
     * their load is always current.
     */
    peerLoadMaxLagMs: number;
    connections: EndpointConnections;
    outlier: EndpointOutlier;
  };

/** Backoff of an endpoint that is not healthy, in ms: doubled with each further failure in a row. */
const initialBackoffMs = 400;
const maxBackoffMs = 4000;

/** Connections allowed while the number of routers is unknown or the service sets no limit. */
export const defaultConnectionLimit = 8;

/** A healthy endpoint without load, for a runner as the list has it. */
function create(index: number, runner: Runner): RunnerEndpoint {
  return {
    index,
    id: runner.id,
    service: runner.service,
    addr: runner.addr,
    zone: runner.zone,
    slotCount: runner.slotCount,
    version: runner.version ?? null,
    isListed: true,
    isDraining: runner.draining,
    isPaused: runner.paused,
    modelRevisions: new Map(),
    health: { state: 'healthy', retryAt: 0, consecutiveFailures: 0, lastByteAt: performance.now() },
    load: { activeRequests: 0, prefillTokens: 0, reservedTokens: 0 },
    peerLoad: endpointLoad.zero(),
    peerLoadAsOf: 0,
    peerLoadMaxLagMs: 0,
    connections: { agent: new RunnerAgent(defaultConnectionLimit), limit: defaultConnectionLimit },
    outlier: { status: 'admitted', probeNumber: 0, sentProbeNumber: 0, successes: 0, failures: 0 },
  };
}

/** Notes that the runner has a model at `revision` or newer; an older one than is known changes nothing. */
function recordRevision(endpoint: RunnerEndpoint, model: string, revision: number): void {
  if ((endpoint.modelRevisions.get(model) ?? 0) < revision) endpoint.modelRevisions.set(model, revision);
}

/** The one place where an endpoint's health changes. */
function transitionTo(endpoint: RunnerEndpoint, state: HealthState, now: number): void {
  const { health } = endpoint;
  if (state === 'healthy') {
    health.consecutiveFailures = 0;
    health.retryAt = 0;
  } else {
    health.consecutiveFailures++;
    health.retryAt = now + Math.min(maxBackoffMs, initialBackoffMs * 2 ** (health.consecutiveFailures - 1));
  }
  health.state = state;
}

/** The runner sent a byte, so it is healthy, whatever it was suspected of. */
function recordActivity(endpoint: RunnerEndpoint, now: number): void {
  endpoint.health.lastByteAt = now;
  if (endpoint.health.state !== 'healthy') transitionTo(endpoint, 'healthy', now);
}

/** Whether the runner is listed and neither draining nor paused. */
function isInRotation({ isListed, isDraining, isPaused }: RunnerEndpoint): boolean {
  return isListed && !isDraining && !isPaused;
}

/**
 * Whether a new request may go there: in rotation, and healthy or past its backoff. The outlier detector's verdict is
 * part of the cost (`dataplane/endpoint-selection/endpoint-cost.ts`).
 */
function isUsable(endpoint: RunnerEndpoint, now: number): boolean {
  const { health } = endpoint;
  return isInRotation(endpoint) && (health.state === 'healthy' || now >= health.retryAt);
}

/** Counts how an attempt ended, for the outlier detector. */
function recordOutcome(endpoint: RunnerEndpoint, outcome: 'success' | 'failure'): void {
  if (outcome === 'success') endpoint.outlier.successes++;
  else endpoint.outlier.failures++;
}

/** A request goes out to an endpoint that this router was to probe: that request is the probe. */
function markProbeSent(endpoint: RunnerEndpoint): void {
  const { outlier } = endpoint;
  if (outlier.status !== 'probe') return;
  outlier.status = 'ejected';
  outlier.sentProbeNumber = outlier.probeNumber;
}

/** What is left of work that was reported earlier and is done at a steady rate, `perMs`; never below zero. */
function remaining(amount: number, endpoint: RunnerEndpoint, perMs: number, now: number): number {
  const elapsedMs = Math.min(Math.max(0, now - endpoint.peerLoadAsOf), endpoint.peerLoadMaxLagMs);
  return Math.max(0, amount - elapsedMs * perMs);
}

/**
 * Tokens that the runner has yet to prefill for the peers at `now`. In a large fleet a report is older than the prefill
 * takes that it tells of, so what the runner has had time for since then (`tokensPerMs`) counts as done; but no more
 * than the lag of the state sync explains, so that a runner which makes no progress keeps its backlog.
 */
function peerPrefillTokens(endpoint: RunnerEndpoint, tokensPerMs: number, now: number): number {
  return remaining(endpoint.peerLoad.prefillTokens, endpoint, tokensPerMs, now);
}

/** Milliseconds of the peers' transfers that are still queued to the runner at `now`. */
function peerTransferQueueMs(endpoint: RunnerEndpoint, now: number): number {
  return remaining(endpoint.peerLoad.transferQueueMs, endpoint, 1, now);
}

export const runnerEndpoint = {
  create,
  recordRevision,
  transitionTo,
  recordActivity,
  isInRotation,
  isUsable,
  recordOutcome,
  markProbeSent,
  peerPrefillTokens,
  peerTransferQueueMs,
};
