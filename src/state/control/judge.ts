// Judges a call of the operator against the replicated state: either it is answered as it stands
// (refused, lost its race, or taken before) or it becomes a command to be ordered.
import { createHash } from 'node:crypto';
import type { OperatorRequest } from '../../protocol/inner/operator.js';
import type { Configuration, Finding } from '../../types.js';
import { configurationCheck } from '../../protocol/configuration/check.js';
import { patch } from '../../protocol/configuration/patch.js';
import type { Command, ControlState } from './reducer.js';

export type Verdict =
  { v: 'refused'; status: number; findings: Finding[] } | { v: 'taken' } | { v: 'order'; command: Command };

function refused(status: number, place: string, text: string): Verdict {
  return { v: 'refused', status, findings: [{ place, text }] };
}

function digest(call: OperatorRequest): string {
  return createHash('sha256')
    .update(`${call.method} ${call.match ?? ''}\n`)
    .update(call.body)
    .digest('base64');
}

function parsed(body: Uint8Array): { ok: true; value: unknown } | { ok: false; why: string } {
  try {
    return { ok: true, value: JSON.parse(Buffer.from(body.buffer, body.byteOffset, body.byteLength).toString('utf8')) };
  } catch (err) {
    return { ok: false, why: (err as Error).message };
  }
}

function ofConfiguration(s: ControlState, call: OperatorRequest): Verdict {
  const id = digest(call);
  if (s.taken.includes(id)) return { v: 'taken' };
  const json = parsed(call.body);
  if (!json.ok) return refused(400, '(whole)', json.why);
  if (call.match === null || !/^"?\d+"?$/.test(call.match.trim()))
    return refused(400, 'If-Match', 'expected the revision that the call builds on');
  const base = Number(call.match.replaceAll('"', '').trim());
  const now = s.configuration?.revision ?? 0;
  if (base !== now) return refused(412, 'If-Match', `the revision in place is ${now}`);
  let next = json.value;
  if (call.method === 'PATCH') {
    if (!s.configuration) return refused(412, '(whole)', 'there is no configuration to change');
    const changed = patch.apply(s.configuration, json.value);
    if (!changed.ok) return { v: 'refused', status: 400, findings: changed.error };
    next = changed.value;
  }
  const found = configurationCheck.check(next);
  if (found.length > 0) return { v: 'refused', status: 400, findings: found };
  const configuration = next as Configuration;
  if (configuration.revision <= now) return refused(400, 'revision', `must be above ${now}`);
  return { v: 'order', command: { c: 'configure', configuration, call: id } };
}

function ofWeights(s: ControlState, call: OperatorRequest): Verdict {
  const json = parsed(call.body);
  if (!json.ok) return refused(400, '(whole)', json.why);
  const raw = json.value as { model_name?: unknown; revision?: unknown } | null;
  const findings: Finding[] = [];
  if (typeof raw !== 'object' || raw === null) return refused(400, '(whole)', 'expected a table');
  if (typeof raw.model_name !== 'string' || raw.model_name === '')
    findings.push({ place: 'model_name', text: 'expected a name' });
  if (!Number.isSafeInteger(raw.revision) || (raw.revision as number) < 1)
    findings.push({ place: 'revision', text: 'expected a whole number from 1' });
  if (findings.length > 0) return { v: 'refused', status: 400, findings };
  const model = raw.model_name as string;
  const revision = raw.revision as number;
  if ((s.weights[model] ?? 0) >= revision) return { v: 'taken' };
  return { v: 'order', command: { c: 'weights', model, revision } };
}

function call(s: ControlState, c: OperatorRequest): Verdict {
  return c.path === '/v1/version-put' ? ofWeights(s, c) : ofConfiguration(s, c);
}

export const judge = { call };
