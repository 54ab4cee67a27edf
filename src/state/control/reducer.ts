/**
 * The replicated state and its one reducer: the configuration in force, the memory of operator orders,
 * the weight versions that were named and the access rules. Every coordinator applies the same commands
 * in the same order and so holds the same state. The reducer alone decides what an order did: a leader
 * acknowledges by the outcome of its own command, never by its position in the log.
 *
 * A configuration that changes the access rules leaves the rules in effect as they are until their
 * activation is ordered.
 */
import { ownValue } from '../../runtime/own-value.js';
import type { Configuration, AccessRulesState, RolloutsState } from '../../types.js';
import { configurationChange, type ConfigurationChange } from '../history/configuration-change.js';
import { orderMemory, type OrderDigest, type OrderMemory } from './order-memory.js';
import { accessRules, type AccessRules } from './access-rules.js';
import { rollouts, type RolloutCommand } from './rollouts.js';
import { cacheIsolation, type CacheIsolation } from './cache-isolation.js';

/**
 * `configure` builds on `baseRevision` (0 for none) and is skipped when another one is in force; `renewsSharedDomain` is
 * explained in `cache-isolation.ts`.
 * `reject_order` makes the rejection of an order permanent whose base is not in force yet, so that a copy of
 * it that is still in flight can't be accepted later. `name_weights` names a version of a model's weights.
 * `activate_access_rules` puts the pending access rules of a revision into effect. Those of roll-outs: `rollouts.ts`.
 *
 * In the log and between members commands have the form of `stored-format.ts`.
 */
export type Command =
  | {
      kind: 'configure';
      baseRevision: number;
      revision: number;
      change: ConfigurationChange;
      orderDigest: OrderDigest;
      renewsSharedDomain?: boolean;
    }
  | { kind: 'reject_order'; baseRevision: number; orderDigest: OrderDigest }
  | { kind: 'name_weights'; model: string; revision: number }
  | { kind: 'activate_access_rules'; revision: number }
  | RolloutCommand;

type CommandOf<Kind extends Command['kind']> = Extract<Command, { kind: Kind }>;

/**
 * What the reducer did. `applied`: this command took effect. `duplicate`: an equal one took effect
 * before. `rejected`: the order had been rejected for good. `superseded`: the command no longer fits the
 * state and was skipped; whoever proposed it validates its order again.
 */
export type ApplyOutcome = { kind: 'applied' } | { kind: 'duplicate' } | { kind: 'rejected' } | { kind: 'superseded' };

/**
 * The replicated state; snapshots hold it in the form of `stored-format.ts`. `weights`: the revision that was
 * named for each model's weights; `weightsSeq` rises with each change of it.
 */
export type ControlState = {
  configuration: Configuration | null;
  orderMemory: OrderMemory;
  weights: Record<string, number>;
  weightsSeq: number;
  accessRules: AccessRulesState;
  cacheIsolation: CacheIsolation;
  rollouts: RolloutsState;
};

/** The state after a command, and what the command did. */
export type Applied = { state: ControlState; outcome: ApplyOutcome };

const applied: ApplyOutcome = { kind: 'applied' };
const duplicate: ApplyOutcome = { kind: 'duplicate' };
const rejected: ApplyOutcome = { kind: 'rejected' };
const superseded: ApplyOutcome = { kind: 'superseded' };

/** The state before the first command. */
function empty(): ControlState {
  return {
    configuration: null,
    orderMemory: orderMemory.empty(),
    weights: {},
    weightsSeq: 0,
    accessRules: { seq: 0, activeRules: {}, pendingRules: null, pendingRevision: 0 },
    cacheIsolation: cacheIsolation.initial(),
    rollouts: rollouts.empty(),
  };
}

/** The revision in force, 0 while there is none. */
function revision(state: ControlState): number {
  return state.configuration?.revision ?? 0;
}

function withoutPendingRules(seq: number, activeRules: AccessRules): AccessRulesState {
  return { seq, activeRules, pendingRules: null, pendingRevision: 0 };
}

