/** Crowds of connections: more than a machine has descriptors, without a request or with one that never ends. */
import { test } from 'node:test';
import { fleetStandin, type Fleet } from '../standins/fleet.js';
import { playCrowd, smallestMachines, usualClientLimits, type MachineLimits } from './crowd.js';
import type { MemberPlan } from './member.js';

const net = 76;
/** 200 descriptors are kept for files; the rest are for sockets. */
const fewDescriptors: MachineLimits = { ...smallestMachines.edge, max_fds: 400 };
const connectionCount = 600;
const routerHost = 11;
let lastId = 0;

async function askOrdinary(fleet: Fleet): Promise<boolean> {
  const headers = { 'X-Api-Key': 'key-one', 'X-Attempt-Id': `ordinary-${++lastId}` };
  const { status, isComplete } = await fleetStandin.client(fleet, 1, headers);
  return status === 200 && isComplete;
}

async function askReady(fleet: Fleet): Promise<boolean> {
  return (await fleetStandin.ready(fleet, 1)).status === 200;
}

function play(port: number, plan: Pick<MemberPlan, 'head' | 'announcedBytes'>, ask = askOrdinary): Promise<void> {
  const members = (fleet: Fleet): MemberPlan[] =>
    Array.from({ length: connectionCount }, () => ({
      ...plan,
      host: fleetStandin.ip(fleet.net, routerHost),
      port,
      framing: 'length',
      pieceBytes: 1,
      sentBytes: 0,
      sendsEnd: false,
    }));
  return playCrowd({
    net,
    limits: fewDescriptors,
    clientLimits: { ...usualClientLimits, header_ms: 60_000, idle_ms: 60_000 },
    target: (fleet) => fleet.machines.find(({ name }) => name === 'edge-1')!,
    members,
    askOrdinary: ask,
  });
}

const head = 'POST /gen/x HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: key-two\r\n';
const readyHead = 'GET /v1/ready HTTP/1.1\r\nHost: ready\r\n';

test('600 connections that stop before their body', () =>
  play(fleetStandin.ports.client, { head: `${head}X-Attempt-Id: crowd\r\n`, announcedBytes: 1000 }));

test('600 connections that rest after a request was answered', () =>
  play(fleetStandin.ports.client, { head: 'GET /nowhere HTTP/1.1\r\nHost: a.example\r\n', announcedBytes: 0 }));

test('600 connections to the readiness probe that rest after an answer', () =>
  play(fleetStandin.ports.ready, { head: readyHead, announcedBytes: 0 }, askReady));

test('600 connections to the readiness probe that stop before their body', () =>
  play(fleetStandin.ports.ready, { head: readyHead, announcedBytes: 1000 }, askReady));
