/** Differences between two configurations. Items of a list are compared by their label, not by their place in it. */
import microdiff from 'microdiff';

/** One difference; `path` is joined by dots, with the label of an item in place of its index. */
export type ConfigDifference =
  | { kind: 'added'; path: string; newValue: unknown }
  | { kind: 'removed'; path: string; oldValue: unknown }
  | { kind: 'changed'; path: string; oldValue: unknown; newValue: unknown };

type JsonObject = Record<string, unknown>;

function isObject(value: unknown): value is JsonObject {
  return typeof value === 'object' && value !== null;
}

function hasLabel(item: unknown): item is { label: string } {
  return isObject(item) && typeof item.label === 'string';
}

/** Turns each list of labelled items, at any depth, into an object by label; other lists stay as they are. */
function keyByLabel(value: unknown): unknown {
  if (Array.isArray(value)) {
    if (value.length === 0 || !value.every(hasLabel)) return value;
    return Object.fromEntries(value.map((item) => [item.label, keyByLabel(item)]));
  }
  if (!isObject(value)) return value;
  return Object.fromEntries(Object.entries(value).map(([key, field]) => [key, keyByLabel(field)]));
}

/** What stands in `proposed` otherwise than in `current`; both are objects. */
function compare(current: unknown, proposed: unknown): ConfigDifference[] {
  const differences = microdiff(keyByLabel(current) as JsonObject, keyByLabel(proposed) as JsonObject);
  return differences.map((difference): ConfigDifference => {
    const path = difference.path.join('.');
    switch (difference.type) {
      case 'CREATE':
        return { kind: 'added', path, newValue: difference.value };
      case 'REMOVE':
        return { kind: 'removed', path, oldValue: difference.oldValue };
      case 'CHANGE':
        return { kind: 'changed', path, oldValue: difference.oldValue, newValue: difference.value };
    }
  });
}

/** A line a difference: `+` added, `-` removed, `~` changed. */
function format(differences: ConfigDifference[]): string {
  if (differences.length === 0) return 'no difference';
  return differences.map(formatDifference).join('\n');
}

function formatDifference(difference: ConfigDifference): string {
  const { path } = difference;
  switch (difference.kind) {
    case 'added':
      return `+ ${path}: ${JSON.stringify(difference.newValue)}`;
    case 'removed':
      return `- ${path}: ${JSON.stringify(difference.oldValue)}`;
    case 'changed':
      return `~ ${path}: ${JSON.stringify(difference.oldValue)} -> ${JSON.stringify(difference.newValue)}`;
  }
}

/** Differences in their public JSON form, whose names have stood since the first version. */
function toJson(differences: ConfigDifference[]): unknown {
  return differences.map((difference) => {
    const { path } = difference;
    switch (difference.kind) {
      case 'added':
        return { path, type: 'CREATE', now: difference.newValue };
      case 'removed':
        return { path, type: 'REMOVE', was: difference.oldValue };
      case 'changed':
        return { path, type: 'CHANGE', was: difference.oldValue, now: difference.newValue };
    }
  });
}

export const configDiff = { compare, format, toJson };
