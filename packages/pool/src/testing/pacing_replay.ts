import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {sleep} from '@filbertrun/base/sleep.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {RequestPriority} from '@filbertrun/model/configuration.js';
import {BackendPool} from '../backend_pool.js';
import type {
  ConcurrencyControl,
  ConcurrencyOptions,
} from '../concurrency_control.js';
import type {ConnectError, LeaseOutcome, PoolLease} from '../pool_types.js';
import {
  ReplayedInstance,
  type InstanceCondition,
  type WorkResult,
} from './replayed_instance.js';

/**
 * Replays the load of one instance (docs/HARD_LOAD.md) on the pools of its three
 * availability zones, in virtual time.
 */

interface Route {
  readonly name: string;
  readonly priority: RequestPriority;
  readonly perSecond: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly transactionShare: number;
  readonly value: number;
  readonly lateValue: number;
}

const ROUTES: readonly Route[] = [
  {
    name: 'checkout',
    priority: 'booking',
    perSecond: 88.2,
    workMs: 8,
    objectiveMs: 252,
    deadlineMs: 3_026,
    transactionShare: 0.4,
    value: 3.5,
    lateValue: 0.71,
  },
  {
    name: 'browse',
    priority: 'lookup',
    perSecond: 154,
    workMs: 40,
    objectiveMs: 1_202,
    deadlineMs: 10_018,
    transactionShare: 0.1,
    value: 0.47,
    lateValue: 0.35,
  },
  {
    name: 'consign',
    priority: 'normal',
    perSecond: 413,
    workMs: 24,
    objectiveMs: 502,
    deadlineMs: 3_013,
    transactionShare: 0.12,
    value: 1.9,
    lateValue: 0.47,
  },
];

const SLOTS = 5;

/** Statements that wait at the instance before it rejects more, by default. */
const DEFAULT_MAX_WAITING = 20;

const HANDSHAKE_WORK_MS = 12;

const CUSTOMERS = 88;

/** Connections of a zone: 3/4 of (82 - 2), divided by 3 zones. */
const ZONE_CONNECTIONS = 20;

/** Round-trip time from each zone to the instance. */
const ROUND_TRIPS_MS = [0.2, 1.8, 1.8] as const;

/** Pause of the caller within a transaction of two statements. */
const TRANSACTION_PAUSE_MS = 50;

/**
 * Share of the deployment's load: that of one of 6 groups, served by two
 * instances while the third one is away.
 */
const LOAD_SHARE = 1 / 12;

/** Time with normal load before the return. */
const WARM_UP_MS = 10_000;

/** Time without the instance before the return. */
const OUTAGE_MS = 1_000;

/** Part of the requests during the outage that wait for the return. */
const BACKLOG_MS = 500;

const MEASURED_MS = 10_000;

/** Part of the measured time that is also reported alone. */
const START_MS = 3_000;

/** What an instance does at a time after its return. @internal */
export type ConditionAt = (sinceReturnMs: number) => InstanceCondition;

/** Options of `replayLoad`. @internal */
export interface LoadReplayOptions {
  readonly seed: number;
  readonly getCondition: ConditionAt;
  /** Creates the control; null for the `fixedStart` pacing. */
  readonly createControl:
    ((options: ConcurrencyOptions) => ConcurrencyControl) | null;
  /** Multiple of the load. */
  readonly loadFactor?: number;
  /** Statements that wait at the instance before it rejects more. */
  readonly maxWaiting?: number;
  /** Distribution of the durations of statements; uniform by default. */
  readonly spread?: 'uniform' | 'exponential';
}

