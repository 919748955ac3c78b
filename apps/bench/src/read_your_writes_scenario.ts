import {BenchDeployment} from './bench_deployment.js';
import {summarize, type LatencySummary} from './latency_summary.js';
import type {Scenario, ScenarioResult} from './scenario.js';

/**
 * Writes a row through one proxy and reads it through every other proxy with
 * the writer's session token.
 */

const LAG_MS = 2_000;
const CALLERS = 10;

interface Round {
  readonly name: string;
  readonly writes: number;
  readonly laggingReplicas: number;
}

const ROUNDS: readonly Round[] = [
  {name: 'oneReplicaLagging', writes: 1_000, laggingReplicas: 1},
  {name: 'bothReplicasLagging', writes: 100, laggingReplicas: 2},
];

interface RoundOutcome {
  readonly writes: number;
  readonly reads: number;
  readonly staleReads: number;
  readonly writeMs: LatencySummary;
  readonly readMs: LatencySummary;
}

/** @public */
export const readYourWritesScenario: Scenario = {
  name: 'read-your-writes',
  description: 'reads of a write through every other proxy',
  defaultPreset: 'malabar',
  run: context => BenchDeployment.run(context, bench => run(bench)),
};

async function run(bench: BenchDeployment): Promise<ScenarioResult> {
  const databaseGroup = bench.description.databaseGroups[0] ?? '';
  const outcomes: Record<string, RoundOutcome> = {};
  let violations = 0;
  for (const [index, round] of ROUNDS.entries()) {
    const firstId = (index + 1) * 100_000;
    const outcome = await runRound(bench, databaseGroup, round, firstId);
    outcomes[round.name] = outcome;
    violations += outcome.staleReads;
  }
  return {
    figures: Object.fromEntries(
      Object.entries(outcomes).map(([name, outcome]) => [
        name,
        {
          ...outcome,
          writeMs: {...outcome.writeMs},
          readMs: {...outcome.readMs},
        },
      ]),
    ),
    violations,
    targets: [{target: 'staleReads = 0', isMet: violations === 0}],
    settings: {lagMs: LAG_MS, callers: CALLERS},
  };
}

async function runRound(
  bench: BenchDeployment,
  databaseGroup: string,
  round: Round,
  firstId: number,
): Promise<RoundOutcome> {
  await delayReplicas(bench, databaseGroup, round.laggingReplicas);
  const writeTimesMs: number[] = [];
  const readTimesMs: number[] = [];
  let staleReads = 0;
  let nextWrite = 0;
  const runCaller = async (caller: number) => {
    const sessions = await Promise.all(
      bench.description.proxies.map((_, index) =>
        bench.connect(index, databaseGroup),
      ),
    );
    while (nextWrite < round.writes) {
      const write = nextWrite++;
      const writerIndex = (write + caller) % sessions.length;
      const writer = sessions[writerIndex];
      const id = firstId + write;
      const writeAtMs = performance.now();
      await writer?.query(
        `INSERT INTO boarding_manifest (id, run, headcount) VALUES (${id}, 'bench', ${write})`,
      );
      writeTimesMs.push(performance.now() - writeAtMs);
      for (const [index, reader] of sessions.entries()) {
        if (index === writerIndex) {
          continue;
        }
        await reader.useToken(writer?.sessionToken ?? '');
        const readAtMs = performance.now();
        const {rows} = await reader.query(
          `SELECT headcount FROM boarding_manifest WHERE id = ${id}`,
        );
        readTimesMs.push(performance.now() - readAtMs);
        staleReads += Number(rows[0]?.['headcount'] ?? -1) === write ? 0 : 1;
      }
    }
    await Promise.all(sessions.map(session => session.end()));
  };
  await Promise.all(
    Array.from({length: CALLERS}, (_, caller) => runCaller(caller)),
  );
  return {
    writes: writeTimesMs.length,
    reads: readTimesMs.length,
    staleReads,
    writeMs: summarize(writeTimesMs),
    readMs: summarize(readTimesMs),
  };
}

async function delayReplicas(
  bench: BenchDeployment,
  databaseGroup: string,
  laggingReplicas: number,
): Promise<void> {
  const instances = await bench.getInstances();
  const replicas = instances.filter(
    instance =>
      instance.databaseGroup === databaseGroup &&
      instance.status.role === 'replica',
  );
  for (const replica of replicas.slice(0, laggingReplicas)) {
    await bench.deployment.runAdminCommand({
      kind: 'lag',
      instance: replica.status.backendServer,
      lagMs: LAG_MS,
    });
  }
}
