/**
 * `milletcleat check`: settings, configurations and deploy files, told apart by their extension and held against the
 * checks that the daemons and the platform make.
 */
import { extname } from 'node:path';
import { configurationCheck } from '../protocol/configuration/check.js';
import { findings } from '../protocol/findings.js';
import { settings } from '../protocol/settings/check.js';
import type { Finding } from '../types.js';
import { deployFile } from './deploy-file.js';
import { fileReader } from './file-reader.js';
import { toolResult, type ToolFlags, type ToolResult } from './types.js';

/** The role whose settings are checked. */
type Role = 'router' | 'coordinator';

/** The findings on one file of the command line; `kind` is what it was checked as. */
type FileCheck = { file: string; kind: 'deploy file' | 'configuration' | 'settings'; found: Finding[] };

/** The role that `--part` names, or null. `site` was the router's name up to 0.3. */
function parseRole(part: string | undefined): Role | null {
  if (part === undefined || part === 'site') return 'router';
  return part === 'router' || part === 'coordinator' ? part : null;
}

function checkDeployFile(file: string): Finding[] {
  const document = deployFile.read(file);
  return document.ok ? deployFile.check(document.value) : fileReader.findingsOf(document.error);
}

function checkConfiguration(file: string): Finding[] {
  const document = fileReader.readJson(file);
  return document.ok ? configurationCheck.check(document.value) : fileReader.findingsOf(document.error);
}

/** A file that can't be read is named in the words of the tools, before the daemons' own reader sees it. */
function checkSettings(file: string, role: Role): Finding[] {
  const content = fileReader.readText(file);
  if (!content.ok) return fileReader.findingsOf(content.error);
  const checked = settings.read(file, role);
  return checked.ok ? [] : checked.error;
}

function checkFile(file: string, role: Role): FileCheck {
  switch (extname(file)) {
    case '.toml':
      return { file, kind: 'deploy file', found: checkDeployFile(file) };
    case '.json':
      return { file, kind: 'configuration', found: checkConfiguration(file) };
    default:
      return { file, kind: 'settings', found: checkSettings(file, role) };
  }
}

/** One line a finding, each beginning with the file; findings on the file itself have it in their path. */
function formatFindings({ file, found }: FileCheck): string {
  return found
    .map(({ path, text }) => (path.startsWith(file) ? `${path}: ${text}` : `${file}: ${path}: ${text}`))
    .join('\n');
}

/** The checks in their public JSON form. */
function formatJson(checks: FileCheck[]): string {
  const publicChecks = checks.map(({ file, kind, found }) => ({ file, kind, found: findings.toJson(found) }));
  return JSON.stringify(publicChecks, null, 2);
}

/** Checks all files named; the exit code is 1 if there is a finding on any of them. */
function run(files: string[], flags: ToolFlags): ToolResult {
  if (files.length === 0)
    return toolResult.usageError('check takes files: settings (.yaml), configurations (.json), deploy files (.toml)');
  const role = parseRole(flags.part);
  if (role === null) return toolResult.usageError('--part is router or coordinator');
  const checks = files.map((file) => checkFile(file, role));
  const failed = checks.filter(({ found }) => found.length > 0);
  if (flags.json) {
    const json = formatJson(checks);
    return failed.length > 0 ? toolResult.failure('', json) : toolResult.success(json);
  }
  const passedText = checks
    .filter(({ found }) => found.length === 0)
    .map(({ file, kind }) => `${file}: ${kind}, no findings`)
    .join('\n');
  if (failed.length === 0) return toolResult.success(passedText);
  return toolResult.failure(failed.map(formatFindings).join('\n'), passedText);
}

export const checkTool = { run };
