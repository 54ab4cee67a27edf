/**
 * What must hold of any JSON document that is stored, sent to other processes and read back as it was sent, whatever its
 * fields mean. Everything that is refused here would change on the way, or could not be handled at all.
 */
import type { Finding } from '../types.js';

/** Objects and lists within one another; far more than any document has, far less than overflows a stack. */
const maxDepth = 64;
const maxFindings = 100;

/** Assigning to this key of an object sets its prototype instead; the encoding of messages renames it. */
const prototypeKey = '__proto__';

/** Half of a UTF-16 pair, which has no encoding. */
const unpairedSurrogate = /\p{Surrogate}/u;

const wholeDocument = '(whole)';

class DocumentCheck {
  readonly found: Finding[] = [];
  readonly #path: string[] = [];

  visit(value: unknown): void {
    if (typeof value === 'string') this.#visitText(value);
    else if (typeof value === 'number') this.#visitNumber(value);
    else if (typeof value === 'object' && value !== null) this.#visitChildren(value);
  }

  #report(text: string): void {
    if (this.found.length < maxFindings) this.found.push({ path: this.#path.join('.') || wholeDocument, text });
  }

  #visitText(value: string): void {
    if (unpairedSurrogate.test(value)) this.#report('is no well-formed text');
  }

  #visitNumber(value: number): void {
    if (!Number.isFinite(value)) this.#report('is too large a number');
    else if (Number.isInteger(value) && !Number.isSafeInteger(value))
      this.#report(`is an integer beyond ${Number.MAX_SAFE_INTEGER}, which can't be kept exactly`);
  }

  #visitChildren(value: object): void {
    if (this.#path.length >= maxDepth) return this.#report(`is nested more than ${maxDepth} deep`);
    for (const [key, child] of Object.entries(value)) {
      this.#path.push(key);
      if (key === prototypeKey) this.#report('is no name that a field can have');
      else if (unpairedSurrogate.test(key)) this.#report('has a name that is no well-formed text');
      else this.visit(child);
      this.#path.pop();
    }
  }
}

/** The findings on a document as `JSON.parse` gives it, each with its path; empty where it can be kept as it is. */
function check(document: unknown): Finding[] {
  const documentCheck = new DocumentCheck();
  documentCheck.visit(document);
  return documentCheck.found;
}

export const jsonDocument = { check };
