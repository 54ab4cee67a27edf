/**
 * Duplicate suppression: which calls a server has seen, so that none is executed twice. Per incarnation and channel of
 * a caller a sliding window: the ids of the last calls, in two generations, and a floor up to which every id counts as
 * seen. A call that was never seen counts as seen only if a whole generation of later ones overtook it.
 */

type Generation = { ids: Set<number>; highest: number; since: number };
type CallerWindow = { current: Generation; previous: Generation; floor: number };

/** Owned by the server; the caller's windows by incarnation and channel, the least recently used first. */
export type RecentCalls = { windows: Map<string, CallerWindow> };

const maxCallers = 4096;
/** A new generation begins after so many calls, or so many milliseconds. */
const generationSize = 256;
const generationMs = 10_000;

/** No call was seen. */
function create(): RecentCalls {
  return { windows: new Map() };
}

function emptyGeneration(now: number): Generation {
  return { ids: new Set(), highest: -1, since: now };
}

/** The caller's window; the ones unused for longest are evicted beyond `maxCallers`. */
function windowOf(recent: RecentCalls, caller: string, now: number): CallerWindow {
  const known = recent.windows.get(caller);
  const window = known ?? { current: emptyGeneration(now), previous: emptyGeneration(now), floor: -1 };
  if (known) recent.windows.delete(caller);
  recent.windows.set(caller, window);
  if (recent.windows.size > maxCallers) recent.windows.delete(recent.windows.keys().next().value!);
  return window;
}

function rotateGeneration(window: CallerWindow, now: number): void {
  const { current } = window;
  if (current.ids.size < generationSize && now - current.since < generationMs) return;
  window.floor = Math.max(window.floor, window.previous.highest);
  window.previous = current;
  window.current = emptyGeneration(now);
}

/** True the first time, false when the call was seen before or is older than the window. `now` in milliseconds. */
function registerFirst(recent: RecentCalls, caller: string, callId: number, now: number): boolean {
  const window = windowOf(recent, caller, now);
  if (callId <= window.floor || window.current.ids.has(callId) || window.previous.ids.has(callId)) return false;
  rotateGeneration(window, now);
  window.current.ids.add(callId);
  window.current.highest = Math.max(window.current.highest, callId);
  return true;
}

export const recentCalls = { create, registerFirst };
