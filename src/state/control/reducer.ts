// The replicated state and its one reducer: the configuration in force, the calls that were taken
// (so that a resent call is known again) and the weight versions that were named. Every coordinator
// applies the same commands in the same order and so holds the same state.
import type { Configuration } from '../../types.js';

export type Command =
  | { c: 'configure'; configuration: Configuration; call: string }
  | { c: 'weights'; model: string; revision: number };

export type ControlState = {
  configuration: Configuration | null;
  taken: string[];
  weights: Record<string, number>;
  weightsSeq: number;
};

const remembered = 256;

function empty(): ControlState {
  return { configuration: null, taken: [], weights: {}, weightsSeq: 0 };
}

function apply(s: ControlState, c: Command): ControlState {
  switch (c.c) {
    case 'configure':
      if ((s.configuration?.revision ?? 0) >= c.configuration.revision) return s;
      return { ...s, configuration: c.configuration, taken: [...s.taken, c.call].slice(-remembered) };
    case 'weights':
      if ((s.weights[c.model] ?? 0) >= c.revision) return s;
      return { ...s, weights: { ...s.weights, [c.model]: c.revision }, weightsSeq: s.weightsSeq + 1 };
  }
}

export const control = { empty, apply };
