/**
 * The group of coordinators that replicates the control state, as the control plane uses it. The only module of the
 * control plane that imports the consensus implementation; tests replace it by a simulated group.
 */
import { consensusRpc } from '../coordination/consensus/consensus-rpc.js';
import { replica, type ProposalResult, type Replica } from '../coordination/consensus/replica.js';
import { rpc } from '../protocol/rpc/rpc-method.js';
import type { RpcHandler } from '../transport/rpc/rpc-handler.js';
import { quorum } from '../coordination/consensus/quorum.js';
import { roles } from '../coordination/consensus/roles.js';
import type { Command, ControlState } from '../state/control/reducer.js';
import type { StatusReply } from '../protocol/rpc/status.js';

export type { ProposalResult };

/** When the leader last heard another member; `heardAt` in ms of the steady clock. */
export type PeerContact = { id: string; address: string; heardAt: number };

/** The group's part of the status. */
export type GroupStatus = Pick<StatusReply, 'role' | 'term' | 'leader' | 'voters' | 'committed' | 'disk'>;

/** This coordinator's view of the group. Nothing here rejects; durations are in ms. */
export type ReplicaGroup = {
  /** The state that results from all applied entries. */
  state: () => ControlState;
  term: () => number;
  isLeader: () => boolean;
  /** The leader's RPC address as far as it is known here. */
  leaderAddress: () => string | null;
  /** A leader whose lease runs, or a follower that hears the leader. */
  hasLeaderContact: () => boolean;
  /**
   * Whether an entry of this member's own term is committed. Only then does a leader know, and has it
   * applied, everything that was committed in earlier terms.
   */
  hasCommittedInTerm: () => boolean;
  /** Whether this member leads and no earlier leader can still act, `leaseMs` after its election. */
  isSoleLeader: (leaseMs: number) => boolean;
  /** Whether the group has the voters that it needs to bear the losses of the settings (`tolerance`). */
  hasTargetVoters: () => boolean;
  /** When this member last won an election, in ms of the steady clock. */
  electedAt: () => number;
  /** The RPC address of this member. */
  ownAddress: () => string;
  /** The RPC addresses of all members, this one among them. */
  memberAddresses: () => string[];
  /** All that the leader replicates to, learners among them; empty at a member that does not lead. */
  peers: () => PeerContact[];
  /**
   * True when this member led and a majority answered a heartbeat sent after this call; the state then
   * holds everything that was committed before it, and an entry of the leader's own term is committed.
   */
  confirmLeadership: (timeoutMs: number) => Promise<boolean>;
  /** Proposes a command and waits for its outcome; see `ProposalResult`. */
  propose: (command: Command) => Promise<ProposalResult>;
  /** Prepares a planned stop; see `replica.prepareStop`. */
  transferLeadership: (timeoutMs: number) => Promise<void>;
  /** Leaves the group's traffic and flushes the log. */
  close: () => Promise<void>;
  /** Calls `run` after each change of the applied state. */
  onApplied: (run: () => void) => void;
  /** Calls `run` after this member became the leader or ceased to be it. */
  onRoleChanged: (run: () => void) => void;
  /** `now` in ms of the steady clock. */
  status: (now: number) => GroupStatus;
};

function peerContacts(member: Replica): PeerContact[] {
  return [...member.consensus.peers.values()].map((peer) => ({
    id: peer.member.id,
    address: peer.member.addr,
    heardAt: peer.lastHeardAt,
  }));
}

function groupStatus(member: Replica, now: number): GroupStatus {
  const { consensus } = member;
  return {
    role: consensus.role,
    term: consensus.term,
    leader: consensus.leaderId,
    voters: quorum.allVoters(consensus.membership).map((voter) => {
      const peer = consensus.peers.get(voter.id);
      const isOwn = voter.id === consensus.self.id;
      return {
        id: voter.id,
        control: voter.control,
        heardMs: isOwn ? 0 : peer ? Math.round(now - peer.lastHeardAt) : null,
        matchIndex: isOwn ? consensus.durableIndex : (peer?.matchIndex ?? null),
      };
    }),
    committed: consensus.commitIndex,
    disk: member.isDiskFailing ? 'failing' : 'writable',
  };
}

/** The group as seen by a replica of it. */
function fromReplica(member: Replica): ReplicaGroup {
  return {
    state: () => member.state,
    term: () => member.consensus.term,
    isLeader: () => replica.isLeader(member),
    leaderAddress: () => replica.leaderAddress(member),
    hasLeaderContact: () => replica.isFresh(member),
    hasCommittedInTerm: () => roles.hasCommittedInTerm(member.consensus),
    isSoleLeader: (leaseMs) => replica.holdsExclusiveLease(member, leaseMs),
    hasTargetVoters: () => replica.hasTargetVoters(member),
    electedAt: () => member.consensus.electedAt,
    ownAddress: () => member.consensus.self.addr,
    memberAddresses: () => quorum.allVoters(member.consensus.membership).map((member) => member.addr),
    peers: () => peerContacts(member),
    confirmLeadership: (timeoutMs) => replica.confirmLeadership(member, timeoutMs),
    propose: (command) => replica.propose(member, command),
    transferLeadership: (timeoutMs) => replica.prepareStop(member, timeoutMs),
    close: () => replica.close(member),
    onApplied: (run) => void member.on('applied', run),
    onRoleChanged: (run) => void member.on('role', run),
    status: (now) => groupStatus(member, now),
  };
}

/** The handler of the consensus messages that other members send. */
function consensusHandler(member: Replica): RpcHandler {
  return rpc.handler(consensusRpc, (batch) => ({ messages: replica.handleMessages(member, batch.messages) }));
}

export const replicaGroup = { fromReplica, consensusHandler };
