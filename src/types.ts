/**
 * The shared types of the system, one module a concept; imports nothing of the rest. The messages between the programs
 * are in `protocol/rpc`. The fields of `Settings` and `Configuration`, and of the types in them, have the names and
 * units that the users' pages give them.
 */
export type * from './types/result.js';
export type * from './types/settings.js';
export type * from './types/configuration.js';
export type * from './types/endpoints.js';
export type * from './types/members.js';
export type * from './types/access-rules.js';
export type * from './types/load.js';
export type * from './types/tuning.js';
export type * from './types/weights.js';
export type * from './types/rollouts.js';
