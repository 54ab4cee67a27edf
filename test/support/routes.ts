/** Routes of configurations that are only told and kept, not served. */
import type { Route } from '../../src/types.js';

/** A route by its label; `deadlineMs` is what tests change in it. */
export function route(label: string, deadlineMs = 1000): Route {
  return {
    label,
    hostname: 'h',
    path_prefix: `/${label}/`,
    variant: 'streaming',
    deadline_ms: deadlineMs,
    target: 's',
  };
}
