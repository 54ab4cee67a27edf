/** Results of what may fail as expected. */

/** A value or the reason why there is none; expected failures are returned, not thrown. */
export type Result<T, E> = { ok: true; value: T } | { ok: false; error: E };

/** Something wrong with a document: the path of the field, such as `route_list.0.target`, and a sentence. */
export type Finding = { path: string; text: string };
