// `milletcleat log inspect`: reads a coordinator's folder, offline and without changing it, and says
// what is whole, torn or missing, and what the log holds.
import { existsSync, readdirSync, readFileSync, statSync } from 'node:fs';
import { join } from 'node:path';
import type { Record_, Snapshot } from '../coordination/consensus/types.js';
import { recovery, type SegmentHead } from '../state/log/recover.js';
import { records } from '../state/log/records.js';
import type { Command, ControlState } from '../state/control/reducer.js';
import { toolEnd, type ToolEnd, type ToolFlags } from './types.js';

const note = 'the fate of what stands behind that is known to the group, not to one disk';

type FileLine = { file: string; bytes: number; good: number; records: number; entries: string; heads: string };

function span(values: (Record_ | SegmentHead)[]): string {
  const at = values.flatMap(function index(v) {
    return v.r === 'entry' ? [v.entry.index] : [];
  });
  return at.length === 0 ? '-' : `${Math.min(...at)}..${Math.max(...at)}`;
}

function segment(dir: string, name: string): FileLine {
  const raw = readFileSync(join(dir, name));
  const { values, good } = records.readAll(raw);
  const list = values as (Record_ | SegmentHead)[];
  const head = list.find(function first(v): v is SegmentHead {
    return v.r === 'head';
  });
  return {
    file: name,
    bytes: raw.length,
    good,
    records: list.length,
    entries: span(list),
    heads: head ? `${head.me}, after ${head.after}, term ${head.term}` : 'no head',
  };
}

function snapshotLine(dir: string, name: string): FileLine {
  const raw = readFileSync(join(dir, name));
  const { values, good } = records.readAll(raw);
  const v = values[0] as Snapshot | undefined;
  return {
    file: name,
    bytes: raw.length,
    good,
    records: values.length,
    entries: v ? `snapshot at ${v.index}` : '-',
    heads: v ? `term ${v.term}, roster of ${v.members.length}` : 'not whole',
  };
}

function commandText(c: Command): string {
  switch (c.kind) {
    case 'configure':
      return `configuration ${c.revision} on ${c.base}, ${c.change.kind === 'whole' ? 'whole' : 'by items'}`;
    case 'refuse':
      return `refusal of an order on ${c.base}`;
    case 'weights':
      return `weights ${c.model}=${c.revision}`;
    case 'activate':
      return `access rules of ${c.revision} in effect`;
  }
}

function run(args: string[], flags: ToolFlags): ToolEnd {
  const [verb, dir, ...more] = args;
  if (verb !== 'inspect' || dir === undefined || more.length > 0) return toolEnd.usage('log inspect takes one folder');
  if (!existsSync(dir)) return toolEnd.error(`${dir}: there is no such folder`);
  if (!statSync(dir).isDirectory()) return toolEnd.error(`${dir}: is not a folder`);
  const names = readdirSync(dir);
  const snapshots = recovery.numbered(names, 'snapshot').map(function one(f) {
    return snapshotLine(dir, f.name);
  });
  const segments = recovery.numbered(names, 'segment').map(function one(f) {
    return segment(dir, f.name);
  });
  const files = [...snapshots, ...segments];
  if (files.length === 0) return toolEnd.error(`${dir}: holds no log: neither a snapshot nor a segment`);
  const r = recovery.recover(dir);
  const found: string[] = [];
  for (const f of files) if (f.good < f.bytes) found.push(`${f.file}: torn behind byte ${f.good} of ${f.bytes}`);
  if (r.k === 'lost') found.push(`lost: ${r.why}`);
  const whole = r.k === 'whole' ? r.found : null;
  const state = whole?.snapshot.state as ControlState | undefined;
  const summary = whole
    ? {
        member: whole.me,
        term: whole.term,
        vote: whole.vote,
        snapshot: whole.snapshot.index,
        last: whole.snapshot.index + whole.entries.length,
        committed: whole.committed,
        configurationInSnapshot: state?.configuration?.revision ?? 0,
        roster: whole.snapshot.members.map(function id(m) {
          return m.id;
        }),
        entries: whole.entries.map(function one(e) {
          return {
            index: e.index,
            term: e.term,
            what:
              e.data.kind === 'order'
                ? commandText(e.data.command as Command)
                : e.data.kind === 'roster'
                  ? `roster of ${e.data.members.length}`
                  : 'opening of an term',
          };
        }),
      }
    : null;
  if (flags.json) {
    const out = JSON.stringify({ files, summary, findings: found, note }, null, 2);
    return found.length > 0 ? toolEnd.error('', out) : toolEnd.well(out);
  }
  const lines = files.map(function line(f) {
    return `${f.file}: ${f.bytes} bytes, ${f.records} records, entries ${f.entries}; ${f.heads}`;
  });
  if (summary) {
    lines.push(`member ${summary.member}, promised term ${summary.term}, vote ${summary.vote ?? 'none'}`);
    lines.push(
      `snapshot at ${summary.snapshot} (configuration ${summary.configurationInSnapshot}, roster ${summary.roster.join(', ') || 'empty'}), log up to ${summary.last}`,
    );
    for (const e of summary.entries) lines.push(`  ${e.index} term ${e.term}: ${e.what}`);
    lines.push(`known here to be committed up to ${summary.committed}; ${note}`);
  }
  return found.length > 0 ? toolEnd.error(found.join('\n'), lines.join('\n')) : toolEnd.well(lines.join('\n'));
}

export const inspectTool = { run };
