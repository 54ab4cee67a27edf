// What a request carries on its way through the policies, and what a site is made of.
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { EventEmitter } from 'node:events';
import type { Log } from '../logging/ring.js';
import type { Part, Tokens } from '../protocol/calls/heads.js';
import type { RouteTable } from '../state/control/routes.js';
import type { Fleet, Slot } from '../state/runners/fleet.js';
import type { Answer } from '../transport/http/answer.js';
import type { Board, Configuration, Route, RulesState, Service, Settings, Tenant, Tuning } from '../types.js';
import type { Budget } from './budget.js';
import type { Line } from './line.js';
import type { Transfers } from '../coordination/transfer/machine.js';
import type { Prices } from '../coordination/transfer/price.js';
import type { Holdings } from '../state/index/holdings.js';

export type Site = {
  settings: Settings; log: Log; fleet: Fleet; configuration: Configuration | null; table: RouteTable | null; weights: Record<string, number>; weightsSeq: number;
  weightsAt: Map<string, number>; rules: RulesState; leaveUntil: number; board: Board; budget: Budget; holdings: Holdings; hintsUntil: number; storeLeases: number; transfers: Transfers; prices: Prices; hot: { share: Map<string, number>; total: number }; tuning: Tuning;
  readRate: number; leaving: boolean; closing: boolean; line: Line; open: Set<Passage>; stirred: EventEmitter; burdenChanged: () => void;
  sent: (p: Passage, a: Assigned) => void;
};

export type Passage = {
  req: IncomingMessage; res: ServerResponse; at: number; path: string; attempt: string; body: Buffer;
  route: Route; service: Service; tenant: Tenant | null; rank: number;
  model: string | null; tokens: Tokens | null; parts: Part[]; wall: string;
  deadlineAt: number; aimMs: number; isStream: boolean; repeatable: boolean;
  legs: number; runners: Set<number>; maybeRun: boolean; headSent: boolean; lastEventId: string | null; gone: boolean; events: number;
};

export type Source = { place: number; addr: string; key: string; tokens: number; ms: number; generation: number };
export type Assigned = { slot: Slot; revision: number | null; salt: string | null; reads: number; claims: number; isLong: boolean; backlog: number; fetchFrom: string | null; source: Source | null; transfer: number | null; saveTo: string | null };

export type Step = { s: 'next' } | { s: 'answer'; answer: Answer; closing?: boolean } | { s: 'done' };
export type Policy = { name: string; run: (site: Site, p: Passage) => Step | Promise<Step> };
