/**
 * The operator of a soak: sends drawn changes to the coordinators, each again and unchanged until its answer is clear, and
 * reads the configuration back. What was sent and answered goes into the history.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { luck, type Luck } from '../support/random.js';
import { sendRequest, type HttpResult } from '../standins/http-request.js';
import { soakConfigurations, soakModel, type SoakDocument } from './configurations.js';
import type { Recorder } from './history.js';
import type { ChangeKind } from './schedule.js';

export type ControlNode = { name: string; host: string; port: number };

/** An order in the form in which it is sent, again and again. */
type Order = {
  id: string;
  method: 'PUT' | 'PATCH';
  base: number;
  revision: number;
  body: string;
  isValid: boolean;
  document: SoakDocument;
};

const clearStatuses = [200, 400, 409, 412, 413, 422];
const leastPauseMs = 50;
const mostPauseMs = 800;
const mostRedirects = 2;
/** Callers turn to another node after a second without an answer. */
const callTimeoutMs = 1000;

export class SoakOperator {
  /** The newest configuration that this operator knows to be in force. */
  current: SoakDocument;
  isEnding = false;
  /** Called when weights were acknowledged. */
  onWeightsNamed: (revision: number) => void = () => undefined;
  #orderCount = 0;
  #weightsRevision = 1;
  #queue: Promise<void> = Promise.resolve();

  constructor(
    readonly recorder: Recorder,
    readonly nodes: ControlNode[],
    initial: SoakDocument,
    readonly source: Luck,
  ) {
    this.current = initial;
  }

  /** Brings the first configuration into force. */
  async begin(): Promise<void> {
    const order = this.#order('PUT', 0, this.current);
    await this.#untilClear(order);
  }

  /** One change on top of the newest configuration. Changes are made one after another. */
  change(kind: ChangeKind, draw: number, isWhole: boolean): void {
    this.#enqueue(async () => {
      const source = luck.create(draw);
      const after = soakConfigurations.changed(this.current, kind, source);
      if (after === null) return;
      await this.#untilClear(this.#order(isWhole ? 'PUT' : 'PATCH', this.current.revision, this.#next(after, source)));
    });
  }

  /** Several orders at once on one base, of which one at most may win. */
  race(count: number, draw: number): void {
    this.#enqueue(async () => {
      const source = luck.create(draw);
      const kinds: ChangeKind[] = ['rotate_key', 'toggle_isolation', 'move_route', 'change_numbers'];
      const base = this.current;
      const orders: Order[] = [];
      for (let i = 0; i < count; i++) {
        const after = soakConfigurations.changed(base, luck.pick(source, kinds), source);
        if (after === null) continue;
        const order = this.#order('PUT', base.revision, this.#next(after, source, base.revision));
        // The same bytes on the same base are the same order, which is acknowledged as often as it is sent.
        if (!orders.some(({ body }) => body === order.body)) orders.push(order);
      }
      await Promise.all(orders.map((order) => this.#untilClear(order)));
    });
  }

  /** An order that must be refused. */
  invalidOrder(draw: number): void {
    this.#enqueue(async () => {
      const value = soakConfigurations.invalid(this.#next(this.current, luck.create(draw)), luck.create(draw));
      const order = this.#order('PUT', this.current.revision, this.current, false);
      await this.#untilClear({ ...order, body: JSON.stringify(value) });
    });
  }

  /** Names the next weights, sent again until they are acknowledged. */
  nameWeights(): void {
    this.#enqueue(async () => {
      const revision = ++this.#weightsRevision;
      const body = JSON.stringify({ model_name: soakModel, revision });
      const reply = await this.#until(
        () => this.#call('POST', '/v1/version-put', {}, body),
        ({ status }) => status === 200,
      );
      if (!reply) return;
      this.recorder.record({ kind: 'weights_named', at: this.recorder.now(), model: soakModel, revision });
      this.onWeightsNamed(revision);
    });
  }

  /** One read at one node, whatever comes. */
  async read(node: ControlNode, isFinal = false): Promise<HttpResult> {
    const sentAt = this.recorder.now();
    const reply = await sendRequest(node.host, node.port, 'GET', '/v1/config', {}, '', false, callTimeoutMs);
    const document = reply.status === 200 && reply.isComplete ? reply.body : null;
    const at = this.recorder.now();
    this.recorder.record({
      kind: 'configuration_read',
      sentAt,
      at,
      node: node.name,
      status: reply.status,
      document,
      isFinal,
    });
    return reply;
  }

  /** Resolves when all orders have been answered or given up. */
  whenIdle(): Promise<void> {
    return this.#queue;
  }

  #enqueue(work: () => Promise<void>): void {
    this.#queue = this.#queue.then(work);
  }

  #next(document: SoakDocument, source: Luck, base = this.current.revision): SoakDocument {
    return { ...document, revision: base + 1 + luck.below(source, 3) };
  }

  #order(method: Order['method'], base: number, document: SoakDocument, isValid = true): Order {
    const id = `order-${++this.#orderCount}`;
    const body = method === 'PUT' ? document : soakConfigurations.patchBetween(this.current, document);
    return { id, method, base, revision: document.revision, body: JSON.stringify(body), isValid, document };
  }

  async #untilClear(order: Order): Promise<void> {
    const { id, base, revision, isValid, document } = order;
    this.recorder.record({
      kind: 'order_sent',
      at: this.recorder.now(),
      order: id,
      base,
      revision,
      isValid,
      document: JSON.stringify(document),
    });
    const reply = await this.#until(
      () => this.#call(order.method, '/v1/config', { 'If-Match': String(base) }, order.body),
      ({ status }) => clearStatuses.includes(status),
    );
    if (!reply) return;
    this.recorder.record({ kind: 'order_answered', at: this.recorder.now(), order: id, status: reply.status });
    if (reply.status === 200 && isValid) this.current = document;
  }

  async #until(ask: () => Promise<HttpResult>, isClear: (reply: HttpResult) => boolean): Promise<HttpResult | null> {
    for (let pauseMs = leastPauseMs; !this.isEnding; pauseMs = Math.min(mostPauseMs, pauseMs * 2)) {
      const reply = await ask();
      if (reply.isComplete && isClear(reply)) return reply;
      await sleep(pauseMs);
    }
    return null;
  }

  /** One call to one node, with redirects followed. */
  async #call(method: string, path: string, headers: Record<string, string>, body: string): Promise<HttpResult> {
    let { host, port } = luck.pick(this.source, this.nodes);
    for (let hop = 0; ; hop++) {
      const all = { 'Content-Type': 'application/json', ...headers };
      const reply = await sendRequest(host, port, method, path, all, body, false, callTimeoutMs);
      const location = reply.headers['location'];
      if (reply.status !== 307 || typeof location !== 'string' || hop === mostRedirects) return reply;
      const target = new URL(location);
      host = target.hostname;
      port = Number(target.port);
    }
  }
}
