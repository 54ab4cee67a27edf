/** LOST around planned work and on kept connections, ACKS, and processes that end by themselves. */
import { eventsOf, type History } from '../history.js';
import { deadlineMs, type Evidence } from './evidence.js';
import type { RequestRecord } from './request-record.js';
import type { Violation } from './violation.js';

/** As many kept connections may end under a request that was passed on. */
const forgivenKept = 3;
/** A process may end within it after trouble on its machine. */
const afterTroubleMs = 1000;
/** A request that ends so shortly before its deadline has been ended by it. */
const deadlineSlackMs = 200;

function isCut({ answer, leftAt }: RequestRecord): boolean {
  return leftAt === null && answer !== null && (answer.status === 0 || !answer.isComplete);
}

/** Whether its runner broke off, or ended, so that the router had nothing to go on with. */
function isRunnersFault(history: History, { sent, answer, runs }: RequestRecord): boolean {
  if (runs.some(({ isWhole, isCancelled }) => !isWhole && !isCancelled)) return true;
  return eventsOf(history, 'runner_changed').some(
    ({ at, what }) => what !== 'start' && at >= sent.at && at <= (answer?.at ?? sent.at),
  );
}

/** Whether the process had taken the request on: it was passed on, or the connection ended well behind its last byte. */
function wasTakenOn(history: History, { writtenAt, answer, arrivals }: RequestRecord): boolean {
  if (arrivals.length > 0) return true;
  return writtenAt !== null && answer !== null && answer.at > writtenAt + history.bounds.lossSlackMs;
}

/** Whether it ended before its client's time and its route's `deadline_ms` were over. */
function hasTimeLeft(evidence: Evidence, { sent, answer }: RequestRecord): boolean {
  const limitMs = Math.min(sent.timeLeftMs, deadlineMs(evidence, sent));
  return answer !== null && answer.at - sent.at < limitMs - deadlineSlackMs;
}

function checkPlannedWork(evidence: Evidence): Violation[] {
  const { history, records, contact } = evidence;
  const { graceMs, applyMs } = history.bounds;
  const planned = eventsOf(history, 'trouble').filter(({ isPlanned }) => isPlanned);
  const found: Violation[] = [];
  for (const record of records) {
    const { sent, answer } = record;
    if (!isCut(record) || !wasTakenOn(history, record) || !hasTimeLeft(evidence, record)) continue;
    if (isRunnersFault(history, record) || !contact.hasOnlyPlannedWork(sent.at, answer!.at)) continue;
    const work = planned.find(({ at, what, nodes }) => {
      if (!nodes.includes(sent.router) || answer!.at < at) return false;
      return what === 'hang_up' ? sent.at <= at + applyMs : answer!.at <= at + graceMs + afterTroubleMs;
    });
    if (work)
      found.push({ rule: 'LOST', at: answer!.at, text: `${sent.id} at ${sent.router} cut around ${work.what}` });
  }
  return found;
}

function checkKeptConnections(evidence: Evidence): Violation[] {
  const { history, records, contact } = evidence;
  const cut = records.filter((record) => {
    const { sent, answer, arrivals } = record;
    if (!isCut(record) || answer!.status !== 0 || !sent.isOnKeptConnection || !hasTimeLeft(evidence, record))
      return false;
    const hasRun = arrivals.some((arrival) => arrival.hasRun);
    return hasRun && !isRunnersFault(history, record) && contact.isInTouch(sent.router, sent.at, answer!.at);
  });
  if (cut.length <= forgivenKept) return [];
  return [{ rule: 'LOST', at: cut[0]!.answer!.at, text: `${cut.length} kept connections closed under a request` }];
}

function checkAcknowledgements({ history, versions, contact }: Evidence): Violation[] {
  const { ackMs } = history.bounds;
  return versions.list
    .filter(({ sentAt, acknowledgedAt }) => {
      return acknowledgedAt > sentAt + ackMs && contact.isSettled(sentAt, sentAt + ackMs);
    })
    .filter(({ sentAt }) => history.events.some(({ at }) => at > sentAt + ackMs))
    .map(({ order, sentAt }) => ({ rule: 'ACKS', at: sentAt + ackMs, text: `${order} has no acknowledgement` }));
}

function checkOwnEnds({ history }: Evidence): Violation[] {
  const troubles = eventsOf(history, 'trouble');
  return eventsOf(history, 'process_ended')
    .filter(({ isExpected, at, node }) => {
      const isExcused = troubles.some(
        (one) => one.nodes.includes(node) && one.what !== 'hang_up' && one.at <= at && at <= one.until + afterTroubleMs,
      );
      return !isExpected && !isExcused;
    })
    .map(({ at, node, code, errors }) => ({
      rule: 'FAULT',
      at,
      text: `${node} ended by itself with ${code}: ${errors.slice(-300)}`,
    }));
}

export function checkProcesses(evidence: Evidence): Violation[] {
  return [
    ...checkPlannedWork(evidence),
    ...checkKeptConnections(evidence),
    ...checkAcknowledgements(evidence),
    ...checkOwnEnds(evidence),
  ];
}
