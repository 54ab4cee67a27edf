/** The replies to the operator: the HTTP status and a JSON body with a `message` for people. */
import { findings } from '../protocol/findings.js';
import type { OperatorReply } from '../protocol/rpc/operator.js';
import type { Finding } from '../types.js';

/** A reply with any body. */
function json(status: number, value: unknown): OperatorReply {
  return { status, body: JSON.stringify(value) };
}

/** Says everything that is wrong with a call. */
function rejection(status: number, found: Finding[]): OperatorReply {
  const message = found.map((finding) => `${finding.path}: ${finding.text}`).join('; ');
  return json(status, { message, findings: findings.toJson(found) });
}

/** The outcome is not known; the same call may be sent again. */
const indeterminate = json(503, { message: 'no leader could decide on this call; send it again as it was' });

/** The outcome is not known and never will be: the order builds on a revision whose successor was forgotten. */
const baseTooOld = json(503, {
  message: 'this order builds on a revision of long ago; whether it was accepted is not known',
});

/** Deciding the order failed here; whether it is in force is shown by a read. */
const failed = json(500, { message: 'the order could not be decided, see the log of the leader' });

/** This coordinator accepts no more calls; another one may answer. */
const shuttingDown = json(503, { message: 'this coordinator is stopping; send the call to another' });
/** The call was not read for want of memory, so nothing came of it. */
const noCapacity = json(503, { message: 'this coordinator has no room for the call now; send it again' });
/** The order is committed and in force. */
const accepted = json(200, { message: 'accepted' });
/** The same order was accepted before. */
const alreadyAccepted = json(200, { message: 'accepted before' });
/** A read before the first configuration. */
const noConfiguration = json(404, { message: 'there is no configuration yet' });

/** A read of a service that no version was ever ordered for. */
const noRollout = json(404, { message: 'no version of this service was rolled out' });

/** Whether another coordinator, or a later attempt, may give a definite answer. */
function isRetriable(reply: OperatorReply): boolean {
  return reply.status === 503;
}

/** Whether the reply promises that an order is kept. */
function isAcknowledgement(reply: OperatorReply): boolean {
  return reply.status === 200;
}

export const operatorReplies = {
  json,
  rejection,
  indeterminate,
  baseTooOld,
  failed,
  shuttingDown,
  noCapacity,
  accepted,
  alreadyAccepted,
  noConfiguration,
  noRollout,
  isRetriable,
  isAcknowledgement,
};
