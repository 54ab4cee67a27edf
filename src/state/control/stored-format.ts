/**
 * The control state and its commands as they are stored: in log entries and in snapshots. The names are those
 * that version 0.3.0 wrote and are part of the format on disk; no other module writes them.
 *
 * A command is encoded where it is proposed and decoded where it is applied. In between, in the log and in
 * the messages between members, it stays in this form, so its size is counted in the bytes that are written.
 * The state is encoded where a snapshot is taken and decoded where one is opened or installed.
 *
 * What is read here has passed a checksum and was written by a member of the group. Its fields are not checked.
 */
import type { Configuration, RolloutsState } from '../../types.js';
import { rollouts, type RolloutCommand } from './rollouts.js';
import type { ConfigurationChange, ListChange } from '../history/configuration-change.js';
import type { AccessRules } from './access-rules.js';
import { cacheIsolation, type CacheIsolation } from './cache-isolation.js';
import type { OrderDigest, OrderMemory } from './order-memory.js';
import type { Command, ControlState } from './reducer.js';

/** `upserts`: index in the resulting list, item. */
export type StoredListChange = { removals: string[]; upserts: [number, unknown][] };

/** The change of a configuration: the whole target, or its changed items by list. */
export type StoredChange =
  | { kind: 'whole'; configuration: Configuration }
  | { kind: 'items'; rest: Record<string, unknown>; lists: Record<string, StoredListChange> };

/**
 * `order` is the digest of the operator's order, `base` the revision that it builds on. `renews`, since 0.6.0: only where
 * the shared cache domain is renewed.
 */
export type StoredCommand =
  | { kind: 'configure'; base: number; revision: number; change: StoredChange; order: OrderDigest; renews?: true }
  | { kind: 'refuse'; base: number; order: OrderDigest }
  | { kind: 'weights'; model: string; revision: number }
  | { kind: 'activate'; revision: number }
  | RolloutCommand;

/** `taken`: digest and base revision of the accepted orders; `refused`: digests of the rejected ones. */
export type StoredOrderMemory = { taken: [OrderDigest, number][]; refused: OrderDigest[]; forgottenBase: number };

/** `next`: the pending rules; `pending`: the revision that brought them, 0 for none. */
export type StoredAccessRules = { seq: number; active: AccessRules; next: AccessRules | null; pending: number };

/** `since`: the revision that renewed the shared cache domain; `former`: the labels of its former members. */
export type StoredIsolation = { since: number; former: string[] };

/**
 * The control state; `weights` and `weightsSeq` have the same names in memory. `isolation`, since 0.6.0, is left out where
 * there is nothing to say.
 */
export type StoredState = {
  configuration: Configuration | null;
  orders: StoredOrderMemory;
  weights: Record<string, number>;
  weightsSeq: number;
  rules: StoredAccessRules;
  isolation?: StoredIsolation;
  /** Since 0.7.0; left out while no version was ever rolled out. */
  rollouts?: RolloutsState;
};

function mapValues<From, To>(table: Record<string, From>, convert: (value: From) => To): Record<string, To> {
  return Object.fromEntries(Object.entries(table).map(([key, value]) => [key, convert(value)] as const));
}

function encodeListChange({ removals, upserts }: ListChange): StoredListChange {
  return { removals, upserts: upserts.map(({ index, item }) => [index, item]) };
}

function decodeListChange({ removals, upserts }: StoredListChange): ListChange {
  return { removals, upserts: upserts.map(([index, item]) => ({ index, item })) };
}

/** The change of a configuration as the command that carries it is stored. */
function encodeChange(change: ConfigurationChange): StoredChange {
  if (change.kind === 'full') return { kind: 'whole', configuration: change.configuration };
  return { kind: 'items', rest: change.rest, lists: mapValues(change.lists, encodeListChange) };
}

function decodeChange(stored: StoredChange): ConfigurationChange {
  if (stored.kind === 'whole') return { kind: 'full', configuration: stored.configuration };
  return { kind: 'items', rest: stored.rest, lists: mapValues(stored.lists, decodeListChange) };
}

