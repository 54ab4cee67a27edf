/**
 * The clients of a soak. Each keeps its connection and goes on using it until the process at its other end is gone, whatever
 * that process was told; some requests come on new connections. Forms of requests are drawn: body with a length or in
 * chunks, slow, names of headers in any case, clients that leave at some stage.
 */
import { request, Agent, type ClientRequest, type IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { luck, type Luck } from '../support/random.js';
import { lastingPrefixes, passingPrefixes, soakHost, soakModel, type SoakDocument } from './configurations.js';
import type { Answered, Recorder, RequestSent } from './history.js';

export type RouterTarget = { name: string; host: string; port: number; readyPort: number };

/** What a client sends. `leavesAfterMs`: it closes its connection then, if the answer has not ended. */
type DrawnRequest = Omit<RequestSent, 'kind' | 'at' | 'router' | 'isOnKeptConnection'> & {
  isChunked: boolean;
  pauseMs: number;
  leavesAfterMs: number | null;
  hasUpperCaseNames: boolean;
  isOnNewConnection: boolean;
};

const probeIntervalMs = 1000;
/** Further misses than this take a router out of the rotation. */
const toleratedMisses = 1;
/** On both sides of the routes' `deadline_ms`. */
const timesLeftMs = [3500, 3500, 6000];
/** Past every deadline: it only ends what nobody answers. */
const abandonMs = 12_000;
const sharedBlocks = Array.from({ length: 14 }, (_, index) => `b${index.toString(16)}`);
/** Four fifths of `idle_ms`, the longest time for which clients let a connection rest. */
const longestRestMs = 12_000;
const longRestShare = 0.004;

/** Which routers new connections go to, as the platform tells by their ready probe. */
class Rotation {
  readonly #misses = new Map<string, number>();
  isStopped = false;

  constructor(readonly routers: RouterTarget[]) {
    for (const router of routers) void this.#probe(router);
  }

  pick(source: Luck): RouterTarget {
    const ready = this.routers.filter((router) => (this.#misses.get(router.name) ?? 0) <= toleratedMisses);
    return luck.pick(source, ready.length * 2 < this.routers.length ? this.routers : ready);
  }

  async #probe(router: RouterTarget): Promise<void> {
    while (!this.isStopped) {
      const isReady = await probe(router);
      this.#misses.set(router.name, isReady ? 0 : (this.#misses.get(router.name) ?? 0) + 1);
      await sleep(probeIntervalMs);
    }
  }
}

function probe({ host, readyPort }: RouterTarget): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = request({ host, port: readyPort, path: '/v1/ready', agent: false, timeout: probeIntervalMs });
    outgoing.on('response', (response) => {
      response.resume();
      resolve(response.statusCode === 200);
    });
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => resolve(false));
    outgoing.end();
  });
}

export class Workload {
  readonly #rotation: Rotation;
  #isStopped = false;
  #requestCount = 0;
  #running: Promise<void>[] = [];

  /** `document` gives the newest configuration, from which clients have their keys. */
  constructor(
    readonly recorder: Recorder,
    readonly routers: RouterTarget[],
    readonly document: () => SoakDocument,
  ) {
    this.#rotation = new Rotation(routers);
  }

  /** Starts clients that rest for up to `mostRestMs` between two requests. */
  start(seed: number, clientCount: number, mostRestMs: number): void {
    for (let client = 0; client < clientCount; client++)
      this.#running.push(this.#runClient(luck.create(seed * 1000 + client), mostRestMs));
  }

