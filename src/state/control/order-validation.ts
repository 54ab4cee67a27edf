/**
 * Validates an order of the operator against the replicated state: it is answered at once (rejected,
 * duplicate, indeterminate) or becomes a command to be proposed. Only a confirmed leader that has applied
 * everything committed before its term may validate: then every earlier order has been decided.
 *
 * A rejection is final. 400: the order is invalid in every state, or invalid on top of its base revision while
 * that one is in force. 412: its base has been superseded, which is final since revisions only rise. A base
 * that is not in force *yet* is rejected by a command, see `reject_order` in `reducer.ts`.
 */
import { number, refine, size, string, type, type Infer } from 'superstruct';
import { operatorPaths } from '../../protocol/operator-paths.js';
import type { OperatorRequest } from '../../protocol/rpc/operator.js';
import { configurationShapes } from '../../protocol/configuration/shape.js';
import { findings as fieldFindings } from '../../protocol/findings.js';
import { jsonDocument } from '../../protocol/json-document.js';
import { ownValue } from '../../runtime/own-value.js';
import type { Configuration, Finding, Result } from '../../types.js';
import { configurationCheck } from '../../protocol/configuration/check.js';
import { configurationPatch } from '../../protocol/configuration/patch.js';
import { configurationChange } from '../history/configuration-change.js';
import { cacheIsolation } from './cache-isolation.js';
import { rollouts } from './rollouts.js';
import { orderMemory } from './order-memory.js';
import { controlState, type Command, type ControlState } from './reducer.js';

/** The answer to an order that is not accepted: 400 invalid, 409 another is under way, 412 another revision is in place. */
export type Rejection = { status: 400 | 409 | 412; findings: Finding[] };

/**
 * `duplicate`: the same order was accepted before. `indeterminate`: too old to tell whether it was.
 * `propose` with a `rejection`: the command makes that rejection permanent, and the rejection is the answer
 * once the command was applied.
 */
export type OrderDecision =
  | { kind: 'rejected'; rejection: Rejection }
  | { kind: 'duplicate' }
  | { kind: 'indeterminate' }
  | { kind: 'propose'; command: Command; rejection: Rejection | null };

function rejection(status: Rejection['status'], path: string, text: string): Rejection {
  return { status, findings: [{ path, text }] };
}

function rejected(status: Rejection['status'], path: string, text: string): OrderDecision {
  return { kind: 'rejected', rejection: rejection(status, path, text) };
}

/** Refuses bytes that are no UTF-8, which would otherwise be read as other text. */
const utf8 = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true });

/** The JSON document in the body, if it can be kept as it was sent. */
function parseBody({ body }: OperatorRequest): Result<unknown, Rejection> {
  let value: unknown;
  try {
    value = JSON.parse(utf8.decode(body));
  } catch (err) {
    return { ok: false, error: rejection(400, '(whole)', (err as Error).message) };
  }
  const findings = jsonDocument.check(value);
  return findings.length > 0 ? { ok: false, error: { status: 400, findings } } : { ok: true, value };
}

/** The base revision in `If-Match`, quoted or not; null when there is none. */
function parseIfMatch(ifMatch: string | null): number | null {
  const digits = ifMatch === null ? null : /^"?(\d+)"?$/.exec(ifMatch.trim());
  return digits ? Number(digits[1]) : null;
}

/** The configuration that the order asks for: the body of a PUT, or the current one with the changes of a PATCH. */
function targetConfiguration(
  state: ControlState,
  request: OperatorRequest,
  raw: unknown,
): Result<Configuration, Rejection> {
  let next = raw;
  if (request.method === 'PATCH') {
    if (!state.configuration)
      return { ok: false, error: rejection(412, '(whole)', 'there is no configuration to change') };
    const changed = configurationPatch.apply(state.configuration, raw);
    if (!changed.ok) return { ok: false, error: { status: 400, findings: changed.error } };
    next = changed.value;
  }
  const findings = configurationCheck.check(next);
  if (findings.length > 0) return { ok: false, error: { status: 400, findings } };
  return { ok: true, value: next as Configuration };
}