/**
 * The access rules after a configuration came into force. The first configuration's rules take effect at
 * once; later ones wait for their activation, and a change back to the active rules cancels what waits.
 */
function nextAccessRules(state: ControlState, configuration: Configuration): AccessRulesState {
  const target = accessRules.fromConfiguration(configuration);
  const { seq, activeRules, pendingRules } = state.accessRules;
  if (accessRules.areEqual(target, activeRules))
    return pendingRules === null ? state.accessRules : withoutPendingRules(seq + 1, activeRules);
  if (state.configuration === null) return withoutPendingRules(seq + 1, target);
  if (pendingRules !== null && accessRules.areEqual(target, pendingRules)) return state.accessRules;
  return { seq: seq + 1, activeRules, pendingRules: target, pendingRevision: configuration.revision };
}

function applyConfiguration(state: ControlState, command: CommandOf<'configure'>): Applied {
  if (orderMemory.isAccepted(state.orderMemory, command.orderDigest)) return { state, outcome: duplicate };
  if (orderMemory.isRejected(state.orderMemory, command.orderDigest)) return { state, outcome: rejected };
  if (command.baseRevision !== revision(state) || command.revision <= command.baseRevision)
    return { state, outcome: superseded };
  const configuration = configurationChange.apply(state.configuration, command.change);
  if (configuration === null || configuration.revision !== command.revision) return { state, outcome: superseded };
  const next: ControlState = {
    ...state,
    accessRules: nextAccessRules(state, configuration),
    cacheIsolation: cacheIsolation.afterConfiguration(
      state.cacheIsolation,
      state.configuration,
      configuration,
      command.renewsSharedDomain === true,
    ),
    configuration,
    orderMemory: orderMemory.recordAccepted(state.orderMemory, {
      digest: command.orderDigest,
      baseRevision: command.baseRevision,
    }),
  };
  return { state: next, outcome: applied };
}

function applyRejection(state: ControlState, command: CommandOf<'reject_order'>): Applied {
  if (orderMemory.isAccepted(state.orderMemory, command.orderDigest)) return { state, outcome: superseded };
  if (orderMemory.isRejected(state.orderMemory, command.orderDigest)) return { state, outcome: duplicate };
  if (command.baseRevision <= revision(state)) return { state, outcome: superseded };
  const memory = orderMemory.recordRejected(state.orderMemory, command.orderDigest);
  return { state: { ...state, orderMemory: memory }, outcome: applied };
}

function applyWeights(state: ControlState, command: CommandOf<'name_weights'>): Applied {
  if ((ownValue(state.weights, command.model) ?? 0) >= command.revision) return { state, outcome: duplicate };
  const weights = { ...state.weights, [command.model]: command.revision };
  return { state: { ...state, weights, weightsSeq: state.weightsSeq + 1 }, outcome: applied };
}

function applyActivation(state: ControlState, command: CommandOf<'activate_access_rules'>): Applied {
  const { seq, pendingRules, pendingRevision } = state.accessRules;
  if (pendingRules === null || pendingRevision !== command.revision) return { state, outcome: superseded };
  return { state: { ...state, accessRules: withoutPendingRules(seq + 1, pendingRules) }, outcome: applied };
}

function applyRollout(state: ControlState, command: RolloutCommand): Applied {
  const next = rollouts.apply(state.rollouts, command);
  return next ? { state: { ...state, rollouts: next }, outcome: applied } : { state, outcome: superseded };
}

/** The state after a command, a new value; equal on every member that applied the same commands. */
function apply(state: ControlState, command: Command): Applied {
  switch (command.kind) {
    case 'configure':
      return applyConfiguration(state, command);
    case 'reject_order':
      return applyRejection(state, command);
    case 'name_weights':
      return applyWeights(state, command);
    case 'activate_access_rules':
      return applyActivation(state, command);
    case 'start_rollout':
    case 'advance_rollout':
    case 'end_rollout':
      return applyRollout(state, command);
  }
}

export const controlState = { empty, revision, apply };
