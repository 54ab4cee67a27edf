/** A stand-in for the platform: lists the runners it is given, in pages of two. */
import { createServer, type Server } from 'node:http';
import { runnerReport } from '../../src/emulator/runner-report.js';
import type { RunnerStandin } from './runner.js';

/** `calls` counts the pages that were asked for. */
export type PlatformStandin = { server: Server; runners: RunnerStandin[]; calls: number; mode: PlatformMode };

/** `silent`: calls are not answered; `too_many`: 429; `failing`: 500. */
export type PlatformMode = 'healthy' | 'silent' | 'too_many' | 'failing';

const pageLength = 2;

/** A runner as the platform lists it. */
function listItem(runner: RunnerStandin): object {
  return {
    instance_id: runner.id,
    target: runner.service,
    address: `${runner.host}:${runner.port}`,
    zone_name: runner.zone,
    revision: 'v1',
    slot_count: runner.slotCount,
    condition: runner.draining ? 'draining' : 'serving',
    cold_left_ms: 0,
    phase: 'whole',
    model_list: runnerReport.modelList(runner.orders, Date.now()),
  };
}

function start(host: string, port: number, runners: RunnerStandin[]): Promise<PlatformStandin> {
  const platform: PlatformStandin = { server: createServer(), runners, calls: 0, mode: 'healthy' };
  platform.server.on('request', (request, response) => {
    platform.calls++;
    if (platform.mode === 'silent') return;
    if (platform.mode !== 'healthy') {
      response.writeHead(platform.mode === 'failing' ? 500 : 429).end();
      return;
    }
    const token = new URL(request.url ?? '/', 'http://platform').searchParams.get('page_token');
    const from = Number(token ?? 0);
    const next = from + pageLength;
    const page = platform.runners.slice(from, next).map(listItem);
    response.writeHead(200, { 'Content-Type': 'application/json' });
    response.end(
      JSON.stringify({ instance_list: page, next_token: next < platform.runners.length ? String(next) : null }),
    );
  });
  return new Promise((resolve) => {
    platform.server.listen(port, host, () => {
      resolve(platform);
    });
  });
}

/** The platform's API over loopback. */
export const platformStandin = { start };
