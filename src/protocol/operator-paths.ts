const rollouts = '/v1/rollouts';

/** The service in the path of a read of its roll-out; null for another path, or one that names none. */
function rolloutService(path: string): string | null {
  if (!path.startsWith(`${rollouts}/`)) return null;
  try {
    return decodeURIComponent(path.slice(rollouts.length + 1)) || null;
  } catch {
    return null;
  }
}

/** The paths of the operator's HTTP API, as the users' pages give them. */
export const operatorPaths = {
  /** GET reads the configuration in force, PUT replaces it, PATCH changes named items of it. */
  configuration: '/v1/config',
  /** POST names the revision of a model's weights that runners are to load. */
  weights: '/v1/version-put',
  /** POST orders the roll-out of a service's version; GET with the service's label behind it reads how far it is. */
  rollouts,
  rolloutService,
  /** GET reads the status of the system. */
  status: '/v1/status',
};
