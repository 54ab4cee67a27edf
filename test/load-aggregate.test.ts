/**
 * The aggregate of all routers' load at each endpoint: whatever is lost, late or doubled on the way, a router ends up
 * with exactly its peers' load, and what is sent per interval does not grow with the routers.
 */
import { strict as assert } from 'node:assert';
import { test } from 'node:test';
import fc from 'fast-check';
import { peerLoadView, type PeerLoadView } from '../src/state/load/peer-load.js';
import { loadAggregate, type LoadAggregate, type LoadDelta } from '../src/state/load/load-aggregate.js';
import { stateSyncCodec, type LoadRow } from '../src/protocol/rpc/state-sync-codec.js';

const standsMs = 2500;
const runners = ['a', 'b', 'c', 'd'];

function ask(aggregate: LoadAggregate, view: PeerLoadView, site: string, incarnation = site): void {
  const delta: LoadDelta = loadAggregate.deltaSince(aggregate, view.revision);
  const includedReport = loadAggregate.publishedReportNumber(aggregate, site, incarnation);
  peerLoadView.applyUpdate(view, { ...delta, includedReport }, 0);
}

function report(
  aggregate: LoadAggregate,
  router: string,
  incarnation: string,
  number: number,
  rows: LoadRow[],
  now: number,
): void {
  const loads = stateSyncCodec.decodeLoads(rows);
  loadAggregate.applyReport(aggregate, { router, incarnation, number, loads, unhealthyRunners: [] }, now);
}

function rowsSince(aggregate: LoadAggregate, revision: number): LoadRow[] {
  return stateSyncCodec.encodeLoads(loadAggregate.deltaSince(aggregate, revision).totals);
}

type Step = { site: number; rows: [number, number][]; fate: 'arrives' | 'lost' | 'late' | 'twice'; asks: boolean };

const step: fc.Arbitrary<Step> = fc.record({
  site: fc.integer({ min: 0, max: 4 }),
  rows: fc.array(fc.tuple(fc.integer({ min: 0, max: 3 }), fc.integer({ min: 0, max: 20_000 })), { maxLength: 4 }),
  fate: fc.constantFrom<Step['fate']>('arrives', 'arrives', 'lost', 'late', 'twice'),
  asks: fc.boolean(),
});

test("once reports arrive again, every router sees exactly its peers' load", () => {
  fc.assert(
    fc.property(fc.array(step, { minLength: 5, maxLength: 80 }), (steps) => {
      const aggregate = loadAggregate.create();
      const sites = Array.from({ length: 5 }, (_, i) => ({
        name: `s${i}`,
        view: peerLoadView.create(),
        rows: [] as LoadRow[],
      }));
      const late: (() => void)[] = [];
      let now = 0;
      function send(i: number, rows: LoadRow[], fate: Step['fate']): void {
        const router = sites[i]!;
        router.rows = rows;
        const number = peerLoadView.recordReport(router.view, stateSyncCodec.decodeLoads(rows));
        function arrive(): void {
          report(aggregate, router.name, router.name, number, rows, now);
        }
        if (fate === 'late') late.push(arrive);
        if (fate === 'arrives' || fate === 'twice') arrive();
        if (fate === 'twice') late.push(arrive);
      }
      for (const next of steps) {
        now += 20;
        const rows = new Map(
          next.rows.map(
            ([runnerIndex, tokens]) =>
              [
                runners[runnerIndex]!,
                [runners[runnerIndex]!, 1, tokens, tokens * 2, tokens % 3, tokens % 7] as LoadRow,
              ] as const,
          ),
        );
        send(next.site, [...rows.values()], next.fate);
        loadAggregate.publish(aggregate, standsMs, now);
        for (const total of aggregate.totals.values())
          for (const value of [...Object.values(total.live), ...Object.values(total.published)]) assert.ok(value >= 0);
        if (next.asks) ask(aggregate, sites[next.site]!.view, sites[next.site]!.name);
      }
      for (const arrive of late) arrive();
      sites.forEach((router, i) => {
        send(i, router.rows, 'arrives');
      });
      now += 1000;
      loadAggregate.publish(aggregate, standsMs, now);
      for (const router of sites) ask(aggregate, router.view, router.name);
      for (const router of sites) {
        for (const runner of runners) {
          const want = [0, 0, 0, 0, 0];
          for (const other of sites)
            if (other !== router)
              for (const row of other.rows)
                if (row[0] === runner)
                  [1, 2, 3, 4, 5].forEach((column) => {
                    want[column - 1]! += row[column] as number;
                  });
          assert.deepEqual(Object.values(peerLoadView.loadOf(router.view, runner)), want);
        }
      }
    }),
    { seed: 5, numRuns: 300 },
  );
});

