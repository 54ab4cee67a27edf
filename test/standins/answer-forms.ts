/**
 * The forms that the users' pages allow a runner's answer to have, drawn at random and sent: how its end is told, where it
 * breaks off and how, what comes before and behind it. A body is a series of parts; of a stream each is an event.
 */
import type { ServerResponse } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { luck, type Luck } from '../support/random.js';

/** How the end of the body is told; `none`: by the end of the connection. */
export type AnswerFraming = 'length' | 'chunks' | 'none';

/** Where an answer that breaks off does so. */
export type BreakPlace = 'in_head' | 'behind_head' | 'between_parts' | 'inside_part' | 'behind_last_byte';

export type AnswerForm = {
  framing: AnswerFraming;
  httpVersion: '1.1' | '1.0';
  status: number;
  interim: 'none' | '102' | '103';
  hasTrailers: boolean;
  /** Null for an answer that comes whole. */
  broken: { place: BreakPlace; how: 'fin' | 'reset' } | null;
  /** What follows a whole answer on its connection. */
  extra: 'none' | 'second_response' | 'bytes';
  /** Between two parts, in ms. */
  gapMs: number;
  /** Once, before some part, in ms. */
  stallMs: number;
};

/** An answer to be sent. `parts` is its whole body. */
export type FormedAnswer = { form: AnswerForm; headers: Record<string, string>; parts: string[] };

/** `isWhole`: the runner sent all of it and told its end; `isCancelled`: the caller was gone before that. */
export type AnswerOutcome = { isWhole: boolean; isCancelled: boolean };

const places: BreakPlace[] = ['in_head', 'behind_head', 'between_parts', 'inside_part', 'behind_last_byte'];
/** Short ones, and one beyond the deadlines of clients and routes, in ms. */
const stallsMs = [400, 400, 5000];
const headEnd = '\r\n\r\n';
/** What was written is read before the connection is reset, in ms. */
const resetDelayMs = 30;

/** The form of a runner in no trouble: whole, at once. */
const plain: AnswerForm = {
  framing: 'chunks',
  httpVersion: '1.1',
  status: 200,
  interim: 'none',
  hasTrailers: false,
  broken: null,
  extra: 'none',
  gapMs: 0,
  stallMs: 0,
};

/**
 * An orderly end between two parts of a body without a length can't be told from its end (`docs/questions.md`, 9), and
 * with a length there is nothing behind the last byte: these are no breaks.
 */
function isVisibleBreak(framing: AnswerFraming, { place, how }: NonNullable<AnswerForm['broken']>): boolean {
  const isBetween = place === 'between_parts' || place === 'behind_last_byte';
  if (framing === 'none') return how === 'reset' || !isBetween;
  return framing === 'chunks' || place !== 'behind_last_byte';
}

function drawBreak(source: Luck, framing: AnswerFraming, isStream: boolean): AnswerForm['broken'] {
  const broken = { place: luck.pick(source, places), how: luck.pick(source, ['fin', 'reset'] as const) };
  // Without a length, a body that is no stream ends wherever its connection does.
  const isUndetectable = !isStream && framing === 'none' && broken.how === 'fin' && broken.place !== 'in_head';
  return isVisibleBreak(framing, broken) && !isUndetectable ? broken : null;
}

/** Draws a form; `brokenShare` of the answers break off. */
function draw(source: Luck, isStream: boolean, brokenShare: number): AnswerForm {
  const framing = luck.pick(source, ['length', 'chunks', 'chunks', 'none'] as const);
  const isOld = framing !== 'chunks' && luck.next(source) < 0.2;
  const isBroken = luck.next(source) < brokenShare;
  const broken = isBroken ? drawBreak(source, framing, isStream) : null;
  return {
    framing,
    httpVersion: isOld ? '1.0' : '1.1',
    status: luck.next(source) < 0.02 ? 500 : 200,
    interim: isOld ? 'none' : luck.pick(source, ['none', 'none', 'none', '102', '103'] as const),
    hasTrailers: framing === 'chunks' && luck.next(source) < 0.1,
    broken,
    extra:
      framing === 'none' ? 'none' : luck.pick(source, [...Array<'none'>(18).fill('none'), 'second_response', 'bytes']),
    gapMs: luck.pick(source, [0, 2, 10, 25]),
    stallMs: luck.next(source) < 0.03 ? luck.pick(source, stallsMs) : 0,
  };
}

