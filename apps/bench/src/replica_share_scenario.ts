import {setTimeout as sleep} from 'node:timers/promises';
import {
  SeededRandom,
  type RandomSource,
} from '@filbertrun/base/random_source.js';
import {WILDCARD, type ReadRule} from '@filbertrun/model/configuration.js';
import {getPreset} from '@filbertrun/standin/presets.js';
import {BenchDeployment} from './bench_deployment.js';
import {LatencyRecorder, type LatencySummary} from './latency_summary.js';
import {runOpenLoop} from './open_loop.js';
import type {Scenario, ScenarioContext, ScenarioResult} from './scenario.js';
import {SessionPool, type PooledCaller} from './session_pool.js';
import {StalenessProbe} from './staleness_probe.js';
import {classifyFailure} from './statement_failure.js';

/** Share of reads served by replicas under a public-timetable workload. */

const READ_SHARE = 0.9;
const AGE_READ_SHARE = 0.9;
const MAX_AGE_MS = 5_000;
const RATE_PER_SECOND = 600;
const DURATION_MS = 30_000;
const BASELINE_DURATION_MS = 10_000;
const CALLERS_PER_PROXY_AND_GROUP = 4;
const LAGGING_REPLICA_MS = 2_000;
const TARGET_SHARE = 0.95;
const BASELINE_APPLICATION = 'bench-primary-only';
const RULES_PROPAGATION_MS = 1_500;

/** A caller's row in `boarding_manifest` and its last acknowledged value. */
interface CallerState {
  readonly id: number;
  readonly databaseGroup: string;
  acknowledged: number;
}

interface LoadResult {
  readonly share: number;
  readonly reads: number;
  readonly failures: number;
  readonly staleReads: number;
  readonly discardedReads: number;
  readonly readMs: LatencySummary;
  readonly writeMs: LatencySummary;
}

/** @public */
export const replicaShareScenario: Scenario = {
  name: 'replica-share',
  description: 'share of reads on replicas, with no read staler than allowed',
  defaultPreset: 'malabar',
  run: context => BenchDeployment.run(context, bench => run(context, bench)),
};

async function run(
  context: ScenarioContext,
  bench: BenchDeployment,
): Promise<ScenarioResult> {
  const {databaseGroups} = bench.description;
  const lagging = await delayOneReplica(bench, databaseGroups[0] ?? '');
  const probes = await Promise.all(
    databaseGroups.map(databaseGroup =>
      StalenessProbe.start(bench, databaseGroup),
    ),
  );
  const common = {bench, probes, databaseGroups, seed: context.seed};
  const product = await measureLoad({
    ...common,
    applicationName: 'public-site',
    durationMs: DURATION_MS,
    firstId: 1_000,
  });
  context.logger.info('product_measured', {...product});
  await routeBaselineToPrimary(context, bench);
  const baseline = await measureLoad({
    ...common,
    applicationName: BASELINE_APPLICATION,
    durationMs: BASELINE_DURATION_MS,
    firstId: 2_000,
  });
  for (const probe of probes) {
    await probe.stop();
  }
  const violations = product.staleReads + baseline.staleReads;
  return {
    figures: {
      replicaReadShare: product.share,
      violations,
      product: {
        ...product,
        readMs: {...product.readMs},
        writeMs: {...product.writeMs},
      },
      baselineAllReadsToPrimary: {
        ...baseline,
        readMs: {...baseline.readMs},
        writeMs: {...baseline.writeMs},
      },
    },
    violations,
    targets: [
      {
        target: `replicaReadShare >= ${TARGET_SHARE}`,
        isMet: product.share >= TARGET_SHARE,
      },
      {target: 'violations = 0', isMet: violations === 0},
    ],
    settings: {
      ratePerSecond: RATE_PER_SECOND,
      readShare: READ_SHARE,
      ageReadShare: AGE_READ_SHARE,
      maxAgeMs: MAX_AGE_MS,
      laggingReplica: lagging,
      laggingReplicaMs: LAGGING_REPLICA_MS,
    },
  };
}

/** Adds replication lag to one replica and returns its name. */
async function delayOneReplica(
  bench: BenchDeployment,
  databaseGroup: string,
): Promise<string> {
  const instances = await bench.getInstances();
  const replica = instances.find(
    instance =>
      instance.databaseGroup === databaseGroup &&
      instance.status.role === 'replica',
  );
  const instance = replica?.status.backendServer ?? '';
  await bench.deployment.runAdminCommand({
    kind: 'lag',
    instance,
    lagMs: LAGGING_REPLICA_MS,
  });
  return instance;
}

/**
 * Makes all reads of the baseline application strict, which routes them to the
 * primary.
 */
async function routeBaselineToPrimary(
  context: ScenarioContext,
  bench: BenchDeployment,
): Promise<void> {
  const preset = getPreset(context.preset);
  const strictRules = preset.databaseGroups.map<ReadRule>(databaseGroup => ({
    application: BASELINE_APPLICATION,
    databaseGroup,
    table: WILDCARD,
    consistency: 'strict',
    maxAgeMs: null,
    priority: 'normal',
  }));
  await bench.submitChange('bench-baseline', {
    kind: 'replaceReadRules',
    readRules: [...preset.readRules, ...strictRules],
  });
  await sleep(RULES_PROPAGATION_MS);
}

