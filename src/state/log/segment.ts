/**
 * The files of the log and the frames in a segment. A frame holds what was flushed together, under one
 * checksum that also covers the segment's number and the frame's offset, so that bytes of another file
 * or offset are never mistaken for it. A frame is written only once all before it is durable; so a valid frame
 * after an invalid one shows that durable bytes were lost, and an invalid one with nothing valid after it is a torn
 * tail.
 *
 * Header of a frame, 20 bytes, little-endian: magic (4 bytes), length of the body, number of the segment, offset of the
 * frame, CRC-32 of these three and the body. The body is a batch (`codec.ts`).
 */
import { crc32 } from 'node:zlib';
import { batchCodec } from './codec.js';
import type { Batch } from './types.js';

/** The kinds of numbered files. A `synced` marker (empty) says that the segment of its number is durable. */
export type FileKind = 'segment' | 'snapshot' | 'synced';
/** A file of the log, by its name. */
export type NumberedFile = { kind: FileKind; number: number; name: string };

/** One valid frame of a segment, in bytes from its beginning. */
export type Frame = { startOffset: number; endOffset: number; batch: Batch };

/** `validBytes` is where the valid frames from the start end; `isCorrupt`: a valid frame stands after that. */
export type SegmentContent = { frames: Frame[]; validBytes: number; totalBytes: number; isCorrupt: boolean };

const magic = Buffer.from([0xb7, 0x6d, 0xc1, 0x01]);
const lengthAt = 4;
const numberAt = 8;
const offsetAt = 12;
const checksumAt = 16;
const headerBytes = 20;
const maxBodyBytes = 1024 * 1024 * 1024;
const maxFileNumber = 0xffff_ffff;
const temporarySuffix = '.tmp';
const filePattern = /^(segment|snapshot|synced)-([1-9]\d{0,9})$/;
const temporaryPattern = /^snapshot-[1-9]\d{0,9}\.tmp$/;

/** The name of a file of the log. */
function fileName(kind: FileKind, number: number): string {
  return `${kind}-${number}`;
}

/** The name of a snapshot file until it is complete and synced. */
function temporaryName(number: number): string {
  return `${fileName('snapshot', number)}${temporarySuffix}`;
}

function isTemporary(name: string): boolean {
  return temporaryPattern.test(name);
}

function parseName(name: string): NumberedFile | null {
  const match = filePattern.exec(name);
  if (match === null) return null;
  const number = Number(match[2]);
  return number > maxFileNumber ? null : { kind: match[1] as FileKind, number, name };
}

/** The log's files among the names of a folder, in the order of their numbers. */
function filesOfKind(names: string[], kind: FileKind): NumberedFile[] {
  const files = names.map(parseName).filter((file): file is NumberedFile => file !== null && file.kind === kind);
  return files.sort((a, b) => a.number - b.number);
}

function fileNumber(name: string): number | null {
  const whole = isTemporary(name) ? name.slice(0, -temporarySuffix.length) : name;
  return parseName(whole)?.number ?? null;
}

/** The highest number among the log's files, those that were never finished included; 0 without any. */
function highestNumber(names: string[]): number {
  return names.reduce((most, name) => Math.max(most, fileNumber(name) ?? 0), 0);
}

/** The log's files that are older than segment `last`, which is durable, and not among those still referenced. */
function superseded(names: string[], last: number, referenced: Set<string>): string[] {
  return names.filter((name) => {
    const number = fileNumber(name);
    return number !== null && number < last && !referenced.has(name);
  });
}

function checksum(header: Buffer, body: Uint8Array): number {
  return crc32(body, crc32(header.subarray(lengthAt, checksumAt)));
}

/** Frames a batch for the given offset (in bytes) in the segment of the given number. */
function encodeFrame(number: number, offset: number, batch: Batch): Buffer {
  const body = batchCodec.encode(batch);
  const out = Buffer.allocUnsafe(headerBytes + body.length);
  magic.copy(out);
  out.writeUInt32LE(body.length, lengthAt);
  out.writeUInt32LE(number, numberAt);
  out.writeUInt32LE(offset, offsetAt);
  out.writeUInt32LE(checksum(out, body), checksumAt);
  body.copy(out, headerBytes);
  return out;
}

function startsFrame(file: Buffer, number: number, offset: number): boolean {
  return (
    offset + headerBytes <= file.length &&
    file.subarray(offset, offset + magic.length).equals(magic) &&
    file.readUInt32LE(offset + numberAt) === number &&
    file.readUInt32LE(offset + offsetAt) === offset
  );
}

function decodeFrame(file: Buffer, number: number, offset: number): Frame | null {
  if (!startsFrame(file, number, offset)) return null;
  const length = file.readUInt32LE(offset + lengthAt);
  const end = offset + headerBytes + length;
  if (length > maxBodyBytes || end > file.length) return null;
  const body = file.subarray(offset + headerBytes, end);
  const header = file.subarray(offset, offset + headerBytes);
  if (checksum(header, body) !== file.readUInt32LE(offset + checksumAt)) return null;
  const batch = batchCodec.decode(body);
  if (!batch.ok || (batch.value.head !== null) !== (offset === 0)) return null;
  return { startOffset: offset, endOffset: end, batch: batch.value };
}

function hasFrameAfter(file: Buffer, number: number, from: number): boolean {
  for (let offset = file.indexOf(magic, from); offset !== -1; offset = file.indexOf(magic, offset + 1))
    if (decodeFrame(file, number, offset) !== null) return true;
  return false;
}

/** Whether bytes begin as a segment does. */
function hasMagic(bytes: Uint8Array): boolean {
  return magic.equals(bytes.subarray(0, magic.length));
}

/** Reads the segment of the given number; what is not valid is left out, never an error. */
function read(number: number, bytes: Uint8Array): SegmentContent {
  const file = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  const frames: Frame[] = [];
  let offset = 0;
  for (let frame = decodeFrame(file, number, 0); frame !== null; frame = decodeFrame(file, number, offset)) {
    frames.push(frame);
    offset = frame.endOffset;
  }
  const isCorrupt = offset < file.length && hasFrameAfter(file, number, offset + 1);
  return { frames, validBytes: offset, totalBytes: file.length, isCorrupt };
}

export const segment = {
  fileName,
  temporaryName,
  highestNumber,
  superseded,
  filesOfKind,
  encodeFrame,
  hasMagic,
  read,
};
