/** `milletcleat config get|put|patch|diff`: reads and changes the configuration of a running system. */
import { configurationCheck } from '../protocol/configuration/check.js';
import { findings } from '../protocol/findings.js';
import type { HttpReply } from '../transport/http/client.js';
import type { Configuration, Result } from '../types.js';
import { configDiff } from './config-diff.js';
import { controlClient, type ControlError } from './control-client.js';
import { fileReader } from './file-reader.js';
import { toolResult, type ToolFlags, type ToolResult } from './types.js';

const configPath = '/v1/config';

/** Why the configuration in force is not known. A retry may help with all but `undecodable`. */
type FetchError =
  | { kind: 'no_answer'; cause: ControlError }
  | { kind: 'rejected'; reply: HttpReply }
  | { kind: 'undecodable'; address: string };

/** The configuration in force, from the coordinator at `address` (`ip:port`). */
async function fetchConfiguration(address: string): Promise<Result<Configuration, FetchError>> {
  const reply = await controlClient.send(address, { method: 'GET', path: configPath });
  if (!reply.ok) return { ok: false, error: { kind: 'no_answer', cause: reply.error } };
  if (reply.value.status !== 200) return { ok: false, error: { kind: 'rejected', reply: reply.value } };
  try {
    return { ok: true, value: JSON.parse(reply.value.body.toString('utf8')) as Configuration };
  } catch {
    return { ok: false, error: { kind: 'undecodable', address } };
  }
}

/** The error for a reader. */
function describeFetchError(error: FetchError): string {
  switch (error.kind) {
    case 'no_answer':
      return controlClient.describeError(error.cause);
    case 'rejected':
      return controlClient.describeRejection(error.reply);
    case 'undecodable':
      return `${error.address} sent an answer that is not valid JSON`;
  }
}

async function get(address: string): Promise<ToolResult> {
  const current = await fetchConfiguration(address);
  if (!current.ok) return toolResult.failure(describeFetchError(current.error));
  return toolResult.success(JSON.stringify(current.value, null, 2));
}

/** Sends the file as a whole configuration (PUT) or a change of named items (PATCH); the coordinator checks it. */
async function sendChange(
  method: 'PUT' | 'PATCH',
  address: string,
  file: string,
  baseRevision: number | undefined,
): Promise<ToolResult> {
  const document = fileReader.readJson(file);
  if (!document.ok) return toolResult.failure(findings.format(fileReader.findingsOf(document.error)));
  if (baseRevision === undefined)
    return toolResult.usageError('give --match N: the revision that the change builds on (0 for the first)');
  const reply = await controlClient.send(address, {
    method,
    path: configPath,
    headers: { 'Content-Type': 'application/json', 'If-Match': String(baseRevision) },
    body: JSON.stringify(document.value),
  });
  if (!reply.ok) {
    const reason = controlClient.describeError(reply.error);
    return toolResult.failure(`${reason}; the change may be in force or not: send it again unchanged`);
  }
  if (reply.value.status !== 200) return toolResult.failure(controlClient.describeRejection(reply.value));
  // Scripts of users compare this word, as the project's own test does.
  return toolResult.success('taken');
}

/** What the file would change, as a list of differences. */
async function diff(address: string, file: string, isJson: boolean): Promise<ToolResult> {
  const current = await fetchConfiguration(address);
  if (!current.ok) return toolResult.failure(describeFetchError(current.error));
  const proposed = fileReader.readJson(file);
  if (!proposed.ok) return toolResult.failure(findings.format(fileReader.findingsOf(proposed.error)));
  const found = configurationCheck.check(proposed.value);
  if (found.length > 0) return toolResult.failure(`${file}:\n${findings.format(found)}`);
  const differences = configDiff.compare(current.value, proposed.value);
  return toolResult.success(
    isJson ? JSON.stringify(configDiff.toJson(differences), null, 2) : configDiff.format(differences),
  );
}

/** Runs one of the verbs at the coordinator that `--control` names. */
async function run(args: string[], flags: ToolFlags): Promise<ToolResult> {
  const [verb, file, ...more] = args;
  if (!['get', 'put', 'patch', 'diff'].includes(verb ?? ''))
    return toolResult.usageError('config takes get, put FILE, patch FILE or diff FILE');
  if (more.length > 0 || (verb === 'get') !== (file === undefined))
    return toolResult.usageError(verb === 'get' ? 'config get takes no file' : `config ${verb} takes one file`);
  if (!controlClient.isAddress(flags.control)) return toolResult.usageError('give --control IP:PORT');
  if (file === undefined) return get(flags.control);
  if (verb === 'diff') return diff(flags.control, file, flags.json);
  return sendChange(verb === 'put' ? 'PUT' : 'PATCH', flags.control, file, flags.match);
}

export const configTool = { run };
