// Answers a site's question for news: at once when there is something it does not have, otherwise
// when there is or the hold runs out. Says whether this coordinator is itself up to date, so that a
// site can turn to another.
import { boardHistory } from '../state/history/boards.js';
import { configurationHistory } from '../state/history/configurations.js';
import { replica } from '../coordination/consensus/driver.js';
import type { NewsReply, NewsRequest } from '../protocol/inner/news.js';
import { boards } from './board.js';
import { sessions } from './sessions.js';
import type { Coordinator, Waiter } from './parts.js';

const longestHoldMs = 2000;

function hasNews(c: Coordinator, call: NewsRequest): boolean {
  const s = c.replica.state;
  return (
    call.whole ||
    (s.configuration?.revision ?? 0) > call.revision ||
    s.weightsSeq > call.weights ||
    s.rules.seq > call.rules ||
    boards.newer(c.board, call.board[0], call.board[1])
  );
}

function answerOf(c: Coordinator, call: NewsRequest): NewsReply {
  const s = c.replica.state;
  const m = c.replica.machine;
  const isBehind = (s.configuration?.revision ?? 0) > call.revision || (call.whole && s.configuration !== null);
  const configurationDelta =
    !isBehind || call.whole || c.configurations.current !== s.configuration
      ? null
      : configurationHistory.since(c.configurations, call.revision);
  const isOldBoard = boards.newer(c.board, call.board[0], call.board[1]) || (call.whole && c.board.seq > 0);
  const boardDelta =
    !isOldBoard || call.whole ? null : boardHistory.since(c.boardHistory, call.board[0], call.board[1]);
  return {
    configuration: isBehind && !configurationDelta ? s.configuration : null,
    configurationDelta,
    weights: s.weightsSeq > call.weights ? s.weights : null,
    weightsSeq: s.weightsSeq,
    rules: s.rules.seq > call.rules ? s.rules : null,
    board: isOldBoard && !boardDelta ? c.board : null,
    boardDelta,
    leader: replica.leaderControl(c.replica),
    coordinators: m.roster.map(function at(x) {
      return x.addr;
    }),
    fresh: replica.fresh(c.replica),
    leave: boards.hasLeave(c),
  };
}

function call(c: Coordinator, n: NewsRequest): Promise<NewsReply> {
  sessions.touch(c, n.site, n.life, n.revision);
  return new Promise(function run(done) {
    if (hasNews(c, n)) return done(answerOf(c, n));
    const w: Waiter = {
      due: function due() {
        return hasNews(c, n);
      },
      answer: function answer() {
        clearTimeout(timer);
        sessions.touch(c, n.site, n.life, n.revision);
        done(answerOf(c, n));
      },
    };
    const timer = setTimeout(
      function over() {
        c.waiters.delete(w);
        w.answer();
      },
      Math.min(longestHoldMs, n.hold),
    );
    c.waiters.add(w);
  });
}

export const news = { call };
