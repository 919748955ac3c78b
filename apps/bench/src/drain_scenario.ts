import {setTimeout as sleep} from 'node:timers/promises';
import {runBackgroundReads} from './background_reads.js';
import {BenchDeployment} from './bench_deployment.js';
import {summarize} from './latency_summary.js';
import type {Scenario, ScenarioContext, ScenarioResult} from './scenario.js';

/** Measures how long a drained backend server still gets new work. */

const ROUNDS = 6;
const RATE_PER_SECOND = 600;
const WARM_UP_MS = 1_500;
const OBSERVATION_MS = 4_000;
const POLL_INTERVAL_MS = 20;
const TARGET_MS = 2_000;
const QUERY = 'SELECT * FROM timetable WHERE id = 2';

/**
 * Statements between two polls that health probes alone can cause. The load
 * causes far more.
 */
const PROBE_STATEMENTS_PER_POLL = 2;

interface Round {
  readonly lastNewWorkMs: number;
  /** Statement rate of the backend server before the drain. */
  readonly loadedPerSecond: number;
  /** Statement rate of the backend server after the drain. */
  readonly drainedPerSecond: number;
}

/** @public */
export const drainScenario: Scenario = {
  name: 'drain',
  description: 'last new work on a backend server after its drain is accepted',
  defaultPreset: 'malabar',
  run: context => BenchDeployment.run(context, bench => run(context, bench)),
};

async function run(
  context: ScenarioContext,
  bench: BenchDeployment,
): Promise<ScenarioResult> {
  const databaseGroup = bench.description.databaseGroups[0] ?? '';
  const roundMs = WARM_UP_MS + OBSERVATION_MS + WARM_UP_MS;
  const reads = runBackgroundReads({
    bench,
    databaseGroup,
    query: QUERY,
    ratePerSecond: RATE_PER_SECOND,
    durationMs: ROUNDS * roundMs,
    seed: context.seed,
  });
  const rounds: Round[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    await sleep(WARM_UP_MS);
    rounds.push(await runRound(bench, databaseGroup, round));
    context.logger.info('round', {...rounds.at(-1)});
  }
  const failures = await reads;
  const lastNewWorkMs = summarize(rounds.map(round => round.lastNewWorkMs));
  return {
    figures: {
      lastNewWorkMs: {...lastNewWorkMs},
      failures,
      rounds: rounds.map(round => ({...round})),
    },
    violations: 0,
    targets: [
      {
        target: `lastNewWorkMs.max <= ${TARGET_MS}`,
        isMet: lastNewWorkMs.max <= TARGET_MS,
      },
      {target: 'failures = 0', isMet: failures === 0},
    ],
    settings: {ratePerSecond: RATE_PER_SECOND, rounds: ROUNDS},
  };
}

/** Drains a replica under load and undrains it again. */
async function runRound(
  bench: BenchDeployment,
  databaseGroup: string,
  round: number,
): Promise<Round> {
  const replicas = (await bench.getInstances()).filter(
    instance =>
      instance.databaseGroup === databaseGroup &&
      instance.status.role === 'replica',
  );
  const backendServer =
    replicas[round % replicas.length]?.status.backendServer ?? '';
  const loadedPerSecond = await measureStatementRate(
    bench,
    backendServer,
    WARM_UP_MS / 2,
  );
  await bench.submitChange(`bench-drain-${round}`, {
    kind: 'drainBackendServer',
    backendServer,
  });
  const acceptedAtMs = performance.now();
  const lastNewWorkMs = await findLastWorkMs(
    bench,
    backendServer,
    acceptedAtMs,
  );
  const drainedPerSecond = await measureStatementRate(
    bench,
    backendServer,
    WARM_UP_MS / 2,
  );
  await bench.submitChange(`bench-undrain-${round}`, {
    kind: 'undrainBackendServer',
    backendServer,
  });
  return {lastNewWorkMs, loadedPerSecond, drainedPerSecond};
}

/**
 * Returns the time from the acceptance of the drain to the last poll that found
 * more statements than health probes cause.
 */
async function findLastWorkMs(
  bench: BenchDeployment,
  backendServer: string,
  acceptedAtMs: number,
): Promise<number> {
  let lastWorkMs = 0;
  let previous = await countStatements(bench, backendServer);
  while (performance.now() - acceptedAtMs < OBSERVATION_MS) {
    await sleep(POLL_INTERVAL_MS);
    const current = await countStatements(bench, backendServer);
    if (current - previous > PROBE_STATEMENTS_PER_POLL) {
      lastWorkMs = performance.now() - acceptedAtMs;
    }
    previous = current;
  }
  return lastWorkMs;
}

async function measureStatementRate(
  bench: BenchDeployment,
  backendServer: string,
  durationMs: number,
): Promise<number> {
  const before = await countStatements(bench, backendServer);
  await sleep(durationMs);
  const after = await countStatements(bench, backendServer);
  return ((after - before) * 1000) / durationMs;
}

async function countStatements(
  bench: BenchDeployment,
  backendServer: string,
): Promise<number> {
  const instances = await bench.getInstances();
  const instance = instances.find(
    each => each.status.backendServer === backendServer,
  );
  return instance?.executedStatements ?? 0;
}
