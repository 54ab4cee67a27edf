/**
 * `/inner/board`: the leader shows its board to another coordinator and is told the router sessions that
 * one has. Clocks are not shared: times are told as ages.
 */
import type { Board } from '../../types.js';
import { endpoint, type Endpoint } from './endpoint.js';
import { guard } from './guard.js';
import { shapes } from './shapes.js';

/** `board` is null when the callee has it already; `echo` is the number of the last reply that came in. */
export type BoardRequest = { board: Board | null; term: number; echo: number };

/** A router's session; `seenAt` is its age in milliseconds. */
export type SessionRow = { site: string; life: string; seenAt: number; revision: number };

/** `have` is the (term, seq) of the board that the callee shows now, `no` numbers the replies of one life. */
export type BoardReply = { have: [number, number]; no: number; revision: number; sessions: SessionRow[] };

const maxBytes = 8 * 1024 * 1024;

const request = guard.object<BoardRequest>({
  board: guard.nullable(shapes.board),
  term: guard.count,
  echo: guard.count,
});

const session = guard.object<SessionRow>({
  site: guard.name,
  life: guard.name,
  seenAt: guard.finite,
  revision: guard.count,
});

const reply = guard.object<BoardReply>({
  have: guard.row<[number, number]>(guard.count, guard.count),
  no: guard.count,
  revision: guard.count,
  sessions: guard.list(session),
});

/** Bound to the life of the callee: `echo` refers to a reply that only that life remembers. */
export const boardEndpoint: Endpoint<BoardRequest, BoardReply> = {
  path: '/inner/board',
  checkRequest: endpoint.byGuard(request),
  checkReply: endpoint.byGuard(reply),
  maxBytes,
  lane: 'control',
  bindsToLife: true,
};
