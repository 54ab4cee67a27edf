/** The configurations of a history in the order in which they came into force, and which may be in force when. */
import { soakConfigurations, type Handling, type SoakDocument } from '../configurations.js';
import { eventsOf, type EventsOf, type History } from '../history.js';

/** A configuration that may have been in force: it was acknowledged, or never clearly refused. */
export type Version = {
  order: string;
  base: number;
  revision: number;
  sentAt: number;
  /** Infinity without an acknowledgement. */
  acknowledgedAt: number;
  document: SoakDocument;
};

export class Versions {
  /** By rising revision. */
  readonly list: Version[];
  /** Orders that were clearly refused. */
  readonly refused: EventsOf<'order_sent'>[];
  /** Invalid orders that were acknowledged. */
  readonly acknowledgedInvalid: EventsOf<'order_sent'>[];

  constructor(history: History) {
    const answers = new Map(eventsOf(history, 'order_answered').map((answer) => [answer.order, answer]));
    const sent = eventsOf(history, 'order_sent');
    const status = (order: string): number | undefined => answers.get(order)?.status;
    this.refused = sent.filter(({ order }) => status(order) !== undefined && status(order) !== 200);
    this.acknowledgedInvalid = sent.filter(({ order, isValid }) => !isValid && status(order) === 200);
    this.list = sent
      .filter(({ order, isValid }) => isValid && (status(order) === undefined || status(order) === 200))
      .map(({ order, base, revision, at, document }) => ({
        order,
        base,
        revision,
        sentAt: at,
        acknowledgedAt: answers.get(order)?.at ?? Infinity,
        document: JSON.parse(document) as SoakDocument,
      }))
      .sort((a, b) => a.revision - b.revision);
  }

  /** The newest revision that was acknowledged before `at`, 0 if there is none. */
  acknowledgedBefore(at: number): number {
    return Math.max(0, ...this.list.filter((one) => one.acknowledgedAt < at).map(({ revision }) => revision));
  }

  /** The versions from `leastRevision` on that had been sent by `until`. */
  possible(leastRevision: number, until: number): Version[] {
    return this.list.filter(({ revision, sentAt }) => revision >= leastRevision && sentAt <= until);
  }
}

/** Whether a request may be handled so under a configuration. */
export function allows(document: SoakDocument, path: string, key: string | null, seen: Handling): boolean {
  const wanted = soakConfigurations.handling(document, path, key);
  if (wanted.status !== null || seen.status !== null) return wanted.status === seen.status;
  return seen.services.every((service) => wanted.services.includes(service)) && wanted.tenant === seen.tenant;
}
