/**
 * Which machines were in touch when (users' rules, "In touch"). Rules with a bound of time hold for these only. Where the
 * page leaves room this errs on the side of saying no: any trouble counts as trouble of the whole machine.
 */
import { eventsOf, type History } from '../history.js';

type Span = { from: number; until: number; nodes: Set<string> | null; isPlanned: boolean };

/** Signals, timers and links on the real clock are this late at most. */
const slackMs = 500;

export class ContactMap {
  readonly #spans: Span[];
  readonly #core: Set<string>;
  readonly #contactMs: number;

  constructor(history: History) {
    this.#core = new Set(history.coreNodes);
    this.#contactMs = history.bounds.contactMs + slackMs;
    this.#spans = [
      ...eventsOf(history, 'trouble')
        .filter(({ what }) => what !== 'hang_up')
        .map(({ at, until, nodes, isPlanned }) => ({ from: at, until, nodes: new Set(nodes), isPlanned })),
      ...eventsOf(history, 'process_started').map(({ at, node }) => ({
        from: at,
        until: at,
        nodes: new Set([node]),
        isPlanned: false,
      })),
      // The soak itself stood still, and all that it measures with it.
      ...eventsOf(history, 'stalled').map(({ at, ms }) => ({
        from: at - ms,
        until: at,
        nodes: null,
        isPlanned: false,
      })),
    ];
  }

  /** Whether `node` was in touch all the time. */
  isInTouch(node: string, from: number, until: number): boolean {
    return this.isSettled(from, until) && !this.#hasSpan(from, until, (nodes) => nodes.has(node));
  }

  /** Whether the core was settled all the time. */
  isSettled(from: number, until: number): boolean {
    return !this.#hasSpan(from, until, (nodes) => [...nodes].some((node) => this.#core.has(node)));
  }

  /** Whether there was no trouble but planned work, anywhere. */
  hasOnlyPlannedWork(from: number, until: number): boolean {
    return !this.#spans.some((span) => !span.isPlanned && this.#overlaps(span, from, until));
  }

  /** Whether something was healed or thawed shortly before, within `ms`. */
  hasEndedTrouble(at: number, ms: number): boolean {
    return this.#spans.some(({ from, until }) => from <= at && at <= until + ms + slackMs);
  }

  #hasSpan(from: number, until: number, concerns: (nodes: Set<string>) => boolean): boolean {
    return this.#spans.some((span) => {
      return this.#overlaps(span, from, until) && (span.nodes === null || concerns(span.nodes));
    });
  }

  #overlaps(span: Span, from: number, until: number): boolean {
    return span.from <= until && span.until >= from - this.#contactMs;
  }
}
