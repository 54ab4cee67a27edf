/**
 * The leader's part in the operator's calls. It decides only after it has made sure that it leads and has
 * applied all that was committed before its term, and it acknowledges an order only by the outcome of its
 * own command.
 *
 * An order may arrive many times: callers send it again after a second without an answer, and a coordinator may
 * forward it while the first copy is still in flight. Copies that are in flight at one leader share one
 * decision (`order-admission.ts`); copies at different leaders, and later ones, are recognised by the order
 * memory of the replicated state. So no copy of an order is rejected while another one may yet be accepted.
 *
 * A group that is being founded begins with the seeds as voters, which may bear fewer losses than the deployment allows.
 * What it commits meanwhile is acknowledged once all voters are there (`group.hasTargetVoters`), or when it has waited for
 * those that don't come as long as the time for an acknowledgement permits.
 */
import type { OperatorReply, OperatorRequest } from '../protocol/rpc/operator.js';
import { operatorPaths } from '../protocol/operator-paths.js';
import { rollouts } from '../state/control/rollouts.js';
import { versionRollouts } from './version-rollouts.js';
import { ringLog } from '../logging/ring.js';
import { timing } from '../runtime/timing.js';
import { orderMemory, type OrderDigest } from '../state/control/order-memory.js';
import { orderValidation, type OrderDecision } from '../state/control/order-validation.js';
import type { ApplyOutcome, Command } from '../state/control/reducer.js';
import type { Coordinator } from './coordinator-context.js';
import { operatorReplies } from './operator-replies.js';
import type { ProposalResult } from './replica-group.js';

/** How long the leader waits for a majority before it gives up deciding. */
const confirmTimeoutMs = 700;

/**
 * How long one order may delay the decisions on later ones. A proposal without an outcome by then stays in
 * flight: the reducer decides between it and what is proposed after it.
 */
const proposalTimeoutMs = 3000;

/** For so much of `ack_ms` after its election a leader waits for missing voters before it acknowledges without them. */
const missingVotersShare = 0.5;

/** Between two looks for the voters that are missing. */
const missingVotersPollMs = 10;

/** A superseded order is validated again; each time another one won, so eight concurrent orders need no more. */
const maxAttempts = 8;

async function readConfiguration(coordinator: Coordinator): Promise<OperatorReply> {
  if (!(await coordinator.group.confirmLeadership(confirmTimeoutMs))) return operatorReplies.indeterminate;
  const { configuration } = coordinator.group.state();
  return configuration ? operatorReplies.json(200, configuration) : operatorReplies.noConfiguration;
}

/** The last roll-out of the service that the path names, in the users' words, with its timeline. */
async function readRollout(coordinator: Coordinator, path: string): Promise<OperatorReply> {
  if (!(await coordinator.group.confirmLeadership(confirmTimeoutMs))) return operatorReplies.indeterminate;
  const service = operatorPaths.rolloutService(path);
  const rollout = service === null ? null : rollouts.of(coordinator.group.state().rollouts, service);
  if (!rollout) return operatorReplies.noRollout;
  const { condition, toVersion, share, steps } = rollout;
  const timeline = steps.map((step) => ({ share: step.share, elapsed_ms: step.elapsedMs, reason: step.reason }));
  return operatorReplies.json(200, { condition, to_version: toVersion, share, timeline });
}

function read(coordinator: Coordinator, path: string): Promise<OperatorReply> {
  return path === operatorPaths.configuration ? readConfiguration(coordinator) : readRollout(coordinator, path);
}

async function propose(coordinator: Coordinator, callId: string, command: Command): Promise<ProposalResult> {
  const result = await timing.withTimeout<ProposalResult>(
    coordinator.runtime.clock,
    proposalTimeoutMs,
    coordinator.group.propose(command),
    { kind: 'unknown' },
  );
  const outcome = result.kind === 'applied' ? result.outcome.kind : result.kind;
  ringLog.note(coordinator.log, 'command_proposed', { call: callId, command: command.kind, outcome });
  return result;
}