/** Requests that arrived in the measured time, by their end. @internal */
export interface ReplayCounts {
  offered: number;
  inTime: number;
  late: number;
  /** Refused by the pool; another instance may serve them. */
  refused: number;
  /** Rejected by the instance. */
  rejected: number;
  /** Sent and failed or lost. */
  failed: number;
  timedOut: number;
  /** In time, by route. */
  inTimeByRoute: Record<string, number>;
  offeredByRoute: Record<string, number>;
  /** Used share of the slots while the instance was reachable. */
  utilization: number;
  /** The same for the first 3 s after the return. */
  startUtilization: number;
  /** Mean sum of the concurrency limits of the three pools. */
  meanLimit: number;
  /** The same for the first 3 s after the return. */
  startLimit: number;
  /** Value of the responses as a share of that of all requests in time. */
  valueShare: number;
}

interface Arrival {
  readonly route: Route;
  readonly startMs: number;
  readonly zone: number;
  readonly identity: string;
  readonly isTransaction: boolean;
}

interface Connection {
  isOpen: boolean;
}

/** Runs one replay. @internal */
export async function replayLoad(
  options: LoadReplayOptions,
): Promise<ReplayCounts> {
  return LoadReplay.create(options).run();
}

class LoadReplay {
  private readonly clock = VirtualClock.create();
  private readonly random: SeededRandom;
  private readonly instance: ReplayedInstance;
  private readonly connections = new Set<Connection>();
  private readonly pools: readonly BackendPool<Connection>[];
  private readonly returnMs = WARM_UP_MS + OUTAGE_MS;
  private readonly counts: ReplayCounts = {
    offered: 0,
    inTime: 0,
    late: 0,
    refused: 0,
    rejected: 0,
    failed: 0,
    timedOut: 0,
    inTimeByRoute: {},
    offeredByRoute: {},
    utilization: 0,
    startUtilization: 0,
    meanLimit: 0,
    startLimit: 0,
    valueShare: 0,
  };
  private value = 0;
  private offeredValue = 0;
  private pending = 0;

  private constructor(private readonly options: LoadReplayOptions) {
    this.random = SeededRandom.create(options.seed);
    this.instance = ReplayedInstance.create({
      clock: this.clock,
      random: this.random,
      slots: SLOTS,
      maxWaiting: options.maxWaiting ?? DEFAULT_MAX_WAITING,
      getCondition: () => this.getCondition(),
      spread: options.spread ?? 'uniform',
    });
    this.pools = ROUND_TRIPS_MS.map(roundTripMs =>
      this.createPool(roundTripMs),
    );
  }

  static create(options: LoadReplayOptions): LoadReplay {
    return new LoadReplay(options);
  }

  async run(): Promise<ReplayCounts> {
    this.scheduleArrivals();
    this.scheduleReachability();
    const {returnMs} = this;
    await this.advanceTo(returnMs);
    const atReturn = this.instance.getBusySlotMs();
    await this.advanceTo(returnMs + START_MS);
    const atStart = this.instance.getBusySlotMs();
    await this.advanceTo(returnMs + MEASURED_MS);
    const atEnd = this.instance.getBusySlotMs();
    while (this.pending > 0) {
      await this.advanceTo(this.clock.nowMs() + 100);
    }
    this.counts.startUtilization =
      (atStart - atReturn) / (SLOTS * this.getReachableMs(START_MS));
    this.counts.utilization =
      (atEnd - atReturn) / (SLOTS * this.getReachableMs(MEASURED_MS));
    this.counts.valueShare = this.value / this.offeredValue;
    return this.counts;
  }

  private getReachableMs(durationMs: number): number {
    let reachableMs = 0;
    for (let sinceMs = 0; sinceMs < durationMs; sinceMs++) {
      reachableMs += Number(this.options.getCondition(sinceMs).isReachable);
    }
    return reachableMs;
  }

  private getCondition(): InstanceCondition {
    const sinceReturnMs = this.clock.nowMs() - this.returnMs;
    if (sinceReturnMs >= 0) {
      return this.options.getCondition(sinceReturnMs);
    }
    const isReachable = sinceReturnMs < -OUTAGE_MS;
    return {isReachable, slowdown: 1, failureRate: 0};
  }

