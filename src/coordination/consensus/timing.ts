/** The time-outs of the consensus protocol in production; the tests and the simulated world use the same. */
import type { ConsensusTiming } from './types.js';

/** An election time-out spans several heartbeats, as Raft requires (thesis 3.9); all in milliseconds. */
export const consensusTiming: ConsensusTiming = {
  heartbeatIntervalMs: 150,
  electionTimeoutMs: 700,
  electionJitterMs: 500,
  fastElectionDelayMs: 100,
  retransmitTimeoutMs: 400,
  peerTimeoutMs: 1500,
  diskStallTimeoutMs: 700,
  leaveRequestLifetimeMs: 2000,
};
