/**
 * `milletcleat log inspect`: reads a coordinator's data folder, offline and without changing it, and says which files
 * are sound, torn or missing, and what the log holds.
 */
import { existsSync, statSync } from 'node:fs';
import type { FileError, Folder } from '../runtime.js';
import type { Command } from '../state/control/reducer.js';
import { storedFormat, type StoredState } from '../state/control/stored-format.js';
import { snapshotCodec } from '../state/log/codec.js';
import { logErrors } from '../state/log/errors.js';
import { logRecovery } from '../state/log/recovery.js';
import { segment, type NumberedFile, type SegmentContent } from '../state/log/segment.js';
import type { Entry, Recovered, Recovery, SegmentHead } from '../state/log/types.js';
import { files } from '../transport/files.js';
import type { Result } from '../types.js';
import { toolResult, type ToolResult, type ToolFlags } from './types.js';

/** Stands below the commit index, since a later one may be known to other members. */
const commitNote = 'whether what stands behind that is committed is known to the group, not to one disk';

/**
 * One file of the log. `validBytes`: the bytes from its start that can be read, all of them in a sound file;
 * `content`: the span of its entries, or the snapshot's index; `head`: which member wrote it, and behind what.
 */
type FileReport = {
  file: string;
  totalBytes: number;
  validBytes: number;
  recordCount: number;
  content: string;
  head: string;
};

type FileContent = { file: NumberedFile; bytes: Uint8Array };

/** The state that a member would start with. Indexes are of the log's entries; 0 stands for none. */
type LogSummary = {
  memberId: string;
  term: number;
  votedFor: string | null;
  snapshotIndex: number;
  lastIndex: number;
  commitIndex: number;
  snapshotRevision: number;
  voterIds: string[];
  entries: Entry[];
};

function entriesOf(content: SegmentContent): Entry[] {
  return content.frames.flatMap(({ batch }) => {
    const inHead = batch.head?.kind === 'root' ? batch.head.entries : [];
    const inRecords = batch.records.flatMap((record) => (record.kind === 'entry' ? [record.entry] : []));
    return [...inHead, ...inRecords];
  });
}

function formatSpan(entries: Entry[]): string {
  if (entries.length === 0) return '-';
  const indexes = entries.map((entry) => entry.index);
  return `${indexes.reduce(smaller)}..${indexes.reduce(larger)}`;
}

function smaller(a: number, b: number): number {
  return Math.min(a, b);
}

function larger(a: number, b: number): number {
  return Math.max(a, b);
}

function formatHead(head: SegmentHead | null | undefined): string {
  if (head === null || head === undefined) return 'no head';
  if (head.kind === 'root') return `${head.memberId}, after snapshot ${head.snapshot}, term ${head.hardState.term}`;
  return `${head.memberId}, after byte ${head.previousBytes} of segment ${head.previous}`;
}

function inspectSegment({ file, bytes }: FileContent): FileReport {
  const content = segment.read(file.number, bytes);
  const recordCounts = content.frames.map(({ batch }) => batch.records.length + (batch.head === null ? 0 : 1));
  return {
    file: file.name,
    totalBytes: content.totalBytes,
    validBytes: content.validBytes,
    recordCount: recordCounts.reduce((sum, count) => sum + count, 0),
    content: formatSpan(entriesOf(content)),
    head: formatHead(content.frames[0]?.batch.head),
  };
}

/** A snapshot has one checksum: it is valid as a whole or not at all. */
function inspectSnapshot({ file, bytes }: FileContent): FileReport {
  const snapshot = snapshotCodec.decode(bytes);
  const size = { file: file.name, totalBytes: bytes.length };
  if (!snapshot.ok) return { ...size, validBytes: 0, recordCount: 0, content: '-', head: 'incomplete or corrupt' };
  const { index, term, membership } = snapshot.value;
  return {
    ...size,
    validBytes: bytes.length,
    recordCount: 1,
    content: `snapshot at ${index}`,
    head: `term ${term}, ${membership.voters.length} voters`,
  };
}

function formatCommand(command: Command | null): string {
  if (command === null) return 'a command of an unknown kind';
  switch (command.kind) {
    case 'configure': {
      const extent = command.change.kind === 'full' ? 'in full' : 'changed items only';
      return `configuration ${command.revision} on ${command.baseRevision}, ${extent}`;
    }
    case 'reject_order':
      return `rejection of an order on ${command.baseRevision}`;
    case 'name_weights':
      return `weights ${command.model}=${command.revision}`;
    case 'activate_access_rules':
      return `access rules of ${command.revision} in effect`;
    case 'start_rollout':
      return `roll-out of ${command.service} to ${command.toVersion} over ${command.overMs} ms`;
    case 'advance_rollout':
      return `roll-out ${command.number} of ${command.service} to a share of ${command.share}: ${command.reason}`;
    case 'end_rollout':
      return `roll-out ${command.number} of ${command.service} ${command.condition}: ${command.reason}`;
  }
}

function formatEntry({ data }: Entry): string {
  switch (data.kind) {
    case 'command':
      return formatCommand(storedFormat.decodeCommand(data.command));
    case 'membership':
      return `membership of ${data.membership.voters.length} voters${data.membership.next ? ', changing' : ''}`;
    case 'noop':
      return 'beginning of a term';
  }
}

