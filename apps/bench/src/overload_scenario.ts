import {SeededRandom} from '@filbertrun/base/random_source.js';
import {BenchDeployment} from './bench_deployment.js';
import {LatencyRecorder} from './latency_summary.js';
import {runOpenLoop} from './open_loop.js';
import type {Scenario, ScenarioContext, ScenarioResult} from './scenario.js';
import {SessionPool, type PooledCaller} from './session_pool.js';
import {classifyFailure} from './statement_failure.js';

/**
 * Goodput and refusals under three times the load that the database groups can
 * serve.
 */

const SERVICE_TIME_MS = 10;
const BOOKING_SHARE = 0.05;
const LOOKUP_CALLERS_PER_PROXY_AND_GROUP = 60;
const BOOKING_CALLERS_PER_PROXY_AND_GROUP = 12;
const STEP_DURATION_MS = 6_000;
const OVERLOAD_DURATION_MS = 15_000;
const OVERLOAD_FACTOR = 3;
const STATEMENT_DEADLINE_MS = 1_000;
const GOODPUT_TARGET = 0.9;
const BOOKING_TARGET = 0.95;
const REFUSAL_TARGET_MS = 50;
const MS_PER_SECOND = 1_000;
const REFUSED_SQL_STATE = '53300';

/** Loads for finding the peak goodput, relative to the nominal capacity. */
const PEAK_STEPS = [0.6, 0.8, 1, 1.2] as const;

/** State of one simulated caller. */
interface CallerState {
  nextId: number;
}

type RequestKind = 'booking' | 'lookup';

type CallerPools = Readonly<Record<RequestKind, SessionPool<CallerState>>>;

interface LoadResult {
  readonly goodputPerSecond: number;
  readonly offeredPerSecond: number;
  readonly bookingShare: number;
  readonly lookupShare: number;
  /** Counts by kind of request and SQLSTATE, for example `booking_53300`. */
  readonly failures: Readonly<Record<string, number>>;
  readonly refusalP50Ms: number;
  readonly refusals: number;
  readonly refusalP99Ms: number;
  readonly servedP99Ms: number;
}

/** @public */
export const overloadScenario: Scenario = {
  name: 'overload',
  description: 'goodput, bookings and refusals at 3 times the capacity',
  defaultPreset: 'malabar',
  run: context =>
    BenchDeployment.run(context, bench => run(context, bench), {
      'statement-deadline-ms': String(STATEMENT_DEADLINE_MS),
    }),
};

async function run(
  context: ScenarioContext,
  bench: BenchDeployment,
): Promise<ScenarioResult> {
  const {databaseGroups} = bench.description;
  const capacityPerSecond = await limitInstances(bench);
  const common = {
    bench,
    databaseGroups,
    applicationName: 'bench-overload',
    createState: (index: number) => ({nextId: 10_000_000 + index * 100_000}),
  };
  // Bookings and lookups use separate callers so that a slow lookup does not
  // delay the sending of a booking.
  const pools: CallerPools = {
    booking: await SessionPool.create<CallerState>({
      ...common,
      callersPerProxyAndGroup: BOOKING_CALLERS_PER_PROXY_AND_GROUP,
    }),
    lookup: await SessionPool.create<CallerState>({
      ...common,
      callersPerProxyAndGroup: LOOKUP_CALLERS_PER_PROXY_AND_GROUP,
    }),
  };
  let peakPerSecond = 0;
  const steps: {offeredPerSecond: number; goodputPerSecond: number}[] = [];
  for (const step of PEAK_STEPS) {
    const {offeredPerSecond, goodputPerSecond} = await measureLoad(
      context,
      pools,
      capacityPerSecond * step,
      STEP_DURATION_MS,
    );
    steps.push({offeredPerSecond, goodputPerSecond});
    peakPerSecond = Math.max(peakPerSecond, goodputPerSecond);
    context.logger.info('step', {offeredPerSecond, goodputPerSecond});
  }
  const overload = await measureLoad(
    context,
    pools,
    capacityPerSecond * OVERLOAD_FACTOR,
    OVERLOAD_DURATION_MS,
  );
  await pools.booking.end();
  await pools.lookup.end();
  const goodputRatio = overload.goodputPerSecond / peakPerSecond;
  const {bookingShare, refusalP99Ms} = overload;
  return {
    figures: {goodputRatio, peakPerSecond, steps, ...overload},
    violations: 0,
    targets: [
      {
        target: `goodputRatio >= ${GOODPUT_TARGET}`,
        isMet: goodputRatio >= GOODPUT_TARGET,
      },
      {
        target: `bookingShare >= ${BOOKING_TARGET}`,
        isMet: bookingShare >= BOOKING_TARGET,
      },
      {
        target: `refusalP99Ms <= ${REFUSAL_TARGET_MS}, counted from sending`,
        isMet: refusalP99Ms <= REFUSAL_TARGET_MS,
      },
    ],
    settings: {
      serviceTimeMs: SERVICE_TIME_MS,
      bookingShare: BOOKING_SHARE,
      nominalCapacityPerSecond: capacityPerSecond,
      statementDeadlineMs: STATEMENT_DEADLINE_MS,
    },
  };
}

