/** Which connection of a server gives way when there is one too many. */
import { strict as assert } from 'node:assert';
import { once } from 'node:events';
import { createServer, type Server, type ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { test } from 'node:test';
import { connectionLimit, type ConnectionCounters } from '../src/transport/http/connection-limit.js';

const host = '127.78.11.1';
const port = 7001;
const maxConnections = 3;

type World = { server: Server; counters: ConnectionCounters; pending: ServerResponse[] };

/** Answers `/now` at once; requests for `/later` wait in `pending`. */
async function listen(): Promise<World> {
  const pending: ServerResponse[] = [];
  const server = createServer((request, response) => {
    request.resume();
    if (request.url === '/now') response.end('ok');
    else pending.push(response);
  });
  const counters = connectionLimit.apply(server, maxConnections);
  await new Promise<void>((done) => server.listen(port, host, done));
  return { server, counters, pending };
}

async function close({ server }: World): Promise<void> {
  server.closeAllConnections();
  await new Promise((done) => server.close(done));
}

async function open(world: World): Promise<Socket> {
  const accepted = once(world.server, 'connection');
  const socket = connect({ host, port });
  socket.on('error', () => {
    /* told by close */
  });
  socket.resume();
  await Promise.all([once(socket, 'connect'), accepted]);
  return socket;
}

async function ask(world: World, socket: Socket, path: string, more = '\r\n'): Promise<void> {
  const requested = once(world.server, 'request');
  socket.write(`POST ${path} HTTP/1.1\r\nHost: h\r\n${more}`);
  await requested;
}

async function closed(socket: Socket): Promise<void> {
  if (!socket.closed) await once(socket, 'close');
}

test('the connection that has been idle for longest gives way', async () => {
  const world = await listen();
  const sockets = [await open(world), await open(world), await open(world)];
  await ask(world, sockets[0]!, '/now');
  await once(sockets[0]!, 'data');
  const newcomer = await open(world);
  await closed(sockets[1]!);
  assert.deepEqual([sockets[0]!.closed, sockets[2]!.closed, newcomer.closed], [false, false, false]);
  assert.deepEqual(world.counters, { peak: 3, closed: 1 });
  await close(world);
});

test('an incomplete request gives way where nobody is idle, a complete one never does', async () => {
  const world = await listen();
  const [whole, cut, otherWhole] = [await open(world), await open(world), await open(world)];
  await ask(world, whole, '/later', 'Content-Length: 0\r\n\r\n');
  await ask(world, cut, '/later', 'Content-Length: 9\r\n\r\npart');
  await ask(world, otherWhole, '/later', 'Content-Length: 0\r\n\r\n');
  const newcomer = await open(world);
  await closed(cut);
  await ask(world, newcomer, '/later', 'Content-Length: 0\r\n\r\n');
  const oneMore = await open(world);
  await closed(oneMore);
  assert.deepEqual([whole.closed, otherWhole.closed, newcomer.closed], [false, false, false]);
  assert.equal(world.counters.closed, 2);
  await close(world);
});
