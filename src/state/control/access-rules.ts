/**
 * The access rules in a configuration: which models a tenant may call. A tenant without `model_rule` may call
 * all of them; `*` in a rule matches every model.
 */
import { ownValue } from '../../runtime/own-value.js';
import type { Configuration } from '../../types.js';

/** The models that a tenant may call, sorted, by the tenant's label. */
export type AccessRules = Record<string, string[]>;
/** `undecided`: the active and the pending rules differ on the call, so it can be neither allowed nor forbidden yet. */
export type AccessDecision = 'allowed' | 'forbidden' | 'undecided';

/** The rules of a configuration; none before the first one. */
function fromConfiguration(configuration: Configuration | null): AccessRules {
  const rules: AccessRules = {};
  for (const tenant of configuration?.tenant_list ?? [])
    if (tenant.model_rule !== undefined) rules[tenant.label] = [...tenant.model_rule].sort();
  return rules;
}

/** Whether two sets of rules allow the same calls. */
function areEqual(left: AccessRules, right: AccessRules): boolean {
  const labels = Object.keys(left).sort();
  if (labels.join('\n') !== Object.keys(right).sort().join('\n')) return false;
  return labels.every((label) => left[label]!.join('\n') === right[label]!.join('\n'));
}

/** Whether a tenant may call a model; a call that names no model (null) is allowed only without a rule. */
function allows(rules: AccessRules, tenant: string, model: string | null): boolean {
  const rule = ownValue(rules, tenant);
  if (rule === undefined) return true;
  return model !== null && (rule.includes(model) || rule.includes('*'));
}

/** Whether any rule applies to the tenant. */
function hasRule(rules: AccessRules, tenant: string): boolean {
  return ownValue(rules, tenant) !== undefined;
}

/** While rules are pending, a call on which they differ from the active ones is undecided. */
function decide(
  active: AccessRules,
  pending: AccessRules | null,
  tenant: string,
  model: string | null,
): AccessDecision {
  const isAllowed = allows(active, tenant, model);
  if (pending !== null && allows(pending, tenant, model) !== isAllowed) return 'undecided';
  return isAllowed ? 'allowed' : 'forbidden';
}

export const accessRules = {
  fromConfiguration,
  areEqual,
  allows,
  hasRule,
  decide,
};
