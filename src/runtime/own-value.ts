/** Reads an object that is used as a map from names: names such as `toString` are in every object's prototype. */

/** The value that the object itself has under the name; undefined if it has none. */
export function ownValue<T>(values: Record<string, T>, name: string): T | undefined {
  return Object.hasOwn(values, name) ? values[name] : undefined;
}
