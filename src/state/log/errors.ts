/**
 * What can be wrong with stored bytes and with a log on disk, and the text for it. None of these errors is retriable:
 * the same bytes are read again. An error of the file system is a `FileError` (`runtime.ts`), which may be transient;
 * the storage retries every write that failed with one.
 */

/** Why bytes are not the batch or snapshot that they should be. */
export type DecodeError =
  /** Not MessagePack; `cause` is the decoder's own message. */
  | { kind: 'malformed'; cause: string }
  /** Valid MessagePack of another shape. */
  | { kind: 'unexpected_shape'; expected: 'batch' | 'snapshot' }
  | { kind: 'too_short' }
  | { kind: 'checksum_mismatch' };

/** Why the records of a log do not add up to a state. */
export type ReplayError =
  | { kind: 'no_root' }
  /** Entry `index` is not the next one after those before it. */
  | { kind: 'entry_gap'; index: number }
  /** Entry `commitIndex` was committed, but the log ends before it. */
  | { kind: 'committed_entry_missing'; commitIndex: number; lastIndex: number };

/** What the disk lacks although a sync had confirmed it. `file` is the name of a file of the log. */
export type DataLoss =
  | { kind: 'file_missing'; file: string }
  /** The first frame of a segment that is known to be durable is invalid. */
  | { kind: 'segment_unreadable'; file: string }
  /** Valid frames stand after an invalid one at byte `offset`. */
  | { kind: 'segment_corrupt'; file: string; offset: number }
  /** A later segment continues after the first `requiredBytes` bytes of this one, which are not all readable. */
  | { kind: 'segment_incomplete'; file: string; requiredBytes: number }
  | { kind: 'segment_order'; number: number; previous: string }
  | { kind: 'segment_without_head'; number: number }
  | { kind: 'foreign_segment'; file: string }
  | { kind: 'snapshot_unreadable'; file: string; cause: DecodeError }
  | { kind: 'replay_failed'; cause: ReplayError };

/** Why bytes could not be decoded. */
function decodeText(error: DecodeError): string {
  switch (error.kind) {
    case 'malformed':
      return error.cause;
    case 'unexpected_shape':
      return `not a ${error.expected}`;
    case 'too_short':
      return 'too short for a snapshot';
    case 'checksum_mismatch':
      return 'checksum of the snapshot is wrong';
  }
}

/** Why records could not be replayed. */
function replayText(error: ReplayError): string {
  switch (error.kind) {
    case 'no_root':
      return 'the log does not begin at a snapshot';
    case 'entry_gap':
      return `entry ${error.index} has a gap before it`;
    case 'committed_entry_missing':
      return `entry ${error.commitIndex} was committed, the log ends at ${error.lastIndex}`;
  }
}

/** What the disk lacks. */
function dataLossText(loss: DataLoss): string {
  switch (loss.kind) {
    case 'file_missing':
      return `${loss.file} is gone`;
    case 'segment_unreadable':
      return `${loss.file} is damaged`;
    case 'segment_corrupt':
      return `${loss.file} is damaged behind byte ${loss.offset}`;
    case 'segment_incomplete':
      return `${loss.file} is damaged in its first ${loss.requiredBytes} bytes`;
    case 'segment_order':
      return `segment ${loss.number} is said to follow ${loss.previous}`;
    case 'segment_without_head':
      return `segment ${loss.number} has no head`;
    case 'foreign_segment':
      return `${loss.file} is another member's`;
    case 'snapshot_unreadable':
      return `${loss.file}: ${decodeText(loss.cause)}`;
    case 'replay_failed':
      return replayText(loss.cause);
  }
}

/** Texts for people: the log of a program, and `log inspect`. */
export const logErrors = { decodeText, replayText, dataLossText };
