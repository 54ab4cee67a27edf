/**
 * What the operator's interface is to a caller, as sequential objects for the checker of
 * linearizability: the configuration, changed by compare-and-set on its revision, and one weight
 * version per model that only rises.
 */
import type { Model } from './linearizability.js';

/** What an operator learned of an order. `unknown`: no clear answer came. */
export type Answered = 'acknowledged' | 'refused' | 'unknown';

/**
 * One order as it is sent, and sent again unchanged. `key` is equal for all sendings of one order;
 * `effect` gives the content that results from the content in force, or null where it can't be applied.
 */
export type Order = {
  key: string;
  base: number;
  revision: number;
  isValid: boolean;
  effect: (content: string) => string | null;
};

export type RegisterAction =
  { kind: 'write'; order: Order; answered: Answered } | { kind: 'read'; revision: number; content: string };

/**
 * The orders that took effect, newest first. Each state exists once, so that states are equal when
 * they are the same object; `id` stands for it in keys.
 */
export type RegisterState = {
  id: number;
  revision: number;
  content: string;
  orderKey: string | null;
  previous: RegisterState | null;
};

/** The content before the first configuration. */
export const noContent = '';

function wasTaken(state: RegisterState, order: Order): boolean {
  for (let at: RegisterState | null = state; at !== null && at.revision > order.base; at = at.previous)
    if (at.orderKey === order.key) return true;
  return false;
}

/** The successors of states, by the id of the state and the key of the order. */
type Successors = Map<string, RegisterState>;

function successor(successors: Successors, state: RegisterState, order: Order): RegisterState | null {
  if (!order.isValid || order.base !== state.revision || order.revision <= state.revision) return null;
  const key = `${state.id} ${order.key}`;
  const known = successors.get(key);
  if (known !== undefined) return known;
  const content = order.effect(state.content);
  if (content === null) return null;
  const next: RegisterState = {
    id: successors.size + 1,
    revision: order.revision,
    content,
    orderKey: order.key,
    previous: state,
  };
  successors.set(key, next);
  return next;
}

function write(successors: Successors, state: RegisterState, order: Order, answered: Answered): RegisterState | null {
  const taken = wasTaken(state, order);
  const next = taken ? null : successor(successors, state, order);
  switch (answered) {
    case 'acknowledged':
      return taken ? state : next;
    case 'refused':
      return taken || next !== null ? null : state;
    case 'unknown':
      return next;
  }
}

/**
 * The configuration. An order takes effect where it builds on the revision in force; sent again after
 * that it is acknowledged again and changes nothing; it is refused only where it can't take effect and
 * never did. A read gives the revision and the content in force.
 */
function configurationRegister(): Model<RegisterState, RegisterAction> {
  const successors: Successors = new Map();
  return {
    initial: { id: 0, revision: 0, content: noContent, orderKey: null, previous: null },
    keyOf: (state) => String(state.id),
    apply: function apply(state, action) {
      if (action.kind === 'write') return write(successors, state, action.order, action.answered);
      return action.revision === state.revision && action.content === state.content ? state : null;
    },
  };
}

export type VersionAction = { kind: 'put'; revision: number; answered: Answered } | { kind: 'read'; revision: number };

/** The weight version of one model: it only rises, and a valid version is never refused. */
function versionRegister(): Model<number, VersionAction> {
  return {
    initial: 0,
    keyOf: String,
    apply: function apply(state, action) {
      if (action.kind === 'read') return action.revision === state ? state : null;
      if (action.answered === 'refused') return null;
      if (action.answered === 'unknown' && action.revision <= state) return null;
      return Math.max(state, action.revision);
    },
  };
}

export const models = { configurationRegister, versionRegister };
