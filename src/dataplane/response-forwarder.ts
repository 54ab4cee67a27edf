/**
 * How the body of a runner's answer is forwarded to the client, unchanged and as it is received. A stream is forwarded
 * event by event, so that what was sent always ends with a complete event. A small answer to an idempotent request is
 * buffered until it is complete, so that another runner can still be attempted if it is aborted.
 */
import type { ClientRequest, IncomingMessage } from 'node:http';
import { httpHeaders } from '../protocol/calls/headers.js';
import {
  eventStreamParser,
  type EventStreamParser,
  type ServerSentEvent,
} from '../protocol/stream/event-stream-parser.js';
import { streamResumption, type StreamResumption } from '../protocol/stream/stream-resumption.js';
import { runnerEndpoint } from '../state/runners/endpoint.js';
import type { ResponseEnd, ResponseFraming } from '../transport/http/response-completion.js';
import { clientResponse } from './client-response.js';
import type { EndpointAssignment } from './endpoint-assignment.js';
import type { RequestContext } from './request-context.js';
import { routers, type Router } from './router.js';

/** An answer under way: its head and its request, how its end is told, and whether it is forwarded event by event. */
export type RunnerResponse = {
  response: IncomingMessage;
  request: ClientRequest;
  end: ResponseEnd;
  isEventStream: boolean;
};

/**
 * Takes the body as it is received. `accept` is false when the bytes can't be part of the answer. `finish` ends the answer
 * once its message has ended; it is false, and nothing is ended, when what came can't be the whole answer.
 */
export type ResponseForwarder = { accept: (bytes: Buffer) => boolean; finish: () => boolean };

/** How far one runner's stream has come. */
type StreamProgress = { parser: EventStreamParser; resumption: StreamResumption | null; hasEvents: boolean };

/** The most bytes of one answer that are buffered until it is complete. */
const maxBufferedBytes = 32 * 1024;

/** The most bytes of a stream that are buffered without the blank line that ends an event. */
const maxEventBytes = 1024 * 1024;

/** The first line of an event at which the version of the weights changes. */
const versionLinePrefix = 'x-weight-versions';
const versionLine = /^x-weight-versions:\s*([^\r\n]+)/m;

function recordWeightsVersion(context: RequestContext, assignment: EndpointAssignment, event: ServerSentEvent): void {
  if (context.model === null || !event.head.startsWith(versionLinePrefix)) return;
  const revision = httpHeaders.parseWeightVersion(versionLine.exec(event.head)?.[1], context.model);
  if (revision !== null) runnerEndpoint.recordRevision(assignment.endpoint, context.model, revision);
}

/** A stream of which the client has a part is resumed after its last event. */
function resumptionOf(context: RequestContext): StreamResumption | null {
  const { progress, lastEventId } = context.response;
  return progress === 'events' && lastEventId !== null ? streamResumption.create(lastEventId) : null;
}

/**
 * A stream without a length that ends inside an event, or before its first one, was broken off, since a runner that
 * crashes ends its connection in order. Bytes that are no event can't continue what another runner sent.
 */
function isWholeStream(progress: StreamProgress, framing: ResponseFraming): boolean {
  const endsInsideEvent = progress.parser.pending.length > 0;
  if (framing === 'until_close') return progress.hasEvents && !endsInsideEvent;
  return progress.resumption === null || !endsInsideEvent;
}

function forEvents(
  router: Router,
  context: RequestContext,
  assignment: EndpointAssignment,
  { response: upstream, end: { framing } }: RunnerResponse,
): ResponseForwarder {
  const progress: StreamProgress = {
    parser: eventStreamParser.create(),
    resumption: resumptionOf(context),
    hasEvents: false,
  };
  const { parser, resumption } = progress;
  function forward(event: ServerSentEvent): boolean {
    progress.hasEvents = true;
    recordWeightsVersion(context, assignment, event);
    const decision = resumption ? streamResumption.accept(resumption, event) : 'forward';
    if (decision === 'forward')
      clientResponse.sendEvent(context.response, upstream, routers.isShuttingDown(router), event);
    return decision !== 'mismatch';
  }
  return {
    accept: (bytes) => eventStreamParser.push(parser, bytes).every(forward) && parser.pending.length <= maxEventBytes,
    finish: () => {
      if (!isWholeStream(progress, framing)) return false;
      if (parser.pending.length > 0)
        clientResponse.sendBytes(context.response, upstream, routers.isShuttingDown(router), parser.pending);
      clientResponse.end(context.response, upstream, routers.isShuttingDown(router));
      return true;
    },
  };
}

function forBytes(router: Router, context: RequestContext, upstream: IncomingMessage): ResponseForwarder {
  return {
    accept: (bytes) => {
      clientResponse.sendBytes(context.response, upstream, routers.isShuttingDown(router), bytes);
      return true;
    },
    finish: () => {
      clientResponse.end(context.response, upstream, routers.isShuttingDown(router));
      return true;
    },
  };
}

/** Once more than `maxBufferedBytes` have been received, all is forwarded as it is received. */
function buffering(router: Router, context: RequestContext, upstream: IncomingMessage): ResponseForwarder {
  const direct = forBytes(router, context, upstream);
  let buffered: Buffer[] = [];
  let receivedBytes = 0;
  function flush(): void {
    for (const bytes of buffered) direct.accept(bytes);
    buffered = [];
  }
  return {
    accept: (bytes) => {
      buffered.push(bytes);
      receivedBytes += bytes.length;
      if (receivedBytes > maxBufferedBytes) flush();
      return true;
    },
    finish: () => {
      flush();
      return direct.finish();
    },
  };
}

function exceedsBuffer(upstream: IncomingMessage): boolean {
  return Number(upstream.headers['content-length'] ?? 0) > maxBufferedBytes;
}

/** The forwarder that fits the answer and the request. */
function create(
  router: Router,
  context: RequestContext,
  assignment: EndpointAssignment,
  runnerResponse: RunnerResponse,
): ResponseForwarder {
  const { response, isEventStream } = runnerResponse;
  if (isEventStream) return forEvents(router, context, assignment, runnerResponse);
  if (context.isIdempotent && !exceedsBuffer(response)) return buffering(router, context, response);
  return forBytes(router, context, response);
}

export const responseForwarders = { create };
