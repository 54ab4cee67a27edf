/**
 * What may be tuned on the daemons' command line: the defaults, the flags as the command line parser `meow` takes them,
 * and their check. `Tuning` in `src/types/tuning.ts` says what each is.
 */
import type { Finding, Result, Tuning } from '../../types.js';

const defaults: Tuning = {
  epsilon: 0.003,
  phi: 0.003,
  movedTokens: 1024,
  hotSet: true,
  orderMethod: 'retain',
  orderShare: 0.25,
  urgency: false,
  transfers: true,
};
const orderMethods = ['await', 'truncate', 'retain'];

const flags = {
  settings: { type: 'string' },
  epsilon: { type: 'number', default: defaults.epsilon },
  phi: { type: 'number', default: defaults.phi },
  movedTokens: { type: 'number', default: defaults.movedTokens },
  hotSet: { type: 'boolean', default: defaults.hotSet },
  orderMethod: { type: 'string', default: defaults.orderMethod },
  orderShare: { type: 'number', default: defaults.orderShare },
  urgency: { type: 'boolean', default: defaults.urgency },
  transfers: { type: 'boolean', default: defaults.transfers },
} as const;

/** The options as they were parsed: of the right types, but not checked. */
export type TuningOptions = Omit<Tuning, 'orderMethod'> & { orderMethod: string };

/** The tuning that the options give, or a finding, with the option as its path, for each that is out of its range. */
function check(options: TuningOptions): Result<Tuning, Finding[]> {
  const { phi, epsilon, movedTokens, orderMethod, orderShare } = options;
  const found: Finding[] = [];
  // NaN, from an option that is no number, fails each comparison.
  if (!(phi > 0 && phi < 1)) found.push({ path: '--phi', text: 'must lie between 0 and 1' });
  if (!(epsilon > 0 && epsilon <= phi)) found.push({ path: '--epsilon', text: 'must be above 0 and at most phi' });
  if (!(movedTokens >= 1)) found.push({ path: '--moved-tokens', text: 'must be 1 or more' });
  if (!orderMethods.includes(orderMethod))
    found.push({ path: '--order-method', text: `must be one of ${orderMethods.join(', ')}` });
  if (!(orderShare > 0 && orderShare <= 1))
    found.push({ path: '--order-share', text: 'must be above 0 and at most 1' });
  if (found.length > 0) return { ok: false, error: found };
  return { ok: true, value: { ...options, orderMethod: orderMethod as Tuning['orderMethod'] } };
}

export const tuning = { defaults, flags, check };
