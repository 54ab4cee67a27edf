/**
 * Polls the cache events of every engine and of the store, as the leader, with long polls that use no slot, and
 * applies them to the prefix cache index. A gap in the events is repaired from the location's full list. Whoever
 * becomes the leader next starts with an empty index and the first events of every location.
 */
import { ringLog } from '../logging/ring.js';
import { externalCalls } from '../protocol/calls/external-calls.js';
import { runnerCalls } from '../protocol/calls/runner-calls.js';
import { storeName } from '../state/prefix-cache/cache-location.js';
import { prefixCacheIndex } from '../state/prefix-cache/prefix-cache-index.js';
import { timing } from '../runtime/timing.js';
import type { Coordinator } from './coordinator-context.js';
import { runnerDiscovery } from './runner-discovery.js';
import { stateSyncServer } from './state-sync.js';

/** How long a location may hold a poll open while it has no events, and what the network may add. */
const eventsWaitMs = 1000;
const responseSlackMs = 500;
/** A location with many events is polled at this interval, so that they come in batches. */
const minPollIntervalMs = 250;
/** The pause after a poll that failed. */
const failurePauseMs = 600;
/** How often the list of locations is checked for new ones and for those that are gone. */
const locationsCheckMs = 200;

/** A location by its name in the index, with the address that it is polled at. */
type PolledLocation = { name: string; address: string };

/** Addresses under poll, by location; an entry that is gone or changed ends the poll that made it. */
type PolledAddresses = Map<string, string>;

/** The runners of all services that are engines, and the first store. */
function locationsToPoll(coordinator: Coordinator): PolledLocation[] {
  const services = coordinator.group.state().configuration?.service_list ?? [];
  const locations: PolledLocation[] = [];
  const store = services.find(({ kv_store_addr }) => kv_store_addr !== undefined);
  if (store) locations.push({ name: storeName, address: store.kv_store_addr! });
  const engines = new Set(services.filter(({ engine_kind }) => engine_kind !== undefined).map(({ label }) => label));
  for (const { id, service, addr } of runnerDiscovery.currentList(coordinator))
    if (engines.has(service)) locations.push({ name: id, address: addr });
  return locations;
}

/** Polls a location until this coordinator's term as the leader ends or the location is gone. */
async function pollLocation(
  coordinator: Coordinator,
  location: PolledLocation,
  polledAddresses: PolledAddresses,
): Promise<void> {
  const { group, runtime, agent } = coordinator;
  const { name, address } = location;
  const term = group.term();
  while (group.isLeader() && group.term() === term && polledAddresses.get(name) === address) {
    const startedAtMs = runtime.clock.now();
    const sync = stateSyncServer.state(coordinator);
    const { nextEventNo } = prefixCacheIndex.locationState(sync.prefixIndex, name);
    const call = runnerCalls.prefixCacheEvents(nextEventNo, eventsWaitMs);
    const response = await externalCalls.send(agent, address, call, eventsWaitMs + responseSlackMs);
    if (!response.ok) {
      await timing.delay(coordinator.runtime.clock, failurePauseMs);
      continue;
    }
    if (stateSyncServer.state(coordinator) !== sync) break;
    if (prefixCacheIndex.applyEvents(sync.prefixIndex, name, response.value, runtime.clock.now()))
      await fetchFullList(coordinator, location);
    await timing.delay(coordinator.runtime.clock, Math.max(0, minPollIntervalMs - (runtime.clock.now() - startedAtMs)));
  }
  if (polledAddresses.get(name) === address) polledAddresses.delete(name);
}

/** Repairs the index after a gap; a list that does not come is asked for again after the next events. */
async function fetchFullList(coordinator: Coordinator, { name, address }: PolledLocation): Promise<void> {
  const sync = stateSyncServer.state(coordinator);
  const call = runnerCalls.prefixCacheListing();
  const response = await externalCalls.send(coordinator.agent, address, call, eventsWaitMs);
  ringLog.note(coordinator.log, 'prefix_cache_list_fetched', { location: name, ok: response.ok });
  if (response.ok && stateSyncServer.state(coordinator) === sync)
    prefixCacheIndex.applyFullList(sync.prefixIndex, name, response.value, coordinator.runtime.clock.now());
}

/** Starts polls of new locations, and removes those that are gone from the polls and from the index. */
function updatePolls(coordinator: Coordinator, polledAddresses: PolledAddresses): void {
  const locations = locationsToPoll(coordinator);
  const names = new Set(locations.map(({ name }) => name));
  const { prefixIndex } = stateSyncServer.state(coordinator);
  for (const name of [...polledAddresses.keys()]) {
    if (names.has(name)) continue;
    polledAddresses.delete(name);
    prefixCacheIndex.removeLocation(prefixIndex, name);
  }
  for (const location of locations) {
    if (polledAddresses.get(location.name) === location.address) continue;
    polledAddresses.set(location.name, location.address);
    void pollLocation(coordinator, location, polledAddresses);
  }
}

/** Polls while this coordinator is the leader; the coordinator's clock owns the timer. */
function start(coordinator: Coordinator): void {
  const polledAddresses: PolledAddresses = new Map();
  coordinator.runtime.clock.every(locationsCheckMs, () => {
    if (coordinator.group.isLeader()) updatePolls(coordinator, polledAddresses);
    else polledAddresses.clear();
  });
}

export const prefixCachePoller = { start };
