/** From when on a router sends nothing to a runner that lacks named weights. */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import { endpointEligibility } from '../src/dataplane/endpoint-selection/endpoint-eligibility.js';
import { executionStatus } from '../src/dataplane/execution-status.js';
import type { RequestContext } from '../src/dataplane/request-context.js';
import type { Router } from '../src/dataplane/router.js';
import { weightNamings } from '../src/state/control/weight-namings.js';
import type { Runner } from '../src/types.js';
import { toldRouter } from './support/told-router.js';

function runner(id: string, revision: number): Runner {
  const models = [{ label: 'm', revision }];
  return { id, service: 's', addr: `${id}:1`, zone: 'z', slotCount: 8, draining: false, paused: false, models };
}

function routerWith(...runners: Runner[]): Router {
  const router = toldRouter.create();
  router.settings.bound_set.version_ms = 8000;
  toldRouter.tell(router, { endpoints: { term: 1, seq: 1, runners, routerCount: 1 } });
  return router;
}

function isEligible(router: Router, id: string, now: number): boolean {
  const context: Partial<RequestContext> = {
    model: 'm',
    attemptedEndpoints: new Set(),
    executionStatus: executionStatus.initial(),
  };
  return endpointEligibility.isEligible(router, context as RequestContext, router.endpointPool.byId.get(id)!, now);
}

test('VERSION: a runner that lacks a revision past its bound gets no request, however many were named since', () => {
  const router = routerWith(runner('a', 1), runner('b', 9));
  for (let revision = 2; revision <= 9; revision++)
    toldRouter.tell(router, { weights: { m: revision }, weightsSeq: revision }, (revision - 2) * 1000);
  assert.equal(isEligible(router, 'a', 6500), true);
  assert.equal(isEligible(router, 'a', 7500), false);
  assert.equal(isEligible(router, 'b', 7500), true);
});

test('VERSION: a router that was restarted counts from the acknowledgement of a revision, not from its start', () => {
  const router = routerWith(runner('a', 1), runner('b', 2));
  const namings = [
    { model: 'm', revision: 2, ageMs: 7000 },
    { model: 'm', revision: 3, ageMs: 500 },
  ];
  toldRouter.tell(router, { weights: { m: 3 }, weightsSeq: 2, weightNamings: namings }, 100);
  assert.equal(isEligible(router, 'a', 150), false);
  assert.equal(isEligible(router, 'b', 150), true);
});

test('names that no longer matter are forgotten, and the newest of the old ones stays', () => {
  const namings = weightNamings.create();
  for (let revision = 2; revision <= 500; revision++) weightNamings.record(namings, 'm', revision, revision * 1000);
  weightNamings.forgetOlderThan(namings, 8000, 500_000);
  assert.equal(namings.get('m')!.length, 9);
  assert.equal(weightNamings.outdatedSince(namings, 'm', 1), 492_000);
  assert.equal(weightNamings.outdatedSince(namings, 'm', 500), null);
});
