/**
 * The program of the core: a member of the group that keeps the control state, the door for the
 * operator, and the answers to the sites' questions for news.
 */
import { mkdir } from 'node:fs/promises';
import type { Server } from 'node:http';
import { boardHistory } from '../state/history/boards.js';
import { configurationHistory } from '../state/history/configurations.js';
import { consensusCalls, replica, type Replica } from '../coordination/consensus/driver.js';
import { boards } from '../controlplane/board.js';
import { access } from '../controlplane/access.js';
import { door } from '../controlplane/door.js';
import { feed } from '../controlplane/feed.js';
import { freshness } from '../controlplane/freshness.js';
import { kept } from '../controlplane/kept.js';
import { members } from '../controlplane/members.js';
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
import type { Runtime } from '../runtime.js';
import { files } from '../transport/files.js';
import type { Settings, Tuning } from '../types.js';
import { machineRuntime } from './runtime.js';
import { settingsWatch } from './watch.js';

/** Reads the disk; a disk that cannot be read at all is an error at the start. */
async function openReplica(settings: Settings, log: Log, runtime: Runtime): Promise<Replica> {
  const path = settings.data_dir!;
  await mkdir(path, { recursive: true });
  const opened = await replica.open({ settings, log, runtime, folder: files.folder(path) });
  if (!opened.ok) throw new Error(`the data folder cannot be read: ${opened.error}`);
  return opened.value;
}

async function create(settings: Settings, log: Log, tuning: Tuning): Promise<Coordinator> {
  const agent = channel.agent();
  const runtime = machineRuntime.create(agent);
  return {
    settings,
    log,
    replica: await openReplica(settings, log, runtime),
    runtime,
    outside: outside.create(agent, function platform() {
      return settings.cloud_api.address;
    }),
    agent,
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

function listenInside(c: Coordinator): Promise<Server> {
  return channel.listen(c.settings.ip_addr, c.settings.port_range[0], {
    '/inner/consensus': function messages(b) {
      const checked = consensusCalls.checkRequest(b);
      return { messages: checked.ok ? replica.receive(c.replica, checked.value.messages) : [] };
    },
    '/inner/board': function board(b) {
      return boards.receive(c, b);
    },
    '/inner/news': function question(b) {
      return news.call(c, b);
    },
    '/inner/feed': function exchange(b) {
      return feed.call(c, b);
    },
    '/inner/status': function state() {
      return status.own(c);
    },
    '/inner/operator': function call(b) {
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
  members.onApplied(c, function applied() {
    const { configuration } = c.replica.state;
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
  const c = await create(s, log, tuning);
  await listenInside(c);
  const server = await listenAtDoor(c);
  startParts(c);
  replica.start(c.replica);
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
