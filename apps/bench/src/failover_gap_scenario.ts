import {setTimeout as sleep} from 'node:timers/promises';
import type {AdminCommand} from '@filbertrun/standin/admin_command.js';
import {BenchDeployment, waitUntil} from './bench_deployment.js';
import {BookingLoad} from './booking_load.js';
import {sumCounts, type BookingCounts} from './booking_writer.js';
import {summarize} from './latency_summary.js';
import type {Scenario, ScenarioContext, ScenarioResult} from './scenario.js';

/** Measures the write gap after a primary fails. */

const TRIALS_PER_GROUP = 7;
const WRITERS_PER_GROUP = 5;
const BLIND_WRITERS_PER_GROUP = 1;
const WRITE_INTERVAL_MS = 40;
const MAX_OUTAGE_MS = 10_000;
const MAX_REPAIR_MS = 10_000;
const PAUSE_MS = 700;
/** Distance between the first writer ids of two groups. */
const WRITER_IDS_PER_GROUP = 100;

/** Recent bookings after which writes count as recovered. */
const RECOVERY_BOOKINGS = 5;

const CRASH_TARGET_MS = 1_000;
const PARTITION_TARGET_MS = 1_500;

type FaultKind = 'crash' | 'partition';

interface Trial {
  readonly kind: FaultKind;
  readonly gapMs: number;
  /** Time until another instance became the primary. */
  readonly promotionMs: number;
}

interface GroupOutcome {
  readonly trials: readonly Trial[];
  /** Trials after which the group did not converge in time. */
  readonly unrepaired: number;
  readonly bookings: BookingCounts;
  readonly blindBookings: BookingCounts;
}

/** @public */
export const failoverGapScenario: Scenario = {
  name: 'failover-gap',
  description: 'time without writes after a crash or partition of a primary',
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
  const trials = outcomes.flatMap(each => each.trials);
  const crashes = trials.filter(trial => trial.kind === 'crash');
  const partitions = trials.filter(trial => trial.kind === 'partition');
  const crashGapMs = summarize(crashes.map(trial => trial.gapMs));
  const partitionGapMs = summarize(partitions.map(trial => trial.gapMs));
  const bookings = sumCounts(outcomes.map(each => each.bookings));
  const blind = sumCounts(outcomes.map(each => each.blindBookings));
  const {lostBookings, doubledBookings} = bookings;
  let unrepaired = 0;
  for (const outcome of outcomes) {
    unrepaired += outcome.unrepaired;
  }
  return {
    figures: {
      crashGapMs: {...crashGapMs},
      partitionGapMs: {...partitionGapMs},
      crashPromotionMs: {
        ...summarize(crashes.map(trial => trial.promotionMs)),
      },
      partitionPromotionMs: {
        ...summarize(partitions.map(trial => trial.promotionMs)),
      },
      lostBookings,
      doubledBookings,
      unrepaired,
      acknowledgedBookings: bookings.acknowledged,
      unknownOutcomes: bookings.unknownOutcomes,
      refusals: bookings.refusals,
      baselineBlindRepeat: {...blind},
    },
    violations: lostBookings + doubledBookings,
    targets: [
      {
        target: `crashGapMs.p99 <= ${CRASH_TARGET_MS}`,
        isMet: crashGapMs.p99 <= CRASH_TARGET_MS,
      },
      {
        target: `partitionGapMs.p99 <= ${PARTITION_TARGET_MS}`,
        isMet: partitionGapMs.p99 <= PARTITION_TARGET_MS,
      },
      {
        target: 'lostBookings = 0 and doubledBookings = 0',
        isMet: lostBookings + doubledBookings === 0,
      },
    ],
    settings: {
      trialsPerGroup: TRIALS_PER_GROUP,
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
  const common = {bench, databaseGroup, intervalMs: WRITE_INTERVAL_MS};
  const load = await BookingLoad.start({
    ...common,
    firstWriter: index * WRITER_IDS_PER_GROUP,
    writerCount: WRITERS_PER_GROUP,
    retryPolicy: 'byKey',
  });
  const blindLoad = await BookingLoad.start({
    ...common,
    firstWriter: index * WRITER_IDS_PER_GROUP + WRITERS_PER_GROUP,
    writerCount: BLIND_WRITERS_PER_GROUP,
    retryPolicy: 'blind',
  });
  const trials: Trial[] = [];
  let unrepaired = 0;
  for (let number = 0; number < 2 * TRIALS_PER_GROUP; number++) {
    const kind = number % 2 === 0 ? 'crash' : 'partition';
    await sleep(PAUSE_MS);
    const trial = await runTrial(bench, databaseGroup, load, kind);
    trials.push(trial);
    context.logger.info('trial', {databaseGroup, number, ...trial});
    const hasConverged = await waitUntil(
      () => bench.hasConverged(databaseGroup),
      MAX_REPAIR_MS,
    );
    unrepaired += hasConverged ? 0 : 1;
  }
  const bookings = await load.stop();
  const blindBookings = await blindLoad.stop();
  return {trials, unrepaired, bookings, blindBookings};
}

/** Breaks the primary, waits until writes recover, and repairs it. */
async function runTrial(
  bench: BenchDeployment,
  databaseGroup: string,
  load: BookingLoad,
  kind: FaultKind,
): Promise<Trial> {
  const primary = await bench.getPrimary(databaseGroup);
  const instance = primary.status.backendServer;
  const faultAtMs = performance.now();
  await bench.deployment.runAdminCommand(createFault(kind, instance));
  await waitUntil(
    () =>
      bench.getPrimary(databaseGroup).then(
        current => current.status.backendServer !== instance,
        () => false,
      ),
    MAX_OUTAGE_MS,
  );
  const promotionMs = performance.now() - faultAtMs;
  await waitUntil(
    () =>
      load.countAcknowledgedSince(performance.now() - PAUSE_MS / 2) >=
      RECOVERY_BOOKINGS,
    MAX_OUTAGE_MS,
  );
  const gapMs = load.getLongestGapMs(faultAtMs, performance.now());
  await bench.deployment.runAdminCommand(createRepair(kind, instance));
  return {kind, gapMs, promotionMs};
}

function createFault(kind: FaultKind, instance: string): AdminCommand {
  return kind === 'crash'
    ? {kind: 'crash', instance}
    : {kind: 'isolate', instance, isIsolated: true};
}

function createRepair(kind: FaultKind, instance: string): AdminCommand {
  return kind === 'crash'
    ? {kind: 'restart', instance}
    : {kind: 'isolate', instance, isIsolated: false};
}
