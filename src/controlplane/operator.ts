/**
 * The operator's calls. Any coordinator receives them; only the leader decides (`order-decision.ts`). The
 * others forward a call to the leader and pass its reply back, and try again until there is a definite one
 * or the time is over.
 */
import { ringLog } from '../logging/ring.js';
import { operatorPaths } from '../protocol/operator-paths.js';
import type { OperatorReply, OperatorRequest } from '../protocol/rpc/operator.js';
import { ownValue } from '../runtime/own-value.js';
import { timing } from '../runtime/timing.js';
import type { Coordinator } from './coordinator-context.js';
import { rpcClient } from './rpc-client.js';
import { operatorReplies } from './operator-replies.js';
import { orderDecision } from './order-decision.js';

/** Callers turn to another node after a second without an answer; by then each has one, definite or not. */
const answerTimeoutMs = 850;

/** Between two attempts to find a leader that decides. */
const retryDelayMs = 40;

/** So much of `If-Match` is forwarded; a revision has far fewer digits. */
const maxIfMatchLength = 1024;

/** So much of an unknown path is logged. */
const maxLoggedPathLength = 128;

const methodsByPath: Record<string, string[]> = {
  [operatorPaths.configuration]: ['GET', 'PUT', 'PATCH'],
  [operatorPaths.weights]: ['POST'],
  [operatorPaths.rollouts]: ['POST'],
};

/** The methods that a path takes; undefined for one that nothing serves. */
function methodsOf(path: string): string[] | undefined {
  return operatorPaths.rolloutService(path) === null ? ownValue(methodsByPath, path) : ['GET'];
}

async function forwardToLeader(
  coordinator: Coordinator,
  request: OperatorRequest,
  timeoutMs: number,
): Promise<OperatorReply | null> {
  const leader = coordinator.group.leaderAddress();
  if (leader === null || leader === coordinator.group.ownAddress()) return null;
  const reply = await rpcClient.forwardOperatorCall(coordinator, leader, request, timeoutMs);
  return reply.ok ? reply.value : null;
}

/**
 * `forwardToLeader`, indeterminate after `timeoutMs` in any case: a call on the bulk channel does not time out while
 * its bytes move. An order that still reaches the leader then is decided there, and recognised when it is sent again.
 */
function forwardWithTimeout(
  coordinator: Coordinator,
  request: OperatorRequest,
  timeoutMs: number,
): Promise<OperatorReply | null> {
  return timing.withTimeout<OperatorReply | null>(
    coordinator.runtime.clock,
    timeoutMs,
    forwardToLeader(coordinator, request, timeoutMs),
    operatorReplies.indeterminate,
  );
}

/** Answers a call that another coordinator forwarded; null when this one does not lead or is shutting down. */
function handleAsLeader(coordinator: Coordinator, request: OperatorRequest): Promise<OperatorReply | null> {
  return orderDecision.decide(coordinator, request, answerTimeoutMs);
}

function isDefinite(reply: OperatorReply | null): reply is OperatorReply {
  return reply !== null && !operatorReplies.isRetriable(reply);
}

async function decideOrForward(coordinator: Coordinator, request: OperatorRequest): Promise<OperatorReply> {
  const { clock } = coordinator.runtime;
  const deadline = clock.now() + answerTimeoutMs;
  for (;;) {
    const remainingMs = deadline - clock.now();
    if (remainingMs <= 0) return operatorReplies.indeterminate;
    const own = await orderDecision.decide(coordinator, request, remainingMs);
    if (isDefinite(own)) return own;
    const forwarded = await forwardWithTimeout(coordinator, request, deadline - clock.now());
    if (isDefinite(forwarded)) return forwarded;
    await timing.delay(clock, retryDelayMs);
  }
}

/**
 * Answers a call of the operator within a second: 200, 404 (no configuration yet), 400 or 412 as final
 * rejections, 404 or 405 for what is not served, 503 when the outcome is not known and it may be sent again.
 */
async function handle(coordinator: Coordinator, request: OperatorRequest): Promise<OperatorReply> {
  const { method, path } = request;
  const methods = methodsOf(path);
  if (!methods) {
    ringLog.error(coordinator.log, 'operator_path_unknown', { method, path: path.slice(0, maxLoggedPathLength) });
    return operatorReplies.rejection(404, [{ path: 'path', text: `there is no ${path}` }]);
  }
  if (!methods.includes(method))
    return operatorReplies.rejection(405, [{ path: 'method', text: `${path} takes ${methods.join(', ')}` }]);
  if (request.ifMatch !== null && request.ifMatch.length > maxIfMatchLength)
    return operatorReplies.rejection(400, [{ path: 'If-Match', text: `over ${maxIfMatchLength} characters` }]);
  if (coordinator.isStopping) return operatorReplies.shuttingDown;
  return coordinator.orderAdmission.trackCall(() => decideOrForward(coordinator, request));
}

export const operator = { handle, handleAsLeader };
