/**
 * What a request asks of any endpoint, whichever is chosen: the length of its prompt, the cache memory that it will
 * take, and the key by which requests with a common prefix are drawn to the same endpoints.
 */
import type { PrefixBlock } from '../../protocol/calls/headers.js';
import { prefixIdentity } from '../../state/prefix-cache/prefix-identity.js';
import type { RequestContext } from '../request-context.js';

/** The demand of one request. */
export type PromptDemand = {
  /** Tokens to prefill if nothing is cached. */
  promptTokens: number;
  /** Tokens of KV cache that prompt and longest answer take together. */
  reservedTokens: number;
  isLongPrompt: boolean;
  /** What the rendezvous draw is made by; equal for requests that share a prefix. */
  affinityKey: string;
};

/** From so many tokens on, the prefill of a prompt slows what runs beside it (docs/design.md, endpoint selection). */
const longPromptTokens = 4096;
/** An estimate for requests that do not name their tokens. */
const bodyBytesPerToken = 4;

/** What requests of the same session or with the same shared prefix have in common. */
function affinityKey(context: RequestContext): string {
  const block = context.prefixBlocks.at(-2);
  return block ? `${context.isolationDomain} ${block.id}` : context.attemptId;
}

/** The demand of a request; its tokens are estimated from the body where it does not name them. */
function of(context: RequestContext): PromptDemand {
  const promptTokens = context.tokenCounts?.prompt ?? Math.ceil(context.body.length / bodyBytesPerToken);
  return {
    promptTokens,
    reservedTokens: promptTokens + (context.tokenCounts?.maxOutput ?? 0),
    isLongPrompt: promptTokens >= longPromptTokens,
    affinityKey: affinityKey(context),
  };
}

/** The blocks of a prompt that other requests may share: all but the last, which is the request's own. */
function shareableBlocks(context: RequestContext): PrefixBlock[] {
  return context.prefixBlocks.slice(0, -1);
}

/** The cache namespace of the request's prefix under a revision of its model's weights. */
function cacheNamespace(context: RequestContext, revision: number): string {
  return prefixIdentity.formatNamespace({
    isolationDomain: context.isolationDomain,
    model: context.model ?? '',
    revision,
  });
}

export const promptDemand = { of, shareableBlocks, cacheNamespace };
