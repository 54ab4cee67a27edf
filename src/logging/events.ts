/**
 * Every event that the daemons log, with its fields and level, what it means and what on-call does about it. A name
 * or field that is not here can't be logged. `docs/operating.md` has the same list in short.
 *
 * Two levels, by the function of `ringLog` that takes the event:
 * - `note`: kept in the ring, seen only with what follows. By itself it needs nobody.
 * - `error`: the ring is written to standard error, with this event last; at most once a second. Somebody should look.
 *
 * Fields: times and sizes carry their unit in the field's name. `stack` is the stack trace of an unexpected exception,
 * `runner` the id of a runner's incarnation, `attempt` the client's attempt id (`X-Attempt-Id`), `revision` that
 * of a configuration or of weights, `term` and `index` those of the replicated log. Addresses are `ip:port`.
 */
import type { RpcError } from '../runtime/rpc-errors.js';
import type { Finding } from '../types.js';

/** The attempt at one runner that an event of the request path is about. */
export type AttemptFields = { runner: string; attempt: string };

/** A process begins or ends; level `error`. */
type ProcessErrors = {
  /** The daemon did not come up, and ends with 1. On call: mend what the stack names, an address or the data folder. */
  start_failed: { stack: string | undefined };
  /** An exception that nothing caught; the process ends with 1. On call: let it be restarted, and report the stack. */
  process_failed: { stack: string | undefined };
  /** The changed settings file is not valid; the settings of before stay in force. On call: mend the file. */
  settings_rejected: { findings: Finding[] };
};

/** Consensus and the disk of one member; level `error`. */
type ConsensusErrors = {
  /** The leader's snapshot can't be decoded and was not installed; this member stays behind. On call: report it. */
  snapshot_unreadable: { error: string };
  /**
   * A write or sync failed and is tried again by itself; `code` is the system's. On call: `ENOSPC`, free the disk;
   * otherwise, or if it goes on, replace the machine. The group goes on without this member.
   */
  disk_write_failed: { error: string; code: string };
  /**
   * The disk lacks what a sync had confirmed: the member joins anew under another id. On call: look after the disk, and
   * wait until `status` shows the new id among the voters before another member is stopped.
   */
  disk_data_lost: { reason: string };
};

/** Consensus and the disk of one member; level `note`. */
type ConsensusNotes = {
  /** A member read its disk. `voters`: how many it knows; none for a member that has yet to join. */
  replica_opened: {
    member: string;
    disk: 'empty' | 'recovered' | 'lost';
    lastIndex: number;
    term: number;
    voters: number;
  };
  /** Leadership won or lost, or a candidacy. On call: every few seconds, a faulty link or disk of a member. */
  role_changed: { role: 'learner' | 'follower' | 'pre_candidate' | 'candidate' | 'leader'; term: number };
  /** The voters by member id; `next`: those to come, while a change of members is under way (joint consensus). */
  membership_changed: { voters: string[]; next: string[] | null };
  /** Entries from the index `from` on, never committed, were dropped, since the leader does not hold them. */
  entries_truncated: { from: number };
  /** This member was too far behind: its state was replaced by the leader's, which covers the log up to `index`. */
  snapshot_installed: { index: number; bytes: number };
};

/** Calls between the system's own processes; level `error`. */
type RpcErrors = {
  /** A handler threw: the request may have been carried out in part. On call: report the stack. */
  rpc_handler_failed: { path: string; stack: string | undefined };
};

/** Calls between the system's own processes; level `note`. */
type RpcNotes = {
  /**
   * A request did not pass its check and was not carried out. `path` and `from`, an address without its port, are
   * empty where the bytes were no HTTP request; `message` begins with the path of the fault. On call: more than a few
   * after a restart, look for processes of different versions or a middlebox (see `RPCs` in `status`).
   */
  rpc_rejected: { path: string; from: string; status: number; message: string };
};

/** What a coordinator does for the operator, the runners and the routers; level `error`. */
type CoordinatorErrors = {
  /**
   * A roll-out of a version has ended; `reason` says why. On call: `reverted`, ask who sent the order; `docs/operating.md`
   * says what to do when a good version was reverted.
   */
  rollout_ended: { service: string; version: string; condition: 'complete' | 'reverted' } & RolloutStepFields;
  /** Answering an operator threw; the call got a 500. On call: report the stack. */
  operator_call_failed: { stack: string | undefined };
  /**
   * A runner has lacked weights that were named for `behindMs`, most of the time that the operator allows; `revision` is
   * what it has. On call: `revision_order_sent` says what the runner answers; past the bound it gets no requests.
   */
  runner_weights_late: { runner: string; revision: number; behindMs: number };
  /**
   * An operator sent an order to a path that no part of the system serves; the caller got 404. On call: the caller waits
   * for an acknowledgement that can't come; ask which version of the system serves that order.
   */
  operator_path_unknown: { method: string; path: string };
  /** Deciding an order threw; it got a 500. `order`: its digest. On call: report the stack, and keep the order's body. */
  order_failed: { order: string; method: string; path: string; bytes: number; stack: string | undefined };
};

