/** The calls to the platform and to runners over HTTP, as the daemons make them. */
import type { Agent } from 'node:http';
import { runnerListing } from '../coordination/singletons/runner-listing.js';
import { externalCalls } from '../protocol/calls/external-calls.js';
import { runnerCalls } from '../protocol/calls/runner-calls.js';
import type { ExternalApis } from './coordinator-context.js';

/** `platformAddress` gives the address of the platform's API; asked for at each call, since settings change. */
function create(agent: Agent, platformAddress: () => string): ExternalApis {
  return {
    listRunners: () => runnerListing.fetchAll(agent, platformAddress()),
    sendOrder: (address, order, timeoutMs) =>
      externalCalls.send(agent, address, runnerCalls.revisionOrder(order), timeoutMs),
    getRunnerReport: (address, timeoutMs) => externalCalls.send(agent, address, runnerCalls.runnerReport(), timeoutMs),
  };
}

export const httpApis = { create };
