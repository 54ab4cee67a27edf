// Finds the route of a request and with it the service, the time it has, and whether it may be
// repeated. The table is read once; a change of configuration does not touch a request on its way.
import { hash } from '../../state/index/hash.js';
import { routes } from '../../state/control/routes.js';
import { answers } from '../../transport/http/answer.js';
import { heads, names } from '../../protocol/calls/heads.js';
import type { Passage, Policy, Site, Step } from '../types.js';

function run(site: Site, p: Passage): Step {
  const table = site.table!;
  const url = p.req.url ?? '';
  const path = url.split('?')[0]!;
  const host = p.req.headers.host;
  if (!path.startsWith('/') || host === undefined)
    return { s: 'answer', answer: answers.plain(400, 'a path and a host are needed') };
  const route = routes.find(table, host, path);
  if (!route) return { s: 'answer', answer: answers.plain(404, 'no route') };
  const attempt = p.req.headers[names.attempt];
  if (typeof attempt !== 'string' || attempt === '')
    return { s: 'answer', answer: answers.plain(400, 'an attempt id is needed') };
  const label = routes.branch(route, hash.of(attempt));
  const service = label === null ? undefined : table.services.get(label);
  if (!service) return { s: 'answer', answer: answers.plain(404, 'no service') };
  p.path = path;
  p.attempt = attempt;
  p.route = route;
  p.service = service;
  p.rank = route.rank ?? 0;
  p.isStream = route.variant === 'streaming';
  p.repeatable = route.variant === 'idempotent' || (p.isStream && route.resumable === true);
  p.aimMs = route.target_ms ?? route.deadline_ms;
  const left = heads.whole(p.req.headers[names.timeLeft]) ?? route.deadline_ms;
  p.deadlineAt = p.at + Math.min(left, route.deadline_ms);
  const model = p.req.headers[names.model];
  p.model = typeof model === 'string' ? model : null;
  p.tokens = heads.tokens(p.req.headers[names.tokens] as string | undefined);
  p.parts = heads.parts(p.req.headers[names.prefix] as string | undefined);
  p.lastEventId = (p.req.headers[names.lastEvent] as string | undefined) ?? null;
  return { s: 'next' };
}

export const route: Policy = { name: 'route', run };