/**
 * Sets a service time for every statement and returns the resulting capacity
 * in statements per second.
 */
async function limitInstances(bench: BenchDeployment): Promise<number> {
  await bench.deployment.runAdminCommand({
    kind: 'limits',
    instance: '*',
    serviceTimeMs: SERVICE_TIME_MS,
  });
  const instances = await bench.getInstances();
  let slots = 0;
  for (const instance of instances) {
    slots += instance.limits.slots;
  }
  return (slots * MS_PER_SECOND) / SERVICE_TIME_MS;
}

async function measureLoad(
  context: ScenarioContext,
  pools: CallerPools,
  ratePerSecond: number,
  durationMs: number,
): Promise<LoadResult> {
  const random = SeededRandom.create(context.seed);
  const served = LatencyRecorder.create();
  const refused = LatencyRecorder.create();
  const offered = {booking: 0, lookup: 0};
  const answered = {booking: 0, lookup: 0};
  const failures: Record<string, number> = {};
  const handle = async (
    {session, state}: PooledCaller<CallerState>,
    kind: RequestKind,
    arrivedAtMs: number,
  ) => {
    const sentAtMs = performance.now();
    try {
      await session.query(
        kind === 'booking'
          ? `INSERT INTO seat_booking (id, run, passenger) VALUES (${state.nextId++}, 'bench', 'p')`
          : 'SELECT * FROM timetable WHERE id = 2',
      );
      served.record(performance.now() - arrivedAtMs);
      answered[kind]++;
    } catch (error) {
      const sqlState = classifyFailure(error).sqlState ?? 'none';
      const name = `${kind}_${sqlState}`;
      failures[name] = (failures[name] ?? 0) + 1;
      if (sqlState === REFUSED_SQL_STATE) {
        refused.record(performance.now() - sentAtMs);
      }
    }
  };
  const count = await runOpenLoop({
    ratePerSecond,
    durationMs,
    random,
    handleArrival: arrivedAtMs => {
      const isBooking = random.nextFloat() < BOOKING_SHARE;
      const kind = isBooking ? 'booking' : 'lookup';
      offered[kind]++;
      return pools[kind].run(caller => handle(caller, kind, arrivedAtMs));
    },
  });
  const seconds = durationMs / MS_PER_SECOND;
  return {
    offeredPerSecond: count / seconds,
    goodputPerSecond: (answered.booking + answered.lookup) / seconds,
    bookingShare: answered.booking / Math.max(1, offered.booking),
    lookupShare: answered.lookup / Math.max(1, offered.lookup),
    failures,
    refusalP50Ms: refused.getSummary().p50,
    refusals: refused.getSummary().count,
    refusalP99Ms: refused.getSummary().p99,
    servedP99Ms: served.getSummary().p99,
  };
}
