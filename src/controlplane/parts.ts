// What the parts of a coordinator share: its settings, the group, its log and the board it shows.
import type { Agent } from 'node:http';
import type { Replica } from '../coordination/consensus/driver.js';
import type { Log } from '../logging/ring.js';
import type { BoardHistory } from '../state/history/boards.js';
import type { ConfigurationHistory } from '../state/history/configurations.js';
import type { Board, Settings, Tuning } from '../types.js';

export type Session = { site: string; life: string; seenAt: number; revision: number };
export type Told = { at: number; no: number; revision: number; sessions: Session[] };
export type Waiter = { due: () => boolean; answer: () => void };

export type Coordinator = {
  settings: Settings;
  log: Log;
  replica: Replica;
  agent: Agent;
  board: Board;
  boardHistory: BoardHistory;
  configurations: ConfigurationHistory;
  sessions: Map<string, Session>;
  peerSessions: Map<string, Told>;
  reply: { no: number; sentAt: Map<number, number>; heardUpTo: number };
  waiters: Set<Waiter>;
  tuning: Tuning;
};
