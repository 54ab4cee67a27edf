/**
 * Finds the tenant by the key of a request (401 without a known one). The key is not forwarded, but the tenant's name
 * is; its rank goes before the route's, and an isolated tenant's prefix blocks are cached in a domain of their own.
 */
import { headerNames } from '../../protocol/calls/headers.js';
import { cacheIsolation } from '../../state/control/cache-isolation.js';
import { httpResponse } from '../../transport/http/response.js';
import type { Tenant } from '../../types.js';
import type { Policy, PolicyResult } from '../policy.js';
import { requestContexts, type AuthenticatedRequest, type RoutedRequest } from '../request-context.js';
import { routers, type Router } from '../router.js';

function passOn(
  routed: RoutedRequest,
  tenant: Tenant | null,
  isolationDomain: string,
): PolicyResult<AuthenticatedRequest> {
  return { kind: 'next', request: requestContexts.withTenant(routed, { tenant, isolationDomain }) };
}

/** Where the configuration names no tenants, and on public routes, no key is asked for. */
function apply(router: Router, routed: RoutedRequest): PolicyResult<AuthenticatedRequest> {
  const table = routers.routeTable(router);
  if (!table.hasTenants || routed.route.public === true) return passOn(routed, null, table.sharedDomain);
  const key = routed.request.headers[headerNames.apiKey];
  const tenant = typeof key === 'string' ? table.keys.get(key) : undefined;
  if (!tenant) return { kind: 'answer', answer: httpResponse.text(401, 'unknown key') };
  if (tenant.rank !== undefined) routed.rank = tenant.rank;
  const domain = tenant.isolated === true ? cacheIsolation.tenantDomain(tenant.label) : table.sharedDomain;
  return passOn(routed, tenant, domain);
}

export const authentication: Policy<RoutedRequest, AuthenticatedRequest> = { apply };
