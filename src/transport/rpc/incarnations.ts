/**
 * The incarnations of callees that a caller knows: per address the current one and some earlier ones, whose late
 * responses are dropped, and per address and path the one whose response was the last to be accepted there. Bounded:
 * the addresses and paths that were added first are evicted first.
 */

/** `earlier`: the latest first. */
type AddressIncarnations = { current: string; earlier: string[] };

/** Owned by the client (`network.ts`). */
export type KnownIncarnations = { byAddress: Map<string, AddressIncarnations>; byPath: Map<string, string> };

/**
 * `new`: another incarnation than before; `earlier`: one that was followed by another, whose response must be dropped.
 */
export type IncarnationCheck = 'same' | 'new' | 'earlier';

const maxAddresses = 1024;
const maxPaths = 8 * maxAddresses;
const maxEarlier = 8;

/** Knows no incarnation. */
function create(): KnownIncarnations {
  return { byAddress: new Map(), byPath: new Map() };
}

function keyOf(address: string, path: string): string {
  return `${address}${path}`;
}

function evictOldest<T>(map: Map<string, T>, max: number): void {
  for (const key of map.keys()) {
    if (map.size <= max) return;
    map.delete(key);
  }
}

/** The incarnation that a request to this address and path is meant for, or null. */
function expected(registry: KnownIncarnations, address: string, path: string): string | null {
  return registry.byPath.get(keyOf(address, path)) ?? null;
}

function observeAtAddress(registry: KnownIncarnations, address: string, incarnation: string): IncarnationCheck {
  const known = registry.byAddress.get(address);
  if (!known) {
    registry.byAddress.set(address, { current: incarnation, earlier: [] });
    evictOldest(registry.byAddress, maxAddresses);
    return 'same';
  }
  if (known.current === incarnation) return 'same';
  if (known.earlier.includes(incarnation)) return 'earlier';
  known.earlier = [known.current, ...known.earlier].slice(0, maxEarlier);
  known.current = incarnation;
  return 'new';
}

/** Records the incarnation that a response states. */
function observe(registry: KnownIncarnations, address: string, path: string, incarnation: string): IncarnationCheck {
  const check = observeAtAddress(registry, address, incarnation);
  if (check === 'earlier') return check;
  const key = keyOf(address, path);
  if (registry.byPath.get(key) !== incarnation) {
    registry.byPath.set(key, incarnation);
    evictOldest(registry.byPath, maxPaths);
  }
  return check;
}

export const incarnations = { create, expected, observe };
