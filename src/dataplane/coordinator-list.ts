/**
 * The coordinators that a router knows, asked in turn. The list is that of the last coordinator that was up to date,
 * together with the seeds of the settings, by which the router finds the others again when all it knew have left.
 */

/** The list and the position in it. */
export type CoordinatorList = {
  /** Their RPC addresses (`ip:port`), sorted. */
  addresses: string[];
  /** The RPC addresses of the seeds as the settings have them now. */
  seedAddresses: () => string[];
  /** The next one to be asked, counted on past the end of the list. */
  nextIndex: number;
};

/** A list that begins with the seed of number `firstSeedIndex`. */
function create(seedAddresses: () => string[], firstSeedIndex: number): CoordinatorList {
  const addresses = seedAddresses();
  return { addresses, seedAddresses, nextIndex: addresses.length > 0 ? firstSeedIndex % addresses.length : 0 };
}

/** The address of the coordinator to be asked; undefined while none is known. */
function current(list: CoordinatorList): string | undefined {
  return list.addresses[list.nextIndex % list.addresses.length];
}

/** Goes on to the next coordinator. */
function advance(list: CoordinatorList): void {
  list.nextIndex++;
}

/** Replaces the list; the coordinator being asked stays the one being asked where it is in the new list. */
function replace(list: CoordinatorList, addresses: string[]): void {
  const asked = current(list) ?? '';
  list.addresses = [...new Set([...addresses, ...list.seedAddresses()])].sort();
  list.nextIndex = Math.max(0, list.addresses.indexOf(asked));
}

/** Adds addresses that may not be those of present members, and forgets none. */
function extend(list: CoordinatorList, addresses: string[]): void {
  replace(list, [...list.addresses, ...addresses]);
}

/** Takes over changes of the seeds. */
function refreshSeeds(list: CoordinatorList): void {
  replace(list, list.addresses);
}

export const coordinatorList = { create, current, advance, replace, extend, refreshSeeds };
