import {SeededRandom} from '@filbertrun/base/random_source.js';
import {success} from '@filbertrun/base/result.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {RequestPriority} from '@filbertrun/model/configuration.js';
import {BackendPool} from '../backend_pool.js';
import type {PoolLease, PoolLimits, Queueing} from '../pool_types.js';
import {ReplayServer} from './replay_server.js';

/**
 * Replays the requests of callers against one pool and one server in virtual
 * time. Callers retry twice, as those of docs/HARD_LOAD.md do.
 */

/** Kind of request and what its answers are worth. @internal */
export interface ReplayKind {
  readonly name: string;
  readonly priority: RequestPriority;
  readonly ratePerS: number;
  readonly workMs: number;
  readonly transactionShare: number;
  /** Part of the requests that another server could run. */
  readonly replaceableShare: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly valueOnTime: number;
  readonly valueLate: number;
}

/** Load of a replay. @internal */
export interface ReplayLoad {
  readonly kinds: readonly ReplayKind[];
  /** Relative load of each customer; one connection identity each. */
  readonly customerWeights: readonly number[];
  readonly durationMs: number;
  readonly limits: Partial<PoolLimits>;
  /** Multiple of the usual rate at a time. */
  readonly getRateFactor: (
    nowMs: number,
    kind: string,
    customer: number,
  ) => number;
  readonly getSlots: (nowMs: number) => number;
}

/** Outcome of one request. @internal */
export interface ReplayRecord {
  readonly kind: ReplayKind;
  readonly customer: number;
  readonly arrivalMs: number;
  /** Time from the arrival to the response; null without one. */
  readonly responseMs: number | null;
  readonly value: number;
}

/** Result of a replay. @internal */
export interface ReplayResult {
  readonly records: readonly ReplayRecord[];
  readonly openedConnections: number;
  /** Attempts that were rejected, retries included. */
  readonly rejections: number;
  /** Rejected attempts that had waited for longer than a quarter of their objective. */
  readonly lateRejections: number;
}

/** Attempts of a caller, the first included. */
const MAX_ATTEMPTS = 3;

/** Part of the objective that a request may wait for a connection. */
const QUEUE_WAIT_SHARE = 0.25;

/** Shortest wait for a connection that a request is allowed. */
const MIN_QUEUE_WAIT_MS = 60;

/** Pause of a transaction between two statements. */
const TRANSACTION_PAUSE_MS = 15;

/** Time by which a rejection may follow its deadline (one timer). */
const REJECTION_TOLERANCE_MS = 1;

/** Replays a load with one queue order. @internal */
export function replayLoad(
  load: ReplayLoad,
  queueing: Queueing,
  seed: number,
): Promise<ReplayResult> {
  return new LoadReplay(load, queueing, seed).run();
}

class LoadReplay {
  private readonly clock = VirtualClock.create();
  private readonly arrivals: SeededRandom;
  private readonly random: SeededRandom;
  private readonly server: ReplayServer;
  private readonly pool: BackendPool<number>;
  private readonly records: ReplayRecord[] = [];
  private openedConnections = 0;
  private rejections = 0;
  private lateRejections = 0;

  constructor(
    private readonly load: ReplayLoad,
    queueing: Queueing,
    seed: number,
  ) {
    this.arrivals = SeededRandom.create(seed);
    this.random = SeededRandom.create(seed + 1);
    this.server = ReplayServer.create(this.clock, load.getSlots);
    this.pool = BackendPool.create<number>({
      clock: this.clock,
      random: SeededRandom.create(seed + 2),
      limits: {...load.limits, queueing},
      connector: {
        connect: async () => {
          await this.server.connect();
          return success(this.openedConnections++);
        },
        close: () => {
          // Connections of the replay hold no resources.
        },
        isUsable: () => true,
      },
    });
  }

  async run(): Promise<ReplayResult> {
    for (const kind of this.load.kinds) {
      for (const customer of this.load.customerWeights.keys()) {
        this.scheduleArrival(kind, customer);
      }
    }
    const longestMs = Math.max(
      ...this.load.kinds.map(({deadlineMs}) => deadlineMs),
    );
    const endMs = this.load.durationMs + longestMs;
    while (this.clock.nowMs() < endMs) {
      this.clock.advance(this.clock.getDelayToNextTimerMs() ?? endMs);
      await new Promise(resolve => setImmediate(resolve));
    }
    const {records, openedConnections, rejections, lateRejections} = this;
    return {records, openedConnections, rejections, lateRejections};
  }

