import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import {
  SeededRandom,
  type RandomSource,
} from '@filbertrun/base/random_source.js';
import type {GatewayOptions} from '../gateway.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import {CallerSession} from '../session/caller_session.js';
import type {StatementReply} from '../statement/statement_answer.js';
import {FakeControlTable} from '../testing/fake_control_table.js';
import {settlePromises} from '../testing/settle.js';
import {SafetyOracle, type Violation} from './safety_oracle.js';
import {
  PROMOTION_MS,
  PROMPT_PLATFORM,
  SimulatedGroup,
} from './simulated_group.js';
import {SimulatedConnector} from './simulated_connector.js';
import {FaultInjector} from './fault_injector.js';
import {getLastEndMs, type HistoryPlan} from './history_fault.js';
import {ConfigurationOracle} from './configuration_oracle.js';
import {
  LeaderDisturbances,
  type LeaderFaultHandler,
} from './leader_disturbances.js';
import {CallLatency} from './call_latency.js';
import {PhaseDisturbances} from './phase_disturbances.js';
import {RecoveryChecker, RESTART_MS} from './recovery_checker.js';
import {SimulatedNetwork, STORE} from './simulated_network.js';
import {
  OPTIONAL_ROUTE,
  ROUTE_MAX_AGE_MS,
  SimulatedOperator,
} from './simulated_operator.js';
import {SimulatedRestore} from './simulated_restore.js';
import type {StoreCallCounts} from './simulated_tables.js';
import {SimulatedTransfers} from './simulated_transfers.js';
import {SimulatedZones} from './simulated_zones.js';
import {DisturbanceTracker} from './disturbance_tracker.js';
import {
  SimulatedProxy,
  type GatewayMutation,
  type SimulatedDeployment,
} from './simulated_proxy.js';

/** Result of a history. @internal */
export interface HistoryOutcome {
  readonly violations: readonly Violation[];
  readonly acknowledgedCount: number;
  /** Times of the acknowledgements, relative to the end of the warm-up. */
  readonly acknowledgedAtMs: readonly number[];
  /** Times of the intents to change the primary, from the end of warm-up. */
  readonly changesIntendedAtMs: readonly number[];
  /** Calls of all proxies to the store by purpose. */
  readonly storeCalls: StoreCallCounts;
  readonly readCount: number;
  readonly promotionCount: number;
}

/** Time before the first fault, for all nodes to become ready. */
export const WARM_UP_MS = 2_000;

/** Duration of a history after the warm-up, by default. */
export const HISTORY_MS = 18_000;

/** Time on the clock at the start of a history. @internal */
export const START_MS = 100_000;

const STEP_MS = 5;

/** Interval at which the optional route of each proxy is probed. */
const PROBE_INTERVAL_MS = 200;

/** Interval at which each proxy gets a write and a read. */
const REQUEST_INTERVAL_MS = 60;

/** Interval of replication and heartbeats. */
const REPLICATION_INTERVAL_MS = 20;

/** Receives the events of a history, with the time from the end of warm-up. */
export type HistoryTrace = (
  atMs: number,
  node: string,
  event: object | string,
) => void;

/** Runs one history and returns its outcome with all violations. @internal */
export async function runHistory(
  plan: HistoryPlan,
  mutate: GatewayMutation = options => options,
  trace: HistoryTrace = () => undefined,
): Promise<HistoryOutcome> {
  const runner = new HistoryRunner(plan, mutate, trace);
  return runner.run();
}

class HistoryRunner {
  private readonly clock = VirtualClock.create();
  private readonly network = SimulatedNetwork.create();
  private readonly disturbances = DisturbanceTracker.create();
  private readonly oracle = SafetyOracle.create(this.disturbances);
  private readonly recovery: RecoveryChecker;
  private readonly configurationOracle: ConfigurationOracle;
  private readonly random: RandomSource;
  private readonly deployment: SimulatedDeployment;
  private readonly leaderDisturbances: LeaderDisturbances;
  private readonly phaseDisturbances: PhaseDisturbances;
  private readonly injector: FaultInjector;
  /** Writes that each read must see, fixed when the read starts. */
  private readonly requiredWrites = new Map<string, readonly string[]>();
  private readonly sessions = new Map<string, CallerSession>();
  private readonly sessionWrites = new Map<string, string[]>();
  private readonly intendedAtMs: number[] = [];
  private nextId = 0;
  private nextIncarnation = 1;
  private readonly incarnations = new Map<string, number>();
  private readCount = 0;

