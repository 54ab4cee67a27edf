/** What the control plane reads of the group of coordinators. The only place that looks into its machine. */
import type { Coordinator } from './parts.js';

/** Another member as the leader knows it; `heardAt` in ms of the steady clock. */
export type PeerSight = { id: string; address: string; heardAt: number };

function term(c: Coordinator): number {
  return c.replica.machine.term;
}

/** The inner address of this coordinator. */
function ownAddress(c: Coordinator): string {
  return c.replica.machine.addr;
}

/** The inner addresses of all members, this one among them. */
function addresses(c: Coordinator): string[] {
  return c.replica.machine.roster.map(function address(member) {
    return member.addr;
  });
}

/** All that the leader feeds, learners among them; empty at a coordinator that does not lead. */
function peers(c: Coordinator): PeerSight[] {
  return [...c.replica.machine.peers.values()].map(function one(peer) {
    return { id: peer.id, address: peer.addr, heardAt: peer.heardAt };
  });
}

/** When this coordinator last won an election. */
function wonAt(c: Coordinator): number {
  return c.replica.machine.wonAt;
}

/** Calls `run` after each change of the applied state. */
function onApplied(c: Coordinator, run: () => void): void {
  c.replica.on('delivered', run);
}

/** Calls `run` after this coordinator became the leader or ceased to be it. */
function onRoleChanged(c: Coordinator, run: () => void): void {
  c.replica.on('phase', run);
}

export const members = { term, ownAddress, addresses, peers, wonAt, onApplied, onRoleChanged };
