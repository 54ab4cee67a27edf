/** Crowds at the operator's server of a coordinator, whose bodies are large, in small pieces, too large, or never end. */
import { test } from 'node:test';
import { fleetStandin, type Fleet } from '../standins/fleet.js';
import { playCrowd, smallestMachines } from './crowd.js';
import type { MemberPlan } from './member.js';

const net = 75;
const coordinator = 'core-2';
/** The longest order that README names. */
const legalBytes = 16 * 1024 * 1024;
const largePieceBytes = 64 * 1024;
const smallPieceBodyBytes = 1024 * 1024;
const wholeShare = 8;

type BodyPlan = Pick<MemberPlan, 'framing' | 'pieceBytes' | 'announcedBytes' | 'sentBytes'>;

function play(count: number, plan: BodyPlan): Promise<void> {
  const members = (fleet: Fleet): MemberPlan[] =>
    Array.from({ length: count }, (_, index) => ({
      ...plan,
      host: fleetStandin.ip(fleet.net, 2),
      port: fleetStandin.ports.control,
      head: 'PUT /v1/config HTTP/1.1\r\nHost: control\r\nIf-Match: 0\r\n',
      sentBytes: index % wholeShare === 0 || plan.framing === 'chunked' ? plan.sentBytes : plan.sentBytes - 1,
      sendsEnd: index % wholeShare === 0,
    }));
  return playCrowd({
    net,
    limits: smallestMachines.core,
    target: (fleet) => fleet.machines.find(({ name }) => name === coordinator)!,
    members,
    askOrdinary: async (fleet) => (await fleetStandin.operator(fleet, 2, 'GET', '/v1/config', null)).status === 200,
  });
}

test('40 orders of the greatest length in large chunks, most without their end', () =>
  play(40, { framing: 'chunked', pieceBytes: largePieceBytes, announcedBytes: legalBytes, sentBytes: legalBytes }));

test('40 orders of the greatest length, sent at once, most a byte short', () =>
  play(40, { framing: 'length', pieceBytes: legalBytes, announcedBytes: legalBytes, sentBytes: legalBytes }));

test('16 orders in chunks of one byte, most without their end', () =>
  play(16, {
    framing: 'chunked',
    pieceBytes: 1,
    announcedBytes: smallPieceBodyBytes,
    sentBytes: smallPieceBodyBytes,
  }));

test('40 orders that announce a length far over the limit', () =>
  play(40, {
    framing: 'length',
    pieceBytes: largePieceBytes,
    announcedBytes: 4 * legalBytes,
    sentBytes: 2 * legalBytes,
  }));
