/** The choice of an endpoint for one attempt of a request, and where cached prefix blocks are transferred from. */
import type { CacheLocation } from '../state/prefix-cache/cache-location.js';
import type { RunnerEndpoint } from '../state/runners/endpoint.js';

/** Where prefix blocks are transferred from. */
export type TransferSource = {
  /** The index of a runner, or that of the store. */
  location: CacheLocation;
  /** "host:port". */
  addr: string;
  /** The block key of the first block (`state/prefix-cache/prefix-identity.ts`). */
  key: string;
  /** How many tokens are transferred. */
  tokens: number;
  /** How long that takes by the cost model, in ms. */
  durationMs: number;
  /** The incarnation of the location's cache that the blocks were seen in. */
  generation: number;
};

/** An endpoint that was selected for a request, with what the request takes there. */
export type EndpointAssignment = {
  endpoint: RunnerEndpoint;
  /** The revision of the weights that the runner is asked to run the request on. */
  weightsRevision: number | null;
  /** What the prefix cache of the runner is keyed by besides the blocks; sent as `X-Cache-Salt`. */
  cacheNamespace: string | null;
  /** Tokens still to be prefilled there by this request; 0 once it has been. */
  prefillTokens: number;
  /** Tokens of KV memory that the request takes until it ends. */
  claimedTokens: number;
  /** Its prompt is long enough to slow what runs beside it (`endpoint-selection/prompt-demand.ts`). */
  isLongPrompt: boolean;
  /** Tokens that the runner has to prefill until this request's first token, its own included. */
  prefillBacklogTokens: number;
  /** The address that the runner fetches blocks from, or null. */
  fetchFrom: string | null;
  source: TransferSource | null;
  /** The transfer under way for this request, while it holds a lease at its source. */
  transferId: number | null;
  /** The address of the store that the runner saves the shared blocks to, or null. */
  saveTo: string | null;
};
