import {setTimeout as sleep} from 'node:timers/promises';
import {runBackgroundReads} from './background_reads.js';
import {BenchDeployment, waitUntil} from './bench_deployment.js';
import {summarize} from './latency_summary.js';
import type {Scenario, ScenarioContext, ScenarioResult} from './scenario.js';

/** One proxy killed under load: time until its connection share is used again. */

const TRIALS = 3;
const SERVICE_TIME_MS = 40;
const RATE_PER_SECOND = 400;
const WARM_UP_MS = 4_000;
const MAX_TAKE_UP_MS = 10_000;
const TRIAL_MS = 24_000;
const TARGET_MS = 5_000;
const QUERY = 'SELECT * FROM boarding_manifest WHERE id = 1';

/** Share of the connections before the loss that counts as taken up. */
const TAKEN_UP_SHARE = 0.95;

/** @public */
export const proxyLossScenario: Scenario = {
  name: 'proxy-loss',
  description: 'time until the connection share of a killed proxy is in use',
  defaultPreset: 'malabar',
  run: context => BenchDeployment.run(context, bench => run(context, bench)),
};

async function run(
  context: ScenarioContext,
  bench: BenchDeployment,
): Promise<ScenarioResult> {
  const databaseGroup = bench.description.databaseGroups[0] ?? '';
  await bench.deployment.runAdminCommand({
    kind: 'limits',
    instance: '*',
    serviceTimeMs: SERVICE_TIME_MS,
  });
  const shareTakenUpMs: number[] = [];
  const connections: {before: number; after: number}[] = [];
  let notTakenUp = 0;
  for (let trial = 0; trial < TRIALS; trial++) {
    const reads = runBackgroundReads({
      bench,
      databaseGroup,
      query: QUERY,
      ratePerSecond: RATE_PER_SECOND,
      durationMs: TRIAL_MS,
      seed: context.seed + trial,
    });
    await sleep(WARM_UP_MS);
    const before = await countConnections(bench, databaseGroup);
    const killedAtMs = performance.now();
    await bench.deployment.killProxy(trial);
    await waitUntil(
      async () => (await countConnections(bench, databaseGroup)) < before,
      MAX_TAKE_UP_MS,
    );
    const isTakenUp = await waitUntil(
      async () =>
        (await countConnections(bench, databaseGroup)) >=
        before * TAKEN_UP_SHARE,
      MAX_TAKE_UP_MS,
    );
    shareTakenUpMs.push(performance.now() - killedAtMs);
    notTakenUp += isTakenUp ? 0 : 1;
    const after = await countConnections(bench, databaseGroup);
    connections.push({before, after});
    context.logger.info('trial', {before, after, ms: shareTakenUpMs.at(-1)});
    await bench.deployment.restartProxy(trial);
    await reads;
  }
  const summary = summarize(shareTakenUpMs);
  return {
    figures: {shareTakenUpMs: {...summary}, notTakenUp, connections},
    violations: 0,
    targets: [
      {
        target: `shareTakenUpMs.max <= ${TARGET_MS}`,
        isMet: summary.max <= TARGET_MS && notTakenUp === 0,
      },
    ],
    settings: {
      serviceTimeMs: SERVICE_TIME_MS,
      ratePerSecond: RATE_PER_SECOND,
      takenUpShare: TAKEN_UP_SHARE,
    },
  };
}

async function countConnections(
  bench: BenchDeployment,
  databaseGroup: string,
): Promise<number> {
  let sum = 0;
  for (const instance of await bench.getInstances()) {
    sum += instance.databaseGroup === databaseGroup ? instance.connections : 0;
  }
  return sum;
}
