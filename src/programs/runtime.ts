/** The real machine as a `Runtime`: the steady clock, RPC over HTTP, the system's random numbers. */
import type { Runtime } from '../runtime.js';
import { createNetwork, type RpcNetwork } from '../transport/rpc/network.js';
import { systemClock } from '../transport/system-clock.js';

/** Its network's `incarnation` is drawn anew at each start; the process's own server states the same. */
export type MachineRuntime = Runtime & { network: RpcNetwork };

function create(): MachineRuntime {
  return { clock: systemClock, network: createNetwork(), random: Math.random };
}

export const machineRuntime = { create };
