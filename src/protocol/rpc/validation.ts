/**
 * Cheap validators of decoded messages, for those that are frequent: each checks the value in place, copies nothing and
 * builds the path of a fault only when there is one. Unknown fields are ignored. Messages that are rare are checked by
 * superstruct instead (`rpc.checkWithStruct`).
 *
 * Texts and lists have no bounds of their own: what is sent comes from configurations, requests and the platform, whose
 * pages set none, and each message as a whole is bounded where it is read.
 */
import type { Struct } from 'superstruct';
import type { Finding } from '../../types.js';
import { findings } from '../findings.js';

/** Null for a good value, otherwise the first fault with its path below the value. */
export type Validator<T> = ((value: unknown) => Finding | null) & { readonly accepts?: T };

function findingHere(text: string): Finding {
  return { path: '', text };
}

function nestedFinding(key: string | number, nested: Finding): Finding {
  return { path: nested.path === '' ? `${key}` : `${key}.${nested.path}`, text: nested.text };
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** An object whose named fields pass; a field that is missing is checked as `undefined`. */
function object<T extends object>(fields: { [K in keyof T]-?: Validator<T[K]> }): Validator<T> {
  const names = Object.keys(fields);
  const fieldValidators: Validator<unknown>[] = Object.values(fields);
  return (value) => {
    if (!isObject(value)) return findingHere('expected an object');
    for (let i = 0; i < names.length; i++) {
      const name = names[i]!;
      const found = fieldValidators[i]!(Object.hasOwn(value, name) ? value[name] : undefined);
      if (found) return nestedFinding(name, found);
    }
    return null;
  };
}

/** An array of exactly these items. */
function tuple<T extends unknown[]>(...items: { [K in keyof T]: Validator<T[K]> }): Validator<T> {
  const itemValidators: Validator<unknown>[] = items;
  return (value) => {
    if (!Array.isArray(value) || value.length !== itemValidators.length)
      return findingHere(`expected a tuple of ${itemValidators.length} values`);
    for (let i = 0; i < itemValidators.length; i++) {
      const found = itemValidators[i]!(value[i]);
      if (found) return nestedFinding(i, found);
    }
    return null;
  };
}

/** An array of such items, at most `maxLength` if that is given. */
function list<T>(item: Validator<T>, maxLength = Infinity): Validator<T[]> {
  return (value) => {
    if (!Array.isArray(value)) return findingHere('expected a list');
    if (value.length > maxLength) return findingHere(`over ${maxLength} items`);
    for (let i = 0; i < value.length; i++) {
      const found = item(value[i]);
      if (found) return nestedFinding(i, found);
    }
    return null;
  };
}

/** An object used as a map from names to values. */
function record<T>(item: Validator<T>): Validator<Record<string, T>> {
  return (value) => {
    if (!isObject(value)) return findingHere('expected an object');
    for (const name of Object.keys(value)) {
      const found = item(value[name]);
      if (found) return nestedFinding(name, found);
    }
    return null;
  };
}

/** Null, or a value that passes. */
function nullable<T>(present: Validator<T>): Validator<T | null> {
  return (value) => (value === null ? null : present(value));
}

/** Undefined or missing, or a value that passes. */
function optional<T>(present: Validator<T>): Validator<T | undefined> {
  return (value) => (value === undefined ? null : present(value));
}

/** A value of the shape, which stands elsewhere as the one definition of its type. */
function struct<T, S>(shape: Struct<T, S>): Validator<T> {
  return (value) => findings.firstFromStruct(value, shape);
}

/** A number from `min` to `max`, both included. */
function range(min: number, max: number): Validator<number> {
  return (value) =>
    typeof value === 'number' && value >= min && value <= max
      ? null
      : findingHere(`expected a number from ${min} to ${max}`);
}

/** One of these strings. */
function oneOf<T extends string>(...allowed: T[]): Validator<T> {
  return (value) => (allowed.includes(value as T) ? null : findingHere(`expected one of ${allowed.join(', ')}`));
}

const name: Validator<string> = (value) => (typeof value === 'string' ? null : findingHere('expected a string'));

const boolean: Validator<boolean> = (value) =>
  typeof value === 'boolean' ? null : findingHere('expected true or false');

const finite: Validator<number> = (value) => (Number.isFinite(value) ? null : findingHere('expected a finite number'));

const integer: Validator<number> = (value) => (Number.isSafeInteger(value) ? null : findingHere('expected an integer'));

const count: Validator<number> = (value) =>
  Number.isSafeInteger(value) && (value as number) >= 0 ? null : findingHere('expected an integer of 0 or more');

const anyRecord: Validator<Record<string, unknown>> = (value) =>
  isObject(value) ? null : findingHere('expected an object');

export const validators = {
  object,
  tuple,
  list,
  record,
  nullable,
  optional,
  struct,
  range,
  oneOf,
  name,
  boolean,
  finite,
  integer,
  count,
  anyRecord,
};
