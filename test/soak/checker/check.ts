/** Judges a history by the users' rules. Pure: the same history, the same violations. */
import type { History } from '../history.js';
import { checkAnswers } from './answers.js';
import { checkConfiguration } from './configuration.js';
import { evidenceOf } from './evidence.js';
import { checkProcesses } from './processes.js';
import { checkRunners } from './runners.js';
import { checkRuns } from './runs.js';
import type { Violation } from './violation.js';

const checks = [checkAnswers, checkRuns, checkConfiguration, checkRunners, checkProcesses];

/** All violations, the earliest first. */
export function checkHistory(history: History): Violation[] {
  const evidence = evidenceOf(history);
  return checks.flatMap((check) => check(evidence)).sort((a, b) => a.at - b.at);
}
