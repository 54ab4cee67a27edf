/**
 * The roll-outs of versions as a part of the replicated state: an order is accepted, its share rises by committed stages,
 * and it ends once. A command that does not fit the stage in force (an earlier leader's, a copy) changes nothing.
 */
import { ownValue } from '../../runtime/own-value.js';
import type { RolloutsState, ServiceRollout } from '../../types.js';

/** `order` starts a roll-out; the others are of its controller and name the roll-out by `number`. */
export type RolloutCommand =
  | { kind: 'start_rollout'; service: string; toVersion: string; overMs: number; orderDigest: string }
  | {
      kind: 'advance_rollout';
      service: string;
      number: number;
      fromShare: number;
      share: number;
      elapsedMs: number;
      reason: string;
    }
  | {
      kind: 'end_rollout';
      service: string;
      number: number;
      condition: 'complete' | 'reverted';
      fromVersions: string[];
      elapsedMs: number;
      reason: string;
    };

type CommandOf<Kind extends RolloutCommand['kind']> = Extract<RolloutCommand, { kind: Kind }>;

/** The steps of a roll-out that its timeline keeps; its stages are far fewer. */
const maxSteps = 32;

/** No roll-outs. */
function empty(): RolloutsState {
  return { seq: 0, byService: {} };
}

/** The last roll-out of the service, or null. */
function of(state: RolloutsState, service: string): ServiceRollout | null {
  return ownValue(state.byService, service) ?? null;
}

function withRollout(state: RolloutsState, rollout: ServiceRollout): RolloutsState {
  return { seq: state.seq + 1, byService: { ...state.byService, [rollout.service]: rollout } };
}

function started(state: RolloutsState, command: CommandOf<'start_rollout'>): RolloutsState | null {
  const { service, toVersion, overMs, orderDigest } = command;
  if (of(state, service)?.condition === 'rolling') return null;
  const steps = [{ share: 0, elapsedMs: 0, reason: 'ordered' }];
  return withRollout(state, {
    ...{ service, number: state.seq + 1, toVersion, overMs, orderDigest },
    ...{ condition: 'rolling', share: 0, fromVersions: [], steps },
  });
}

function advanced(state: RolloutsState, command: CommandOf<'advance_rollout'>): RolloutsState | null {
  const { service, number, fromShare, share, elapsedMs, reason } = command;
  const current = of(state, service);
  if (current?.number !== number || current.condition !== 'rolling') return null;
  if (current.share !== fromShare || share <= fromShare) return null;
  const steps = [...current.steps, { share, elapsedMs, reason }].slice(-maxSteps);
  return withRollout(state, { ...current, share, steps });
}

function ended(state: RolloutsState, command: CommandOf<'end_rollout'>): RolloutsState | null {
  const { service, number, condition, fromVersions, elapsedMs, reason } = command;
  const current = of(state, service);
  if (current?.number !== number || current.condition !== 'rolling') return null;
  const share = condition === 'complete' ? 1 : 0;
  const steps = [...current.steps, { share, elapsedMs, reason }].slice(-maxSteps);
  return withRollout(state, { ...current, condition, share, fromVersions, steps });
}

/** The state after a command; null where it does not fit. */
function apply(state: RolloutsState, command: RolloutCommand): RolloutsState | null {
  switch (command.kind) {
    case 'start_rollout':
      return started(state, command);
    case 'advance_rollout':
      return advanced(state, command);
    case 'end_rollout':
      return ended(state, command);
  }
}

export const rollouts = { empty, of, apply };
