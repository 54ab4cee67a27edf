/**
 * `milletcleat import`: a configuration from Traefik's dynamic configuration. The configuration is printed even if
 * something could not be carried over or the result is not valid; both are listed with file and line.
 */
import { configurationCheck } from '../protocol/configuration/check.js';
import { findings } from '../protocol/findings.js';
import type { Configuration, Finding } from '../types.js';
import { fileReader } from './file-reader.js';
import { traefikConversion, type Conversion } from './traefik-conversion.js';
import { toolResult, type ToolFlags, type ToolResult } from './types.js';

/** What was not carried over, and what keeps the result from being put into force. */
function findingsOf(file: string, { configuration, unsupported }: Conversion): Finding[] {
  const found = unsupported.map(({ line, path, reason }): Finding => ({
    path: `${file}:${line}`,
    text: `${path}: ${traefikConversion.describeReason(reason)}`,
  }));
  if (configuration.route_list.length === 0) found.push({ path: file, text: 'no route could be carried over' });
  for (const { path, text } of configurationCheck.check(configuration))
    found.push({ path: file, text: `the result is not valid: ${path}: ${text}` });
  return found;
}

/** The public JSON form; what is missing in the configuration has been called `left` since the first version. */
function toJson(configuration: Configuration, found: Finding[]): unknown {
  return { configuration, left: findings.toJson(found) };
}

/** Prints the configuration; the exit code is 1 if there is a finding. */
function run(args: string[], flags: ToolFlags): ToolResult {
  const [file, ...more] = args;
  if (file === undefined || more.length > 0)
    return toolResult.usageError('import takes one file: a dynamic configuration of Traefik in YAML');
  const yaml = fileReader.readYaml(file);
  if (!yaml.ok) return toolResult.failure(findings.format(fileReader.findingsOf(yaml.error)));
  const conversion = traefikConversion.convert(yaml.value);
  const found = findingsOf(file, conversion);
  const { configuration } = conversion;
  const stdout = JSON.stringify(flags.json ? toJson(configuration, found) : configuration, null, 2);
  if (found.length === 0) return toolResult.success(stdout);
  return toolResult.failure(flags.json ? '' : findings.format(found), stdout);
}

export const importTool = { run };
