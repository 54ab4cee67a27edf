/** The process of a coordinator in the simulated world: the real modules on a simulated machine. */
import { boardEndpoint } from '../../src/protocol/inner/board.js';
import { newsEndpoint } from '../../src/protocol/inner/news.js';
import { operatorEndpoint } from '../../src/protocol/inner/operator.js';
import { statusEndpoint } from '../../src/protocol/inner/status.js';
import { Agent } from 'node:http';
import { access } from '../../src/controlplane/access.js';
import type { BoardRequest } from '../../src/protocol/inner/board.js';
import { boards } from '../../src/controlplane/board.js';
import { core } from '../../src/controlplane/core.js';

import { news } from '../../src/controlplane/news.js';
import { operator } from '../../src/controlplane/operator.js';
import type { Coordinator, Outside } from '../../src/controlplane/parts.js';
import { rollout } from '../../src/controlplane/rollout.js';
import { runners } from '../../src/controlplane/runners.js';
import { shutdown } from '../../src/controlplane/shutdown.js';
import { status } from '../../src/controlplane/status.js';
import { consensusCalls, replica, type Replica } from '../../src/coordination/consensus/driver.js';
import { coordinatorProgram } from '../../src/programs/coordinator.js';
import { endpoint, type Handler } from '../../src/protocol/inner/endpoint.js';
import { tuning } from '../../src/protocol/settings/tuning.js';
import type { Folder, Runtime } from '../../src/runtime.js';
import type { Command } from '../../src/state/control/reducer.js';
import { configurationHistory } from '../../src/state/history/configurations.js';
import type { NewsRequest } from '../../src/protocol/inner/news.js';
import type { OperatorRequest } from '../../src/protocol/inner/operator.js';
import type { Outcome, Settings } from '../../src/types.js';
import { silentLog as log } from './log.js';
import { operatorPath } from './operators.js';

export type CoreOptions = { settings: Settings; runtime: Runtime; folder: Folder; outside: Outside };

/** `terminate` does what the program does on SIGTERM and comes back when the process would end. */
export type CoreProcess = {
  replica: Replica;
  coordinator: Coordinator;
  handlers: Handler[];
  start: () => void;
  mayAct: (leaseMs: number) => boolean;
  terminate: () => Promise<void>;
};

const agent = new Agent();

function coordinatorOf(options: CoreOptions, opened: Replica): Coordinator {
  const { settings, runtime, outside } = options;
  return coordinatorProgram.create(settings, log, tuning.defaults, { core: core.of(opened), runtime, outside, agent });
}

/** A handler without a typed endpoint, as yet: whatever comes is handed on as it is. */
function handler(path: string, handle: (body: never, from: string) => unknown): Handler {
  return {
    path,
    maxBytes: Infinity,
    bindsToLife: false,
    receive: async (raw, from) => ({ ok: true, value: await handle(raw as never, from.address) }),
  };
}

/** What the process answers at each path. */
function handlers(c: Coordinator, opened: Replica): Handler[] {
  let calls = 0;
  return [
    endpoint.handler(consensusCalls, (batch) => ({ messages: replica.receive(opened, batch.messages) })),
    handler(boardEndpoint.path, (body: BoardRequest) => boards.receive(c, body)),
    handler(newsEndpoint.path, (body: NewsRequest) => news.call(c, body)),
    handler(statusEndpoint.path, () => status.own(c)),
    handler(operatorEndpoint.path, (body: OperatorRequest) => operator.decide(c, body)),
    handler(operatorPath, (body: OperatorRequest) =>
      operator.call(c, { ...body, id: `${c.settings.node_name}/${++calls}` }),
    ),
  ];
}

function startParts(c: Coordinator, opened: Replica): void {
  c.core.onApplied(function applied() {
    const { configuration } = c.core.state();
    if (configuration) configurationHistory.take(c.configurations, configuration);
    boards.wake(c);
  });
  runners.start(c);
  boards.start(c);
  news.start(c);
  rollout.start(c);
  access.start(c);
  replica.start(opened);
}

async function open(options: CoreOptions): Promise<Outcome<CoreProcess, string>> {
  const { settings, runtime, folder } = options;
  const opened = await replica.open({ settings, log, runtime, folder });
  if (!opened.ok) return opened;
  const c = coordinatorOf(options, opened.value);
  return {
    ok: true,
    value: {
      replica: opened.value,
      coordinator: c,
      handlers: handlers(c, opened.value),
      start: () => startParts(c, opened.value),
      mayAct: (leaseMs) => replica.mayAct(opened.value, leaseMs),
      terminate: () => shutdown.run(c),
    },
  };
}

/** The revision that a command brings, or null when it is no change of the configuration. */
function revisionOf(command: unknown): number | null {
  const one = command as Command;
  return one.kind === 'configure' ? one.revision : null;
}

export const coreProcess = { open, revisionOf };
