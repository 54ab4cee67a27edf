/** Crowds at the clients' server of a router whose bodies are large, in small pieces, too large, or never end. */
import { test } from 'node:test';
import { fleetStandin, type Fleet } from '../standins/fleet.js';
import { playCrowd, smallestMachines, usualClientLimits, type ClientLimits } from './crowd.js';
import type { MemberPlan } from './member.js';

const net = 74;
const router = 'edge-1';
const legalBytes = usualClientLimits.body_bytes;
const oversizedBytes = 4 * legalBytes;
const announcedOversizedBytes = 16 * legalBytes;
/** With bodies in pieces of one byte the limit is lower, so that they are sent within seconds. */
const smallLimits: ClientLimits = { ...usualClientLimits, body_bytes: 262_144 };
const largePieceBytes = 64 * 1024;
/** One in so many sends its body to the end. */
const wholeShare = 8;
let lastId = 0;

type BodyPlan = Pick<MemberPlan, 'framing' | 'pieceBytes' | 'announcedBytes' | 'sentBytes'>;

function memberOf(fleet: Fleet, index: number, plan: BodyPlan): MemberPlan {
  const isWhole = index % wholeShare === 0;
  const id = `crowd-${++lastId}`;
  const head = ['POST /gen/x HTTP/1.1', 'Host: a.example', 'X-Api-Key: key-two', `X-Attempt-Id: ${id}`, ''].join(
    '\r\n',
  );
  return {
    ...plan,
    host: fleetStandin.ip(fleet.net, 11),
    port: fleetStandin.ports.client,
    head,
    sentBytes: isWhole || plan.framing === 'chunked' ? plan.sentBytes : plan.sentBytes - 1,
    sendsEnd: isWhole,
  };
}

async function askOrdinary(fleet: Fleet): Promise<boolean> {
  const headers = { 'X-Api-Key': 'key-one', 'X-Attempt-Id': `ordinary-${++lastId}` };
  const { status, isComplete } = await fleetStandin.client(fleet, 1, headers);
  return status === 200 && isComplete;
}

function play(members: (fleet: Fleet) => MemberPlan[], clientLimits = usualClientLimits): Promise<void> {
  return playCrowd({
    net,
    limits: smallestMachines.edge,
    clientLimits,
    target: (fleet) => fleet.machines.find(({ name }) => name === router)!,
    members,
    askOrdinary,
  });
}

function alike(count: number, plan: BodyPlan): (fleet: Fleet) => MemberPlan[] {
  return (fleet) => Array.from({ length: count }, (_, index) => memberOf(fleet, index, plan));
}

const chunkedLarge: BodyPlan = {
  framing: 'chunked',
  pieceBytes: largePieceBytes,
  announcedBytes: legalBytes,
  sentBytes: legalBytes,
};
const chunkedSmall: BodyPlan = {
  framing: 'chunked',
  pieceBytes: 1,
  announcedBytes: smallLimits.body_bytes,
  sentBytes: smallLimits.body_bytes,
};
const announcedTooLarge: BodyPlan = {
  framing: 'length',
  pieceBytes: largePieceBytes,
  announcedBytes: announcedOversizedBytes,
  sentBytes: oversizedBytes,
};
const chunkedTooLarge: BodyPlan = { ...chunkedLarge, announcedBytes: oversizedBytes, sentBytes: oversizedBytes };
const chunkedSmallTooLarge: BodyPlan = { ...chunkedSmall, sentBytes: 4 * smallLimits.body_bytes };
const wholeLegal: BodyPlan = {
  framing: 'length',
  pieceBytes: legalBytes,
  announcedBytes: legalBytes,
  sentBytes: legalBytes,
};
const legalInPieces: BodyPlan = { ...wholeLegal, pieceBytes: 1000 };

test('64 bodies of legal size in large chunks, most without their end', () => play(alike(64, chunkedLarge)));

test('32 bodies of legal size in chunks of one byte, most without their end', () =>
  play(alike(32, chunkedSmall), smallLimits));

test('64 bodies that announce a length far over the limit', () => play(alike(64, announcedTooLarge)));

test('64 bodies far over the limit in large chunks', () => play(alike(64, chunkedTooLarge)));

test('32 bodies far over the limit in chunks of one byte', () => play(alike(32, chunkedSmallTooLarge), smallLimits));

test('64 bodies of legal size with a length, sent at once, most a byte short', () => play(alike(64, wholeLegal)));

test('64 bodies of legal size with a length, piece by piece, most a byte short', () => play(alike(64, legalInPieces)));

test('16 bodies of each of these kinds at once', () =>
  play((fleet) =>
    [
      chunkedLarge,
      chunkedSmall,
      announcedTooLarge,
      chunkedTooLarge,
      chunkedSmallTooLarge,
      wholeLegal,
      legalInPieces,
    ].flatMap((plan) => alike(16, plan)(fleet)),
  ));