/** The reply after the command was applied; null when the order has to be validated again. */
function replyToOutcome(decision: OrderDecision & { kind: 'propose' }, outcome: ApplyOutcome): OperatorReply | null {
  if (outcome.kind !== 'applied' && outcome.kind !== 'duplicate') return null;
  const { rejection } = decision;
  return rejection ? operatorReplies.rejection(rejection.status, rejection.findings) : operatorReplies.accepted;
}

function replyToDecision(decision: Exclude<OrderDecision, { kind: 'propose' }>): OperatorReply {
  switch (decision.kind) {
    case 'rejected':
      return operatorReplies.rejection(decision.rejection.status, decision.rejection.findings);
    case 'duplicate':
      return operatorReplies.alreadyAccepted;
    case 'indeterminate':
      return operatorReplies.baseTooOld;
  }
}

async function decideOrder(coordinator: Coordinator, request: OperatorRequest): Promise<OperatorReply> {
  for (let attempt = 0; attempt < maxAttempts; attempt++) {
    if (!(await coordinator.group.confirmLeadership(confirmTimeoutMs))) return operatorReplies.indeterminate;
    const decision = orderValidation.validate(coordinator.group.state(), request, (number) =>
      versionRollouts.mayBeCopy(coordinator, number),
    );
    if (decision.kind !== 'propose') return replyToDecision(decision);
    const result = await propose(coordinator, request.id, decision.command);
    if (result.kind !== 'applied') return operatorReplies.indeterminate;
    const reply = replyToOutcome(decision, result.outcome);
    if (reply) return reply;
  }
  return operatorReplies.indeterminate;
}

/** An order that fails in a way nobody foresaw has an answer too, and leaves this process and the later orders as they are. */
async function decideSafely(
  coordinator: Coordinator,
  digest: OrderDigest,
  request: OperatorRequest,
): Promise<OperatorReply> {
  try {
    return await decideOrder(coordinator, request);
  } catch (error) {
    const { method, path, body } = request;
    const fields = { order: digest, method, path, bytes: body.length, stack: (error as Error).stack };
    ringLog.error(coordinator.log, 'order_failed', fields);
    return operatorReplies.failed;
  }
}

function decideOnce(coordinator: Coordinator, request: OperatorRequest): Promise<OperatorReply> {
  const digest = orderMemory.digest(request);
  return coordinator.orderAdmission.decideOnce(digest, () => decideSafely(coordinator, digest, request));
}

/** The reply to an order, an acknowledgement not before the group bears the losses that the deployment allows. */
async function whenLossesAreBorne(coordinator: Coordinator, order: Promise<OperatorReply>): Promise<OperatorReply> {
  const reply = await order;
  const { group, settings, runtime } = coordinator;
  if (!operatorReplies.isAcknowledgement(reply)) return reply;
  const waitUntil = group.electedAt() + settings.bound_set.ack_ms * missingVotersShare;
  while (!group.hasTargetVoters()) {
    if (!group.isLeader()) return operatorReplies.indeterminate;
    if (runtime.clock.now() >= waitUntil) {
      ringLog.note(coordinator.log, 'acknowledged_without_all_voters', { members: group.memberAddresses().length });
      return reply;
    }
    await timing.delay(runtime.clock, missingVotersPollMs);
  }
  return reply;
}

/**
 * Answers a call as the leader, within `timeoutMs`; null when this coordinator does not lead or is shutting
 * down. An order that is not decided in time is decided later all the same, and known when it is sent again.
 */
async function decide(
  coordinator: Coordinator,
  request: OperatorRequest,
  timeoutMs: number,
): Promise<OperatorReply | null> {
  if (coordinator.isStopping || !coordinator.group.isLeader()) return null;
  const reply =
    request.method === 'GET'
      ? read(coordinator, request.path)
      : whenLossesAreBorne(coordinator, decideOnce(coordinator, request));
  return timing.withTimeout(coordinator.runtime.clock, timeoutMs, reply, operatorReplies.indeterminate);
}

export const orderDecision = { decide };
