import {setTimeout as sleep} from 'node:timers/promises';
import {BenchDeployment, waitUntil} from './bench_deployment.js';
import type {CallerSession} from './caller_session.js';
import {summarize} from './latency_summary.js';
import type {Scenario, ScenarioContext, ScenarioResult} from './scenario.js';

/**
 * Kills one proxy under load and measures the time until the other proxies use
 * its connection share.
 */

const TRIALS = 3;
const CALLERS_PER_PROXY = 12;
const TRANSACTION_PAUSE_MS = 100;
const WARM_UP_MS = 6_000;
const SHARE_IN_USE_TIMEOUT_MS = 15_000;
const TARGET_MS = 5_000;
const QUERY = 'SELECT * FROM boarding_manifest WHERE id = 1';

/**
 * Fraction of the connections before the loss that must be open again for the
 * share to count as in use.
 */
const SHARE_IN_USE_FRACTION = 0.95;

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
  const shareTakenUpMs: number[] = [];
  const connections: {before: number; lowest: number; after: number}[] = [];
  let notTakenUp = 0;
  for (let trial = 0; trial < TRIALS; trial++) {
    const load = await TransactionLoad.start(bench, databaseGroup);
    await sleep(WARM_UP_MS);
    const before = await countConnections(bench, databaseGroup);
    const killedAtMs = performance.now();
    await bench.deployment.killProxy(trial);
    let lowest = before;
    const isShareInUse = await waitUntil(async () => {
      const current = await countConnections(bench, databaseGroup);
      const isLost = lowest < before * SHARE_IN_USE_FRACTION;
      lowest = Math.min(lowest, current);
      return isLost && current >= before * SHARE_IN_USE_FRACTION;
    }, SHARE_IN_USE_TIMEOUT_MS);
    shareTakenUpMs.push(performance.now() - killedAtMs);
    notTakenUp += isShareInUse ? 0 : 1;
    const after = await countConnections(bench, databaseGroup);
    connections.push({before, lowest, after});
    context.logger.info('trial', {before, lowest, after});
    await load.stop();
    await bench.deployment.restartProxy(trial);
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
      callersPerProxy: CALLERS_PER_PROXY,
      transactionPauseMs: TRANSACTION_PAUSE_MS,
      takenUpShare: SHARE_IN_USE_FRACTION,
    },
  };
}

/**
 * Callers that hold transactions open on the primary. There are more callers
 * than connections, so that every connection share is in use.
 */
class TransactionLoad {
  private isStopping = false;
  private readonly runs: Promise<void>[] = [];

  private constructor() {}

  static async start(
    bench: BenchDeployment,
    databaseGroup: string,
  ): Promise<TransactionLoad> {
    const load = new TransactionLoad();
    for (const index of bench.description.proxies.keys()) {
      for (let caller = 0; caller < CALLERS_PER_PROXY; caller++) {
        const session = await bench.connect(index, databaseGroup);
        load.runs.push(load.run(session));
      }
    }
    return load;
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    await Promise.all(this.runs);
  }

  private async run(session: CallerSession): Promise<void> {
    while (!this.isStopping && !session.hasEnded) {
      try {
        await session.query('BEGIN');
        await session.query(QUERY);
        await sleep(TRANSACTION_PAUSE_MS);
        await session.query('COMMIT');
      } catch {
        await sleep(TRANSACTION_PAUSE_MS);
        await session.query('ROLLBACK').catch(() => undefined);
      }
    }
    await session.end();
  }
}

/** Counts the connections of all proxies to the primary of a group. */
async function countConnections(
  bench: BenchDeployment,
  databaseGroup: string,
): Promise<number> {
  return (await bench.getPrimary(databaseGroup)).connections;
}
