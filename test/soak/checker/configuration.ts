/** CONFIG, DENIED and what LOST says of configurations: which one was in force where. */
import { isDeepStrictEqual } from 'node:util';
import { soakConfigurations, type Handling } from '../configurations.js';
import { eventsOf } from '../history.js';
import { possibleVersions, type Evidence } from './evidence.js';
import { endOf, type RequestRecord } from './request-record.js';
import { allows, type Version, type Versions } from './versions.js';
import type { Violation } from './violation.js';

/** How a request was seen to be handled, by a runner or by the status that its client got. */
type SeenHandling = { at: number; seen: Handling };

const denials = [401, 403, 404];
/** Answers of a router's own that say nothing about the request. */
const promises = [408, 421, 429];
const forgivenDenials = 5;
const forgivenDenialShare = 1 / 500;
const forgivenOutOfTouch = 10;

function checkOrders({ versions }: Evidence): Violation[] {
  const found: Violation[] = versions.acknowledgedInvalid.map(({ at, order }) => ({
    rule: 'CONFIG',
    at,
    text: `${order} is invalid and was acknowledged`,
  }));
  const acknowledged = versions.list.filter(({ acknowledgedAt }) => acknowledgedAt < Infinity);
  const byBase = new Map<number, Version>();
  for (const version of acknowledged) {
    const other = byBase.get(version.base);
    if (other)
      found.push({
        rule: 'CONFIG',
        at: version.acknowledgedAt,
        text: `${other.order} and ${version.order}, both on ${version.base}, were acknowledged`,
      });
    byBase.set(version.base, version);
  }
  return found;
}

function checkReads({ history, versions }: Evidence): Violation[] {
  const found: Violation[] = [];
  for (const { sentAt, at, node, document, isFinal } of eventsOf(history, 'configuration_read')) {
    if (document === null) continue;
    const read = JSON.parse(document) as { revision: number };
    const least = versions.acknowledgedBefore(isFinal ? Infinity : sentAt - history.bounds.applyMs);
    const fault = (text: string): void => void found.push({ rule: 'CONFIG', at, text: `read at ${node}: ${text}` });
    if (read.revision < least) fault(`revision ${read.revision}, ${least} was acknowledged`);
    const asSent = versions.list.some((version) => isDeepStrictEqual(version.document, read));
    if (asSent) continue;
    const refused = versions.refused.find((order) => isDeepStrictEqual(JSON.parse(order.document), read));
    if (refused) fault(`${refused.order} was refused`);
    else fault(`revision ${read.revision} is not what was sent`);
  }
  return found;
}

function checkFinalRead({ history, versions }: Evidence): Violation[] {
  const final = eventsOf(history, 'configuration_read').filter(({ isFinal }) => isFinal);
  if (versions.acknowledgedBefore(Infinity) === 0 || final.some(({ document }) => document !== null)) return [];
  const at = final.at(-1)?.at ?? 0;
  return [{ rule: 'LOST', at, text: 'what was acknowledged does not come any more' }];
}

function seenHandling({ answer, arrivals }: RequestRecord): SeenHandling[] {
  const seen: SeenHandling[] = arrivals
    .filter(({ hasRun }) => hasRun)
    .map(({ at, service, tenant }) => ({ at, seen: { status: null, services: [service], tenant: tenant ?? '' } }));
  if (answer !== null && answer.seal === null && (answer.status === 401 || answer.status === 404))
    seen.push({ at: answer.at, seen: { status: answer.status } });
  return seen;
}

function describe(seen: Handling): string {
  return seen.status === null ? `run by ${seen.services.join()} for ${seen.tenant}` : `answered ${seen.status}`;
}

/** Requests that only an older configuration, or none at all, allows to be handled so. */
function checkHandling(evidence: Evidence): Violation[] {
  const { versions, records, contact } = evidence;
  const found: Violation[] = [];
  for (const record of records) {
    const { id, path, key, router, at: sentAt } = record.sent;
    for (const { at, seen } of seenHandling(record)) {
      const possible = possibleVersions(evidence, record.sent, at);
      if (possible.some(({ document }) => allows(document, path, key, seen))) continue;
      const rule = isEverAllowed(versions, at, record, seen) || seen.status !== null ? 'CONFIG' : 'UNASKED';
      if (rule === 'CONFIG' && !contact.isInTouch(router, sentAt, at)) continue;
      const least = possible[0]?.revision;
      found.push({ rule, at, text: `${id} for ${path} ${describe(seen)}, not allowed from ${least} on` });
    }
  }
  return found;
}

