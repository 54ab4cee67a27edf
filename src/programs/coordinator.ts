/**
 * The program of the core: a member of the group that keeps the control state, the door for the
 * operator, and the answers to the sites' questions for news.
 */
import type { Server } from 'node:http';
import { boardHistory } from '../state/history/boards.js';
import { configurationHistory } from '../state/history/configurations.js';
import { replica, type Replica } from '../coordination/consensus/driver.js';
import type { Message } from '../coordination/consensus/types.js';
import { boards, type BoardCall } from '../controlplane/board.js';
import { access } from '../controlplane/access.js';
import { core } from '../controlplane/core.js';
import { door } from '../controlplane/door.js';
import { feed } from '../controlplane/feed.js';
import { freshness } from '../controlplane/freshness.js';
import { innerPaths } from '../controlplane/inner.js';
import { kept } from '../controlplane/kept.js';
import { news } from '../controlplane/news.js';
import { operator } from '../controlplane/operator.js';
import { outside } from '../controlplane/outside.js';
import type { Coordinator } from '../controlplane/parts.js';
import { runners } from '../controlplane/runners.js';
import { rollout } from '../controlplane/rollout.js';
import { shutdown } from '../controlplane/shutdown.js';
import { status } from '../controlplane/status.js';
import type { Log } from '../logging/ring.js';
import { ask } from '../transport/http/ask.js';
import { channel } from '../transport/inner/channel.js';
import type { FeedCall, NewsCall, OperatorCall, Settings, Tuning } from '../types.js';
import { machineRuntime } from './runtime.js';
import { settingsWatch } from './watch.js';

/** A coordinator that has not started, in the given world: the group, the clock, the network, the outside. */
function create(
  settings: Settings,
  log: Log,
  tuning: Tuning,
  world: Pick<Coordinator, 'core' | 'runtime' | 'outside' | 'agent'>,
): Coordinator {
  return {
    ...world,
    settings,
    log,
    board: boards.empty(),
    boardHistory: boardHistory.create(),
    configurations: configurationHistory.create(),
    sessions: new Map(),
    peerSessions: new Map(),
    reply: { number: 0, sentAt: new Map(), heardUpTo: -Infinity },
    leaderProgress: { term: 0, revision: 0, weightsSeq: 0, rulesSeq: 0 },
    waiters: new Set(),
    isStopping: false,
    tuning,
  };
}

function listenInside(c: Coordinator, member: Replica): Promise<Server> {
  return channel.listen(c.settings.ip_addr, c.settings.port_range[0], {
    [innerPaths.consensus]: function messages(b: { messages: Message[] }) {
      return replica.receive(member, b.messages);
    },
    [innerPaths.board]: function board(b: BoardCall) {
      return boards.receive(c, b);
    },
    [innerPaths.news]: function question(b: NewsCall) {
      return news.call(c, b);
    },
    [innerPaths.feed]: function exchange(b: FeedCall) {
      return feed.call(c, b);
    },
    [innerPaths.status]: function state() {
      return status.own(c);
    },
    [innerPaths.operator]: function call(b: OperatorCall) {
      return operator.decide(c, b);
    },
  });
}

function listenAtDoor(c: Coordinator): Promise<Server> {
  const server = door.create(c);
  const { host, port } = ask.split(c.settings.bind_addrs.control_addr!);
  return new Promise(function run(done, fail) {
    server.on('error', fail);
    server.listen(port, host, function up() {
      done(server);
    });
  });
}

/** Starts all duties of a coordinator whose replica runs. */
function startParts(c: Coordinator): void {
  c.core.onApplied(function applied() {
    const { configuration } = c.core.state();
    if (configuration) configurationHistory.take(c.configurations, configuration);
    boards.wake(c);
  });
  runners.start(c);
  boards.start(c);
  news.start(c);
  rollout.start(c);
  feed.start(c);
  access.start(c);
  kept.start(c);
}

async function stop(c: Coordinator, server: Server): Promise<void> {
  await shutdown.run(c);
  server.close();
  server.closeIdleConnections();
  process.exit(0);
}

/** `reread` reads the settings file again, in place. */
async function start(s: Settings, log: Log, tuning: Tuning, reread: () => void): Promise<void> {
  const member = replica.create(s, log);
  const agent = channel.agent();
  const c = create(s, log, tuning, {
    core: core.of(member),
    runtime: machineRuntime.create(agent),
    outside: outside.create(agent, function platform() {
      return s.cloud_api.address;
    }),
    agent,
  });
  await listenInside(c, member);
  const server = await listenAtDoor(c);
  startParts(c);
  replica.start(member);
  settingsWatch.start(
    c.runtime.clock,
    function hasLeader() {
      return freshness.hasLeader(c);
    },
    reread,
  );
  process.on('SIGTERM', function term() {
    if (!c.isStopping) void stop(c, server);
  });
}

export const coordinatorProgram = { create, startParts, start };
