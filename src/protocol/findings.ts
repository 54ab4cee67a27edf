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

/**
 * Superstruct puts wrong values into its sentences and throws on one that can't be turned into text, such as
 * an object with a field named `toString`.
 */
function tryValidate<T, S>(raw: unknown, shape: Struct<T, S>): ReturnType<typeof validate<T, S>> | null {
  try {
    return validate(raw, shape);
  } catch {
    return null;
  }
}

/** What is wrong with a value by the shape that it should have, at most `maxFindings`; empty for a valid one. */
function fromStruct<T, S>(raw: unknown, shape: Struct<T, S>): Finding[] {
  const result = tryValidate(raw, shape);
  if (!result) return [{ path: wholeDocument, text: 'holds a value that cannot be shown' }];
  const [error] = result;
  if (!error) return [];
  const found: Finding[] = [];
  for (const { path, message } of error.failures()) {
    if (found.length >= maxFindings) break;
    found.push({ path: path.join('.') || wholeDocument, text: message.replace(pathInMessage, '') });
  }
  return found;
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
