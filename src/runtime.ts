/**
 * What the programs need of the machine they run on: time, timers, randomness, files and RPC between the fleet's own
 * processes. The daemons use the real machine (`transport`); the tests run the same modules on a simulated one.
 */
import type { RpcError } from './runtime/rpc-errors.js';
import type { Result } from './types.js';

/** A timer that has been set; `cancel` may be called more than once. */
export type Timer = { cancel: () => void };

/** Steady time in milliseconds, never the time of day. */
export type Clock = {
  now: () => number;
  after: (delayMs: number, run: () => void) => Timer;
  every: (intervalMs: number, run: () => void) => Timer;
};

/** An error of the file system; `code` is the system's, for example `ENOSPC`. */
export type FileError = { code: string; message: string };

/** A file opened for appending. Nothing that was appended counts as durable before `sync` succeeded. */
export type AppendFile = {
  append: (bytes: Uint8Array) => Promise<Result<void, FileError>>;
  sync: () => Promise<Result<void, FileError>>;
  close: () => Promise<void>;
};

/**
 * One flat folder. A name that was created, renamed or removed is durable only once `syncFolder` succeeded,
 * and the content of a file only once its own `sync` did.
 */
export type Folder = {
  list: () => Promise<Result<string[], FileError>>;
  read: (name: string) => Promise<Result<Uint8Array, FileError>>;
  /** Creates an empty file, or empties the one that is there. */
  create: (name: string) => Promise<Result<AppendFile, FileError>>;
  rename: (from: string, to: string) => Promise<Result<void, FileError>>;
  remove: (name: string) => Promise<Result<void, FileError>>;
  syncFolder: () => Promise<Result<void, FileError>>;
};

/** Channels have connections of their own: `control` for small urgent calls, `bulk` for what may carry much. */
export type RpcChannel = 'control' | 'bulk';

/** `timeoutMs` bounds a control call in all, and of a bulk one the time in which no byte moves. */
export type RpcCallOptions = { timeoutMs: number; channel?: RpcChannel };

/** RPC between the fleet's own processes. Addresses are `ip:port`, paths begin with `/rpc/`. Never rejects. */
export type Network = {
  call: (address: string, path: string, body: unknown, options: RpcCallOptions) => Promise<Result<unknown, RpcError>>;
  /** Called for each response that could be decoded but was of the wrong shape, for networks that count them. */
  onMalformedResponse?: () => void;
};

/** Uniformly distributed in [0, 1). */
export type Random = () => number;

/** The machine as one program sees it. */
export type Runtime = { clock: Clock; network: Network; random: Random };
