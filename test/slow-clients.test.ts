/**
 * Clients that are slow or rest, by the operator's `limits`. Guards against connections that a client who sends nothing more
 * holds for ever, and against a close that meets a request on a connection which the limits allow to rest.
 */
import { strict as assert } from 'node:assert';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { after, before, test } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { clientServer } from '../src/dataplane/client-server.js';
import { routeTable } from '../src/state/control/route-table.js';
import { routerStandin as router, type RouterWorld } from './standins/router.js';

const limits = { header_bytes: 8192, body_bytes: 10_000, header_ms: 400, idle_ms: 2500 };
/** The share of `idle_ms` after which clients may still use a connection (`hardening/LATER.md`). */
const restShare = 0.8;

let world: RouterWorld;

before(async () => {
  world = await router.create(10, 1);
  const document = { ...world.router.configuration!.document, limits };
  world.router.configuration = { document, routeTable: routeTable.build(document) };
  clientServer.applyLimits(world.router, world.server);
});

after(() => router.stop(world));

async function open(): Promise<{ socket: Socket; received: () => string }> {
  const socket = connect(router.frontPort, `127.78.${world.net}.1`);
  let text = '';
  socket.on('data', (bytes) => {
    text += bytes.toString('latin1');
  });
  await once(socket, 'connect');
  return { socket, received: () => text };
}

function head(id: string): string {
  return `POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: ${id}\r\nContent-Length: 4\r\n`;
}

test('a head that does not come within header_ms is answered 408, and the connection ends', async () => {
  const { socket, received } = await open();
  socket.write(head('slow'));
  await once(socket, 'close');
  assert.match(received(), /^HTTP\/1\.1 408 /);
  assert.equal(router.callsOf(world, 'slow').length, 0);
});

test('a head in pieces that comes within header_ms is served', async () => {
  const { socket, received } = await open();
  for (const letter of head('pieces').match(/.{1,20}/gs)!) {
    socket.write(letter);
    await sleep(5);
  }
  socket.write('\r\nbody');
  await once(socket, 'data');
  assert.match(received(), /^HTTP\/1\.1 200 /);
  socket.destroy();
});

test('a connection that has rested for four fifths of idle_ms serves the next request', async () => {
  const { socket, received } = await open();
  for (const id of ['before', 'behind']) {
    socket.write(`${head(id)}\r\nbody`);
    await once(socket, 'data');
    await sleep(id === 'before' ? limits.idle_ms * restShare : 0);
  }
  assert.equal(received().match(/HTTP\/1\.1 200 /g)?.length, 2);
  assert.equal(router.callsOf(world, 'behind').length, 1);
  socket.destroy();
});
