/**
 * Sessions of routers: a router is a member as long as it keeps watching. Each coordinator reports its sessions to the
 * leader; together they give the number of routers. That number is kept at its recent maximum, so that the loss of a
 * coordinator, whose routers then watch elsewhere, does not lower it.
 */

/**
 * A router that watches this coordinator; `seenAt` in ms of the steady clock, `revision` the configuration and
 * `rolloutsSeq` the stages of roll-outs that it has.
 */
export type RouterSession = {
  routerName: string;
  incarnation: string;
  seenAt: number;
  revision: number;
  rolloutsSeq?: number;
};

/** What another coordinator last reported to the leader: the number of its response, its revision and its sessions. */
export type PeerSessions = { receivedAt: number; responseNumber: number; revision: number; sessions: RouterSession[] };

type RouterCount = { countedAt: number; routers: number };

/** `own` by the name of the router, `peers` by the id of the coordinator. */
export type RouterSessions = {
  own: Map<string, RouterSession>;
  peers: Map<string, PeerSessions>;
  recentCounts: RouterCount[];
};

/** A router that has not watched for so long is no member any more. */
const sessionTimeoutMs = 3000;

/** The span over which the number of routers is held at its maximum. */
const maximumWindowMs = 15_000;

/** No sessions. */
function create(): RouterSessions {
  return { own: new Map(), peers: new Map(), recentCounts: [] };
}

/** Records a watch of a router. */
function renew(sessions: RouterSessions, session: RouterSession): void {
  sessions.own.set(session.routerName, session);
}

/** The routers that watch this coordinator; drops those whose session has timed out. */
function current(sessions: RouterSessions, now: number): RouterSession[] {
  for (const [routerName, session] of sessions.own)
    if (now - session.seenAt > sessionTimeoutMs) sessions.own.delete(routerName);
  return [...sessions.own.values()];
}

/** The incarnations of all routers that are known here, by their names. */
function incarnationsByRouter(sessions: RouterSessions, now: number): Map<string, string> {
  const incarnations = new Map<string, string>();
  for (const session of current(sessions, now)) incarnations.set(session.routerName, session.incarnation);
  for (const peer of sessions.peers.values()) {
    for (const session of peer.sessions)
      if (now - session.seenAt <= sessionTimeoutMs) incarnations.set(session.routerName, session.incarnation);
  }
  return incarnations;
}

/** The greatest number of routers that were counted at one time within the window. */
function recentMaximum(sessions: RouterSessions, now: number): number {
  const recent = sessions.recentCounts.filter((count) => now - count.countedAt < maximumWindowMs);
  recent.push({ countedAt: now, routers: incarnationsByRouter(sessions, now).size });
  sessions.recentCounts = recent;
  return recent.reduce((maximum, count) => Math.max(maximum, count.routers), 0);
}

export const routerSessions = { create, renew, current, incarnationsByRouter, recentMaximum };
