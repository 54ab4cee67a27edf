/**
 * The transfers of cached prefix blocks that this router's requests ask for: a lease is taken as a request reserves its
 * endpoint and given up once the runner has answered. Whatever becomes of a transfer, the request does not wait for it:
 * without a lease, or after a miss, the runner prefills the blocks itself.
 */
import { transfers, type LocationLoad } from '../coordination/transfer/transfers.js';
import { storeLocation, type CacheLocation } from '../state/prefix-cache/cache-location.js';
import { runnerEndpoint, type RunnerEndpoint } from '../state/runners/endpoint.js';
import type { EndpointAssignment, TransferSource } from './endpoint-assignment.js';
import type { Router } from './router.js';

/** Leases that other routers hold on a source, as of the last state sync. */
function peerLeases(router: Router, source: CacheLocation): number {
  if (source === storeLocation) return router.transfers.peerStoreLeases;
  return router.endpointPool.endpoints[source]?.peerLoad.transferLeases ?? 0;
}

/** Milliseconds of transfers queued to the endpoint at `now`: this router's own and, as far as it is known, the others'. */
function queuedMsAt(router: Router, endpoint: RunnerEndpoint, now: number): number {
  const { queuedMs } = transfers.usageAt(router.transfers.machine, endpoint.index);
  return queuedMs + runnerEndpoint.peerTransferQueueMs(endpoint, now);
}

/** The load at both ends of a transfer: this router's own transfers and, as far as it is known, the others'. */
function loadOf(
  router: Router,
  { endpoint }: EndpointAssignment,
  { location }: TransferSource,
  now: number,
): LocationLoad {
  const source = transfers.usageAt(router.transfers.machine, location);
  return {
    leasesAtSource: source.sourceLeases + peerLeases(router, location),
    queuedMsAtDestination: queuedMsAt(router, endpoint, now),
  };
}

/**
 * Takes the lease for an assignment that fetches blocks. If none is to be had any more, the assignment fetches nothing.
 * `now` in ms on the process's own clock.
 */
function start(router: Router, assignment: EndpointAssignment, now: number): void {
  const { source, endpoint } = assignment;
  if (!source) return;
  const { location, key, tokens, durationMs, generation } = source;
  const transfer = transfers.start(
    router.transfers.machine,
    {
      key,
      source: location,
      destination: endpoint.index,
      tokens,
      durationMs,
      hint: { isConfirmed: true, generation },
      load: loadOf(router, assignment, source, now),
    },
    now,
  );
  if (transfer) assignment.transferId = transfer.id;
  else assignment.fetchFrom = null;
}

/** The request has been sent, so the runner fetches the blocks from now on. */
function markSent(router: Router, { transferId }: EndpointAssignment, now: number): void {
  if (transferId !== null) transfers.step(router.transfers.machine, { type: 'request_sent', id: transferId }, now);
}

/** The runner has answered or the attempt has ended: the source is needed no more. */
function markEnded(router: Router, assignment: EndpointAssignment, now: number): void {
  if (assignment.transferId === null) return;
  transfers.step(router.transfers.machine, { type: 'request_ended', id: assignment.transferId }, now);
  assignment.transferId = null;
}

export const prefixTransfers = { queuedMsAt, start, markSent, markEnded };
