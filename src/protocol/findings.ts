/**
 * Findings: all that is wrong with a settings file, a configuration or another document, each with the path of the
 * field that it concerns and a sentence. Paths are joined by dots (`route_list.0.label`).
 */
import { validate, type Struct } from 'superstruct';
import type { Finding } from '../types.js';

/** Enough to mend a document by; one that is wrong in every item would otherwise fill an answer. */
const maxFindings = 100;

/** The path of a finding on the document itself. */
const wholeDocument = '(whole)';

/** Superstruct repeats the path at the beginning of its messages. */
const pathInMessage = /^At path: \S+ -- /;

/** A message holds the wrong value; of a long one its beginning says enough. */
const maxTextLength = 300;

function printAsObject(): string {
  return '[object]';
}

/** A copy of which every object can be turned into text, whatever its fields are called. */
function printable(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value;
  if (Array.isArray(value)) return value.map(printable);
  if (Object.getPrototypeOf(value) !== Object.prototype) return value;
  const copy: object = Object.fromEntries(
    Object.entries(value).map(([key, field]) => [key, printable(field)] as const),
  );
  Object.defineProperty(copy, Symbol.toPrimitive, { value: printAsObject });
  return copy;
}

function collect<T, S>(raw: unknown, shape: Struct<T, S>): Finding[] {
  const [error] = validate(raw, shape);
  if (!error) return [];
  const found: Finding[] = [];
  for (const { path, message } of error.failures()) {
    if (found.length >= maxFindings) break;
    const text = message.replace(pathInMessage, '').slice(0, maxTextLength);
    found.push({ path: path.join('.') || wholeDocument, text });
  }
  return found;
}

/**
 * What is wrong with a value by the shape that it should have, at most `maxFindings`; empty for a valid one. Superstruct
 * puts wrong values into its sentences, one after another as the findings are read, and throws on one that can't be turned
 * into text, such as an object with a field named `toString`.
 */
function fromStruct<T, S>(raw: unknown, shape: Struct<T, S>): Finding[] {
  try {
    return collect(raw, shape);
  } catch {
    return collectPrintable(raw, shape);
  }
}

/** As `collect`; a value that can't be copied either, such as one that is nested too deep, is one finding. */
function collectPrintable<T, S>(raw: unknown, shape: Struct<T, S>): Finding[] {
  try {
    return collect(printable(raw), shape);
  } catch {
    return [{ path: wholeDocument, text: 'holds a value that cannot be shown' }];
  }
}

/** The first finding of `fromStruct` with an empty path for the value itself, as validators of messages give it; or null. */
function firstFromStruct<T, S>(raw: unknown, shape: Struct<T, S>): Finding | null {
  const [found] = fromStruct(raw, shape);
  if (!found) return null;
  return found.path === wholeDocument ? { path: '', text: found.text } : found;
}

/** One line a finding, `path: text`. */
function format(list: Finding[]): string {
  return list.map(({ path, text }) => `${path}: ${text}`).join('\n');
}

/** A finding in answers to the operator and in the JSON output of the tools; `place` is its path. */
export type FindingJson = { place: string; text: string };

/**
 * Findings in their public JSON form. This is the one place where a path becomes `place`, its name since the first
 * version: programs of users read it.
 */
function toJson(list: Finding[]): FindingJson[] {
  return list.map(({ path, text }) => ({ place: path, text }));
}

export const findings = { fromStruct, firstFromStruct, format, toJson };
