/** The runners as the control plane publishes them to the routers. */

/** A model and the revision of its weights. */
export type ModelRevision = { label: string; revision: number };

/** A runner as it is published to the routers; `id` names one incarnation of it. */
export type Runner = {
  id: string;
  /** The label of the service that it belongs to. */
  service: string;
  /** "host:port". */
  addr: string;
  zone: string;
  /** How many requests it executes at once. */
  slotCount: number;
  /** The platform is about to stop it: it gets no new requests. */
  draining: boolean;
  models: ModelRevision[];
  /** The version of its software, as far as the platform says. */
  version?: string;
  /** The roll-out of weights has paused it: it gets no new requests for now. */
  paused: boolean;
};

/** The order of endpoints snapshots: the term of the leader that published one, then its number within the term. */
export type EndpointsVersion = { term: number; seq: number };

/**
 * What the leader publishes to the other coordinators and, through them, to the routers: soft state that is rebuilt by
 * whoever wins the next term. `runners` is null until the platform's list is known.
 */
export type EndpointsSnapshot = EndpointsVersion & {
  runners: Runner[] | null;
  routerCount: number;
};