/** What became of a proposed command; `unknown` and `not_leader` as far as this member can tell. */
type ProposalKind = 'applied' | 'unknown' | 'not_leader';

/** The outcome of a proposed command, as far as this member can tell. */
type CommandOutcome = ProposalKind | 'duplicate' | 'rejected' | 'superseded';

/** How long ago the roll-out was ordered, in ms, why the step was taken, and what became of its command. */
type RolloutStepFields = { elapsedMs: number; reason: string; outcome: CommandOutcome };

/** What a runner answers to an order for weights, see `protocol/calls/runner-calls.ts`. */
type RevisionOrderResult =
  'started' | 'already_loaded' | 'other_in_progress' | 'fenced' | 'wrong_instance' | 'unknown_revision';

/** Why a call to a runner or the platform failed, see `protocol/calls/external-calls.ts`. */
type CallFailure = 'timeout' | 'connection_lost' | 'status' | 'unreadable';

/** What a coordinator does for the operator, the runners and the routers; level `note`. */
type CoordinatorNotes = {
  /**
   * What became of the command for an operator's order. `call` is the id of the call. `duplicate`: accepted before;
   * `superseded`: another one came first, and the order is validated again; `unknown`: may still be committed.
   */
  command_proposed: {
    call: string;
    command:
      | 'configure'
      | 'reject_order'
      | 'name_weights'
      | 'activate_access_rules'
      | 'start_rollout'
      | 'advance_rollout'
      | 'end_rollout';
    outcome: CommandOutcome;
  };
  /** A roll-out of a version takes a larger share of its service's requests. Other than `applied`, it is tried again. */
  rollout_advanced: { service: string; version: string; share: number } & RolloutStepFields;
  /** Voters for the losses of `tolerance` are missing; `members`: those there are. On call: start the missing coordinators. */
  acknowledged_without_all_voters: { members: number };
  /** The activation of this revision's access rules was proposed. Other than `applied`, it is proposed again. */
  access_rules_activated: { revision: number; result: ProposalKind };
  /**
   * A runner's answer to the order for a revision of the weights, or why there was none; orders are sent again. On
   * call: `fenced`, a leader of a higher term has ordered this runner; `unknown_revision`, the runner can't load it.
   */
  revision_order_sent: { runner: string; revision: number; result: RevisionOrderResult | CallFailure };
  /** The platform gave no list of instances; the last one stands. On call: if it goes on, the platform's API. */
  instance_list_failed: { error: CallFailure | 'too_many_pages' };
  /** Cache events were lost at a runner or the store; `ok`: its whole list was read and the index repaired. */
  prefix_cache_list_fetched: { location: string; ok: boolean };
};

/** What a router does with requests; level `error`. */
type RouterErrors = {
  /** Handling a request threw, and its connection was destroyed. On call: report the stack. */
  request_failed: { stack: string | undefined };
  /**
   * A coordinator told something that this router can't read; all else in the answer is in effect. On call: processes of
   * different versions, or report the findings; a change of what they name ends it.
   */
  update_unreadable: { address: string; findings: Finding[] };
};

/** What a router does with requests; level `note`. */
type RouterNotes = {
  /** The coordinator at `address` failed or was behind; the next watch goes to another one. */
  coordinator_switched: { address: string; reason: RpcError['kind'] | 'not up to date' | 'unreadable' };
  /** No runner could take the request within its time to wait; or its client went meanwhile. */
  no_runner_available: { attempt: string; service: string };
  /** The runner said nothing in time; it counts as suspect. */
  attempt_timed_out: AttemptFields;
  /** No answer began. `end`: `not_sent`, the runner can't have run it; `unanswered`, it may have. */
  attempt_failed: AttemptFields & { error: string; end: 'not_sent' | 'unanswered' };
  /** The runner rejected the request without running it. `instance`: the id that it named, null if none. */
  attempt_rejected: AttemptFields & { status: number; instance: string | null };
  /**
   * Bytes that are no answer to this request; the connection was destroyed. `echoed`: the attempt id in the answer. On
   * call: a steady rise, a middlebox that mixes up connections.
   */
  response_unexpected: AttemptFields & {
    echoed: string | string[] | undefined;
    status: number | undefined;
    reason: string;
  };
  /**
   * An answer began and did not come complete. `framing`: how its end would have been told, `until_close` for one
   * without a length. On call: many of one runner, look at that runner; of all of them, at the network.
   */
  response_incomplete: AttemptFields & {
    status: number;
    outcome: 'upstream_aborted' | 'client_disconnected' | 'deadline_exceeded';
    framing: 'delimited' | 'until_close';
  };
  /** A 5xx of the runner that is kept from the client, since another attempt is allowed. */
  runner_failed: AttemptFields & { status: number | undefined };
};

/** The events of level `note`: name and fields. */
export type NoteEvents = ConsensusNotes & RpcNotes & CoordinatorNotes & RouterNotes;

/** The events of level `error`: name and fields. */
export type ErrorEvents = ProcessErrors & ConsensusErrors & RpcErrors & CoordinatorErrors & RouterErrors;