  constructor(
    private readonly plan: HistoryPlan,
    private readonly mutate: GatewayMutation,
    private readonly trace: HistoryTrace,
  ) {
    this.random = SeededRandom.create(plan.seed);
    const zones = SimulatedZones.create(plan.layout ?? 'apart');
    const {clock} = this;
    const group = SimulatedGroup.create(
      clock,
      this.network,
      this.oracle,
      zones,
    );
    group.times = plan.platformTimes ?? PROMPT_PLATFORM;
    group.promotionMs = plan.promotionMs ?? PROMOTION_MS;
    const store = FakeControlTable.create(clock);
    const rosters = FakeControlTable.create(clock);
    const operator = SimulatedOperator.create(clock);
    this.deployment = {
      clock,
      network: this.network,
      group,
      zones,
      store,
      rosters,
      operator,
      restore: SimulatedRestore.create({
        clock,
        group,
        operator,
        tables: [store, rosters],
      }),
      transfers: SimulatedTransfers.create(clock, plan.transfers ?? null),
      storeLatency: CallLatency.create(plan.seed),
      storeCalls: {control: 0, directory: 0, configuration: 0},
      proxies: new Map(),
    };
    this.configurationOracle = ConfigurationOracle.create(
      this.deployment.operator,
      this.disturbances,
      this.oracle,
    );
    this.leaderDisturbances = LeaderDisturbances.create(
      this.clock,
      this.createLeaderFaultHandler(),
    );
    this.phaseDisturbances = PhaseDisturbances.create({
      deployment: this.deployment,
      killProxy: name => this.killProxy(name),
      isolateProxy: (name, forMs) => this.injector.isolateProxy(name, forMs),
      trace: (node, event) => this.trace(this.getElapsedMs(), node, event),
    });
    group.observer = {
      handleGroupEvent: (kind, backendServer) => {
        this.trace(this.getElapsedMs(), backendServer, kind);
        this.phaseDisturbances.handleGroupEvent(kind, backendServer);
      },
    };
    this.injector = FaultInjector.create({
      deployment: this.deployment,
      disturbances: this.disturbances,
      proxies: this.deployment.zones.proxies,
      killProxy: name => this.killProxy(name),
      leaderDisturbances: this.leaderDisturbances,
      phaseDisturbances: this.phaseDisturbances,
    });
    this.clock.advance(START_MS);
    this.recovery = RecoveryChecker.create(
      this.clock.nowMs() + WARM_UP_MS + getLastEndMs(plan.faults),
    );
  }

  async run(): Promise<HistoryOutcome> {
    for (const name of this.deployment.zones.proxies) {
      this.startProxy(name);
    }
    this.scheduleFaults();
    const startMs = this.clock.nowMs() + WARM_UP_MS;
    const endMs = startMs + (this.plan.durationMs ?? HISTORY_MS);
    let elapsedMs = 0;
    while (this.clock.nowMs() < endMs) {
      this.clock.advance(STEP_MS);
      await settlePromises();
      elapsedMs += STEP_MS;
      if (elapsedMs % REPLICATION_INTERVAL_MS === 0) {
        this.deployment.group.tick();
        this.deployment.restore.recordBackup();
      }
      this.recordDisturbances();
      if (elapsedMs % REQUEST_INTERVAL_MS === 0) {
        this.sendRequests();
      }
      if (elapsedMs % PROBE_INTERVAL_MS === 0) {
        this.probeRoutes();
        this.checkConfigurations();
      }
    }
    this.oracle.checkFinalLog(this.deployment.group.findLeader());
    const {hasRunningInstance} = this.deployment.group;
    if (hasRunningInstance && !this.recovery.hasRecovered()) {
      this.oracle.report('notRecovered', this.recovery.describe());
    }
    return {
      violations: this.oracle.violations,
      acknowledgedCount: this.oracle.acknowledged.length,
      acknowledgedAtMs: this.oracle.acknowledged.map(
        ({atMs}) => atMs - startMs,
      ),
      changesIntendedAtMs: this.intendedAtMs.map(atMs => atMs - startMs),
      storeCalls: this.deployment.storeCalls,
      readCount: this.readCount,
      promotionCount: this.deployment.group.orders.length,
    };
  }

