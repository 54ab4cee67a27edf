/** The members of the replica group of the coordinators. */

/** Unique for ever: a member that lost its disk rejoins under a new one. */
export type MemberId = string;

/** `addr`: of RPC between members; `control`: where it serves operators. Both are "ip:port". */
export type Member = { id: MemberId; addr: string; control: string };
