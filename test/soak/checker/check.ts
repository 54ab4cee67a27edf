/** Judges a history by the users' rules. Pure: the same history, the same violations. */
import type { History } from '../history.js';
import { checkAnswers } from './answers.js';
import { checkConfiguration } from './configuration.js';
import { ContactMap } from './contact.js';
import { checkProcesses } from './processes.js';
import { requestRecords } from './request-record.js';
import { checkRunners } from './runners.js';
import { checkRuns } from './runs.js';
import { Versions } from './versions.js';
import type { Violation } from './violation.js';

/** All violations, the earliest first. */
export function checkHistory(history: History): Violation[] {
  const contact = new ContactMap(history);
  const versions = new Versions(history);
  const requests = requestRecords(history);
  const { records } = requests;
  return [
    ...checkAnswers(records),
    ...checkRuns(history, requests, contact),
    ...checkConfiguration(history, versions, records, contact),
    ...checkRunners(history, versions, records, contact),
    ...checkProcesses(history, versions, records, contact),
  ].sort((a, b) => a.at - b.at);
}
