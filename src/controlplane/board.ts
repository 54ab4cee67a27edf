// The board: soft state that the leader shows to the other coordinators and they to the sites.
// Boards are ordered by (term, seq); an older one never replaces a newer one.
import { replica } from '../coordination/consensus/driver.js';
import type { BoardReply, BoardRequest } from '../protocol/inner/board.js';
import { boardHistory } from '../state/history/boards.js';
import { channel } from '../transport/inner/channel.js';
import type { Board } from '../types.js';
import { sessions } from './sessions.js';
import type { Coordinator } from './parts.js';

const refreshMs = 400;
const legMs = 500;
export const witnessMs = 1500;

// A call says which of the peer's replies came in last; from that the peer knows until when the
// leader reckons with it. Sessions are told by their age, for clocks are not shared.

function empty(): Board {
  return { term: 0, seq: 0, runners: null, sites: 0 };
}

function newer(a: Board, term: number, seq: number): boolean {
  return a.term > term || (a.term === term && a.seq > seq);
}

function wake(c: Coordinator): void {
  for (const w of [...c.waiters]) {
    if (w.due()) {
      c.waiters.delete(w);
      w.answer();
    }
  }
}

// Changes the board; only the leader does, and the others are told at once.
function change(c: Coordinator, part: Partial<Board>): void {
  const term = c.replica.machine.term;
  const seq = c.board.term === term ? c.board.seq + 1 : 1;
  c.board = { ...c.board, ...part, term, seq };
  boardHistory.take(c.boardHistory, c.board);
  wake(c);
  tellAll(c, true);
}

const state = new WeakMap<Coordinator, Map<string, { have: [number, number]; busy: boolean; again: boolean }>>();

function peerState(c: Coordinator, addr: string): { have: [number, number]; busy: boolean; again: boolean } {
  let m = state.get(c);
  if (!m) {
    m = new Map();
    state.set(c, m);
  }
  let p = m.get(addr);
  if (!p) {
    p = { have: [0, 0], busy: false, again: false };
    m.set(addr, p);
  }
  return p;
}

function tellAll(c: Coordinator, onlyNews: boolean): void {
  if (!replica.isLeader(c.replica)) return;
  for (const p of c.replica.machine.peers.values()) void tell(c, p.id, p.addr, onlyNews);
}

async function tell(c: Coordinator, id: string, addr: string, onlyNews: boolean): Promise<void> {
  const p = peerState(c, addr);
  if (p.busy) {
    p.again = true;
    return;
  }
  const news = newer(c.board, p.have[0], p.have[1]);
  if (onlyNews && !news) return;
  p.busy = true;
  const call: BoardRequest = {
    board: news ? c.board : null,
    term: c.replica.machine.term,
    echo: c.peerSessions.get(id)?.no ?? 0,
  };
  const r = await channel.post<BoardReply>(c.agent, addr, '/inner/board', call, legMs);
  p.busy = false;
  if (r.ok) {
    p.have = r.value.have;
    const at = performance.now();
    const list = r.value.sessions.map(function one(s) {
      return { ...s, seenAt: at - s.seenAt };
    });
    c.peerSessions.set(id, { at, no: r.value.no, revision: r.value.revision, sessions: list });
  }
  if (p.again && r.ok) {
    p.again = false;
    void tell(c, id, addr, true);
  }
}

function receive(c: Coordinator, call: BoardRequest): BoardReply {
  if (call.board && newer(call.board, c.board.term, c.board.seq)) {
    c.board = call.board;
    boardHistory.take(c.boardHistory, c.board);
    wake(c);
  }
  const now = performance.now();
  const { reply } = c;
  if (call.term >= c.replica.machine.term)
    reply.heardUpTo = Math.max(reply.heardUpTo, reply.sentAt.get(call.echo) ?? -Infinity);
  for (const no of reply.sentAt.keys()) if (no < call.echo) reply.sentAt.delete(no);
  reply.no++;
  reply.sentAt.set(reply.no, now);
  const list = sessions.own(c).map(function aged(s) {
    return { ...s, seenAt: now - s.seenAt };
  });
  return {
    have: [c.board.term, c.board.seq],
    no: reply.no,
    revision: c.replica.state.configuration?.revision ?? 0,
    sessions: list,
  };
}

// Whether this node may give sites leave to honour access rules: the leader while its hold lasts,
// another while the leader is known to reckon with it.
function hasLeave(c: Coordinator): boolean {
  if (replica.isLeader(c.replica)) return replica.fresh(c.replica);
  return replica.fresh(c.replica) && performance.now() - c.reply.heardUpTo < witnessMs;
}

function start(c: Coordinator): NodeJS.Timeout {
  return setInterval(function refresh() {
    tellAll(c, false);
  }, refreshMs);
}

export const boards = { empty, newer, change, wake, receive, hasLeave, start };
