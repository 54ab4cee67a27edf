/** A router without sockets that is told its configuration as a watch tells it: encoded, checked and applied. */
import { strict as assert } from 'node:assert';
import { configUpdates } from '../../src/dataplane/config-updates.js';
import { routers, type Router } from '../../src/dataplane/router.js';
import { ringLog } from '../../src/logging/ring.js';
import { watchMethod, type WatchResponse } from '../../src/protocol/rpc/watch.js';
import { tuning } from '../../src/protocol/settings/tuning.js';
import type { Settings } from '../../src/types.js';
import { repacked } from './coordinators.js';

/** A router that has been told nothing. */
function create(): Router {
  const settings = { node_name: 'r', zone_name: 'z', zones: {}, bound_set: {} } as unknown as Settings;
  return routers.create(settings, ringLog.create('test', 'r'), tuning.defaults);
}

/** A response that has nothing new but these fields. */
function response(fields: Partial<WatchResponse>): WatchResponse {
  return {
    configuration: null,
    configurationUpdate: null,
    sharedDomainSince: 0,
    weights: null,
    weightsSeq: 0,
    accessRules: null,
    endpoints: null,
    endpointsUpdate: null,
    leaderAddress: null,
    coordinatorAddresses: [],
    isUpToDate: true,
    confirmsAccessRules: true,
    ...fields,
  };
}

/** Tells the router these fields at `now` (ms on its clock); they pass the check of the message, and fit what the router has. */
function tell(router: Router, fields: Partial<WatchResponse>, now = 0): void {
  const checked = watchMethod.checkResponse(repacked(response(fields)));
  assert.ok(checked.ok, checked.ok ? '' : `${checked.error.path}: ${checked.error.text}`);
  assert.ok(configUpdates.apply(router, checked.value, now));
}

export const toldRouter = { create, response, tell };
