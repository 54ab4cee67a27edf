/** `milletcleat simulate`: plays a fleet file, and with `--change` a variant for each named change beside it. */
import { findings } from '../../protocol/findings.js';
import type { Finding, Result } from '../../types.js';
import { fileReader } from '../file-reader.js';
import { toolResult, type ToolFlags, type ToolResult } from '../types.js';
import { fleetFile, type FleetFile } from './fleet-file.js';
import { simulator } from './play.js';
import { report } from './report.js';
import { scenarios } from './scenario.js';

/** The file as it is or with one change, by the name that its results are shown under. */
type Variant = { name: string; file: FleetFile };

const unchangedName = 'as it is';

/** The fleet as the file has it, and with each of the changes named on the command line. */
function variantsOf(base: FleetFile, changes: string[]): Result<Variant[], Finding[]> {
  const variants: Variant[] = [{ name: unchangedName, file: base }];
  for (const name of changes) {
    const changed = fleetFile.withChange(base, name);
    if (!changed.ok) return changed;
    variants.push({ name, file: changed.value });
  }
  return { ok: true, value: variants };
}

function failure(path: string, found: Finding[]): ToolResult {
  return toolResult.failure(found.map((finding) => `${path}: ${finding.path}: ${finding.text}`).join('\n'));
}

/** Plays all variants; the same file gives the same output. */
function run(args: string[], flags: ToolFlags): ToolResult {
  const [path, ...more] = args;
  if (path === undefined || more.length > 0) return toolResult.usageError('simulate takes one fleet file');
  const yaml = fileReader.readYaml(path);
  if (!yaml.ok) return toolResult.failure(findings.format(fileReader.findingsOf(yaml.error)));
  const file = fleetFile.parse(yaml.value.doc.toJS());
  if (!file.ok) return failure(path, file.error);
  const variants = variantsOf(file.value, flags.change ?? []);
  if (!variants.ok) return failure(path, variants.error);
  const played = variants.value.map((variant) => ({
    name: variant.name,
    result: simulator.play(scenarios.fromFleetFile(variant.file)),
  }));
  return toolResult.success(flags.json ? report.json(played) : report.text(played));
}

export const simulateTool = { run };
