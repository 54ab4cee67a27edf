/**
 * The rules of Traefik's routers, as far as a route can express them: `Host(...)` and `PathPrefix(...)`, each with
 * one value, joined by `&&`. Syntax: https://doc.traefik.io/traefik/routing/routers/#rule
 */
import type { Result } from '../types.js';

/** What a route matches by; `pathPrefix` begins and ends with a slash. */
export type RouteMatch = { hostname: string; pathPrefix: string };

/** Why a rule can't be expressed by a route. */
export type RuleError =
  | { kind: 'unsupported_matcher'; matcher: string }
  | { kind: 'multiple_hosts' }
  | { kind: 'missing_host' }
  | { kind: 'relative_prefix'; prefix: string };

const matcherPattern = /^\s*(Host|PathPrefix)\(\s*[`"']([^`"',]+)[`"']\s*\)\s*$/;

/** The last of several prefixes wins; without one the route takes all paths of its host. */
function parse(rule: string): Result<RouteMatch, RuleError> {
  let hostname: string | null = null;
  let prefix = '/';
  for (const matcher of rule.split('&&')) {
    const match = matcherPattern.exec(matcher);
    if (!match) return { ok: false, error: { kind: 'unsupported_matcher', matcher: matcher.trim() } };
    const [, name, value] = match;
    if (name === 'PathPrefix') prefix = value!;
    else if (hostname !== null) return { ok: false, error: { kind: 'multiple_hosts' } };
    else hostname = value!;
  }
  if (hostname === null) return { ok: false, error: { kind: 'missing_host' } };
  if (!prefix.startsWith('/')) return { ok: false, error: { kind: 'relative_prefix', prefix } };
  return { ok: true, value: { hostname, pathPrefix: prefix.endsWith('/') ? prefix : `${prefix}/` } };
}

/** The error for a reader. */
function describeError(error: RuleError): string {
  switch (error.kind) {
    case 'unsupported_matcher':
      return `the rule part ${error.matcher} has no counterpart`;
    case 'multiple_hosts':
      return 'the rule names two hosts';
    case 'missing_host':
      return 'a route needs a host';
    case 'relative_prefix':
      return `the prefix ${error.prefix} does not begin with a slash`;
  }
}

export const traefikRule = { parse, describeError };
