/**
 * The header fields that clients, the system and runners exchange: their names as the protocol gives them, how
 * those with a structure are read, and which may pass from one side to the other.
 */

/** A block of a prompt that may be cached: its identity and its length in tokens. */
export type PrefixBlock = { id: string; tokens: number };

/** Tokens of the prompt, and the most that the answer may have. */
export type TokenCounts = { prompt: number; maxOutput: number };

/** In lower case, as Node reads them. */
export const headerNames = {
  attemptId: 'x-attempt-id',
  timeLeftMs: 'x-time-left-ms',
  promptPrefix: 'x-prompt-prefix',
  lastEventId: 'last-event-id',
  serverSeal: 'x-server-seal',
  tenant: 'x-tenant',
  expectInstance: 'x-expect-instance',
  notRun: 'x-not-run',
  retryAfter: 'retry-after',
  instance: 'x-instance',
  model: 'x-model',
  tokenCounts: 'x-token-counts',
  cacheNamespace: 'x-cache-salt',
  urgency: 'x-urgency',
  kvFetchFrom: 'x-kv-fetch-from',
  kvSaveTo: 'x-kv-save-to',
  weightVersions: 'x-weight-versions',
  expectVersion: 'x-expect-version',
  apiKey: 'x-api-key',
} as const;

/** Fields of one connection (RFC 9110, section 7.6.1), and those that Node sets for each message itself. */
const hopByHop = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);

/** Fields that only the system may set on a request to a runner. */
const systemOnly = new Set<string>([
  headerNames.timeLeftMs,
  headerNames.tenant,
  headerNames.expectInstance,
  headerNames.cacheNamespace,
  headerNames.urgency,
  headerNames.kvFetchFrom,
  headerNames.kvSaveTo,
  headerNames.expectVersion,
  headerNames.apiKey,
]);

/** "id:tokens" items with commas between; the list is empty if one of them can't be read. */
function parsePrefixBlocks(raw: string | undefined): PrefixBlock[] {
  if (!raw) return [];
  const blocks: PrefixBlock[] = [];
  for (const item of raw.split(',')) {
    const match = /^\s*([0-9a-fA-F]+):(\d+)\s*$/.exec(item);
    if (!match) return [];
    blocks.push({ id: match[1]!, tokens: Number(match[2]) });
  }
  return blocks;
}

/** "prompt,output" in tokens; null when missing or not readable. */
function parseTokenCounts(raw: string | undefined): TokenCounts | null {
  const match = /^\s*(\d+)\s*,\s*(\d+)\s*$/.exec(raw ?? '');
  return match ? { prompt: Number(match[1]), maxOutput: Number(match[2]) } : null;
}

/** Milliseconds of 0 or more, with or without decimals; null when missing or not readable. */
function parseDurationMs(raw: string | string[] | undefined): number | null {
  return typeof raw === 'string' && /^\s*\d+(\.\d*)?\s*$/.test(raw) ? Number(raw) : null;
}

function connectionFields(connection: string | undefined): Set<string> {
  const fields = new Set(hopByHop);
  for (const name of (connection ?? '').split(',')) if (name.trim()) fields.add(name.trim().toLowerCase());
  return fields;
}

/** Names and values in turn, as Node's `rawHeaders`, without those that `isDropped` names in lower case. */
function without(raw: string[], isDropped: (name: string) => boolean): string[] {
  const passed: string[] = [];
  for (let i = 0; i + 1 < raw.length; i += 2) if (!isDropped(raw[i]!.toLowerCase())) passed.push(raw[i]!, raw[i + 1]!);
  return passed;
}

/**
 * The client's fields as they go on to a runner: without those of one connection and those that only the system
 * may set.
 */
function requestHeaders(raw: string[], connection: string | undefined): string[] {
  const dropped = connectionFields(connection);
  return without(raw, (name) => dropped.has(name) || systemOnly.has(name));
}

/** A runner's fields as they go back to the client; the length stays when there is one. */
function responseHeaders(raw: string[], connection: string | undefined): string[] {
  const dropped = connectionFields(connection);
  dropped.delete('content-length');
  return without(raw, (name) => dropped.has(name));
}

/**
 * The revision of `model` among "label=3" or "label:3" pairs, or a bare number for the one model that was requested;
 * null when missing or not readable.
 */
function parseWeightVersion(raw: string | undefined, model: string): number | null {
  if (!raw) return null;
  const bare = /^\s*(\d+)\s*$/.exec(raw);
  if (bare) return Number(bare[1]);
  for (const item of raw.split(/[,;]/)) {
    const match = /^\s*([^=:\s]+)\s*[=:]\s*(\d+)\s*$/.exec(item);
    if (match && match[1] === model) return Number(match[2]);
  }
  return null;
}

export const httpHeaders = {
  parsePrefixBlocks,
  parseTokenCounts,
  parseDurationMs,
  requestHeaders,
  responseHeaders,
  parseWeightVersion,
};