test('a silent router, and the earlier incarnation of one that came back, have no load', () => {
  const aggregate = loadAggregate.create();
  report(aggregate, 'x', 'life-1', 7, [['a', 3, 5000, 9000, 2, 40]], 0);
  loadAggregate.publish(aggregate, standsMs, 10);
  report(aggregate, 'x', 'life-2', 1, [['b', 1, 2000, 4000, 0, 0]], 20);
  loadAggregate.publish(aggregate, standsMs, 30);
  assert.deepEqual(rowsSince(aggregate, 0), [['b', 1, 2000, 4000, 0, 0]]);
  assert.equal(loadAggregate.publishedReportNumber(aggregate, 'x', 'life-1'), 0);
  loadAggregate.publish(aggregate, standsMs, 30 + standsMs);
  assert.deepEqual(rowsSince(aggregate, 0), []);
});

test('small differences wait a few intervals, large ones are published at the next', () => {
  const aggregate = loadAggregate.create();
  report(aggregate, 'x', 'x', 1, [['a', 1, 100, 100, 0, 0]], 0);
  assert.equal(loadAggregate.publish(aggregate, standsMs, 20), false);
  report(aggregate, 'x', 'x', 2, [['a', 1, 5000, 100, 0, 0]], 30);
  assert.equal(loadAggregate.publish(aggregate, standsMs, 40), true);
  report(aggregate, 'x', 'x', 3, [['a', 1, 5001, 100, 0, 0]], 50);
  assert.equal(loadAggregate.publish(aggregate, standsMs, 60), false);
  assert.equal(loadAggregate.publish(aggregate, standsMs, 500), true);
});

// The law that docs/design.md states: a router is sent at most one row a runner per interval, however many
// routers there are, and the leader adds up each report once.
test('what a router is sent per interval does not grow with the number of routers', () => {
  function rowsTold(sites: number): number {
    const aggregate = loadAggregate.create();
    const view = peerLoadView.create();
    let count = 0;
    for (let beat = 0; beat < 50; beat++) {
      for (let i = 0; i < sites; i++)
        report(
          aggregate,
          `s${i}`,
          `s${i}`,
          beat + 1,
          [[runners[(i + beat) % 4]!, 1, 1000 + beat * 800, 5000, 0, 0]],
          beat * 20,
        );
      loadAggregate.publish(aggregate, standsMs, beat * 20);
      count += rowsSince(aggregate, view.revision).length;
      ask(aggregate, view, 's0');
    }
    return count;
  }
  const [at10, at20, at80] = [10, 20, 80].map(rowsTold) as [number, number, number];
  assert.ok(at10 <= 50 * runners.length);
  assert.ok(at80 <= 50 * runners.length && at80 <= at20 * 1.1, `${at10} ${at20} ${at80}`);
});

test('a total keeps the time at which it came, and is not made younger by answers that do not name it', () => {
  const view = peerLoadView.create();
  const totals = stateSyncCodec.decodeLoads([['a', 1, 2000, 0, 0, 0]]);
  peerLoadView.applyUpdate(view, { revision: 2, isFull: true, includedReport: 0, totals }, 100);
  peerLoadView.applyUpdate(view, { revision: 3, isFull: false, includedReport: 0, totals: new Map() }, 400);
  assert.deepEqual([peerLoadView.receivedAtOf(view, 'a'), peerLoadView.receivedAtOf(view, 'b')], [100, -Infinity]);
});
