// A site's session: it keeps asking one coordinator for news with the revisions it has, and turns to
// the next one when that is silent, broken or itself behind. What it has never goes back.
import type { Agent } from 'node:http';
import { channel } from '../transport/inner/channel.js';
import { ringLog } from '../logging/ring.js';
import { boardHistory } from '../state/history/boards.js';
import { configurationHistory } from '../state/history/configurations.js';
import { routes } from '../state/control/routes.js';
import { fleet } from '../state/runners/fleet.js';
import type { NewsReply, NewsRequest } from '../protocol/inner/news.js';
import type { Board, Configuration } from '../types.js';
import { line } from './line.js';
import type { Site } from './types.js';

const holdMs = 600;
const slackMs = 350;
const pauseMs = 120;
export const leaveMs = 2000;

export type Follower = {
  life: string;
  via: Agent;
  known: string[];
  seeds: string[];
  at: number;
  leader: string | null;
  stopped: boolean;
  whole: boolean;
};

function newer(a: Board, b: Board): boolean {
  return a.term > b.term || (a.term === b.term && a.seq > b.seq);
}

function takeBoard(site: Site, b: Board): void {
  const was = site.board;
  if (!newer(b, was)) return;
  site.board = { ...b, sites: Math.max(b.sites, 0) };
  if (b.runners) fleet.take(site.fleet, b.runners);
  fleet.capAll(site.fleet, site.table, b.sites);
  line.stir(site.line);
}

// What was told as a difference is put on what is there; one that does not fit is asked for whole.
function unfolded<T, D>(whole: T | null, delta: D | null, apply: (d: D) => T | null, f: Follower): T | null {
  if (whole) return whole;
  if (!delta) return null;
  const next = apply(delta);
  if (!next) f.whole = true;
  return next;
}

function takeConfiguration(site: Site, c: Configuration | null): void {
  if (c && c.revision > (site.table?.revision ?? 0)) {
    site.configuration = c;
    site.table = routes.build(c);
    fleet.capAll(site.fleet, site.table, site.board.sites);
    site.stirred.emit('configuration');
  }
}

function take(site: Site, f: Follower, a: NewsReply): void {
  f.whole = false;
  takeConfiguration(
    site,
    unfolded(
      a.configuration,
      a.configurationDelta,
      function put(d) {
        return configurationHistory.apply(site.configuration, d);
      },
      f,
    ),
  );
  if (a.rules && a.rules.seq > site.rules.seq) {
    site.rules = a.rules;
  }
  if (a.weights && a.weightsSeq > site.weightsSeq) {
    const now = performance.now();
    for (const [model, revision] of Object.entries(a.weights))
      if ((site.weights[model] ?? 0) < revision) site.weightsAt.set(model, now);
    site.weights = a.weights;
    site.weightsSeq = a.weightsSeq;
  }
  const board = unfolded(
    a.board,
    a.boardDelta,
    function put(d) {
      return boardHistory.apply(site.board, d);
    },
    f,
  );
  if (board) takeBoard(site, board);
  f.leader = a.leader;
  if (a.coordinators.length > 0) {
    const at = f.known[f.at % f.known.length];
    f.known = [...new Set([...a.coordinators, ...f.seeds])].sort();
    f.at = Math.max(0, f.known.indexOf(at ?? ''));
  }
}

async function run(site: Site, f: Follower): Promise<void> {
  let failed = 0;
  while (!f.stopped) {
    const to = f.known[f.at % f.known.length]!;
    const sentAt = performance.now();
    const call: NewsRequest = {
      site: site.settings.node_name,
      life: f.life,
      revision: site.table?.revision ?? 0,
      board: [site.board.term, site.board.seq],
      weights: site.weightsSeq,
      rules: site.rules.seq,
      hold: holdMs,
      whole: f.whole,
    };
    const r = await channel.post<NewsReply>(f.via, to, '/inner/news', call, holdMs + slackMs);
    if (r.ok) take(site, f, r.value);
    if (r.ok && r.value.leave) site.leaveUntil = Math.max(site.leaveUntil, sentAt + leaveMs);
    if (r.ok && r.value.fresh) {
      failed = 0;
      continue;
    }
    ringLog.note(site.log, { to, why: r.ok ? 'behind' : r.error }, 'turning to another coordinator');
    f.at++;
    failed++;
    if (failed % f.known.length === 0)
      await new Promise(function wait(done) {
        setTimeout(done, pauseMs);
      });
  }
}

export const follow = { run };
