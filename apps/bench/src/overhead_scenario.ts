import {setTimeout as sleep} from 'node:timers/promises';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {BenchDeployment} from './bench_deployment.js';
import {CallerSession} from './caller_session.js';
import {LatencyRecorder, type LatencySummary} from './latency_summary.js';
import {runOpenLoop} from './open_loop.js';
import {getCpuTimeMs, getResidentBytes} from './process_usage.js';
import type {Scenario, ScenarioContext, ScenarioResult} from './scenario.js';
import {createQueryPacket, WireClient} from './wire_client.js';

/**
 * Measures the latency that one proxy adds to a statement, its throughput on
 * one core and its memory per connection.
 */

const QUERY = 'SELECT id, run, departs FROM timetable WHERE id = 2';
const LATENCY_CLIENTS = 8;
const LATENCY_RATE_PER_SECOND = 400;
const LATENCY_DURATION_MS = 10_000;
const THROUGHPUT_CLIENTS = 48;
const THROUGHPUT_DURATION_MS = 8_000;
const WARM_UP_MS = 3_000;
const IDLE_CONNECTIONS = 2_553;
const CONNECT_BATCH = 50;
const SETTLE_MS = 2_000;
const MS_PER_SECOND = 1_000;
const RAISED_SLOTS = 64;
const RAISED_CONNECTIONS = 500;
const ADDED_TARGET_MS = 0.3;
const RATE_TARGET = 10_000;

/** @public */
export const overheadScenario: Scenario = {
  name: 'overhead',
  description: 'latency that one proxy adds, its rate and memory',
  defaultPreset: 'malabar',
  run: context => BenchDeployment.run(context, bench => run(context, bench)),
};

/** Opens a logged-in session. */
type Connect = () => Promise<CallerSession>;

interface Throughput {
  readonly perSecond: number;
  readonly perCoreSecond: number;
  readonly errors: number;
}

async function run(
  context: ScenarioContext,
  bench: BenchDeployment,
): Promise<ScenarioResult> {
  await raiseLimits(bench);
  const databaseGroup = bench.description.databaseGroups[0] ?? '';
  const connectThrough: Connect = () => bench.connect(0, databaseGroup);
  const connectDirectly = await createDirectConnect(bench, databaseGroup);
  const direct = await measureLatency(context, connectDirectly);
  const through = await measureLatency(context, connectThrough);
  const directRate = await measureThroughput(connectDirectly, null);
  const processId = bench.deployment.getProxyProcessId(0) ?? 0;
  const rate = await measureThroughput(connectThrough, processId);
  context.logger.info('rates', {direct: directRate, through: rate});
  const bytesPerConnection = await measureMemory(connectThrough, processId);
  const addedP50Ms = through.p50 - direct.p50;
  return {
    figures: {
      addedP50Ms,
      addedP99Ms: through.p99 - direct.p99,
      statementsPerSecondPerCore: rate.perCoreSecond,
      ratioToDirect: rate.perSecond / directRate.perSecond,
      bytesPerConnection,
      directMs: {...direct},
      throughProxyMs: {...through},
      directPerSecond: directRate.perSecond,
      throughProxyPerSecond: rate.perSecond,
      errors: directRate.errors + rate.errors,
    },
    violations: 0,
    targets: [
      {
        target: `addedP50Ms <= ${ADDED_TARGET_MS}`,
        isMet: addedP50Ms <= ADDED_TARGET_MS,
      },
      {
        target: `statementsPerSecondPerCore >= ${RATE_TARGET}`,
        isMet: rate.perCoreSecond >= RATE_TARGET,
      },
    ],
    settings: {
      latencyRatePerSecond: LATENCY_RATE_PER_SECOND,
      latencyClients: LATENCY_CLIENTS,
      throughputClients: THROUGHPUT_CLIENTS,
      idleConnections: IDLE_CONNECTIONS,
      slots: RAISED_SLOTS,
      zoneLatencyMs: 0,
    },
  };
}

/**
 * Removes the simulated delays and raises the limits of the stand-in, so that
 * only the proxy is measured.
 */
async function raiseLimits(bench: BenchDeployment): Promise<void> {
  const {deployment} = bench;
  await deployment.runAdminCommand({kind: 'latency', zoneLatencyMs: 0});
  await deployment.runAdminCommand({
    kind: 'limits',
    instance: '*',
    slots: RAISED_SLOTS,
    maxConnections: RAISED_CONNECTIONS,
    connectTimeMs: 0,
    serviceTimeMs: 0,
  });
}

