/** Reads the body of an RPC request within bounds, and tells the caller of a bulk call that its bytes arrive. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestIdentity } from './call-identity.js';

/** `aborted`: the connection ended before the request did. */
export type RequestBody = { kind: 'complete'; bytes: Buffer } | { kind: 'oversized' } | { kind: 'aborted' };

/** How much of an oversized body is read and thrown away before its connection is destroyed. */
const maxDiscardedBytes = 64 * 1024 * 1024;
/** The shortest time between two interim responses to a bulk call, in milliseconds. */
const progressIntervalMs = 100;

/** Reads a body of at most `maxBytes`; calls `onProgress` for each chunk. Never rejects. */
function read(request: IncomingMessage, maxBytes: number, onProgress: () => void): Promise<RequestBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    request.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes <= maxBytes) chunks.push(chunk);
      else chunks.length = 0;
      if (receivedBytes > maxDiscardedBytes) request.destroy();
      else onProgress();
    });
    request.on('end', () => {
      resolve(receivedBytes <= maxBytes ? { kind: 'complete', bytes: Buffer.concat(chunks) } : { kind: 'oversized' });
    });
    request.on('close', () => {
      resolve({ kind: 'aborted' });
    });
    request.on('error', () => {
      resolve({ kind: 'aborted' });
    });
  });
}

/**
 * Returns a function that sends the caller of a bulk call an interim response (102 Processing, RFC 2518, 10.1) now and
 * then: socket buffers hide from it that its bytes arrive. Does nothing on the control channel.
 */
function progressNotifier(response: ServerResponse, call: RequestIdentity): () => void {
  let notifiedAt = performance.now();
  return () => {
    const now = performance.now();
    if (call.channel !== 'bulk' || now - notifiedAt < progressIntervalMs || response.destroyed) return;
    notifiedAt = now;
    response.writeProcessing();
  };
}

export const requestBody = { read, progressNotifier };
