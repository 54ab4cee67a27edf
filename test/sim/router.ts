/** The session of a router in the simulated world: the real one, with a router's state around it. */
import { EventEmitter } from 'node:events';
import { budget } from '../../src/dataplane/budget.js';
import { follow } from '../../src/dataplane/follow.js';
import { line } from '../../src/dataplane/line.js';
import type { Site } from '../../src/dataplane/types.js';
import { transfers } from '../../src/coordination/transfer/machine.js';
import { prices } from '../../src/coordination/transfer/price.js';
import { replica } from '../../src/coordination/consensus/driver.js';
import type { Log } from '../../src/logging/ring.js';
import { tuning } from '../../src/protocol/settings/tuning.js';
import type { Runtime } from '../../src/runtime.js';
import { holdings } from '../../src/state/index/holdings.js';
import { fleet } from '../../src/state/runners/fleet.js';
import type { Settings } from '../../src/types.js';

export type RouterProcess = {
  site: Site;
  /** 0 before the first configuration. */
  revision: () => number;
  isReady: () => boolean;
};

const moveTiming = { leaseMs: 4000, mostAtSource: 6, longestQueueMs: 1500 };

function nothing(): void {
  /* no client is served here */
}

function siteOf(settings: Settings, log: Log): Site {
  const bounds = settings.bound_set;
  return {
    settings,
    log,
    fleet: fleet.create(),
    configuration: null,
    table: null,
    weights: {},
    weightsSeq: 0,
    weightsAt: new Map(),
    rules: { seq: 0, active: {}, next: null, pending: 0 },
    leaveUntil: -Infinity,
    board: { term: 0, seq: 0, runners: null, sites: 0 },
    budget: budget.create(bounds.retry_window_s * 1000, bounds.retry_ratio, bounds.retry_slack),
    holdings: holdings.create(100),
    hintsUntil: -Infinity,
    storeLeases: 0,
    transfers: transfers.create(moveTiming),
    prices: prices.create(),
    hot: { share: new Map(), total: 0 },
    tuning: tuning.defaults,
    readRate: 0,
    leaving: false,
    closing: false,
    line: line.create(),
    open: new Set(),
    stirred: new EventEmitter().setMaxListeners(0),
    loadChanged: nothing,
    sent: nothing,
  };
}

function start(settings: Settings, runtime: Runtime, log: Log): RouterProcess {
  const site = siteOf(settings, log);
  const life = Math.floor(runtime.random() * 2 ** 48).toString(16);
  function seeds(): string[] {
    return settings.seed_addrs.map((address) => replica.innerAddress(address, settings.port_range[0]));
  }
  const follower = follow.create({ life, runtime, seeds }, Math.floor(runtime.random() * 3));
  void follow.run(site, follower);
  return {
    site,
    revision: () => site.table?.revision ?? 0,
    isReady: () => site.table !== null && site.board.runners !== null,
  };
}

export const routerProcess = { start };
