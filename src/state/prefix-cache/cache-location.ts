/**
 * Where prefix blocks are cached: at a runner or in the key-value store. The leader's index and the RPCs know a
 * location by name, since all processes do: a runner by its id, the store by `storeName`. A router's own tables know
 * it by number, since these are read for every endpoint of every request: a runner by the index of its endpoint, the
 * store by `storeLocation`.
 */
export type CacheLocation = number;

/** The key-value store among the names of locations; no runner has this id. */
export const storeName = 'store';
/** The store among the numbers of locations; indices of endpoints begin at 0. */
export const storeLocation: CacheLocation = -1;
