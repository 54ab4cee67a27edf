// Frames records for the log's files: length, checksum, then the record itself. Reading stops at the
// first frame that is short or whose checksum does not fit, and says where that was.
import { crc32 } from 'node:zlib';
import { Packr } from 'msgpackr';

const packr = new Packr({ useRecords: false });
const head = 8;
const longest = 64 * 1024 * 1024;

function frame(value: unknown): Buffer {
  const body = packr.pack(value);
  const out = Buffer.allocUnsafe(head + body.length);
  out.writeUInt32LE(body.length, 0);
  out.writeUInt32LE(crc32(body), 4);
  body.copy(out, head);
  return out;
}

function readAll(file: Buffer): { values: unknown[]; good: number; torn: boolean } {
  const values: unknown[] = [];
  let at = 0;
  while (at + head <= file.length) {
    const len = file.readUInt32LE(at);
    const end = at + head + len;
    if (len === 0 || len > longest || end > file.length) break;
    const body = file.subarray(at + head, end);
    if (crc32(body) !== file.readUInt32LE(at + 4)) break;
    try {
      values.push(packr.unpack(body));
    } catch {
      break;
    }
    at = end;
  }
  return { values, good: at, torn: at < file.length };
}

export const records = { frame, readAll };
