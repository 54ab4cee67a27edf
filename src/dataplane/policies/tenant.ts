// Knows the tenant by the key. The key stops here; the tenant's name goes on, its rank stands before
// the route's, and an isolated tenant's prompts stay behind a wall of their own.
import { answers } from '../../transport/http/answer.js';
import { names } from '../../protocol/calls/heads.js';
import type { Passage, Policy, Site, Step } from '../types.js';

function run(site: Site, p: Passage): Step {
  const table = site.table!;
  if (!table.hasTenants || p.route.public === true) return { s: 'next' };
  const key = p.req.headers[names.key];
  const tenant = typeof key === 'string' ? table.keys.get(key) : undefined;
  if (!tenant) return { s: 'answer', answer: answers.plain(401, 'unknown key') };
  p.tenant = tenant;
  if (tenant.rank !== undefined) p.rank = tenant.rank;
  if (tenant.isolated === true) p.wall = `t-${Buffer.from(tenant.label).toString('base64url')}`;
  return { s: 'next' };
}

export const tenant: Policy = { name: 'tenant', run };