  private getElapsedMs(): number {
    return this.clock.nowMs() - START_MS - WARM_UP_MS;
  }

  private startProxy(name: string): void {
    const {clock, network, oracle} = this;
    let process: SimulatedProxy | null = null;
    const connector = SimulatedConnector.create({
      proxy: name,
      clock,
      network,
      oracle,
      group: this.deployment.group,
      isFrozen: () => process?.isFrozen === true,
      getRequiredWrites: id => this.requiredWrites.get(id) ?? null,
    });
    const incarnation = this.nextIncarnation++;
    this.incarnations.set(name, incarnation);
    this.disturbances.recordDisturbance(name, clock.nowMs());
    process = SimulatedProxy.start(
      name,
      incarnation,
      this.deployment,
      connector,
      options => this.mutate(this.observeEvents(name, options)),
    );
  }

  /** Records when a proxy intends a change, and strikes it at its steps. */
  private observeEvents(name: string, options: GatewayOptions): GatewayOptions {
    const events: GatewayEventRecorder = {
      record: event => {
        if (event.kind === 'changeIntended') {
          this.intendedAtMs.push(this.clock.nowMs());
        }
        this.trace(this.getElapsedMs(), name, event);
        this.leaderDisturbances.handleEvent(name, event.kind);
        this.phaseDisturbances.handleProxyEvent(name, event.kind);
        options.events.record(event);
      },
    };
    return {...options, events};
  }

  /** Starts a write and a read on a random route of each proxy. */
  private sendRequests(): void {
    for (const name of this.deployment.zones.proxies) {
      const route = (['strict', 'session', 'age'] as const)[
        this.random.nextInteger(0, 2)
      ];
      // A frozen process handles no request.
      const isFrozen = this.deployment.proxies.get(name)?.isFrozen === true;
      if (route !== undefined && !isFrozen) {
        void this.write(name, route);
        void this.read(name, route);
      }
    }
  }

  /** Opens a new session on the optional route of each proxy. */
  private probeRoutes(): void {
    for (const name of this.deployment.zones.proxies) {
      const gateway = this.deployment.proxies.get(name)?.gateway;
      if (gateway === undefined || gateway.getConfiguration() === null) {
        continue;
      }
      const nowMs = this.clock.nowMs();
      const opened = CallerSession.open(gateway, {
        databaseName: OPTIONAL_ROUTE,
        apiKey: '',
      });
      if (!opened.ok && opened.error.kind !== 'unknownDatabase') {
        // The proxy does not decide by a configuration that may be out of date.
        continue;
      }
      this.configurationOracle.checkProbe(
        {
          proxy: name,
          incarnation: this.incarnations.get(name) ?? 0,
          startedAtMs: nowMs,
          isAllowed: opened.ok,
        },
        nowMs,
      );
    }
  }

  /** Checks the version in force on each proxy, also on one without any. */
  private checkConfigurations(): void {
    for (const [name, {gateway}] of this.deployment.proxies) {
      const version = gateway.getConfiguration()?.version ?? null;
      this.configurationOracle.checkVersion(name, version, this.clock.nowMs());
    }
  }

  private recordDisturbances(): void {
    const nowMs = this.clock.nowMs();
    const isStoreSlow = this.deployment.storeLatency.range !== null;
    for (const name of this.deployment.zones.proxies) {
      const isDisconnected = !this.network.isConnected(name, STORE);
      const process = this.deployment.proxies.get(name);
      const isSuspended = process === undefined || process.isFrozen;
      if (isStoreSlow || isDisconnected || isSuspended) {
        this.disturbances.recordDisturbance(name, nowMs);
      }
    }
  }

