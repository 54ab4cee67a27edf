// The program of the core: a member of the group that keeps the control state, the door for the
// operator, and the answers to the sites' questions for news.
import { createServer } from 'node:http';
import { boardHistory } from '../state/history/boards.js';
import { configurationHistory } from '../state/history/configurations.js';
import { replica } from '../coordination/consensus/driver.js';
import { boards } from '../controlplane/board.js';
import { access } from '../controlplane/access.js';
import { feed } from '../controlplane/feed.js';
import { kept } from '../controlplane/kept.js';
import { news } from '../controlplane/news.js';
import { operator } from '../controlplane/operator.js';
import type { Coordinator } from '../controlplane/parts.js';
import { runners } from '../controlplane/runners.js';
import { rollout } from '../controlplane/rollout.js';
import { status } from '../controlplane/status.js';
import type { Log } from '../logging/ring.js';
import { ringLog } from '../logging/ring.js';
import { answers } from '../transport/http/answer.js';
import { ask } from '../transport/http/ask.js';
import { channel } from '../transport/inner/channel.js';
import type { Settings, Tuning } from '../types.js';

async function start(s: Settings, log: Log, tuning: Tuning): Promise<void> {
  const member = replica.create(s, log);
  const c: Coordinator = {
    settings: s,
    log,
    replica: member,
    agent: channel.agent(),
    board: boards.empty(),
    boardHistory: boardHistory.create(),
    configurations: configurationHistory.create(),
    sessions: new Map(),
    peerSessions: new Map(),
    reply: { no: 0, sentAt: new Map(), heardUpTo: -Infinity },
    waiters: new Set(),
    tuning,
  };
  member.on('delivered', function news() {
    if (member.state.configuration) configurationHistory.take(c.configurations, member.state.configuration);
    boards.wake(c);
  });
  await channel.listen(s.ip_addr, s.port_range[0], {
    '/inner/consensus': function messages(b) {
      return replica.receive(member, b.messages);
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
    '/inner/status': function view() {
      return status.own(c);
    },
    '/inner/operator': function call(b) {
      return operator.decide(c, b);
    },
  });
  const door = createServer(function got(req, res) {
    operator.handle(c, req, res).catch(function bad(err: Error) {
      ringLog.error(log, { why: err.stack }, 'an operator call met an error of our own');
      answers.send(res, answers.plain(500, err.message), true);
    });
  });
  const { host, port } = ask.split(s.bind_addrs.control_addr!);
  await new Promise<void>(function run(done, fail) {
    door.on('error', fail);
    door.listen(port, host, done);
  });
  replica.start(member);
  boards.start(c);
  void runners.run(c);
  rollout.start(c);
  feed.start(c);
  access.start(c);
  kept.start(c);
  process.on('SIGTERM', function term() {
    void replica.stop(member).then(function gone() {
      process.exit(0);
    });
  });
}

export const coordinatorProgram = { start };
