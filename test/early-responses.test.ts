/**
 * A runner answers before it has read a long body, keeps the connection and reads on later. Guards against other bytes where
 * the rest of that body is due, which the runner would take for it (UNASKED).
 */
import { strict as assert } from 'node:assert';
import type { Socket } from 'node:net';
import { afterEach, beforeEach, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { routerStandin as router, type RouterWorld } from './standins/router.js';

/** One connection to the runner: what it carried, and whether the runner reads on. */
type Connection = { socket: Socket; received: string };

/** More than the buffers of both ends hold. */
const bodyBytes = 8_000_000;
const pauseMs = 50;

let world: RouterWorld;
const connections: Connection[] = [];

function attemptOf(head: string): string {
  return /x-attempt-id: ([^\r]*)/i.exec(head)?.[1] ?? '';
}

function answer(attemptId: string): string {
  return `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attemptId}\r\nX-Server-Seal: seal\r\nContent-Length: 5\r\n\r\nearly`;
}

function headCount({ received }: Connection): number {
  return received.match(/POST /g)?.length ?? 0;
}

/** Answers each request as soon as its head is there, and stops to read behind the first one of a connection. */
function answerEarly(_world: RouterWorld, _runner: string, socket: Socket): void {
  const connection: Connection = { socket, received: '' };
  let answered = 0;
  connections.push(connection);
  world.sockets.add(socket);
  socket.on('error', () => {
    /* seen by what was received */
  });
  socket.on('data', (bytes) => {
    connection.received += bytes.toString('latin1');
    if (answered === 0) socket.pause();
    for (; answered < headCount(connection); answered++)
      socket.write(answer(attemptOf(connection.received.slice(connection.received.lastIndexOf('POST ')))));
  });
}

beforeEach(async () => {
  connections.length = 0;
  world = await router.create(9, 1, answerEarly);
});

afterEach(() => router.stop(world));

/** Where a body was cut on its way, and what stands in its place. */
function faultOf({ received }: Connection): string | null {
  let rest = received;
  while (rest !== '') {
    const headLength = rest.indexOf('\r\n\r\n') + 4;
    const head = rest.slice(0, headLength);
    if (!head.startsWith('POST ')) return `not a request: ${head.slice(0, 40)}`;
    const letter = attemptOf(head).slice(0, 1);
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1]);
    const body = rest.slice(headLength, headLength + length);
    if (body !== letter.repeat(body.length)) return `other bytes in the body of ${attemptOf(head)}`;
    rest = rest.slice(headLength + length);
  }
  return null;
}

for (const path of ['/repeat/x', '/once/x'])
  test(`a runner on ${path} that answers early gets the whole body, or nothing behind its first part`, async () => {
    const long = await router.send(world, path, `a${path}`, [], {}, 'a'.repeat(bodyBytes));
    assert.equal(long.status, 200);
    const short = await router.send(world, path, `b${path}`, [], {}, 'b'.repeat(1000));
    assert.equal(short.status, 200);
    for (const { socket } of connections) socket.resume();
    await sleep(pauseMs);
    assert.equal((await router.send(world, path, `c${path}`, [], {}, 'c'.repeat(1000))).status, 200);
    for (const connection of connections) assert.equal(faultOf(connection), null);
    const requests = connections.reduce((sum, connection) => sum + headCount(connection), 0);
    assert.equal(requests, 3);
  });
