// One runner as a process of its own, so that it can crash. It tells its parent when half of an event is written.
import process from 'node:process';
import { setTimeout as sleep } from 'node:timers/promises';
import { createRunner } from '../runner.mjs';

const options = JSON.parse(process.argv[2]);
const runner = createRunner({
  ...options,
  isUnframed: true,
  halfEvent: 4,
  onHalfEvent: async (attempt) => {
    await sleep(100);
    process.send({ kind: 'half_event', attempt });
    await sleep(300);
  },
});
await runner.start();
process.send({ kind: 'started', listed: runner.listed() });
