import {setTimeout as sleep} from 'node:timers/promises';
import {BenchDeployment} from './bench_deployment.js';
import {BookingLoad} from './booking_load.js';
import {sumCounts} from './booking_writer.js';
import {summarize} from './latency_summary.js';
import type {Scenario, ScenarioContext, ScenarioResult} from './scenario.js';

/** Stops all proxies gracefully, one after another, under load. */

const WRITERS_PER_GROUP = 10;
/** Distance between the first writer ids of two groups. */
const WRITER_IDS_PER_GROUP = 100;
const WRITE_INTERVAL_MS = 20;
const PAUSE_MS = 1_500;

/** @public */
export const rollingStopScenario: Scenario = {
  name: 'rolling-stop',
  description: 'requests cut off while all proxies are stopped in turn',
  defaultPreset: 'atlas',
  run: context => BenchDeployment.run(context, bench => run(context, bench)),
};

async function run(
  context: ScenarioContext,
  bench: BenchDeployment,
): Promise<ScenarioResult> {
  const loads: BookingLoad[] = [];
  for (const [index, group] of bench.description.databaseGroups.entries()) {
    loads.push(
      await BookingLoad.start({
        bench,
        databaseGroup: group,
        firstWriter: index * WRITER_IDS_PER_GROUP,
        writerCount: WRITERS_PER_GROUP,
        intervalMs: WRITE_INTERVAL_MS,
        retryPolicy: 'byKey',
      }),
    );
  }
  const stopMs: number[] = [];
  for (const index of bench.description.proxies.keys()) {
    await sleep(PAUSE_MS);
    const startMs = performance.now();
    await bench.deployment.stopProxy(index);
    stopMs.push(performance.now() - startMs);
    context.logger.info('stopped', {index, stopMs: stopMs.at(-1)});
    await sleep(PAUSE_MS);
    await bench.deployment.restartProxy(index);
  }
  await sleep(PAUSE_MS);
  const counts = sumCounts(await Promise.all(loads.map(load => load.stop())));
  const requestsCutOff = counts.unknownOutcomes;
  const violations = counts.lostBookings + counts.doubledBookings;
  return {
    figures: {requestsCutOff, stopMs: {...summarize(stopMs)}, ...counts},
    violations,
    targets: [
      {target: 'requestsCutOff = 0', isMet: requestsCutOff === 0},
      {target: 'violations = 0', isMet: violations === 0},
    ],
    settings: {
      writersPerGroup: WRITERS_PER_GROUP,
      writeIntervalMs: WRITE_INTERVAL_MS,
    },
  };
}
