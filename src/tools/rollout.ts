/** `milletcleat rollout start|status`: orders the roll-out of a service's version, and shows how far it is. */
import { operatorPaths } from '../protocol/operator-paths.js';
import { controlClient } from './control-client.js';
import { toolResult, type ToolFlags, type ToolResult } from './types.js';

/** What a coordinator answers to a read of a roll-out. */
type RolloutReply = {
  condition: string;
  to_version: string;
  share: number;
  timeline: { share: number; elapsed_ms: number; reason: string }[];
};

const millisecondsPerSecond = 1000;

async function start(address: string, service: string, version: string, overS: number): Promise<ToolResult> {
  const reply = await controlClient.send(address, {
    method: 'POST',
    path: operatorPaths.rollouts,
    headers: { 'Content-Type': 'application/json' },
    body: JSON.stringify({ target: service, to_version: version, over_s: overS }),
  });
  if (!reply.ok)
    return toolResult.failure(
      `${controlClient.describeError(reply.error)}; the order may have been taken: send it again unchanged`,
    );
  if (reply.value.status !== 200) return toolResult.failure(controlClient.describeRejection(reply.value));
  return toolResult.success('accepted');
}

function format({ condition, to_version: version, share, timeline }: RolloutReply): string {
  const steps = timeline.map(
    (step) =>
      `  ${(step.elapsed_ms / millisecondsPerSecond).toFixed(1)} s  share ${step.share.toFixed(2)}  ${step.reason}`,
  );
  return [`${version}: ${condition}, share ${share.toFixed(2)}`, ...steps].join('\n');
}

async function status(address: string, service: string, isJson: boolean): Promise<ToolResult> {
  const path = `${operatorPaths.rollouts}/${encodeURIComponent(service)}`;
  const reply = await controlClient.send(address, { method: 'GET', path });
  if (!reply.ok) return toolResult.failure(controlClient.describeError(reply.error));
  if (reply.value.status !== 200) return toolResult.failure(controlClient.describeRejection(reply.value));
  let rollout: RolloutReply;
  try {
    rollout = JSON.parse(reply.value.body.toString('utf8')) as RolloutReply;
  } catch {
    return toolResult.failure(`${address} sent an answer that is not valid JSON`);
  }
  return toolResult.success(isJson ? JSON.stringify(rollout, null, 2) : format(rollout));
}

/** Runs one of the verbs at the coordinator that `--control` names. */
async function run(args: string[], flags: ToolFlags): Promise<ToolResult> {
  const [verb, service, version, ...more] = args;
  const isStart = verb === 'start';
  if ((!isStart && verb !== 'status') || !service || more.length > 0 || isStart !== (version !== undefined))
    return toolResult.usageError('rollout takes start SERVICE VERSION or status SERVICE');
  if (!controlClient.isAddress(flags.control)) return toolResult.usageError('give --control IP:PORT');
  if (!isStart) return status(flags.control, service, flags.json);
  if (flags.over === undefined || !(flags.over > 0))
    return toolResult.usageError('give --over SECONDS: the term of the roll-out, above 0');
  return start(flags.control, service, version!, flags.over);
}

export const rolloutTool = { run };
