/**
 * What a process lets its callers make it hold, all together, reckoned from the machine that its settings describe. The
 * sum of the bounds and of what the program needs for itself stays below the machine: `docs/limits.md`.
 */

/** The machine as the settings describe it (`limits`), as far as it is given. */
export type MachineLimits = { memory_mb?: number; max_fds?: number };

/** The bounds of one process. */
export type CallerLimits = {
  /** Bytes of bodies, with what their pieces cost. */
  bodyBytes: number;
  /** Bytes of an operator's orders, with what their pieces cost. */
  orderBytes: number;
  /** Open connections of callers at the process's main server. */
  connections: number;
  /** Open connections to the readiness probe. */
  probeConnections: number;
};

const bytesPerMegabyte = 1024 * 1024;

/** The machine where the settings don't say: the smallest that the users name. */
const defaultMemoryMb = 160;
const defaultMaxDescriptors = 1024;

/** What the program takes for itself: the runtime, its tables, and memory that was freed and not yet collected; in MB. */
const programMb = 96;

/** The share of the rest that bodies may take; the others are for connections, heads and answers. */
const bodyShare = 0.3;

/** Bodies may take so much on the smallest machine. */
const minBodyBytes = 8 * bytesPerMegabyte;

/** An order is held again, joined and as text, while it is decoded. */
const copiesOfOrder = 3;

/** One order of the greatest length fits on any machine. */
const minOrderBytes = 19 * bytesPerMegabyte;

/** Descriptors that the platform keeps for files (deployment page, "Memory and descriptors"). */
const fileDescriptors = 200;

/** The share of the other descriptors that callers may take; the rest is for the process's own connections. */
const callerDescriptorShare = 0.5;

/** What an open connection may hold beside its body, its head under way included; and the share of memory for them. */
const connectionBytes = 24 * 1024;
const connectionMemoryShare = 1 / 8;

/** The platform asks over a few connections. */
const probeConnections = 32;

/** As many connections are accepted on any machine. */
const minConnections = 16;

/** The bounds of a process on this machine. */
function forMachine({
  memory_mb: memoryMb = defaultMemoryMb,
  max_fds: maxDescriptors = defaultMaxDescriptors,
}: MachineLimits): CallerLimits {
  const byDescriptors = (maxDescriptors - fileDescriptors) * callerDescriptorShare;
  const byMemory = (memoryMb * bytesPerMegabyte * connectionMemoryShare) / connectionBytes;
  const forBodies = (memoryMb - programMb) * bodyShare * bytesPerMegabyte;
  return {
    bodyBytes: Math.floor(Math.max(minBodyBytes, forBodies)),
    orderBytes: Math.floor(Math.max(minOrderBytes, forBodies / copiesOfOrder)),
    connections: Math.floor(Math.max(minConnections, Math.min(byDescriptors, byMemory))),
    probeConnections,
  };
}

export const callerLimits = { forMachine };
