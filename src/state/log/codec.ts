/**
 * Batches of log records and snapshots as bytes, on disk or between members, checked when read. Bodies are MessagePack;
 * nothing here throws on bad input. The names on disk are mapped in `stored-batch.ts`.
 */
import { crc32 } from 'node:zlib';
import { Packr } from 'msgpackr';
import { literal, type, unknown } from 'superstruct';
import type { Result } from '../../types.js';
import type { DecodeError } from './errors.js';
import { membership, nonNegativeInteger, storedBatch } from './stored-batch.js';
import type { Batch, Snapshot } from './types.js';
import { hasShape } from '../../protocol/shape-match.js';

const packr = new Packr({ useRecords: false });

const snapshot = type({ index: nonNegativeInteger, term: nonNegativeInteger, membership, state: unknown() });
const snapshotFile = type({ kind: literal('snapshot'), snapshot });

function unpack(bytes: Uint8Array): Result<unknown, DecodeError> {
  try {
    return { ok: true, value: packr.unpack(bytes) as unknown };
  } catch (error) {
    return { ok: false, error: { kind: 'malformed', cause: error instanceof Error ? error.message : 'not readable' } };
  }
}

function decodeAs<T>(
  bytes: Uint8Array,
  isShape: (value: unknown) => value is T,
  expected: 'batch' | 'snapshot',
): Result<T, DecodeError> {
  const value = unpack(bytes);
  if (!value.ok) return value;
  return isShape(value.value)
    ? { ok: true, value: value.value }
    : { ok: false, error: { kind: 'unexpected_shape', expected } };
}

function isSnapshotFile(value: unknown): value is { kind: 'snapshot'; snapshot: Snapshot } {
  return hasShape(value, snapshotFile) && 'state' in value.snapshot;
}

/** A batch as the body of a frame, by the names on disk. */
function encodeBatch(batch: Batch): Buffer {
  return packr.pack(storedBatch.toStored(batch));
}

/** Reads a batch back; the error says what is wrong with the bytes. */
function decodeBatch(bytes: Uint8Array): Result<Batch, DecodeError> {
  const stored = decodeAs(bytes, storedBatch.isStoredBatch, 'batch');
  return stored.ok ? { ok: true, value: storedBatch.fromStored(stored.value) } : stored;
}

const snapshotChecksumBytes = 4;

/** A snapshot as bytes: its checksum (CRC-32, little-endian), then its body. */
function encodeSnapshot(value: Snapshot): Uint8Array {
  const body = packr.pack({ kind: 'snapshot', snapshot: value });
  const encoded = Buffer.allocUnsafe(snapshotChecksumBytes + body.length);
  encoded.writeUInt32LE(crc32(body), 0);
  body.copy(encoded, snapshotChecksumBytes);
  return encoded;
}

/** Reads a snapshot back; the error says what is wrong with the bytes. */
function decodeSnapshot(bytes: Uint8Array): Result<Snapshot, DecodeError> {
  if (bytes.length <= snapshotChecksumBytes) return { ok: false, error: { kind: 'too_short' } };
  const encoded = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  const body = encoded.subarray(snapshotChecksumBytes);
  if (crc32(body) !== encoded.readUInt32LE(0)) return { ok: false, error: { kind: 'checksum_mismatch' } };
  const file = decodeAs(body, isSnapshotFile, 'snapshot');
  return file.ok ? { ok: true, value: file.value.snapshot } : file;
}

/** How many bytes a value takes when it is encoded. */
function sizeOf(value: unknown): number {
  return packr.pack(value).length;
}

export const batchCodec = { encode: encodeBatch, decode: decodeBatch };
export const snapshotCodec = { encode: encodeSnapshot, decode: decodeSnapshot, sizeOf };
