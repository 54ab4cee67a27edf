/**
 * Majorities of a membership; pure functions. While a change of members is under way every decision needs a majority of
 * the old voters and a majority of the new ones (joint consensus, thesis 4.3).
 */
import type { Member, MemberId } from '../../types.js';
import type { Membership } from '../../state/log/types.js';

const emptyMembership: Membership = { voters: [], next: null };

function configurations(membership: Membership): Member[][] {
  return membership.next === null ? [membership.voters] : [membership.voters, membership.next];
}

/** The voters of both configurations, each once. */
function allVoters(membership: Membership): Member[] {
  const byId = new Map<MemberId, Member>();
  for (const list of configurations(membership)) for (const member of list) byId.set(member.id, member);
  return [...byId.values()];
}

/** Whether a member votes, in the old configuration or in the new one. */
function isVoter(membership: Membership, id: MemberId): boolean {
  return configurations(membership).some((list) => list.some((member) => member.id === id));
}

/** The greatest value that a majority of the voters, in each configuration, has reached. */
function quorumValue(membership: Membership, valueOf: (id: MemberId) => number): number {
  const perConfiguration = configurations(membership).map((list) => {
    const values = list.map((member) => valueOf(member.id));
    values.sort((a, b) => b - a);
    return values[Math.floor(list.length / 2)] ?? 0;
  });
  return Math.min(...perConfiguration);
}

/** Whether these members are a majority in each configuration; never without voters. */
function hasQuorum(membership: Membership, ids: Set<MemberId>): boolean {
  if (membership.voters.length === 0) return false;
  return quorumValue(membership, (id) => (ids.has(id) ? 1 : 0)) === 1;
}

export const quorum = {
  emptyMembership,
  allVoters,
  isVoter,
  quorumValue,
  hasQuorum,
};
