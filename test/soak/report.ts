/** What a soak showed, as text with plots. */
import asciichart from 'asciichart';
import { build } from 'hdr-histogram-js';
import { eventsOf, type History, type SoakEvent } from './history.js';
import type { Violation } from './checker/violation.js';

const plotColumns = 60;
const plotRows = 8;
const bytesPerMegabyte = 1024 * 1024;
/** More growth of a program's memory from the first to the last third of its life than this is pointed out. */
const notableGrowth = 1.3;
const mostViolations = 20;

function countBy<Item>(items: Item[], keyOf: (item: Item) => string): string {
  const counts = new Map<string, number>();
  for (const item of items) counts.set(keyOf(item), (counts.get(keyOf(item)) ?? 0) + 1);
  return [...counts]
    .sort(([a], [b]) => a.localeCompare(b))
    .map(([key, count]) => `${key} ${count}`)
    .join(', ');
}

/** The median of the values in each of `columns` spans of equal length. */
function medians(points: { at: number; value: number }[], columns: number): number[] {
  const last = Math.max(1, ...points.map(({ at }) => at));
  const series: number[] = [];
  for (let column = 0; column < columns; column++) {
    const values = points
      .filter(({ at }) => Math.min(columns - 1, Math.floor((at / last) * columns)) === column)
      .map(({ value }) => value)
      .sort((a, b) => a - b);
    series.push(values[Math.floor(values.length / 2)] ?? series.at(-1) ?? 0);
  }
  return series;
}

function plot(title: string, points: { at: number; value: number }[]): string {
  if (points.length === 0) return `${title}: nothing measured`;
  return `${title}\n${asciichart.plot(medians(points, plotColumns), { height: plotRows })}`;
}

function firstByteLines(history: History): string {
  const times = eventsOf(history, 'answered').flatMap(({ at, firstByteMs, status }) =>
    firstByteMs !== null && status === 200 ? [{ at, value: firstByteMs }] : [],
  );
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const { value } of times) histogram.recordValue(Math.round(value));
  const [median, p95, p99] = [50, 95, 99].map((share) => histogram.getValueAtPercentile(share));
  const text = `first byte of ${times.length} answers: median ${median} ms, 95% ${p95} ms, 99% ${p99} ms`;
  return `${text}\n${plot('median time to the first byte over time, ms', times)}`;
}

function memoryLines(history: History): string {
  const samples = eventsOf(history, 'memory_sampled');
  const points = samples.map(({ at, bytes }) => ({ at, value: bytes / bytesPerMegabyte }));
  const largest = Math.max(0, ...points.map(({ value }) => value));
  const series = medians(points, plotColumns);
  const [first, last] = [series[Math.floor(plotColumns / 3)] ?? 0, series.at(-1) ?? 0];
  const growth = last > first * notableGrowth ? `; it GREW from ${first.toFixed(0)} to ${last.toFixed(0)} MB` : '';
  return `${plot('median resident memory of a process over time, MB', points)}\nlargest ${largest.toFixed(0)} MB${growth}`;
}

function controlLines(history: History): string {
  const orders = eventsOf(history, 'order_answered');
  const troubles = eventsOf(history, 'trouble');
  const reads = eventsOf(history, 'configuration_read');
  return [
    `orders: ${eventsOf(history, 'order_sent').length} sent, answers ${countBy(orders, ({ status }) => String(status))}`,
    `weights named: ${eventsOf(history, 'weights_named').length}; orders to runners: ${countBy(eventsOf(history, 'runner_ordered'), ({ status }) => String(status))}`,
    `reads: ${countBy(reads, ({ status }) => String(status))}`,
    `processes: ${countBy(troubles, ({ what }) => what)}; ended by themselves: ${eventsOf(history, 'process_ended').filter(({ isExpected }) => !isExpected).length}`,
    `runners: ${countBy(eventsOf(history, 'runner_changed'), ({ what }) => what)}`,
    `stalls of the soak itself: ${eventsOf(history, 'stalled').length}`,
  ].join('\n');
}

/** The events of one request, for whoever looks into a violation. */
export function requestTrace(history: History, id: string): string {
  const own = history.events.filter((event: SoakEvent) => 'id' in event && event.id === id);
  return own.map((event) => JSON.stringify(event).slice(0, 600)).join('\n');
}

/** All of it. */
export function soakReport(history: History, violations: Violation[]): string {
  const answers = eventsOf(history, 'answered');
  const arrivals = eventsOf(history, 'arrived');
  const incomplete = answers.filter(({ status, isComplete }) => status !== 0 && !isComplete).length;
  const listed = violations
    .slice(0, mostViolations)
    .map(({ rule, at, text }) => `  ${rule} at ${Math.round(at)} ms: ${text}`);
  return [
    `requests: ${eventsOf(history, 'request_sent').length}, left by their clients ${eventsOf(history, 'client_left').length}`,
    `answers: ${countBy(answers, ({ status }) => String(status))}; broken off ${incomplete}`,
    `arrivals at runners: ${arrivals.length}, of which ran ${arrivals.filter(({ hasRun }) => hasRun).length}`,
    controlLines(history),
    firstByteLines(history),
    memoryLines(history),
    violations.length === 0 ? 'no rule was broken' : `BROKEN ${countBy(violations, ({ rule }) => rule)}`,
    ...listed,
  ].join('\n');
}