function headOf({ form, headers, parts }: FormedAnswer): string {
  const interims: Record<AnswerForm['interim'], string> = {
    none: '',
    '102': `HTTP/1.1 102 Processing${headEnd}`,
    '103': `HTTP/1.1 103 Early Hints${headEnd}`,
  };
  const length = parts.reduce((sum, part) => sum + Buffer.byteLength(part), 0);
  const framings: Record<AnswerFraming, Record<string, string>> = {
    length: { 'Content-Length': String(length) },
    chunks: { 'Transfer-Encoding': 'chunked', ...(form.hasTrailers ? { Trailer: 'X-Sum' } : {}) },
    none: {},
  };
  const closing: Record<string, string> = staysOpen(form) ? {} : { Connection: 'close' };
  const fields: Record<string, string> = { ...headers, ...framings[form.framing], ...closing };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${interims[form.interim]}HTTP/${form.httpVersion} ${form.status} Drawn\r\n${lines.join('')}\r\n`;
}

/** Whether the connection may carry another request; broken answers don't announce their end. */
function staysOpen({ framing, httpVersion, broken, extra }: AnswerForm): boolean {
  if (framing === 'none') return false;
  return broken !== null || extra !== 'none' || httpVersion === '1.1';
}

function framed(form: AnswerForm, part: string): string {
  return form.framing === 'chunks' ? `${Buffer.byteLength(part).toString(16)}\r\n${part}\r\n` : part;
}

function endOf({ framing, hasTrailers }: AnswerForm): string {
  if (framing !== 'chunks') return '';
  return hasTrailers ? '0\r\nX-Sum: 1\r\n\r\n' : '0\r\n\r\n';
}

/** What is written before the break, and the part at which that happens. */
function brokenWrites(answer: FormedAnswer, place: BreakPlace): string[] {
  const { form, parts } = answer;
  const head = headOf(answer);
  const middle = Math.floor(parts.length / 2);
  const firstHalf = parts.slice(0, middle).map((part) => framed(form, part));
  switch (place) {
    case 'in_head':
      return [head.slice(0, Math.floor(head.length / 2))];
    case 'behind_head':
      return [head];
    case 'between_parts':
      return [head, ...firstHalf];
    case 'inside_part': {
      const part = framed(form, parts[middle] ?? '');
      return [head, ...firstHalf, part.slice(0, Math.floor(part.length / 2))];
    }
    case 'behind_last_byte':
      return [head, ...parts.map((part) => framed(form, part))];
  }
}

function extraOf({ extra }: AnswerForm): string {
  if (extra === 'second_response') return 'HTTP/1.1 200 OK\r\nX-Attempt-Id: late\r\nContent-Length: 5\r\n\r\nextra';
  return extra === 'bytes' ? 'bytes that belong to nothing' : '';
}

/**
 * Sends an answer on the connection of `response`, past Node's own framing; the connection serves no further request
 * afterwards. Resolves when the runner is done with it.
 */
async function send(response: ServerResponse, answer: FormedAnswer): Promise<AnswerOutcome> {
  const { socket } = response;
  const { form, parts } = answer;
  if (socket === null || socket.destroyed) return { isWhole: false, isCancelled: true };
  const writes = form.broken
    ? brokenWrites(answer, form.broken.place)
    : [headOf(answer), ...parts.map((part) => framed(form, part))];
  const stalledAt = Math.floor(writes.length / 2);
  for (const [position, text] of writes.entries()) {
    if (position > 1 && form.gapMs > 0) await sleep(form.gapMs);
    if (position === stalledAt && form.stallMs > 0) await sleep(form.stallMs);
    if (socket.destroyed) return { isWhole: false, isCancelled: true };
    socket.write(text);
  }
  if (form.broken === null) {
    socket.end(endOf(form) + extraOf(form));
    return { isWhole: true, isCancelled: false };
  }
  if (form.broken.how === 'reset') {
    await sleep(resetDelayMs);
    socket.resetAndDestroy();
  } else socket.end();
  return { isWhole: false, isCancelled: false };
}

/** Answers drawn from all forms. */
export const answerForms = { plain, draw, send };
