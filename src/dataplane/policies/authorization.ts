/**
 * Checks whether the tenant may call the model. The rules in effect come apart from the configuration, so that a
 * changed rule is honoured nowhere while the old one still is somewhere: a request on which the two differ is put off
 * meanwhile (503), and so is one under a rule once the lease of this router on the rules has expired. A request that is
 * forbidden (403) is not forwarded.
 */
import { accessRules } from '../../state/control/access-rules.js';
import { httpResponse } from '../../transport/http/response.js';
import type { FinalResult, Policy, PolicyResult } from '../policy.js';
import type { AuthenticatedRequest } from '../request-context.js';
import type { Router } from '../router.js';

/** The `Retry-After` of a client while the rules are undecided, in ms. */
const retryAfterMs = 250;

function retryLater(): FinalResult {
  return { kind: 'answer', answer: httpResponse.retryLater(503, retryAfterMs) };
}

/** A tenant under no rule may call all models; so may requests without a tenant. */
function apply(router: Router, request: AuthenticatedRequest): PolicyResult<AuthenticatedRequest> {
  const { tenant, model } = request;
  if (!tenant) return { kind: 'next', request };
  const { activeRules, pendingRules } = router.accessRules.state;
  const { label } = tenant;
  if (!accessRules.hasRule(activeRules, label) && (pendingRules === null || !accessRules.hasRule(pendingRules, label)))
    return { kind: 'next', request };
  if (performance.now() > router.accessRules.validUntil) return retryLater();
  switch (accessRules.decide(activeRules, pendingRules, label, model)) {
    case 'allowed':
      return { kind: 'next', request };
    case 'undecided':
      return retryLater();
    case 'forbidden':
      return { kind: 'answer', answer: httpResponse.text(403, 'this tenant may not call this model') };
  }
}

export const authorization: Policy<AuthenticatedRequest, AuthenticatedRequest> = { apply };
