import {SeededRandom} from '@filbertrun/base/random_source.js';
import type {BenchDeployment} from './bench_deployment.js';
import {runOpenLoop} from './open_loop.js';
import {SessionPool} from './session_pool.js';

/** Background load of reads. */

const CALLERS_PER_PROXY = 4;

/** Options of `runBackgroundReads`. @public */
export interface BackgroundReadOptions {
  readonly bench: BenchDeployment;
  readonly databaseGroup: string;
  readonly query: string;
  readonly ratePerSecond: number;
  readonly durationMs: number;
  readonly seed: number;
}

/** Runs the reads and returns the number of failures. @public */
export async function runBackgroundReads(
  options: BackgroundReadOptions,
): Promise<number> {
  const {bench, databaseGroup, query} = options;
  const pool = await SessionPool.create({
    bench,
    databaseGroups: [databaseGroup],
    callersPerProxyAndGroup: CALLERS_PER_PROXY,
    applicationName: 'bench-reads',
    createState: () => null,
  });
  let failures = 0;
  await runOpenLoop({
    ratePerSecond: options.ratePerSecond,
    durationMs: options.durationMs,
    random: SeededRandom.create(options.seed),
    handleArrival: () =>
      pool.run(async ({session}) => {
        await session.query(query).catch(() => {
          failures++;
        });
      }),
  });
  await pool.end();
  return failures;
}
