/**
 * The calls between coordinators, all in one place. Each answers with an `Outcome`; errors say whether
 * the other end may have seen the call (see `CallError`).
 */
import type { CallError } from '../runtime.js';
import type { Outcome, OperatorAnswer, OperatorCall, StatusAnswer } from '../types.js';
import type { BoardCall, BoardReply } from './board.js';
import type { Coordinator } from './parts.js';

export const innerPaths = {
  board: '/inner/board',
  news: '/inner/news',
  feed: '/inner/feed',
  status: '/inner/status',
  operator: '/inner/operator',
  consensus: '/inner/consensus',
} as const;

async function send<T>(
  c: Coordinator,
  address: string,
  path: string,
  body: unknown,
  timeoutMs: number,
): Promise<Outcome<T, CallError>> {
  const r = await c.runtime.network.call(address, path, body, { timeoutMs, lane: 'control' });
  return r.ok ? { ok: true, value: r.value as T } : r;
}

function board(c: Coordinator, address: string, call: BoardCall, ms: number): Promise<Outcome<BoardReply, CallError>> {
  return send(c, address, innerPaths.board, call, ms);
}

/** Sends an order or a read on to the leader; null when the receiver does not lead. */
function operator(
  c: Coordinator,
  address: string,
  call: OperatorCall,
  ms: number,
): Promise<Outcome<OperatorAnswer | null, CallError>> {
  return send(c, address, innerPaths.operator, call, ms);
}

function status(c: Coordinator, address: string, ms: number): Promise<Outcome<StatusAnswer, CallError>> {
  return send(c, address, innerPaths.status, {}, ms);
}

export const inner = { board, operator, status };
