/** A rule of the users' pages that a history breaks. */
export type Violation = { rule: RuleName; at: number; text: string };

/** The rules by their names on the page; FAULT: a process that ended by itself; ACKS: the gate of that name. */
export type RuleName =
  | 'UNASKED'
  | 'DENIED'
  | 'TWICE'
  | 'BUDGET'
  | 'REFUSED'
  | 'GONE'
  | 'MIXED'
  | 'ORDER'
  | 'CONFIG'
  | 'LOST'
  | 'WALL'
  | 'STALE'
  | 'ONE'
  | 'DRAIN'
  | 'VERSION'
  | 'ACKS'
  | 'FAULT';
