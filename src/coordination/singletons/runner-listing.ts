/** Fetches the list of runners from the platform, page by page. An incomplete list is an error. */
import type { Agent } from 'node:http';
import { externalCalls, type ExternalCallError } from '../../protocol/calls/external-calls.js';
import { platformCalls, type RunnerPage } from '../../protocol/calls/platform-calls.js';
import type { Result, Runner } from '../../types.js';

/** How long each page is waited for. */
const pageTimeoutMs = 1500;

/** The most pages that are fetched, against a list that does not end. */
const maxPages = 200;

/** Why there is no list: a page did not come (a later poll may help), or the platform's pages did not end. */
export type RunnerListError = ExternalCallError | { kind: 'too_many_pages' };

/** All runners, each once, from the platform API at `address` (`ip:port`). */
async function fetchAll(agent: Agent, address: string): Promise<Result<Runner[], RunnerListError>> {
  const runnersById = new Map<string, Runner>();
  let token: string | null = null;
  for (let page = 0; page < maxPages; page++) {
    const reply: Result<RunnerPage, ExternalCallError> = await externalCalls.send(
      agent,
      address,
      platformCalls.listRunners(token),
      pageTimeoutMs,
    );
    if (!reply.ok) return reply;
    for (const runner of reply.value.runners) runnersById.set(runner.id, runner);
    token = reply.value.nextPageToken;
    if (token === null) return { ok: true, value: [...runnersById.values()] };
  }
  return { ok: false, error: { kind: 'too_many_pages' } };
}

export const runnerListing = { fetchAll };