function summarize({ memberId, hardState, snapshot, entries, commitIndex }: Recovered): LogSummary {
  const state = snapshot.state as StoredState | null | undefined;
  return {
    memberId,
    term: hardState.term,
    votedFor: hardState.votedFor,
    snapshotIndex: snapshot.index,
    lastIndex: snapshot.index + entries.length,
    commitIndex,
    snapshotRevision: state?.configuration?.revision ?? 0,
    voterIds: snapshot.membership.voters.map((member) => member.id),
    entries,
  };
}

function findingsOf(reports: FileReport[], recovery: Recovery): string[] {
  const found = reports
    .filter(({ validBytes, totalBytes }) => validBytes < totalBytes)
    .map(({ file, validBytes, totalBytes }) => `${file}: torn behind byte ${validBytes} of ${totalBytes}`);
  if (recovery.kind === 'lost') found.push(`lost: ${logErrors.dataLossText(recovery.loss)}`);
  return found;
}

function formatFile({ file, totalBytes, recordCount, content, head }: FileReport): string {
  return `${file}: ${totalBytes} bytes, ${recordCount} records, entries ${content}; ${head}`;
}

function formatSummary(summary: LogSummary): string[] {
  const voters = summary.voterIds.join(', ') || 'none';
  const snapshotContent = `configuration ${summary.snapshotRevision}, voters ${voters}`;
  return [
    `member ${summary.memberId}, promised term ${summary.term}, vote ${summary.votedFor ?? 'none'}`,
    `snapshot at ${summary.snapshotIndex} (${snapshotContent}), log up to ${summary.lastIndex}`,
    ...summary.entries.map((entry) => `  ${entry.index} term ${entry.term}: ${formatEntry(entry)}`),
    `known here to be committed up to ${summary.commitIndex}; ${commitNote}`,
  ];
}

/** A file in its public JSON form, whose names have stood since the first version; so for the summary below. */
function fileToJson({ file, totalBytes, validBytes, recordCount, content, head }: FileReport): unknown {
  return { file, bytes: totalBytes, good: validBytes, records: recordCount, entries: content, heads: head };
}

function summaryToJson(summary: LogSummary): unknown {
  return {
    member: summary.memberId,
    term: summary.term,
    vote: summary.votedFor,
    snapshot: summary.snapshotIndex,
    last: summary.lastIndex,
    committed: summary.commitIndex,
    configurationInSnapshot: summary.snapshotRevision,
    voters: summary.voterIds,
    entries: summary.entries.map((entry) => ({ index: entry.index, term: entry.term, what: formatEntry(entry) })),
  };
}

/** The content of the files, read one after another. */
async function readFiles(folder: Folder, wanted: NumberedFile[]): Promise<Result<FileContent[], FileError>> {
  const contents: FileContent[] = [];
  for (const file of wanted) {
    const bytes = await folder.read(file.name);
    if (!bytes.ok) return bytes;
    contents.push({ file, bytes: bytes.value });
  }
  return { ok: true, value: contents };
}

/** Text or JSON, and exit code 1 if there is a finding. */
function report(reports: FileReport[], recovery: Recovery, isJson: boolean): ToolResult {
  const found = findingsOf(reports, recovery);
  const summary = recovery.kind === 'recovered' ? summarize(recovery.recovered) : null;
  const stdout = isJson
    ? formatJson(reports, summary, found)
    : [...reports.map(formatFile), ...(summary ? formatSummary(summary) : [])].join('\n');
  if (found.length === 0) return toolResult.success(stdout);
  return toolResult.failure(isJson ? '' : found.join('\n'), stdout);
}

function formatJson(reports: FileReport[], summary: LogSummary | null, findings: string[]): string {
  const summaryJson = summary && summaryToJson(summary);
  return JSON.stringify({ files: reports.map(fileToJson), summary: summaryJson, findings, note: commitNote }, null, 2);
}

async function inspect(path: string, flags: ToolFlags): Promise<ToolResult> {
  const folder = files.openFolder(path);
  const names = await folder.list();
  if (!names.ok) return toolResult.failure(`${path}: ${names.error.message}`);
  const snapshots = await readFiles(folder, segment.filesOfKind(names.value, 'snapshot'));
  if (!snapshots.ok) return toolResult.failure(`${path}: ${snapshots.error.message}`);
  const segments = await readFiles(folder, segment.filesOfKind(names.value, 'segment'));
  if (!segments.ok) return toolResult.failure(`${path}: ${segments.error.message}`);
  const reports = [...snapshots.value.map(inspectSnapshot), ...segments.value.map(inspectSegment)];
  if (reports.length === 0) return toolResult.failure(`${path}: holds no log: neither a snapshot nor a segment`);
  const reading = await logRecovery.read(folder);
  if (!reading.ok) return toolResult.failure(`${path}: ${reading.error.message}`);
  return report(reports, reading.value.recovery, flags.json);
}

/** Inspects one folder; nothing in it is changed. */
async function run(args: string[], flags: ToolFlags): Promise<ToolResult> {
  const [verb, path, ...more] = args;
  if (verb !== 'inspect' || path === undefined || more.length > 0)
    return toolResult.usageError('log inspect takes one folder');
  if (!existsSync(path)) return toolResult.failure(`${path}: there is no such folder`);
  if (!statSync(path).isDirectory()) return toolResult.failure(`${path}: is not a folder`);
  return inspect(path, flags);
}

export const inspectTool = { run };
