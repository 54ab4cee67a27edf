/** `milletcleat status`: the status of a running system, as the coordinator that is asked sees it. */
import type { StatusReply } from '../protocol/rpc/status.js';
import { controlClient } from './control-client.js';
import { toolResult, type ToolResult, type ToolFlags } from './types.js';

/** Most hot prefix blocks that are shown, the most asked for first. */
const maxHotBlocks = 20;

function formatTable(rows: string[][]): string {
  const widths = rows[0]!.map((_, column) => Math.max(...rows.map((row) => row[column]!.length)));
  function formatRow(row: string[]): string {
    const cells = row.map((cell, column) => cell.padEnd(widths[column]!));
    return `  ${cells.join('  ').trimEnd()}`;
  }
  return rows.map(formatRow).join('\n');
}

function formatSection(title: string, head: string[], rows: string[][]): string {
  return rows.length === 0 ? `${title}: none` : `${title}:\n${formatTable([head, ...rows])}`;
}

function formatCounts(countByName: Record<string, number>): string {
  const nonZero = Object.entries(countByName).filter(([, count]) => count > 0);
  const parts = nonZero.map(([name, count]) => `${name} ${count}`);
  return parts.join(', ') || 'none';
}

/** Ages are in milliseconds; `?` stands for what this node does not know. */
function orUnknown(value: number | string | null): string {
  return value === null ? '?' : String(value);
}

function formatVersions(versions: [string, number][]): string[] {
  return versions.map(([model, revision]) => `${model}=${revision}`);
}

function formatLeadership(status: StatusReply): string {
  const contact = status.hasLeaderContact ? 'in contact with the leader' : 'not in contact with the leader';
  const singletons = status.isActingLeader ? 'held' : 'not held here';
  return `term ${status.term}, leader ${status.leader ?? 'none'}, ${contact}, singleton roles ${singletons}`;
}

function formatRules({ active, pending }: StatusReply['rules']): string {
  const waiting = pending > 0 ? `, revision ${pending} waits for its activation` : '';
  return `access rules: ${Object.keys(active).length} tenants under a rule${waiting}`;
}

function formatVoters(status: StatusReply): string {
  const rows = status.voters.map((voter) => [
    voter.id,
    voter.control,
    orUnknown(voter.heardMs),
    orUnknown(voter.matchIndex),
  ]);
  return formatSection('voters', ['member', 'control', 'heard ms ago', 'match index'], rows);
}

function formatRouters(status: StatusReply): string {
  const rows = status.routers.map(({ router, revision, seenMs }) => [router, String(revision), String(seenMs)]);
  return formatSection('routers', ['router', 'revision', 'seen ms ago'], rows);
}

function formatRunners(status: StatusReply): string {
  const header = ['runner', 'service', 'address', 'zone', 'state', 'weights', 'behind ms', 'unhealthy at', 'outlier'];
  const rows = status.runners.map((runner) => [
    runner.id,
    runner.service,
    runner.addr,
    runner.zone,
    runner.draining ? 'draining' : runner.paused ? 'paused' : 'serving',
    formatVersions(runner.models.map(({ label, revision }) => [label, revision])).join(',') || '-',
    runner.behindMs == null ? '-' : String(Math.round(runner.behindMs)),
    runner.unhealthyRouters === null ? '?' : `${runner.unhealthyRouters} routers`,
    runner.outlierState ?? '?',
  ]);
  return formatSection('runners', header, rows);
}

function formatHotBlocks({ hotBlocks }: StatusReply): string {
  if (hotBlocks === null) return 'hot prefix blocks: known to the leader only';
  const rows = hotBlocks
    .slice(0, maxHotBlocks)
    .map(({ prefixBlock, share, tokens }) => [prefixBlock, share.toFixed(4), String(tokens)]);
  return formatSection('hot prefix blocks', ['namespace and block', 'share', 'tokens'], rows);
}

/** The status for a reader, several lines. */
function formatStatus(status: StatusReply): string {
  const view =
    status.role === 'leader'
      ? 'the leader'
      : `${status.role}, not the leader: routers, health and hot set may be missing`;
  return [
    `reported by ${status.node} (${view})`,
    formatLeadership(status),
    `configuration ${status.configuration}, ${status.committed} entries committed, disk ${status.disk}`,
    `RPCs sent: ${formatCounts(status.rpcs.sent)}; received: ${formatCounts(status.rpcs.received)}`,
    formatRules(status.rules),
    `weights named: ${formatVersions(Object.entries(status.weights)).join(', ') || 'none'}`,
    formatVoters(status),
    formatRouters(status),
    formatRunners(status),
    formatHotBlocks(status),
  ].join('\n');
}

/** Asks the coordinator that `--control` names, which need not be the leader. */
async function run(args: string[], flags: ToolFlags): Promise<ToolResult> {
  if (args.length > 0) return toolResult.usageError('status takes no arguments');
  if (!controlClient.isAddress(flags.control)) return toolResult.usageError('give --control IP:PORT');
  const reply = await controlClient.send(flags.control, { method: 'GET', path: '/v1/status' });
  if (!reply.ok) return toolResult.failure(controlClient.describeError(reply.error));
  if (reply.value.status !== 200) return toolResult.failure(controlClient.describeRejection(reply.value));
  let status: StatusReply;
  try {
    status = JSON.parse(reply.value.body.toString('utf8')) as StatusReply;
  } catch {
    return toolResult.failure(`${flags.control} sent an answer that is not valid JSON`);
  }
  return toolResult.success(flags.json ? JSON.stringify(status, null, 2) : formatStatus(status));
}

export const statusTool = { run, formatStatus };
