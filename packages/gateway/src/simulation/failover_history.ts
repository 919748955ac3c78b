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
import {SimulatedGroup} from './simulated_group.js';
import {SimulatedConnector} from './simulated_link.js';
import {FaultInjector} from './fault_injector.js';
import {getLastEndMs, type HistoryPlan} from './history_fault.js';
import {ConfigurationOracle} from './configuration_oracle.js';
import {RecoveryJudge, RESTART_MS} from './recovery_judge.js';
import {SimulatedNetwork, STORE} from './simulated_network.js';
import {
  OPTIONAL_ROUTE,
  ROUTE_MAX_AGE_MS,
  SimulatedOperator,
} from './simulated_operator.js';
import {SimulatedRestore} from './simulated_restore.js';
import type {StoreCallCounts} from './simulated_tables.js';
import {SimulatedZones} from './simulated_zones.js';
import {TouchRecord} from './touch_record.js';
import {
  SimulatedProxy,
  type GatewayMutation,
  type SimulatedDeployment,
} from './simulated_proxy.js';

/** What a history showed. @internal */
export interface HistoryOutcome {
  readonly violations: readonly Violation[];
  readonly acknowledgedCount: number;
  /** Times of the acknowledgements, counted from the end of the warm-up. */
  readonly acknowledgedAtMs: readonly number[];
  /** Times at which changes of primary were intended, counted alike. */
  readonly changesIntendedAtMs: readonly number[];
  /** Calls of all proxies to the store, by kind. */
  readonly storeCalls: StoreCallCounts;
  readonly readCount: number;
  readonly promotionCount: number;
}

/** Time before the first fault, in which everything comes up. */
export const WARM_UP_MS = 2_000;

/** Length of a history after the warm-up. */
export const HISTORY_MS = 18_000;

const STEP_MS = 5;

/** Interval at which each proxy is asked by the optional route. */
const PROBE_INTERVAL_MS = 200;

/** Interval of the operations of each proxy. */
const OPERATION_INTERVAL_MS = 60;

/** Interval at which replicas follow. */
const REPLICATION_INTERVAL_MS = 20;

/** Plays one history and tells which promises it broke. @internal */
export async function playHistory(
  plan: HistoryPlan,
  mutate: GatewayMutation = options => options,
): Promise<HistoryOutcome> {
  const player = new HistoryPlayer(plan, mutate);
  return player.play();
}

class HistoryPlayer {
  private readonly clock = VirtualClock.create();
  private readonly network = SimulatedNetwork.create();
  private readonly touch = TouchRecord.create();
  private readonly oracle = SafetyOracle.create(this.touch);
  private readonly recovery: RecoveryJudge;
  private readonly configurationOracle: ConfigurationOracle;
  private readonly random: RandomSource;
  private readonly deployment: SimulatedDeployment;
  /** What each read must see, fixed when it starts. */
  private readonly required = new Map<string, readonly string[]>();
  private readonly sessions = new Map<string, CallerSession>();
  private readonly ownWrites = new Map<string, string[]>();
  private readonly intendedAtMs: number[] = [];
  private nextId = 0;
  private nextIncarnation = 1;
  private readonly incarnations = new Map<string, number>();
  private readCount = 0;

