/** The weights of models, as the operator names them. */

/** That a revision was named, as it is sent between processes, which share no clock: how long ago, in ms. */
export type NamingAge = { model: string; revision: number; ageMs: number };