interface MeasureOptions {
  readonly bench: BenchDeployment;
  readonly probes: readonly StalenessProbe[];
  readonly databaseGroups: readonly string[];
  readonly seed: number;
  readonly applicationName: string;
  readonly durationMs: number;
  readonly firstId: number;
}

async function measureLoad(options: MeasureOptions): Promise<LoadResult> {
  const {bench, databaseGroups, applicationName} = options;
  const random = SeededRandom.create(options.seed);
  const pool = await SessionPool.create<CallerState>({
    bench,
    databaseGroups,
    applicationName,
    callersPerProxyAndGroup: CALLERS_PER_PROXY_AND_GROUP,
    createState: (index, databaseGroup) => ({
      id: options.firstId + index,
      databaseGroup,
      acknowledged: 0,
    }),
  });
  for (const {session, state} of pool.callers) {
    await session.query(
      `INSERT INTO boarding_manifest (id, run, headcount) VALUES (${state.id}, 'bench', 0)`,
    );
  }
  const before = await countReads(bench);
  const load = ReplicaShareLoad.create(options.probes, random);
  await runOpenLoop({
    ratePerSecond: RATE_PER_SECOND,
    durationMs: options.durationMs,
    random,
    handleArrival: arrivedAtMs =>
      pool.run(caller => load.handleRequest(caller, arrivedAtMs)),
  });
  const after = await countReads(bench);
  await pool.end();
  const replica = after.replica - before.replica;
  const primary = after.primary - before.primary;
  return {
    share: replica / Math.max(1, replica + primary),
    reads: replica + primary,
    failures: load.failures,
    staleReads: load.staleReads,
    discardedReads: after.discarded - before.discarded,
    readMs: load.readLatency.getSummary(),
    writeMs: load.writeLatency.getSummary(),
  };
}

interface ReadCounts {
  readonly replica: number;
  readonly primary: number;
  readonly discarded: number;
}

async function countReads(bench: BenchDeployment): Promise<ReadCounts> {
  const name = 'filbertrun_reads_total';
  return {
    replica: await bench.sumMetric(name, {target: 'replica'}),
    primary: await bench.sumMetric(name, {target: 'primary'}),
    discarded: await bench.sumMetric('filbertrun_reads_discarded_total'),
  };
}

/** Runs a random mix of reads and writes and counts stale reads. */
class ReplicaShareLoad {
  readonly readLatency = LatencyRecorder.create();
  readonly writeLatency = LatencyRecorder.create();
  staleReads = 0;
  failures = 0;

  private constructor(
    private readonly probes: ReadonlyMap<string, StalenessProbe>,
    private readonly random: RandomSource,
  ) {}

  static create(
    probes: readonly StalenessProbe[],
    random: RandomSource,
  ): ReplicaShareLoad {
    const byGroup = new Map(probes.map(probe => [probe.databaseGroup, probe]));
    return new ReplicaShareLoad(byGroup, random);
  }

  async handleRequest(
    caller: PooledCaller<CallerState>,
    arrivedAtMs: number,
  ): Promise<void> {
    const isRead = this.random.nextFloat() < READ_SHARE;
    try {
      if (!isRead) {
        await this.write(caller);
      } else if (this.random.nextFloat() < AGE_READ_SHARE) {
        await this.readTimetable(caller);
      } else {
        await this.readOwnRow(caller);
      }
    } catch (error) {
      classifyFailure(error);
      this.failures++;
      return;
    }
    const latency = isRead ? this.readLatency : this.writeLatency;
    latency.record(performance.now() - arrivedAtMs);
  }

  private async write({
    session,
    state,
  }: PooledCaller<CallerState>): Promise<void> {
    const headcount = state.acknowledged + 1;
    await session.query(
      `UPDATE boarding_manifest SET headcount = ${headcount} WHERE id = ${state.id}`,
    );
    state.acknowledged = headcount;
  }

  private async readOwnRow({
    session,
    state,
  }: PooledCaller<CallerState>): Promise<void> {
    const minHeadcount = state.acknowledged;
    const {rows} = await session.query(
      `SELECT headcount FROM boarding_manifest WHERE id = ${state.id}`,
    );
    this.staleReads +=
      Number(rows[0]?.['headcount'] ?? -1) < minHeadcount ? 1 : 0;
  }

  private async readTimetable({
    session,
    state,
  }: PooledCaller<CallerState>): Promise<void> {
    const probe = this.probes.get(state.databaseGroup);
    const minValue =
      probe?.getAcknowledgedValueAt(performance.now() - MAX_AGE_MS) ?? 0;
    const {rows} = await session.query(StalenessProbe.QUERY);
    this.staleReads += StalenessProbe.parseValue(rows[0]) < minValue ? 1 : 0;
  }
}