  constructor(
    private readonly plan: HistoryPlan,
    private readonly mutate: GatewayMutation,
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
      storeCalls: {control: 0, directory: 0, configuration: 0},
      proxies: new Map(),
    };
    this.configurationOracle = ConfigurationOracle.create(
      this.deployment.operator,
      this.touch,
      this.oracle,
    );
    this.clock.advance(100_000);
    this.recovery = RecoveryJudge.create(
      this.clock.nowMs() + WARM_UP_MS + getLastEndMs(plan.faults),
    );
  }

  async play(): Promise<HistoryOutcome> {
    for (const name of this.deployment.zones.proxies) {
      this.startProxy(name);
    }
    this.scheduleFaults();
    const startMs = this.clock.nowMs() + WARM_UP_MS;
    const endMs = startMs + HISTORY_MS;
    let elapsedMs = 0;
    while (this.clock.nowMs() < endMs) {
      this.clock.advance(STEP_MS);
      await settlePromises();
      elapsedMs += STEP_MS;
      if (elapsedMs % REPLICATION_INTERVAL_MS === 0) {
        this.deployment.group.tick();
        this.deployment.restore.keepCopy();
      }
      this.noteDisturbances();
      if (elapsedMs % OPERATION_INTERVAL_MS === 0) {
        this.operate();
      }
      if (elapsedMs % PROBE_INTERVAL_MS === 0) {
        this.probeRoutes();
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

  private startProxy(name: string): void {
    const {clock, network, oracle} = this;
    const connector = SimulatedConnector.create({
      proxy: name,
      clock,
      network,
      oracle,
      group: this.deployment.group,
      getRequiredWrites: id => this.required.get(id) ?? null,
    });
    const incarnation = this.nextIncarnation++;
    this.incarnations.set(name, incarnation);
    SimulatedProxy.start(
      name,
      incarnation,
      this.deployment,
      connector,
      options => this.mutate(this.noteIntents(options)),
    );
  }

  /** Notes the intents of changes among the events of a proxy. */
  private noteIntents(options: GatewayOptions): GatewayOptions {
    const events: GatewayEventRecorder = {
      record: event => {
        if (event.kind === 'changeIntended') {
          this.intendedAtMs.push(this.clock.nowMs());
        }
        options.events.record(event);
      },
    };
    return {...options, events};
  }

  /** Starts a write and a read of some kind at each proxy. */
  private operate(): void {
    for (const name of this.deployment.zones.proxies) {
      const route = (['strict', 'session', 'age'] as const)[
        this.random.nextInteger(0, 2)
      ];
      if (route !== undefined) {
        void this.write(name, route);
        void this.read(name, route);
      }
    }
  }

  /** Uses the optional route at each proxy, each time in a new session. */
  private probeRoutes(): void {
    for (const name of this.deployment.zones.proxies) {
      const gateway = this.deployment.proxies.get(name)?.gateway;
      if (gateway === undefined || gateway.getConfiguration() === null) {
        continue;
      }
      const nowMs = this.clock.nowMs();
      const session = CallerSession.open(gateway, OPTIONAL_ROUTE);
      this.configurationOracle.judge(
        {
          proxy: name,
          incarnation: this.incarnations.get(name) ?? 0,
          startedAtMs: nowMs,
          isAllowed: session !== null,
        },
        nowMs,
      );
    }
  }

  private noteDisturbances(): void {
    const nowMs = this.clock.nowMs();
    for (const name of this.deployment.zones.proxies) {
      const isCut = !this.network.isConnected(name, STORE);
      if (isCut || !this.deployment.proxies.has(name)) {
        this.touch.noteDisturbance(name, nowMs);
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
    const session =
      gateway === undefined ? null : CallerSession.open(gateway, route);
    if (session !== null) {
      this.sessions.set(key, session);
    }
    return session;
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
    this.recovery.note(startedAtMs, reply.result.kind === 'complete');
    if (reply.result.kind === 'complete') {
      this.oracle.noteAcknowledged(requestId, this.clock.nowMs());
      const key = `${name}/${route}`;
      const own = this.ownWrites.get(key) ?? [];
      this.ownWrites.set(key, [...own, requestId]);
    } else if (saysNotRun(reply)) {
      this.oracle.noteRefused(requestId);
    }
  }

  private async read(name: string, route: string): Promise<void> {
    const session = this.getSession(name, route);
    if (session === null) {
      return;
    }
    const nowMs = this.clock.nowMs();
    const requestId = `q${this.nextId++}`;
    const horizonMs = route === 'strict' ? nowMs : nowMs - ROUTE_MAX_AGE_MS;
    const required = [...this.oracle.getAcknowledgedBefore(horizonMs)];
    if (route === 'session') {
      required.push(...(this.ownWrites.get(`${name}/${route}`) ?? []));
    }
    this.required.set(requestId, required);
    const reply = await session.handle({
      requestId,
      statement: {kind: 'read', text: 'READ'},
      receivedAtMs: nowMs,
    });
    this.recovery.note(nowMs, reply.result.kind === 'complete');
    this.readCount += reply.result.kind === 'complete' ? 1 : 0;
  }

  private scheduleFaults(): void {
    const injector = FaultInjector.create({
      deployment: this.deployment,
      touch: this.touch,
      proxies: this.deployment.zones.proxies,
      killProxy: name => this.killProxy(name),
    });
    for (const fault of this.plan.faults) {
      this.clock.startTimer(WARM_UP_MS + fault.atMs, () =>
        injector.strike(fault),
      );
    }
  }

  /** Ends a process without a word; a new one follows a second later. */
  private killProxy(name: string): void {
    const proxy = this.deployment.proxies.get(name);
    if (proxy === undefined) {
      return;
    }
    this.deployment.proxies.delete(name);
    proxy.gateway.beginKill();
    for (const key of [...this.sessions.keys()]) {
      if (key.startsWith(`${name}/`)) {
        this.sessions.delete(key);
        this.ownWrites.delete(key);
      }
    }
    this.clock.startTimer(RESTART_MS, () => this.startProxy(name));
  }
}

function saysNotRun(reply: StatementReply): boolean {
  if (reply.result.kind !== 'error') {
    return false;
  }
  return reply.result.error.kind !== 'outcomeUnknown';
}