  private getSession(name: string, route: string): CallerSession | null {
    const key = `${name}/${route}`;
    const known = this.sessions.get(key);
    if (known !== undefined) {
      return known;
    }
    const gateway = this.deployment.proxies.get(name)?.gateway;
    if (gateway === undefined) {
      return null;
    }
    const opened = CallerSession.open(gateway, {
      databaseName: route,
      apiKey: '',
    });
    if (!opened.ok) {
      return null;
    }
    this.sessions.set(key, opened.value);
    return opened.value;
  }

  private async write(name: string, route: string): Promise<void> {
    const session = this.getSession(name, route);
    if (session === null) {
      return;
    }
    const requestId = `w${this.nextId++}`;
    const startedAtMs = this.clock.nowMs();
    const reply = await session.handle({
      requestId,
      statement: {kind: 'write', text: 'WRITE'},
      receivedAtMs: startedAtMs,
    });
    this.recovery.recordRequest(startedAtMs, reply.result.kind === 'complete');
    if (reply.result.kind === 'complete') {
      this.oracle.recordAcknowledged(requestId, this.clock.nowMs());
      this.trace(this.getElapsedMs(), name, `acknowledged ${requestId}`);
      this.phaseDisturbances.handleAcknowledgement();
      const key = `${name}/${route}`;
      const writes = this.sessionWrites.get(key) ?? [];
      this.sessionWrites.set(key, [...writes, requestId]);
    } else if (isKnownNotExecuted(reply)) {
      this.oracle.recordRefused(requestId);
    }
  }

  private async read(name: string, route: string): Promise<void> {
    const session = this.getSession(name, route);
    if (session === null) {
      return;
    }
    const nowMs = this.clock.nowMs();
    const requestId = `q${this.nextId++}`;
    const requiredBeforeMs =
      route === 'strict' ? nowMs : nowMs - ROUTE_MAX_AGE_MS;
    const required = [...this.oracle.getAcknowledgedBefore(requiredBeforeMs)];
    if (route === 'session') {
      required.push(...(this.sessionWrites.get(`${name}/${route}`) ?? []));
    }
    this.requiredWrites.set(requestId, required);
    const reply = await session.handle({
      requestId,
      statement: {kind: 'read', text: 'READ'},
      receivedAtMs: nowMs,
    });
    this.recovery.recordRequest(nowMs, reply.result.kind === 'complete');
    this.readCount += reply.result.kind === 'complete' ? 1 : 0;
  }

  private createLeaderFaultHandler(): LeaderFaultHandler {
    const {proxies} = this.deployment;
    return {
      beginStop: name => proxies.get(name)?.gateway.beginStop(),
      kill: name => this.killProxy(name),
      freeze: name => proxies.get(name)?.freeze(),
      thaw: name => proxies.get(name)?.thaw(),
      isolate: (name, forMs) => this.injector.isolateProxy(name, forMs),
    };
  }

  private scheduleFaults(): void {
    const {injector} = this;
    for (const fault of this.plan.faults) {
      this.clock.startTimer(WARM_UP_MS + fault.atMs, () =>
        injector.inject(fault),
      );
    }
  }

  /** Kills a process without a shutdown and starts a new one `RESTART_MS` later. */
  private killProxy(name: string): void {
    const proxy = this.deployment.proxies.get(name);
    if (proxy === undefined) {
      return;
    }
    this.deployment.proxies.delete(name);
    proxy.gateway.kill();
    for (const key of [...this.sessions.keys()]) {
      if (key.startsWith(`${name}/`)) {
        this.sessions.delete(key);
        this.sessionWrites.delete(key);
      }
    }
    this.clock.startTimer(RESTART_MS, () => this.startProxy(name));
  }
}

function isKnownNotExecuted(reply: StatementReply): boolean {
  if (reply.result.kind !== 'error') {
    return false;
  }
  return reply.result.error.kind !== 'outcomeUnknown';
}
