/** The real machine as a `Runtime`: the steady clock, the inner channel and the system's randomness. */
import type { Agent } from 'node:http';
import type { CallError, Clock, Network, Runtime, Timer } from '../runtime.js';
import { channel } from '../transport/inner/channel.js';

function timer(cancel: () => void): Timer {
  return { cancel };
}

const clock: Clock = {
  now: function now() {
    return performance.now();
  },
  after: function after(delayMs, run) {
    const handle = setTimeout(run, delayMs);
    return timer(function cancel() {
      clearTimeout(handle);
    });
  },
  every: function every(intervalMs, run) {
    const handle = setInterval(run, intervalMs);
    return timer(function cancel() {
      clearInterval(handle);
    });
  },
};

function errorOf(text: string): CallError {
  if (text === 'silent') return { kind: 'silent' };
  const status = /^status (\d+)$/.exec(text);
  if (status) return { kind: 'rejected', status: Number(status[1]), message: text };
  return { kind: 'broken', message: text };
}

function network(via: Agent): Network {
  return {
    call: async function call(address, path, body, options) {
      const r = await channel.post<unknown>(via, address, path, body, options.timeoutMs);
      return r.ok ? r : { ok: false, error: errorOf(r.error) };
    },
  };
}

/** `via` keeps the connections to the other processes. */
function create(via: Agent): Runtime {
  return { clock, network: network(via), random: Math.random };
}

export const machineRuntime = { create };