  /** Resolves when all requests have their answers. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    this.#rotation.isStopped = true;
    await Promise.all(this.#running);
  }

  async #runClient(source: Luck, mostRestMs: number): Promise<void> {
    let agent = new Agent({ keepAlive: true, maxSockets: 1 });
    let router = this.#rotation.pick(source);
    while (!this.#isStopped) {
      const drawn = this.#draw(source);
      const isAlone = drawn.isOnNewConnection;
      const target = isAlone ? this.#rotation.pick(source) : router;
      const answer = await this.#send(drawn, target, isAlone ? false : agent);
      const hasLost = answer === null || answer.status === 0 || !answer.isComplete;
      if (!isAlone && hasLost) {
        agent.destroy();
        agent = new Agent({ keepAlive: true, maxSockets: 1 });
        router = this.#rotation.pick(source);
      }
      const isLongRest = luck.next(source) < longRestShare;
      await sleep(luck.below(source, isLongRest ? longestRestMs : mostRestMs));
    }
    agent.destroy();
  }

  #draw(source: Luck): DrawnRequest {
    const { repeat, once, resume, stream } = lastingPrefixes;
    const prefixes = [repeat, repeat, once, once, resume, resume, resume, stream, luck.pick(source, passingPrefixes)];
    const prefix = luck.pick(source, prefixes);
    const tenants = this.document().tenant_list;
    const id = `q${(++this.#requestCount).toString(36)}-${luck.below(source, 2 ** 30).toString(36)}`;
    const start = luck.below(source, sharedBlocks.length - 3);
    const shared = sharedBlocks.slice(start, start + 1 + luck.below(source, 3)).map((block) => `${block}:600`);
    const headers = {
      model: soakModel,
      tokenCounts: `${shared.length * 600 + 40},20`,
      prefix: [...shared, `${luck.below(source, 2 ** 30).toString(16)}f:40`].join(','),
    };
    return {
      id,
      method: 'POST',
      path: `${prefix}${luck.below(source, 1000).toString(36)}${luck.next(source) < 0.2 ? '?n=%41&n=2' : ''}`,
      body: 'prompt '.repeat(1 + luck.below(source, luck.next(source) < 0.05 ? 40_000 : 30)),
      key: tenants.length > 0 ? luck.pick(source, luck.pick(source, tenants).api_keys) : null,
      headers,
      timeLeftMs: luck.pick(source, timesLeftMs),
      lastEventId: prefix === resume && luck.next(source) < 0.1 ? 1 : 0,
      isChunked: luck.next(source) < 0.4,
      pauseMs: luck.next(source) < 0.05 ? luck.below(source, 300) : 0,
      leavesAfterMs: luck.next(source) < 0.05 ? luck.below(source, 200) : null,
      hasUpperCaseNames: luck.next(source) < 0.3,
      isOnNewConnection: luck.next(source) < 0.3,
    };
  }

  #headersOf(drawn: DrawnRequest): Record<string, string> {
    const { id, key, headers, timeLeftMs, lastEventId, body } = drawn;
    const all: Record<string, string> = {
      Host: soakHost,
      'X-Attempt-Id': id,
      'X-Model': headers.model,
      'X-Token-Counts': headers.tokenCounts,
      'X-Prompt-Prefix': headers.prefix,
      'X-Time-Left-Ms': String(timeLeftMs),
      ...(key === null ? {} : { 'X-Api-Key': key }),
      ...(lastEventId > 0 ? { 'Last-Event-Id': String(lastEventId) } : {}),
      ...(drawn.isChunked ? { 'Transfer-Encoding': 'chunked' } : { 'Content-Length': String(body.length) }),
    };
    if (!drawn.hasUpperCaseNames) return all;
    return Object.fromEntries(Object.entries(all).map(([name, value]) => [name.toUpperCase(), value]));
  }

  /** Sends one request; null if the client left before it had an answer. */
  #send(drawn: DrawnRequest, router: RouterTarget, agent: Agent | false): Promise<Answered | null> {
    const { recorder } = this;
    const { id, method, path, body, key, headers, timeLeftMs, lastEventId } = drawn;
    return new Promise((resolve) => {
      const outgoing = request({
        host: router.host,
        port: router.port,
        agent,
        method,
        path,
        headers: this.#headersOf(drawn),
      });
      const exchange = new Exchange(recorder, id, outgoing, resolve);
      const sent = { id, method, path, body, key, headers, timeLeftMs, lastEventId, router: router.name };
      const at = recorder.now();
      recorder.record({ kind: 'request_sent', at, ...sent, isOnKeptConnection: false });
      const event = recorder.events.at(-1) as RequestSent;
      outgoing.on('socket', () => {
        event.isOnKeptConnection = outgoing.reusedSocket;
      });
      outgoing.on('finish', () => recorder.record({ kind: 'request_written', at: recorder.now(), id }));
      void exchange.writeBody(body, drawn.pauseMs);
      if (drawn.leavesAfterMs !== null) exchange.leaveAfter(drawn.leavesAfterMs);
    });
  }
}

/** One request on its connection, until its answer or the end of the connection. */
class Exchange {
  readonly #sentAt: number;
  readonly #timers: NodeJS.Timeout[] = [];
  #isOver = false;
  #firstByteMs: number | null = null;

  constructor(
    readonly recorder: Recorder,
    readonly id: string,
    readonly outgoing: ClientRequest,
    readonly resolve: (answer: Answered | null) => void,
  ) {
    this.#sentAt = recorder.now();
    outgoing.on('response', (response) => this.#read(response));
    outgoing.on('error', () => this.#finish(this.#answer(null, '', false)));
    this.#timers.push(setTimeout(() => this.#leave(), abandonMs));
  }

  async writeBody(body: string, pauseMs: number): Promise<void> {
    if (pauseMs > 0) {
      this.outgoing.write(body.slice(0, body.length / 2));
      await sleep(pauseMs);
      if (!this.outgoing.destroyed) this.outgoing.end(body.slice(body.length / 2));
    } else this.outgoing.end(body);
  }

  leaveAfter(ms: number): void {
    this.#timers.push(setTimeout(() => this.#leave(), ms));
  }

  #leave(): void {
    if (this.#isOver) return;
    this.recorder.record({ kind: 'client_left', at: this.recorder.now(), id: this.id });
    this.#finish(null);
    this.outgoing.destroy();
  }

  #read(response: IncomingMessage): void {
    let body = '';
    response.on('data', (bytes) => {
      this.#firstByteMs ??= this.recorder.now() - this.#sentAt;
      body += String(bytes);
    });
    response.on('error', () => {
      /* told by close */
    });
    response.on('close', () => this.#finish(this.#answer(response, body, response.complete)));
  }

  #answer(response: IncomingMessage | null, body: string, isComplete: boolean): Answered {
    return {
      kind: 'answered',
      at: this.recorder.now(),
      id: this.id,
      status: response?.statusCode ?? 0,
      seal: headerText(response, 'x-server-seal'),
      echoedId: headerText(response, 'x-attempt-id'),
      body,
      isComplete,
      firstByteMs: this.#firstByteMs,
    };
  }

  #finish(answer: Answered | null): void {
    if (this.#isOver) return;
    this.#isOver = true;
    for (const timer of this.#timers) clearTimeout(timer);
    if (answer) this.recorder.record(answer);
    this.resolve(answer);
  }
}

function headerText(response: IncomingMessage | null, name: string): string | null {
  const value = response?.headers[name];
  return typeof value === 'string' ? value : null;
}
