// Who may call which model: a tenant whose entry holds a model rule may name only the models on it.
// A tenant without a rule may name all. The refusal is plain and final, and no runner sees the call.
import { answers } from '../../transport/http/answer.js';
import type { Passage, Policy, Site, Step } from '../types.js';

function run(_site: Site, p: Passage): Step {
  const rule = p.tenant?.model_rule;
  if (rule === undefined) return { s: 'next' };
  if (p.model !== null && rule.includes(p.model)) return { s: 'next' };
  return { s: 'answer', answer: answers.plain(403, 'this tenant may not call this model') };
}

export const access: Policy = { name: 'access', run };
