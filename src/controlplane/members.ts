/** What the control plane reads of the group of coordinators. The only place that looks into its machine. */
import { quorum } from '../coordination/consensus/quorum.js';
import type { Coordinator } from './parts.js';

/** Another member as the leader knows it; `heardAt` in ms of the steady clock. */
export type PeerSight = { id: string; address: string; heardAt: number };

function term(c: Coordinator): number {
  return c.replica.machine.term;
}

/** The inner address of this coordinator. */
function ownAddress(c: Coordinator): string {
  return c.replica.machine.self.addr;
}

/** The inner addresses of all members, this one among them. */
function addresses(c: Coordinator): string[] {
  return quorum.members(c.replica.machine.membership).map(function address(member) {
    return member.addr;
  });
}

/** All that the leader feeds, learners among them; empty at a coordinator that does not lead. */
function peers(c: Coordinator): PeerSight[] {
  return [...c.replica.machine.peers.values()].map(function one(peer) {
    return { id: peer.member.id, address: peer.member.addr, heardAt: peer.heardAt };
  });
}

/** When this coordinator last won an election. */
function wonAt(c: Coordinator): number {
  return c.replica.machine.electedAt;
}

/** Calls `run` after each change of the applied state. */
function onApplied(c: Coordinator, run: () => void): void {
  c.replica.on('applied', run);
}

/** Calls `run` after this coordinator became the leader or ceased to be it. */
function onRoleChanged(c: Coordinator, run: () => void): void {
  c.replica.on('role', run);
}

export const members = { term, ownAddress, addresses, peers, wonAt, onApplied, onRoleChanged };
