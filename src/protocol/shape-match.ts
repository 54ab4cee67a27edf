/** Whether a value that came from outside has a shape. */
import { is, type Struct } from 'superstruct';

/**
 * As superstruct's `is`, which describes each mismatch and throws where the value can't be turned into text, such as an
 * object with a field named `toString`. Only a mismatch is described, so such a value does not have the shape.
 */
export function hasShape<T, S>(value: unknown, shape: Struct<T, S>): value is T {
  try {
    return is(value, shape);
  } catch {
    return false;
  }
}
