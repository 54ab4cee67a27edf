/** The simulated clients: requests of each class of traffic, with exponential gaps, from zones by their weight. */
import { executionStatus } from '../../dataplane/execution-status.js';
import { retryBudget } from '../../dataplane/retry-budget.js';
import type { RequestContext } from '../../dataplane/request-context.js';
import { delivery } from './delivery.js';
import { result } from './result.js';
import type { TrafficClass } from './scenario.js';
import { modelName, serviceName } from './simulated-router.js';
import { simulations, type Simulation } from './simulation.js';
import type { VirtualClock } from './virtual-clock.js';
import { bodies } from '../../transport/http/body.js';

/** A skew of 1 would always draw the first prompt. */
const maxSkew = 0.95;

/** The isolation domain of all tenants that are not isolated. */
const sharedDomain = 'all';

/** Draws one of the traffic's shared prompts; the higher its skew, the more often the first ones. */
function drawSharedPrompt(clock: VirtualClock, traffic: TrafficClass): number {
  const exponent = 1 / (1 - Math.min(maxSkew, traffic.skew));
  return Math.min(traffic.sharedPromptCount - 1, Math.floor(traffic.sharedPromptCount * clock.random() ** exponent));
}

/** The first tenants of a class of traffic are isolated: the given share of them. */
function drawIsolationDomain(clock: VirtualClock, traffic: TrafficClass): string {
  const tenant = clock.randomBelow(traffic.tenantCount);
  return tenant < Math.round(traffic.tenantCount * traffic.isolatedShare) ? `t-${tenant}` : sharedDomain;
}

/** A request with what the policies read of it; it has no connection and no body. */
function createContext(simulation: Simulation, traffic: TrafficClass, now: number): RequestContext {
  const { routeTable } = simulation.routers[0]!.state.configuration!;
  const isolationDomain = drawIsolationDomain(simulation.clock, traffic);
  const id = ++simulation.attemptsMade;
  const context: Partial<RequestContext> = {
    receivedAt: now,
    attemptId: `a${id}`,
    body: bodies.empty,
    route: routeTable.hosts.get(traffic.name)![0]!.route,
    service: routeTable.services.get(serviceName)!,
    model: modelName,
    isolationDomain,
    prefixBlocks: [
      { id: `${traffic.name}${drawSharedPrompt(simulation.clock, traffic)}`, tokens: traffic.sharedTokens },
      { id: `own${id}`, tokens: traffic.ownTokens },
    ],
    tokenCounts: { prompt: traffic.sharedTokens + traffic.ownTokens, maxOutput: traffic.outputTokens },
    deadlineAt: now + traffic.deadlineMs,
    latencyTargetMs: traffic.latencyTargetMs,
    isStream: true,
    isIdempotent: traffic.isResumable,
    executionStatus: executionStatus.initial(),
    attemptedEndpoints: new Set(),
  };
  return context as RequestContext;
}

/** One request comes from a zone: to a router there, or to any while none there is up. */
function arrive(simulation: Simulation, traffic: TrafficClass, zone: string): void {
  const { clock, scenario } = simulation;
  const tally = simulation.result.traffic[scenario.traffic.indexOf(traffic)]!;
  const live = simulations.liveRouters(simulation);
  const near = live.filter((router) => router.zone === zone);
  const reachable = near.length > 0 ? near : live;
  tally.requests++;
  const window = result.windowAt(simulation.windows, clock.now);
  window.requests++;
  const router = reachable[clock.randomBelow(Math.max(1, reachable.length))];
  if (!router) {
    tally.failed++;
    return;
  }
  retryBudget.recordRequest(router.state.retryBudget, clock.now);
  const context = createContext(simulation, traffic, clock.now);
  delivery.start({ simulation, router, context, traffic, tally, window });
}

function drawZone(simulation: Simulation, totalWeight: number): string {
  const { zones } = simulation.scenario;
  let left = simulation.clock.random() * totalWeight;
  const zone = zones.find(({ clientWeight }) => {
    left -= clientWeight;
    return left < 0;
  });
  return (zone ?? zones[0]!).name;
}

/** Sends the requests of one class of traffic until `endMs`. */
function start(simulation: Simulation, traffic: TrafficClass, endMs: number): void {
  if (traffic.requestsPerSecond <= 0) return;
  const { clock, scenario } = simulation;
  const totalWeight = scenario.zones.reduce((sum, { clientWeight }) => sum + clientWeight, 0);
  function scheduleNext(): void {
    clock.after((-Math.log(1 - clock.random()) * 1000) / traffic.requestsPerSecond, () => {
      if (clock.now >= endMs) return;
      arrive(simulation, traffic, drawZone(simulation, totalWeight));
      scheduleNext();
    });
  }
  scheduleNext();
}

export const clients = { start };