function validateConfigurationOrder(state: ControlState, request: OperatorRequest): OrderDecision {
  const digest = orderMemory.digest(request);
  if (orderMemory.isAccepted(state.orderMemory, digest)) return { kind: 'duplicate' };
  const body = parseBody(request);
  if (!body.ok) return { kind: 'rejected', rejection: body.error };
  const baseRevision = parseIfMatch(request.ifMatch);
  if (baseRevision === null) return rejected(400, 'If-Match', 'expected the revision that the call builds on');
  if (orderMemory.mayBeForgotten(state.orderMemory, baseRevision)) return { kind: 'indeterminate' };
  const currentRevision = controlState.revision(state);
  const otherRevision = rejection(412, 'If-Match', `the revision in place is ${currentRevision}`);
  if (baseRevision < currentRevision || orderMemory.isRejected(state.orderMemory, digest))
    return { kind: 'rejected', rejection: otherRevision };
  if (baseRevision > currentRevision)
    return {
      kind: 'propose',
      command: { kind: 'reject_order', baseRevision, orderDigest: digest },
      rejection: otherRevision,
    };
  const next = targetConfiguration(state, request, body.value);
  if (!next.ok) return { kind: 'rejected', rejection: next.error };
  const { revision } = next.value;
  if (revision <= currentRevision) return rejected(400, 'revision', `must be above ${currentRevision}`);
  const change = configurationChange.diff(state.configuration, next.value);
  const command: Command = { kind: 'configure', baseRevision, revision, change, orderDigest: digest };
  if (cacheIsolation.needsRenewal(state.cacheIsolation, state.configuration, next.value))
    command.renewsSharedDomain = true;
  return { kind: 'propose', command, rejection: null };
}

function weightsFindings(raw: unknown): Finding[] {
  if (typeof raw !== 'object' || raw === null) return [{ path: '(whole)', text: 'expected a table' }];
  const { model_name: model, revision } = raw as { model_name?: unknown; revision?: unknown };
  const findings: Finding[] = [];
  const [nameFinding] = fieldFindings.fromStruct(model, configurationShapes.recordName);
  if (nameFinding) findings.push({ path: 'model_name', text: nameFinding.text });
  if (!Number.isSafeInteger(revision) || (revision as number) < 1)
    findings.push({ path: 'revision', text: 'expected a whole number from 1' });
  return findings;
}

function validateWeightsOrder(state: ControlState, request: OperatorRequest): OrderDecision {
  const body = parseBody(request);
  if (!body.ok) return { kind: 'rejected', rejection: body.error };
  const findings = weightsFindings(body.value);
  if (findings.length > 0) return { kind: 'rejected', rejection: { status: 400, findings } };
  const { model_name: model, revision } = body.value as { model_name: string; revision: number };
  if ((ownValue(state.weights, model) ?? 0) >= revision) return { kind: 'duplicate' };
  return { kind: 'propose', command: { kind: 'name_weights', model, revision }, rejection: null };
}

/** The longest term of a roll-out, in s. */
const maxRolloutSeconds = 7 * 24 * 3600;

const rolloutOrderShape = type({
  target: configurationShapes.recordName,
  to_version: size(string(), 1, 256),
  over_s: refine(number(), 'term', (value) => (value > 0 && value <= maxRolloutSeconds) || 'out of range'),
});

function validateRolloutOrder(state: ControlState, request: OperatorRequest, mayBeCopy: MayBeCopy): OrderDecision {
  const body = parseBody(request);
  if (!body.ok) return { kind: 'rejected', rejection: body.error };
  const findings = fieldFindings.fromStruct(body.value, rolloutOrderShape);
  if (findings.length > 0) return { kind: 'rejected', rejection: { status: 400, findings } };
  const { target: service, to_version: toVersion, over_s: overS } = body.value as Infer<typeof rolloutOrderShape>;
  if (!state.configuration?.service_list.some(({ label }) => label === service))
    return rejected(400, 'target', 'there is no such service');
  const orderDigest = orderMemory.digest(request);
  const last = rollouts.of(state.rollouts, service);
  if (last?.orderDigest === orderDigest && (last.condition === 'rolling' || mayBeCopy(last.number)))
    return { kind: 'duplicate' };
  if (last?.condition === 'rolling') return rejected(409, 'target', `${last.toVersion} is being rolled out`);
  const command: Command = { kind: 'start_rollout', service, toVersion, overMs: overS * 1000, orderDigest };
  return { kind: 'propose', command, rejection: null };
}

/** Whether an order equal to the roll-out of that number, which has ended, may still be a copy of the one that began it. */
export type MayBeCopy = (rolloutNumber: number) => boolean;

/** What becomes of an order; see the head of the module for when this may be asked. */
function validate(state: ControlState, request: OperatorRequest, mayBeCopy: MayBeCopy = () => true): OrderDecision {
  switch (request.path) {
    case operatorPaths.weights:
      return validateWeightsOrder(state, request);
    case operatorPaths.rollouts:
      return validateRolloutOrder(state, request, mayBeCopy);
    default:
      return validateConfigurationOrder(state, request);
  }
}

export const orderValidation = { validate };
