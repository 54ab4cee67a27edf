/** ONE, WALL, DRAIN and VERSION: what runners were told, and which memory and weights requests ran on. */
import { eventsOf, type Arrived, type EventsOf, type History } from '../history.js';
import { possibleVersions, type Evidence } from './evidence.js';
import type { Version } from './versions.js';
import type { Violation } from './violation.js';

function checkHolders({ history, contact }: Evidence): Violation[] {
  const { leaseMs, thawMs } = history.bounds;
  const found: Violation[] = [];
  const holders = new Map<number, string>();
  const last = new Map<string, EventsOf<'runner_ordered'>>();
  for (const order of eventsOf(history, 'runner_ordered')) {
    const { at, runner, fence, holder } = order;
    const fault = (text: string): void => void found.push({ rule: 'ONE', at, text: `${runner}: ${text}` });
    const known = holders.get(fence);
    if (known !== undefined && known !== holder) fault(`fence ${fence} of ${known} and of ${holder}`);
    holders.set(fence, known ?? holder);
    if (contact.hasEndedTrouble(at, thawMs)) continue;
    const before = last.get(runner);
    if (before && before.fence > fence) fault(`fence ${fence} after ${before.fence}`);
    if (before && before.holder !== holder && at - before.at < leaseMs)
      fault(`${holder} ${Math.round(at - before.at)} ms after ${before.holder}`);
    last.set(runner, order);
  }
  return found;
}

function isIsolated({ document }: Version, tenant: string): boolean {
  return document.tenant_list.some(({ label, isolated }) => label === tenant && isolated === true);
}

function checkIsolation(evidence: Evidence): Violation[] {
  const found: Violation[] = [];
  for (const { sent, arrivals } of evidence.records)
    for (const { at, id, tenant, used } of arrivals) {
      const foreign = used.filter(({ madeBy }) => madeBy !== tenant);
      if (foreign.length === 0 || tenant === null) continue;
      const possible = possibleVersions(evidence, sent, at);
      const wall = foreign.find(({ madeBy }) =>
        possible.every((version) => isIsolated(version, madeBy) || isIsolated(version, tenant)),
      );
      if (wall && possible.length > 0)
        found.push({ rule: 'WALL', at, text: `${id} of ${tenant} on ${wall.blockId} of ${wall.madeBy}` });
    }
  return found;
}

function checkDraining({ history, records, contact }: Evidence): Violation[] {
  const { drainMs } = history.bounds;
  const draining = new Map(eventsOf(history, 'runner_draining').map(({ runner, at }) => [runner, at]));
  const found: Violation[] = [];
  for (const { sent, arrivals } of records)
    for (const { at, id, runner } of arrivals) {
      const since = draining.get(runner);
      if (since === undefined || at <= since + drainMs) continue;
      if (contact.isInTouch(sent.router, since, at))
        found.push({ rule: 'DRAIN', at, text: `${id} at ${runner}, draining since ${Math.round(since)}` });
    }
  return found;
}

function newestWeights(history: History, before: number): number {
  return Math.max(1, ...eventsOf(history, 'weights_named').map(({ at, revision }) => (at < before ? revision : 1)));
}

function checkVersions({ history, records, contact }: Evidence): Violation[] {
  const { versionMs } = history.bounds;
  const found: Violation[] = [];
  function isLate({ at, weightsRevision }: Arrived, router: string): boolean {
    if (weightsRevision >= newestWeights(history, at - versionMs)) return false;
    return contact.isInTouch(router, at - versionMs, at);
  }
  for (const { sent, arrivals } of records)
    for (const arrival of arrivals)
      if (arrival.hasRun && isLate(arrival, sent.router))
        found.push({ rule: 'VERSION', at: arrival.at, text: `${arrival.id} began on ${arrival.weightsRevision}` });
  return found;
}

export function checkRunners(evidence: Evidence): Violation[] {
  return [
    ...checkHolders(evidence),
    ...checkIsolation(evidence),
    ...checkDraining(evidence),
    ...checkVersions(evidence),
  ];
}