  private createPool(roundTripMs: number): BackendPool<Connection> {
    const {createControl} = this.options;
    return BackendPool.create<Connection>({
      clock: this.clock,
      random: this.random,
      connector: {
        connect: () => this.connect(roundTripMs),
        close: connection => {
          connection.isOpen = false;
          this.connections.delete(connection);
        },
        isUsable: connection => connection.isOpen,
      },
      limits: {
        maxConnections: ZONE_CONNECTIONS,
        slots: SLOTS,
        minConcurrency: 1,
        connectIntervalMs: 2,
        maxBackOffMs: 500,
        minIdleConnections: 0,
        pacing: createControl === null ? 'fixedStart' : 'adaptive',
      },
      ...(createControl === null ? {} : {createAdaptiveControl: createControl}),
    });
  }

  private async connect(
    roundTripMs: number,
  ): Promise<Result<Connection, ConnectError>> {
    await sleep(this.clock, roundTripMs);
    const result = await this.instance.run(HANDSHAKE_WORK_MS, false);
    if (result === 'rejected') {
      return failure({kind: 'refused'});
    }
    if (result !== 'done') {
      return failure({kind: 'unreachable', reason: result});
    }
    const connection = {isOpen: true};
    this.connections.add(connection);
    return success(connection);
  }

  /** Closes connections when the instance is cut off; restarts paces after. */
  private scheduleReachability(): void {
    let wasReachable = true;
    const check = () => {
      const {isReachable} = this.getCondition();
      if (wasReachable && !isReachable) {
        this.instance.loseAll();
        for (const connection of this.connections) {
          connection.isOpen = false;
        }
        this.connections.clear();
      }
      if (!wasReachable && isReachable) {
        this.pools.forEach(pool => pool.restartPace());
      }
      wasReachable = isReachable;
      this.recordLimits();
      if (this.clock.nowMs() < this.returnMs + MEASURED_MS) {
        this.clock.startTimer(1, check);
      }
    };
    check();
  }

  private recordLimits(): void {
    const sinceReturnMs = this.clock.nowMs() - this.returnMs;
    if (sinceReturnMs < 0) {
      return;
    }
    for (const pool of this.pools) {
      const limit = pool.getStatus().concurrencyLimit;
      this.counts.meanLimit += limit / MEASURED_MS;
      this.counts.startLimit += sinceReturnMs < START_MS ? limit / START_MS : 0;
    }
  }

  /** Starts the requests one after another, since many timers are slow. */
  private scheduleArrivals(): void {
    const arrivals = ROUTES.flatMap(route => this.createArrivals(route));
    arrivals.sort((left, right) => left.startMs - right.startMs);
    const startNext = (index: number): void => {
      const arrival = arrivals[index];
      if (arrival !== undefined) {
        this.clock.startTimer(arrival.startMs - this.clock.nowMs(), () => {
          void this.runRequest(arrival);
          startNext(index + 1);
        });
      }
    };
    startNext(0);
  }

  private createArrivals(route: Route): readonly Arrival[] {
    const {loadFactor = 1} = this.options;
    const perMs = (route.perSecond * LOAD_SHARE * loadFactor) / 1_000;
    const arrivals: Arrival[] = [];
    let atMs = 0;
    for (;;) {
      atMs += -Math.log(1 - this.random.nextFloat()) / perMs;
      if (atMs >= this.returnMs + MEASURED_MS) {
        return arrivals;
      }
      const startMs = this.chooseStartMs(atMs);
      if (startMs !== null) {
        arrivals.push({
          route,
          startMs,
          zone: this.random.nextInteger(0, this.pools.length - 1),
          identity: this.chooseCustomer(),
          isTransaction: this.random.nextFloat() < route.transactionShare,
        });
      }
    }
  }

