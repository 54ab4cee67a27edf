// The replicated state and its one reducer: the configuration in force, the calls that were taken
// (so that a resent call is known again) and the weight versions that were named. Every coordinator
// applies the same commands in the same order and so holds the same state. A configuration that
// changes the access rules leaves the rules in effect as they are until their activation is ordered.
import type { Configuration, RulesState } from '../../types.js';
import { rules } from './rules.js';

export type Command =
  | { c: 'configure'; configuration: Configuration; call: string }
  | { c: 'weights'; model: string; revision: number }
  | { c: 'activate'; revision: number };

export type ControlState = {
  configuration: Configuration | null;
  taken: string[];
  weights: Record<string, number>;
  weightsSeq: number;
  rules: RulesState;
};

const remembered = 256;

function empty(): ControlState {
  return {
    configuration: null,
    taken: [],
    weights: {},
    weightsSeq: 0,
    rules: { seq: 0, active: {}, next: null, pending: 0 },
  };
}

function ruled(s: ControlState, c: Configuration): RulesState {
  const next = rules.of(c);
  const was = s.rules;
  if (rules.same(next, was.active))
    return was.next === null ? was : { seq: was.seq + 1, active: was.active, next: null, pending: 0 };
  if (s.configuration === null) return { seq: was.seq + 1, active: next, next: null, pending: 0 };
  if (was.next !== null && rules.same(next, was.next)) return was;
  return { seq: was.seq + 1, active: was.active, next, pending: c.revision };
}

function apply(s: ControlState, c: Command): ControlState {
  switch (c.c) {
    case 'configure':
      if ((s.configuration?.revision ?? 0) >= c.configuration.revision) return s;
      return {
        ...s,
        rules: ruled(s, c.configuration),
        configuration: c.configuration,
        taken: [...s.taken, c.call].slice(-remembered),
      };
    case 'weights':
      if ((s.weights[c.model] ?? 0) >= c.revision) return s;
      return { ...s, weights: { ...s.weights, [c.model]: c.revision }, weightsSeq: s.weightsSeq + 1 };
    case 'activate':
      if (s.rules.next === null || s.rules.pending !== c.revision) return s;
      return { ...s, rules: { seq: s.rules.seq + 1, active: s.rules.next, next: null, pending: 0 } };
  }
}

export const control = { empty, apply };
