/** Calls to the platform, which lists the runners (PROTOCOL, `/instances`). */
import { array, nullable, number, optional, string, type, type Infer } from 'superstruct';
import { httpClient } from '../../transport/http/client.js';
import type { Runner } from '../../types.js';
import { headerText } from './header-text.js';
import type { ExternalCall } from './external-calls.js';
import { modelRevisionShape } from './runner-calls.js';
import { hasShape } from '../shape-match.js';

const instanceShape = type({
  instance_id: string(),
  target: string(),
  address: string(),
  zone_name: string(),
  slot_count: number(),
  condition: string(),
  revision: optional(nullable(string())),
  model_list: optional(nullable(array(modelRevisionShape))),
});
type Instance = Infer<typeof instanceShape>;

const pageShape = type({ instance_list: array(instanceShape), next_token: optional(nullable(string())) });

/** Its address is connected to and its id goes out in headers; one of another form can't be used. */
function isUsable(instance: Instance): boolean {
  return (
    instance.instance_id !== '' && headerText.isSendable(instance.instance_id) && httpClient.isAddress(instance.address)
  );
}

function runnerOf(instance: Instance): Runner {
  return {
    id: instance.instance_id,
    service: instance.target,
    addr: instance.address,
    zone: instance.zone_name,
    slotCount: instance.slot_count,
    draining: instance.condition !== 'serving',
    paused: false,
    ...(typeof instance.revision === 'string' && { version: instance.revision }),
    models: (instance.model_list ?? []).map(({ label, revision }) => ({ label, revision })),
  };
}

/** One page of the list; `nextPageToken` is null on the last. */
export type RunnerPage = { runners: Runner[]; nextPageToken: string | null };

/**
 * Asks for one page: the first with a token of null. Only an instance in the condition `serving` isn't draining. An entry
 * that can't be used is left out; a page of another form is none, so that the last list stands.
 */
function listRunners(pageToken: string | null): ExternalCall<RunnerPage> {
  return {
    method: 'GET',
    path: pageToken === null ? '/instances' : `/instances?page_token=${encodeURIComponent(pageToken)}`,
    parse: (status, body) => {
      if (status !== 200 || !hasShape(body, pageShape)) return null;
      return { runners: body.instance_list.filter(isUsable).map(runnerOf), nextPageToken: body.next_token ?? null };
    },
  };
}

export const platformCalls = { listRunners };
