/** Simulation results as text, a row a figure and a column for each variant of the fleet, and as JSON. */
import type { SimulationResult } from './result.js';

/** A variant of the fleet file as it was played. */
export type Played = { name: string; result: SimulationResult };

type Row = [label: string, value: string];

function percent(count: number, total: number): string {
  return total === 0 ? '-' : `${((100 * count) / total).toFixed(1)} %`;
}

function trafficRows(result: SimulationResult): Row[] {
  return result.traffic.flatMap((tally): Row[] => [
    [`${tally.name}: requests`, String(tally.requests)],
    [`${tally.name}: within target`, percent(tally.withinTarget, tally.requests)],
    [`${tally.name}: late`, percent(tally.late, tally.requests)],
    [`${tally.name}: rejected`, percent(tally.rejected, tally.requests)],
    [`${tally.name}: failed`, percent(tally.failed, tally.requests)],
  ]);
}

function windowRows(result: SimulationResult): Row[] {
  return result.worstWindows.map((window, index) => [
    `worst two seconds, ${index + 1}`,
    `${percent(window.share, 1)} within target from ${window.fromSeconds} s`,
  ]);
}

function promptRows({ prompt }: SimulationResult): Row[] {
  const total = prompt.prefilled + prompt.cached + prompt.transferred;
  return [
    ['prompt tokens cached', percent(prompt.cached, total)],
    ['prompt tokens transferred', percent(prompt.transferred, total)],
    ['prompt tokens prefilled', percent(prompt.prefilled, total)],
    ['of these prefilled again', percent(prompt.prefilledAgain, prompt.prefilled)],
  ];
}

function systemRows({ retries, withoutLeaderMs, messages }: SimulationResult): Row[] {
  return [
    ['retries', String(retries)],
    ['without a leader', `${withoutLeaderMs} ms`],
    ['consensus messages', String(messages.consensus)],
    ['state syncs', String(messages.stateSync)],
    ['count reports', `${messages.countReports} for ${messages.arrivals} arrivals`],
  ];
}

function rows(result: SimulationResult): Row[] {
  return [...trafficRows(result), ...windowRows(result), ...promptRows(result), ...systemRows(result)];
}

function widest(texts: string[]): number {
  return Math.max(...texts.map((text) => text.length));
}

/** A table for a terminal; all results come from the same fleet file and so have the same rows. */
function text(played: Played[]): string {
  const columns = played.map(({ name, result }) => [name, ...rows(result).map(([, value]) => value)]);
  const labels = ['', ...rows(played[0]!.result).map(([label]) => label)];
  const labelWidth = widest(labels);
  const columnWidths = columns.map(widest);
  return labels
    .map((label, row) => {
      const cells = columns.map((column, index) => column[row]!.padEnd(columnWidths[index]!));
      return `${label.padEnd(labelWidth)}  ${cells.join('  ')}`.trimEnd();
    })
    .join('\n');
}

/**
 * The figures of one variant in their public JSON form. This is the one place that gives them the names that they have
 * had since the first version: programs of users read them.
 */
function toJson({ name, result }: Played): unknown {
  const { prompt, messages } = result;
  return {
    name,
    result: {
      kinds: result.traffic.map((tally) => ({
        name: tally.name,
        asked: tally.requests,
        inAim: tally.withinTarget,
        late: tally.late,
        bounced: tally.rejected,
        failed: tally.failed,
      })),
      worst: result.worstWindows.map(({ fromSeconds, share }) => ({ from: fromSeconds, share })),
      prompt: {
        read: prompt.prefilled,
        readAgain: prompt.prefilledAgain,
        kept: prompt.cached,
        moved: prompt.transferred,
      },
      messages: {
        group: messages.consensus,
        feed: messages.stateSync,
        tracking: messages.countReports,
        arrivals: messages.arrivals,
      },
      secondLegs: result.retries,
      noLeaderMs: result.withoutLeaderMs,
    },
  };
}

/** The results for programs, as a JSON text. */
function json(played: Played[]): string {
  return JSON.stringify(played.map(toJson), null, 2);
}

export const report = { text, json };
