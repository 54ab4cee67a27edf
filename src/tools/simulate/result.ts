/** What a simulation counts: the outcome of the requests by class of traffic, tokens, messages, and the worst windows. */
import type { Scenario } from './scenario.js';

/** Requests of one class: `late` were answered after the latency target, `rejected` never ran. */
export type Tally = {
  name: string;
  requests: number;
  withinTarget: number;
  late: number;
  rejected: number;
  failed: number;
};

/** The counts of one simulation. */
export type SimulationResult = {
  traffic: Tally[];
  /** The windows with the smallest share of requests within their target; seconds from the start of traffic. */
  worstWindows: { fromSeconds: number; share: number }[];
  /** Prompt tokens by the way they were come by; `prefilledAgain` are those that had been prefilled before. */
  prompt: { prefilled: number; prefilledAgain: number; cached: number; transferred: number };
  /** Messages sent, and the arrivals of prefixes that count reports stand for. */
  messages: { consensus: number; stateSync: number; countReports: number; arrivals: number };
  /** Attempts beyond the first of a request. */
  retries: number;
  /** How long no coordinator was the leader, from the start of traffic. */
  withoutLeaderMs: number;
};

/** Requests that arrived in a stretch of time, and those of them that were answered within their target. */
export type Window = { requests: number; withinTarget: number };

/** The length of a window. */
const windowMs = 2000;
const worstWindowCount = 2;

/** All counts at 0. */
function create({ traffic }: Scenario): SimulationResult {
  return {
    traffic: traffic.map(({ name }) => ({ name, requests: 0, withinTarget: 0, late: 0, rejected: 0, failed: 0 })),
    worstWindows: [],
    prompt: { prefilled: 0, prefilledAgain: 0, cached: 0, transferred: 0 },
    messages: { consensus: 0, stateSync: 0, countReports: 0, arrivals: 0 },
    retries: 0,
    withoutLeaderMs: 0,
  };
}

/** The window that a time belongs to, made if it is the first request in it. */
function windowAt(windows: Map<number, Window>, now: number): Window {
  const index = Math.floor(now / windowMs);
  const window = windows.get(index) ?? { requests: 0, withinTarget: 0 };
  windows.set(index, window);
  return window;
}

/** The worst windows, the worst first. */
function worstWindows(windows: Map<number, Window>, trafficStartMs: number): SimulationResult['worstWindows'] {
  return [...windows]
    .map(([index, window]) => ({
      fromSeconds: index * (windowMs / 1000) - trafficStartMs / 1000,
      share: window.requests === 0 ? 1 : window.withinTarget / window.requests,
    }))
    .sort((a, b) => a.share - b.share || a.fromSeconds - b.fromSeconds)
    .slice(0, worstWindowCount);
}

export const result = { create, windowAt, worstWindows };