/** A command as a log entry holds it. */
function encodeCommand(command: Command): StoredCommand {
  switch (command.kind) {
    case 'configure': {
      const { baseRevision, revision, change, orderDigest, renewsSharedDomain } = command;
      return {
        kind: 'configure',
        base: baseRevision,
        revision,
        change: encodeChange(change),
        order: orderDigest,
        ...(renewsSharedDomain === true && { renews: true as const }),
      };
    }
    case 'reject_order':
      return { kind: 'refuse', base: command.baseRevision, order: command.orderDigest };
    case 'name_weights':
      return { kind: 'weights', model: command.model, revision: command.revision };
    case 'activate_access_rules':
      return { kind: 'activate', revision: command.revision };
    case 'start_rollout':
    case 'advance_rollout':
    case 'end_rollout':
      return command;
  }
}

/** The command in a log entry; null for a kind that this version does not know. */
function decodeCommand(value: unknown): Command | null {
  if (typeof value !== 'object' || value === null) return null;
  const stored = value as StoredCommand;
  switch (stored.kind) {
    case 'configure': {
      const { base, revision, change, order, renews } = stored;
      return {
        kind: 'configure',
        baseRevision: base,
        revision,
        change: decodeChange(change),
        orderDigest: order,
        ...(renews === true && { renewsSharedDomain: true }),
      };
    }
    case 'refuse':
      return { kind: 'reject_order', baseRevision: stored.base, orderDigest: stored.order };
    case 'weights':
      return { kind: 'name_weights', model: stored.model, revision: stored.revision };
    case 'activate':
      return { kind: 'activate_access_rules', revision: stored.revision };
    case 'start_rollout':
    case 'advance_rollout':
    case 'end_rollout':
      return stored;
    default:
      return null;
  }
}

function encodeOrderMemory(memory: OrderMemory): StoredOrderMemory {
  return {
    taken: memory.acceptedOrders.map(({ digest, baseRevision }) => [digest, baseRevision]),
    refused: memory.rejectedOrders,
    forgottenBase: memory.highestForgottenBase,
  };
}

function decodeOrderMemory(stored: StoredOrderMemory): OrderMemory {
  return {
    acceptedOrders: stored.taken.map(([digest, baseRevision]) => ({ digest, baseRevision })),
    rejectedOrders: stored.refused,
    highestForgottenBase: stored.forgottenBase,
  };
}

function encodeIsolation({ sharedSince, formerMembers }: CacheIsolation): { isolation?: StoredIsolation } {
  if (sharedSince === 0 && formerMembers.length === 0) return {};
  return { isolation: { since: sharedSince, former: formerMembers } };
}

function decodeIsolation(stored: StoredIsolation | undefined): CacheIsolation {
  return stored ? { sharedSince: stored.since, formerMembers: stored.former } : cacheIsolation.initial();
}

/** The control state as a snapshot holds it. */
function encodeState(state: ControlState): StoredState {
  const { configuration, orderMemory, weights, weightsSeq, accessRules } = state;
  return {
    configuration,
    orders: encodeOrderMemory(orderMemory),
    weights,
    weightsSeq,
    rules: {
      seq: accessRules.seq,
      active: accessRules.activeRules,
      next: accessRules.pendingRules,
      pending: accessRules.pendingRevision,
    },
    ...encodeIsolation(state.cacheIsolation),
    ...(state.rollouts.seq > 0 && { rollouts: state.rollouts }),
  };
}

/** The control state in a snapshot that `encodeState` wrote, here or in version 0.3.0. */
function decodeState(value: unknown): ControlState {
  const {
    configuration,
    orders,
    weights,
    weightsSeq,
    rules,
    isolation,
    rollouts: storedRollouts,
  } = value as StoredState;
  return {
    configuration,
    orderMemory: decodeOrderMemory(orders),
    weights,
    weightsSeq,
    accessRules: {
      seq: rules.seq,
      activeRules: rules.active,
      pendingRules: rules.next,
      pendingRevision: rules.pending,
    },
    cacheIsolation: decodeIsolation(isolation),
    rollouts: storedRollouts ?? rollouts.empty(),
  };
}

export const storedFormat = { encodeChange, encodeCommand, decodeCommand, encodeState, decodeState };
