/**
 * The encoding of RPC bodies: MessagePack without the record extension, so that each body can be decoded by itself.
 * What is decoded has no known shape yet; the validators of `protocol/rpc` check it.
 */
import { Packr } from 'msgpackr';
import type { Result } from '../../types.js';

/** Bytes that are not MessagePack. Not retriable: the same bytes give the same error. */
export type DecodeError = { kind: 'undecodable'; cause: Error };

const packr = new Packr({ useRecords: false });

/** Throws only on what a validator would never let through, such as a function. */
function encode(value: unknown): Uint8Array {
  return packr.pack(value);
}

/** The decoded value, of any shape; never throws. */
function decode(bytes: Uint8Array): Result<unknown, DecodeError> {
  try {
    return { ok: true, value: packr.unpack(bytes) as unknown };
  } catch (error) {
    return { ok: false, error: { kind: 'undecodable', cause: error as Error } };
  }
}

export const rpcCodec = { encode, decode };
