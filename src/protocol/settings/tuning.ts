// What may be tuned on the daemons' command line: the defaults, the flags, and their check.
import type { Finding, Outcome, Tuning } from '../../types.js';

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
const methods = ['await', 'truncate', 'retain'];

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

function check(f: {
  epsilon: number;
  phi: number;
  movedTokens: number;
  hotSet: boolean;
  orderMethod: string;
  orderShare: number;
  urgency: boolean;
  transfers: boolean;
}): Outcome<Tuning, Finding[]> {
  const found: Finding[] = [];
  if (!(f.phi > 0 && f.phi < 1)) found.push({ place: '--phi', text: 'must lie between 0 and 1' });
  if (!(f.epsilon > 0 && f.epsilon <= f.phi))
    found.push({ place: '--epsilon', text: 'must be above 0 and at most phi' });
  if (!(f.movedTokens >= 1)) found.push({ place: '--moved-tokens', text: 'must be 1 or more' });
  if (!methods.includes(f.orderMethod))
    found.push({ place: '--order-method', text: `must be one of ${methods.join(', ')}` });
  if (!(f.orderShare > 0 && f.orderShare <= 1))
    found.push({ place: '--order-share', text: 'must be above 0 and at most 1' });
  return found.length > 0
    ? { ok: false, error: found }
    : { ok: true, value: { ...f, orderMethod: f.orderMethod as Tuning['orderMethod'] } };
}

export const tuning = { defaults, flags, check };