  /** Draws arrivals at the highest rate and drops those above the present one. */
  private scheduleArrival(kind: ReplayKind, customer: number): void {
    const {customerWeights, getRateFactor, durationMs} = this.load;
    const total = customerWeights.reduce((sum, weight) => sum + weight, 0);
    const share = (customerWeights[customer] ?? 0) / total;
    const ratePerMs = (kind.ratePerS * share) / 1000;
    const nowMs = this.clock.nowMs();
    const factor = getRateFactor(nowMs, kind.name, customer);
    const gapMs =
      -Math.log(1 - this.arrivals.nextFloat()) / (ratePerMs * factor);
    // Rates change in steps, so a new gap is drawn at least once a step.
    const stepMs = RATE_STEP_MS - (nowMs % RATE_STEP_MS);
    if (nowMs + Math.min(gapMs, stepMs) >= durationMs) {
      return;
    }
    if (gapMs >= stepMs) {
      this.clock.startTimer(stepMs, () => this.scheduleArrival(kind, customer));
      return;
    }
    this.clock.startTimer(gapMs, () => {
      void this.runRequest(kind, customer);
      this.scheduleArrival(kind, customer);
    });
  }

  private async runRequest(kind: ReplayKind, customer: number): Promise<void> {
    const arrivalMs = this.clock.nowMs();
    const deadlineMs = arrivalMs + kind.deadlineMs;
    const workMs = kind.workMs * (0.5 + this.random.nextFloat());
    const isTransaction = this.random.nextFloat() < kind.transactionShare;
    const isReplaceable = this.random.nextFloat() < kind.replaceableShare;
    let responseMs: number | null = null;
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const startMs = this.clock.nowMs();
      const queueWaitMs = Math.max(
        MIN_QUEUE_WAIT_MS,
        kind.objectiveMs * QUEUE_WAIT_SHARE,
      );
      const leased = await this.pool.acquire({
        priority: kind.priority,
        identity: String(customer),
        deadlineMs: Math.min(deadlineMs, startMs + queueWaitMs),
        workKind: isTransaction ? `${kind.name} transaction` : kind.name,
        isReplaceable,
      });
      if (leased.ok) {
        await this.runStatements(leased.value, workMs, isTransaction);
        responseMs = this.clock.nowMs() - arrivalMs;
        break;
      }
      this.rejections++;
      if (this.clock.nowMs() - startMs > queueWaitMs - REJECTION_TOLERANCE_MS) {
        this.lateRejections++;
      }
      const retryAfterMs =
        leased.error.kind === 'overloaded' ? leased.error.retryAfterMs : 0;
      if (this.clock.nowMs() + retryAfterMs >= deadlineMs) {
        break;
      }
      await this.wait(retryAfterMs);
    }
    this.records.push({
      kind,
      customer,
      arrivalMs,
      responseMs,
      value: getValue(kind, responseMs),
    });
  }

  private async runStatements(
    lease: PoolLease<number>,
    workMs: number,
    isTransaction: boolean,
  ): Promise<void> {
    if (isTransaction) {
      await this.server.run(workMs / 2);
      lease.suspend();
      await this.wait(TRANSACTION_PAUSE_MS);
      lease.resume();
      await this.server.run(workMs / 2);
    } else {
      await this.server.run(workMs);
    }
    lease.release('clean');
  }

  private wait(durationMs: number): Promise<void> {
    return new Promise(resolve => {
      this.clock.startTimer(durationMs, resolve);
    });
  }
}

/** Times at which rates may change are multiples of this. */
const RATE_STEP_MS = 500;

function getValue(kind: ReplayKind, responseMs: number | null): number {
  if (responseMs === null || responseMs > kind.deadlineMs) {
    return 0;
  }
  return responseMs <= kind.objectiveMs ? kind.valueOnTime : kind.valueLate;
}
