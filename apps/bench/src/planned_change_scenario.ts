import {setTimeout as sleep} from 'node:timers/promises';
import {BenchDeployment, waitUntil} from './bench_deployment.js';
import {BookingLoad} from './booking_load.js';
import {sumCounts, type BookingCounts} from './booking_writer.js';
import {summarize} from './latency_summary.js';
import type {Scenario, ScenarioContext, ScenarioResult} from './scenario.js';

/** Measures the write gap during a planned change of primary. */

const CHANGES_PER_GROUP = 7;
const WRITERS_PER_GROUP = 5;
const WRITE_INTERVAL_MS = 20;
const OBSERVATION_MS = 1_500;
const MAX_REPAIR_MS = 10_000;
/** Distance between the first writer ids of two groups. */
const WRITER_IDS_PER_GROUP = 100;
const TARGET_MS = 250;

interface GroupOutcome {
  readonly gapsMs: readonly number[];
  readonly refusedChanges: number;
  readonly bookings: BookingCounts;
}

/** @public */
export const plannedChangeScenario: Scenario = {
  name: 'planned-change',
  description: 'time without writes during a planned change of primary',
  defaultPreset: 'atlas',
  run: context => BenchDeployment.run(context, bench => run(context, bench)),
};

async function run(
  context: ScenarioContext,
  bench: BenchDeployment,
): Promise<ScenarioResult> {
  const outcomes = await Promise.all(
    bench.description.databaseGroups.map((databaseGroup, index) =>
      runGroup(context, bench, databaseGroup, index),
    ),
  );
  const gapMs = summarize(outcomes.flatMap(each => each.gapsMs));
  const bookings = sumCounts(outcomes.map(each => each.bookings));
  const callerErrors = bookings.refusals + bookings.unknownOutcomes;
  let refusedChanges = 0;
  for (const outcome of outcomes) {
    refusedChanges += outcome.refusedChanges;
  }
  return {
    figures: {gapMs: {...gapMs}, callerErrors, refusedChanges, ...bookings},
    violations: bookings.lostBookings + bookings.doubledBookings,
    targets: [
      {target: `gapMs.max <= ${TARGET_MS}`, isMet: gapMs.max <= TARGET_MS},
      {target: 'callerErrors = 0', isMet: callerErrors === 0},
      {target: 'refusedChanges = 0', isMet: refusedChanges === 0},
    ],
    settings: {
      changesPerGroup: CHANGES_PER_GROUP,
      writersPerGroup: WRITERS_PER_GROUP,
      writeIntervalMs: WRITE_INTERVAL_MS,
    },
  };
}

async function runGroup(
  context: ScenarioContext,
  bench: BenchDeployment,
  databaseGroup: string,
  index: number,
): Promise<GroupOutcome> {
  const load = await BookingLoad.start({
    bench,
    databaseGroup,
    firstWriter: index * WRITER_IDS_PER_GROUP,
    writerCount: WRITERS_PER_GROUP,
    intervalMs: WRITE_INTERVAL_MS,
    retryPolicy: 'byKey',
  });
  const gapsMs: number[] = [];
  let refusedChanges = 0;
  for (let change = 0; change < CHANGES_PER_GROUP; change++) {
    await sleep(OBSERVATION_MS);
    const startMs = performance.now();
    const response = await bench.operatorClient.changePrimary({
      databaseGroup,
      backendServer: null,
      changeId: `bench-${databaseGroup}-${change}`,
    });
    await sleep(OBSERVATION_MS);
    if (response.kind === 'changed') {
      gapsMs.push(load.getLongestGapMs(startMs, performance.now()));
    } else {
      refusedChanges++;
    }
    context.logger.info('change', {databaseGroup, change, ...response});
    await waitUntil(() => bench.hasConverged(databaseGroup), MAX_REPAIR_MS);
  }
  return {gapsMs, refusedChanges, bookings: await load.stop()};
}