function isEverAllowed(versions: Versions, at: number, { sent }: RequestRecord, seen: Handling): boolean {
  return versions.possible(0, at).some(({ document }) => allows(document, sent.path, sent.key, seen));
}

/** Within one life of a router's process no request is handled as only an older configuration allows than one before. */
function checkNoReturn({ history, versions, records }: Evidence): Violation[] {
  const found: Violation[] = [];
  const starts = eventsOf(history, 'process_started');
  const troubles = eventsOf(history, 'trouble');
  for (const node of new Set(records.map(({ sent }) => sent.router))) {
    const lives = starts.filter((start) => start.node === node).map(({ at }) => at);
    lives.forEach((from, life) => {
      const until = lives[life + 1] ?? Infinity;
      const isSlowed = troubles.some((one) => one.nodes.includes(node) && one.at < until && one.until > from);
      const slackMs = history.bounds.revertSlackMs * (isSlowed ? 8 : 1);
      const own = records.filter(({ sent }) => sent.router === node && sent.at >= from && sent.at < until);
      found.push(...returnsOf(versions, own, slackMs));
    });
  }
  return found;
}

function returnsOf(versions: Versions, records: RequestRecord[], slackMs: number): Violation[] {
  const found: Violation[] = [];
  /** From when on which revision was seen in force. */
  const effects: { at: number; revision: number }[] = [];
  for (const record of records) {
    const { id, path, key, at: sentAt } = record.sent;
    for (const { at, seen } of seenHandling(record)) {
      const fitting = versions.possible(0, at).filter(({ document }) => allows(document, path, key, seen));
      if (fitting.length === 0) continue;
      const newest = fitting.at(-1)!.revision;
      const later = effects.find((effect) => sentAt > effect.at + slackMs && effect.revision > newest);
      if (later)
        found.push({
          rule: 'CONFIG',
          at,
          text: `${id} for ${path} ${describe(seen)}, as up to ${newest}, after the effect of ${later.revision} was seen`,
        });
      if (seen.status === null) effects.push({ at, revision: fitting[0]!.revision });
    }
  }
  return found;
}

function checkDenied(evidence: Evidence): Violation[] {
  const { records, contact } = evidence;
  const denied: RequestRecord[] = [];
  const outOfTouch: RequestRecord[] = [];
  for (const record of records) {
    const { sent, answer } = record;
    if (answer === null || answer.seal !== null || answer.status < 300 || answer.status >= 500) continue;
    if (promises.includes(answer.status)) continue;
    const isInTouch = contact.isInTouch(sent.router, sent.at, answer.at);
    const isProper = possibleVersions(evidence, sent, answer.at).every(
      ({ document }) => soakConfigurations.handling(document, sent.path, sent.key).status === null,
    );
    if (isProper && isInTouch) denied.push(record);
    else if (isProper && denials.includes(answer.status)) outOfTouch.push(record);
  }
  const worst = denied.length > forgivenDenials + records.length * forgivenDenialShare ? denied : [];
  const all = [...worst, ...(outOfTouch.length > forgivenOutOfTouch ? outOfTouch : [])];
  if (all.length === 0) return [];
  const { sent, answer } = all[0]!;
  const text = `${all.length} proper requests refused, ${sent.id} for ${sent.path} with ${answer?.status}`;
  return [{ rule: 'DENIED', at: endOf(all[0]!), text }];
}

export function checkConfiguration(evidence: Evidence): Violation[] {
  return [
    ...checkOrders(evidence),
    ...checkReads(evidence),
    ...checkFinalRead(evidence),
    ...checkHandling(evidence),
    ...checkNoReturn(evidence),
    ...checkDenied(evidence),
  ];
}