  /** Requests at the end of the outage wait for the return; others go away. */
  private chooseStartMs(atMs: number): number | null {
    if (atMs < WARM_UP_MS || atMs >= this.returnMs) {
      return atMs;
    }
    return atMs < this.returnMs - BACKLOG_MS ? null : this.returnMs;
  }

  /** A few customers are large: the weight of one is the inverse of its rank. */
  private chooseCustomer(): string {
    const rank = Math.floor(CUSTOMERS ** this.random.nextFloat());
    return `customer ${rank}`;
  }

  private async runRequest(arrival: Arrival): Promise<void> {
    const {route} = arrival;
    const arrivedMs = this.clock.nowMs();
    const isMeasured = arrivedMs >= this.returnMs;
    this.pending++;
    const end = await this.serve(arrival);
    this.pending--;
    if (!isMeasured) {
      return;
    }
    const {counts} = this;
    counts.offered++;
    this.offeredValue += route.value;
    addOne(counts.offeredByRoute, route.name);
    const isInTime = this.clock.nowMs() - arrivedMs <= route.objectiveMs;
    if (end !== 'served') {
      counts[end]++;
    } else if (isInTime) {
      counts.inTime++;
      this.value += route.value;
      addOne(counts.inTimeByRoute, route.name);
    } else {
      counts.late++;
      this.value += route.lateValue;
    }
  }

  private async serve({
    route,
    zone,
    identity,
    isTransaction,
  }: Arrival): Promise<
    'served' | 'refused' | 'rejected' | 'failed' | 'timedOut'
  > {
    const deadlineMs = this.clock.nowMs() + route.deadlineMs;
    const pool = this.pools[zone];
    const leased = await pool?.acquire({
      priority: route.priority,
      identity,
      deadlineMs,
      workKind: route.name,
    });
    if (leased?.ok !== true) {
      return 'refused';
    }
    const lease = leased.value;
    const roundTripMs = ROUND_TRIPS_MS[zone] ?? 0;
    let outcome = await this.runStatement(
      lease,
      route,
      roundTripMs,
      deadlineMs,
    );
    if (isTransaction && outcome === 'served') {
      lease.suspend();
      await sleep(this.clock, TRANSACTION_PAUSE_MS);
      lease.resume();
      outcome = await this.runStatement(lease, route, roundTripMs, deadlineMs);
    }
    const isClean = lease.connection.isOpen && outcome !== 'timedOut';
    lease.release(isClean ? 'clean' : 'dirty', outcome);
    return outcome;
  }

  private async runStatement(
    lease: PoolLease<Connection>,
    route: Route,
    roundTripMs: number,
    deadlineMs: number,
  ): Promise<Exclude<LeaseOutcome, 'unused'>> {
    if (!lease.connection.isOpen) {
      return 'failed';
    }
    await sleep(this.clock, roundTripMs);
    return new Promise(resolve => {
      const timer = this.clock.startTimer(deadlineMs - this.clock.nowMs(), () =>
        resolve('timedOut'),
      );
      void this.instance.run(route.workMs, true).then(result => {
        timer.cancel();
        resolve(toOutcome(result));
      });
    });
  }

  private async advanceTo(targetMs: number): Promise<void> {
    while (this.clock.nowMs() < targetMs) {
      const delayMs = this.clock.getDelayToNextTimerMs() ?? Infinity;
      this.clock.advance(Math.min(delayMs, targetMs - this.clock.nowMs()));
      await settle();
    }
  }
}

function toOutcome(result: WorkResult): 'served' | 'rejected' | 'failed' {
  switch (result) {
    case 'done':
      return 'served';
    case 'rejected':
      return 'rejected';
    case 'failed':
    case 'lost':
      return 'failed';
  }
}

function addOne(counts: Record<string, number>, key: string): void {
  counts[key] = (counts[key] ?? 0) + 1;
}

/** Lets the continuations of resolved promises run. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 12; turn++) {
    await Promise.resolve();
  }
}