/** Connects directly to a replica, to which the proxy sends the same reads. */
async function createDirectConnect(
  bench: BenchDeployment,
  databaseGroup: string,
): Promise<Connect> {
  const replica = (await bench.getInstances()).find(
    instance =>
      instance.databaseGroup === databaseGroup &&
      instance.status.role === 'replica',
  );
  const {backendUser, backendPassword} = bench.description;
  return () =>
    CallerSession.connect({
      proxy: {host: '127.0.0.1', port: replica?.port ?? 0},
      user: backendUser,
      password: backendPassword,
      databaseGroup,
    });
}

async function measureLatency(
  context: ScenarioContext,
  connect: Connect,
): Promise<LatencySummary> {
  const sessions = await connectMany(connect, LATENCY_CLIENTS);
  const clients = createWireClients(sessions);
  const random = SeededRandom.create(context.seed);
  const runLoad = async (durationMs: number) => {
    const recorder = LatencyRecorder.create();
    const queue: number[] = [];
    const free = [...clients];
    const startNext = (done: () => void) => {
      const client = free.pop();
      if (client === undefined) {
        return;
      }
      const arrivedAtMs = queue.shift();
      if (arrivedAtMs === undefined) {
        free.push(client);
        return;
      }
      client.send(() => {
        recorder.record(performance.now() - arrivedAtMs);
        free.push(client);
        done();
      });
    };
    await runOpenLoop({
      ratePerSecond: LATENCY_RATE_PER_SECOND,
      durationMs,
      random,
      handleArrival: async arrivedAtMs => {
        queue.push(arrivedAtMs);
        const next = () => startNext(next);
        next();
      },
    });
    return recorder.getSummary();
  };
  await runLoad(WARM_UP_MS);
  const summary = await runLoad(LATENCY_DURATION_MS);
  await endAll(sessions);
  return summary;
}

async function measureThroughput(
  connect: Connect,
  processId: number | null,
): Promise<Throughput> {
  const sessions = await connectMany(connect, THROUGHPUT_CLIENTS);
  const clients = createWireClients(sessions);
  let responses = 0;
  let isRunning = true;
  for (const client of clients) {
    const sendNext = () => {
      responses++;
      if (isRunning) {
        client.send(sendNext);
      }
    };
    client.send(sendNext);
  }
  await sleep(WARM_UP_MS);
  const startMs = performance.now();
  const startResponses = responses;
  const startCpuMs = processId === null ? 0 : getCpuTimeMs(processId);
  await sleep(THROUGHPUT_DURATION_MS);
  const count = responses - startResponses;
  const elapsedMs = performance.now() - startMs;
  const cpuMs = processId === null ? 0 : getCpuTimeMs(processId) - startCpuMs;
  isRunning = false;
  await sleep(MS_PER_SECOND / 10);
  await endAll(sessions);
  let errors = 0;
  for (const client of clients) {
    errors += client.errors;
  }
  return {
    perSecond: (count / elapsedMs) * MS_PER_SECOND,
    perCoreSecond: cpuMs === 0 ? 0 : (count / cpuMs) * MS_PER_SECOND,
    errors,
  };
}

/** Measures the resident memory of the proxy per connection, in bytes. */
async function measureMemory(
  connect: Connect,
  processId: number,
): Promise<number> {
  await sleep(SETTLE_MS);
  const before = getResidentBytes(processId);
  const sessions = await connectMany(connect, IDLE_CONNECTIONS);
  // One tenth of the connections run a statement; the others stay idle.
  for (const session of sessions.slice(0, IDLE_CONNECTIONS / 10)) {
    await session.query(QUERY);
  }
  await sleep(SETTLE_MS);
  const after = getResidentBytes(processId);
  await endAll(sessions);
  return (after - before) / IDLE_CONNECTIONS;
}

function createWireClients(
  sessions: readonly CallerSession[],
): readonly WireClient[] {
  const packet = createQueryPacket(QUERY);
  return sessions.map(session =>
    WireClient.create(session.detachSocket(), packet),
  );
}

async function connectMany(
  connect: Connect,
  count: number,
): Promise<readonly CallerSession[]> {
  const sessions: CallerSession[] = [];
  while (sessions.length < count) {
    const batch = Math.min(CONNECT_BATCH, count - sessions.length);
    const connected = await Promise.all(
      Array.from({length: batch}, () => connect()),
    );
    sessions.push(...connected);
  }
  return sessions;
}

async function endAll(sessions: readonly CallerSession[]): Promise<void> {
  await Promise.all(sessions.map(session => session.end()));
}
