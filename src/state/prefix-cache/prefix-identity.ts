/**
 * What identifies a prefix block everywhere: its cache namespace (the isolation domain it was computed in, the model
 * and the revision of its weights) and its own id. Its position follows from the chain of blocks before it, which is
 * why lookups walk the chain and stop at the first gap. Blocks that differ in any of these are different blocks; a
 * mismatch is rejected, never repaired.
 *
 * Runners report a namespace as the text `<isolation domain>/<model>/<revision>`, in which only the model may hold
 * further slashes.
 */
import { ownValue } from '../../runtime/own-value.js';

/** The parts of a namespace. */
export type CacheNamespace = { isolationDomain: string; model: string; revision: number };

/**
 * A block's namespace (as text) and its id in one string, for use as a key; only this module knows how it is composed.
 * The separator is the last space: an id holds none, a namespace may, since clients name the model.
 */
export type BlockKey = string;

const keySeparator = ' ';

/** The text of a namespace, as runners report it and requests carry it. */
function formatNamespace(namespace: CacheNamespace): string {
  return `${namespace.isolationDomain}/${namespace.model}/${namespace.revision}`;
}

/** The namespace that a text stands for, or null if it stands for none. */
function parseNamespace(text: string): CacheNamespace | null {
  const domainEnd = text.indexOf('/');
  const modelEnd = text.lastIndexOf('/');
  if (domainEnd <= 0 || modelEnd <= domainEnd + 1) return null;
  const revisionText = text.slice(modelEnd + 1);
  const revision = Number(revisionText);
  if (revisionText === '' || !Number.isSafeInteger(revision) || revision < 0) return null;
  return { isolationDomain: text.slice(0, domainEnd), model: text.slice(domainEnd + 1, modelEnd), revision };
}

/** Whether a block reported under a namespace can be what the namespace says: computed by the same model. */
function isOfModel(namespaceText: string, model: string): boolean {
  return parseNamespace(namespaceText)?.model === model;
}

/** The key of a block in maps and in the heavy-hitter tracking. */
function blockKey(cacheNamespace: string, blockId: string): BlockKey {
  return `${cacheNamespace}${keySeparator}${blockId}`;
}

/** The namespace and the id that a block's key was made of. */
function parseBlockKey(key: BlockKey): { cacheNamespace: string; blockId: string } {
  const end = key.lastIndexOf(keySeparator);
  return { cacheNamespace: key.slice(0, end), blockId: key.slice(end + keySeparator.length) };
}

/** Whether a block's weights are two revisions back or more (`isRetired`). */
function isRetiredBlock(key: BlockKey, latestRevisions: Record<string, number>): boolean {
  return isRetired(key.slice(0, key.lastIndexOf(keySeparator)), latestRevisions);
}

/** Whether a namespace's weights are two revisions back or more: no request asks for them any more. */
function isRetired(namespaceText: string, latestRevisions: Record<string, number>): boolean {
  const namespace = parseNamespace(namespaceText);
  return namespace !== null && namespace.revision < (ownValue(latestRevisions, namespace.model) ?? 0) - 1;
}

export const prefixIdentity = {
  formatNamespace,
  parseNamespace,
  isOfModel,
  blockKey,
  parseBlockKey,
  isRetired,
  isRetiredBlock,
};
