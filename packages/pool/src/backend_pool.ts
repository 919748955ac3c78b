import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {RequestPriority} from '@filbertrun/model/configuration.js';
import type {
  ConcurrencyControl,
  ConcurrencyOptions,
} from './concurrency_control.js';
import {ConcurrencyLimit} from './concurrency_limit.js';
import {ConnectionOpener} from './connection_opener.js';
import {IdleConnections} from './idle_connections.js';
import {LatencyGradient} from './latency_gradient.js';
import {
  LeasedConnection,
  type LeaseEnd,
  type LeaseEvents,
} from './leased_connection.js';
import {
  DEFAULT_POOL_LIMITS,
  type AcquireRequest,
  type BackendConnector,
  type ConnectError,
  type ConnectionIdentity,
  type PoolError,
  type PoolLease,
  type PoolLimits,
  type PoolStatus,
} from './pool_types.js';
import {ServiceTimeEstimator} from './service_time_estimator.js';
import {WaitQueue} from './wait_queue.js';

/** Options of a `BackendPool`. @public */
export interface BackendPoolOptions<C> {
  readonly connector: BackendConnector<C>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly limits?: Partial<PoolLimits>;
  /**
   * Creates the control of the `adaptive` pacing. Tests compare controls with it.
   *
   * @internal
   */
  readonly createAdaptiveControl?: (
    options: ConcurrencyOptions,
  ) => ConcurrencyControl;
}

/** Lowest retry delay reported with an `overloaded` error. */
const MIN_RETRY_AFTER_MS = 5;

/** Retry delay reported while the pool drains. */
const DRAINING_RETRY_AFTER_MS = 100;

/**
 * A request is refused on arrival if its estimated wait reaches this fraction
 * of the time to its deadline. The remainder allows for estimates that are too
 * low, so that fewer requests are refused only near their deadline.
 */
const MAX_EXPECTED_WAIT_SHARE = 0.5;

/** Largest number of queued entries that one arriving request can shed. */
const MAX_SHED_PER_ARRIVAL = 2;

type LeaseResult<C> = Result<PoolLease<C>, PoolError>;

/** Work kind of requests that name none. */
const DEFAULT_WORK_KIND = '';

interface WaitingEntry<C> {
  readonly priority: RequestPriority;
  readonly identity: ConnectionIdentity;
  readonly workKind: string;
  readonly isPreferred: ((connection: C) => boolean) | null;
  readonly deadlineMs: number;
  readonly settle: (result: LeaseResult<C>) => void;
}

type PoolState = 'open' | 'draining' | 'disposed';

/**
 * Connection pool of this proxy for one backend server. It holds a bounded
 * number of connections, leases each to one session at a time, and keeps
 * requests in a bounded priority queue until a connection is free or their
 * deadline passes.
 *
 * @public
 */
export class BackendPool<C> {
  private state: PoolState = 'open';
  private readonly queue = WaitQueue.create<WaitingEntry<C>>();
  private readonly serviceTime = ServiceTimeEstimator.create();
  private concurrency: ConcurrencyControl;
  private readonly idle: IdleConnections<C>;
  private readonly opener: ConnectionOpener<C>;
  private readonly leaseEvents: LeaseEvents<C>;
  private readonly drainWaiters: (() => void)[] = [];
  /** Time of the last restart of the adaptive concurrency. */
  private paceStartMs = Number.NEGATIVE_INFINITY;
  private active = 0;
  private suspended = 0;

  private constructor(
    private readonly connector: BackendConnector<C>,
    private readonly clock: Clock,
    random: RandomSource,
    private limits: PoolLimits,
    private readonly createAdaptiveControl: (
      options: ConcurrencyOptions,
    ) => ConcurrencyControl,
  ) {
    this.concurrency = this.createControl();
    this.idle = IdleConnections.create(connector, clock, limits);
    this.opener = ConnectionOpener.create({
      connector,
      clock,
      random,
      limits,
      events: {
        handleReady: () => this.dispatch(),
        handleOpened: (connection, identity) =>
          this.returnConnection(connection, identity, true),
        handleFailed: error => this.handleConnectFailed(error),
      },
    });
    this.leaseEvents = {
      getNowMs: () => clock.nowMs(),
      handleSuspended: () => this.handleSuspended(),
      handleResumed: () => this.handleResumed(),
      handleReleased: (end, wasActive) => this.handleReleased(end, wasActive),
    };
  }

  static create<C>(options: BackendPoolOptions<C>): BackendPool<C> {
    const limits = {...DEFAULT_POOL_LIMITS, ...options.limits};
    const {connector, clock, random} = options;
    return new BackendPool(
      connector,
      clock,
      random,
      limits,
      options.createAdaptiveControl ?? LatencyGradient.create,
    );
  }

  /**
   * Leases a connection. Refuses the request on arrival if it is not expected
   * to be served well before its deadline, or later if it is shed, cancelled or
   * reaches its deadline.
   */
  acquire(request: AcquireRequest<C>): Promise<LeaseResult<C>> {
    const refusal = this.findRefusal(request);
    if (refusal !== null) {
      return Promise.resolve(failure(refusal));
    }
    return new Promise(resolve => {
      this.enqueue(request, resolve);
      this.dispatch();
    });
  }

  getStatus(): PoolStatus {
    const availableLeases =
      this.limits.maxConnections - this.active - this.suspended;
    const freeSlots = Math.min(
      this.concurrency.value - this.active,
      availableLeases,
    );
    return {
      openConnections: this.openConnections,
      idleConnections: this.idle.size,
      connectingConnections: this.opener.attemptCount,
      activeLeases: this.active,
      suspendedLeases: this.suspended,
      queueLength: this.queue.length,
      concurrencyLimit: this.concurrency.value,
      isConnectionLimitReached:
        this.openConnections === 0 && this.opener.lastError?.kind === 'refused',
      freeSlots:
        this.state === 'open' ? Math.max(0, freeSlots - this.queue.length) : 0,
    };
  }

  /** Whether the identity has an idle connection that can be used. */
  hasIdleConnection(identity: ConnectionIdentity): boolean {
    return this.idle.hasIdleConnection(identity);
  }

  /** Changes limits at run time, such as when a connection share changes. */
  setLimits(limits: Partial<PoolLimits>): void {
    const {pacing} = this.limits;
    this.limits = {...this.limits, ...limits};
    if (this.limits.pacing !== pacing) {
      this.concurrency = this.createControl();
    }
    this.concurrency.setBounds(
      Math.min(this.limits.minConcurrency, this.limits.slots),
      this.limits.maxConnections,
    );
    this.idle.setLimits(this.limits);
    this.idle.close(this.openConnections - this.limits.maxConnections);
    this.dispatch();
  }

  /**
   * Resets the adaptation of the concurrency to its start, for a server that has
   * restarted, was promoted or has become reachable again. Has no effect with
   * the `fixedStart` pacing.
   */
  restartPace(): void {
    if (this.limits.pacing === 'adaptive') {
      this.concurrency.restart();
      this.paceStartMs = this.clock.nowMs();
    }
  }

  /** Removes a connection that was closed while it was idle. */
  handleConnectionClosed(connection: C): void {
    if (this.idle.remove(connection)) {
      this.dispatch();
    }
  }

  /** Refuses new leases; resolves when all leases have been released. */
  drain(): Promise<void> {
    if (this.state === 'open') {
      this.state = 'draining';
    }
    this.refuseAll({
      kind: 'draining',
      retryAfterMs: DRAINING_RETRY_AFTER_MS,
    });
    this.idle.close(this.idle.size);
    return new Promise(resolve => {
      this.drainWaiters.push(resolve);
      this.resolveDrainIfDone();
    });
  }

  /** Grants leases again after a drain. */
  reopen(): void {
    if (this.state === 'draining') {
      this.state = 'open';
    }
  }

  /** Ends the pool immediately. Leased connections are closed on release. */
  dispose(): void {
    this.state = 'disposed';
    this.opener.dispose();
    this.idle.dispose();
    this.refuseAll({kind: 'disposed'});
  }

  private get openConnections(): number {
    return this.idle.size + this.active + this.suspended;
  }

  private createControl(): ConcurrencyControl {
    const {maxConnections: maximum, slots, pacing} = this.limits;
    const minimum = Math.min(this.limits.minConcurrency, slots);
    return pacing === 'fixedStart'
      ? ConcurrencyLimit.create(minimum, maximum, slots)
      : this.createAdaptiveControl({minimum, maximum, slots});
  }

  /** Returns the error that refuses a request on arrival, or null. */
  private findRefusal(request: AcquireRequest<C>): PoolError | null {
    if (this.state === 'disposed') {
      return {kind: 'disposed'};
    }
    if (this.state === 'draining') {
      return {kind: 'draining', retryAfterMs: DRAINING_RETRY_AFTER_MS};
    }
    if (request.signal?.aborted === true) {
      return {kind: 'cancelled'};
    }
    const waitMs = this.estimateWaitMs(request.priority);
    const remainingMs = request.deadlineMs - this.clock.nowMs();
    if (waitMs >= remainingMs * MAX_EXPECTED_WAIT_SHARE) {
      return createOverloadedError(waitMs);
    }
    return this.findConnectRefusal(request) ?? this.displace(request, waitMs);
  }

  /** Returns an error if there is no connection and none can be opened soon. */
  private findConnectRefusal(request: AcquireRequest<C>): PoolError | null {
    const error = this.opener.lastError;
    if (error === null || this.openConnections + this.opener.attemptCount > 0) {
      return null;
    }
    const retryAfterMs = this.opener.getDelayMs();
    if (retryAfterMs <= 0) {
      return null;
    }
    if (error.kind === 'unreachable') {
      return {kind: 'unreachable', reason: error.reason, retryAfterMs};
    }
    const isInTime = this.clock.nowMs() + retryAfterMs < request.deadlineMs;
    return isInTime ? null : createOverloadedError(retryAfterMs);
  }

  /**
   * Makes room in a full queue: removes the newest entry of the lowest priority
   * below that of the request, or returns an error if there is none.
   */
  private displace(
    request: AcquireRequest<C>,
    waitMs: number,
  ): PoolError | null {
    if (this.queue.length < this.limits.maxQueueLength) {
      return null;
    }
    const displaced = this.queue.findDisplaceable(request.priority);
    if (displaced === null) {
      return createOverloadedError(waitMs);
    }
    displaced.settle(failure(createOverloadedError(waitMs)));
    return null;
  }

  private estimateWaitMs(priority: RequestPriority): number {
    const isBusy =
      this.queue.length > 0 || this.active >= this.concurrency.value;
    if (!isBusy) {
      return 0;
    }
    const ahead = this.queue.countAhead(priority);
    return this.serviceTime.estimateWaitMs(ahead, this.concurrency.value);
  }

  private enqueue(
    request: AcquireRequest<C>,
    resolve: (result: LeaseResult<C>) => void,
  ): void {
    const {priority, identity, deadlineMs, signal} = request;
    const handleAbort = () => entry.settle(failure({kind: 'cancelled'}));
    const timer = this.clock.startTimer(deadlineMs - this.clock.nowMs(), () => {
      const waitMs = this.estimateWaitMs(priority);
      entry.settle(failure(createOverloadedError(waitMs)));
    });
    const entry: WaitingEntry<C> = {
      priority,
      identity,
      workKind: request.workKind ?? DEFAULT_WORK_KIND,
      deadlineMs,
      isPreferred: request.isPreferred ?? null,
      settle: result => {
        timer.cancel();
        signal?.removeEventListener('abort', handleAbort);
        this.queue.remove(entry);
        resolve(result);
      },
    };
    signal?.addEventListener('abort', handleAbort);
    this.queue.add(entry);
    this.shedLateEntries(priority);
  }

  /** Sheds less urgent entries that are now expected to miss their deadline. */
  private shedLateEntries(priority: RequestPriority): void {
    for (let count = 0; count < MAX_SHED_PER_ARRIVAL; count++) {
      const latest = this.queue.findDisplaceable(priority);
      if (latest === null) {
        return;
      }
      // `countAhead` includes `latest` itself.
      const ahead = this.queue.countAhead(latest.priority) - 1;
      const waitMs = this.serviceTime.estimateWaitMs(
        ahead,
        this.concurrency.value,
      );
      if (this.clock.nowMs() + waitMs < latest.deadlineMs) {
        return;
      }
      latest.settle(failure(createOverloadedError(waitMs)));
    }
  }

  /**
   * Leases connections to queued entries up to the concurrency limit, and opens
   * the missing ones. An entry that waits for its connection counts towards the
   * limit, so that entries behind it don't open more connections than can be
   * used.
   */
  private dispatch(): void {
    if (this.state !== 'open') {
      return;
    }
    const attempts = this.opener.getAttempts();
    let waitingForConnection = 0;
    for (const entry of this.queue.getAll()) {
      if (this.active + waitingForConnection >= this.concurrency.value) {
        return;
      }
      if (entry.deadlineMs <= this.clock.nowMs()) {
        const waitMs = this.estimateWaitMs(entry.priority);
        entry.settle(failure(createOverloadedError(waitMs)));
        continue;
      }
      const {identity} = entry;
      const connection = this.idle.take(identity, entry.isPreferred);
      if (connection !== null) {
        entry.settle(success(this.createLease(connection, entry)));
        continue;
      }
      waitingForConnection++;
      const opening = attempts.get(identity) ?? 0;
      if (opening > 0) {
        attempts.set(identity, opening - 1);
      } else {
        this.openConnection(identity);
      }
    }
  }

  /**
   * Starts a connection attempt if one may start now. At the connection limit,
   * it replaces the connection that has been idle for longest.
   */
  private openConnection(identity: ConnectionIdentity): void {
    const isFull =
      this.openConnections + this.opener.attemptCount >=
      this.limits.maxConnections;
    if ((isFull && this.idle.size === 0) || !this.opener.mayStart()) {
      return;
    }
    if (isFull) {
      this.idle.close(1);
    }
    this.opener.requestAttempt(identity);
  }

  private createLease(
    connection: C,
    {identity, workKind}: WaitingEntry<C>,
  ): PoolLease<C> {
    this.active++;
    return LeasedConnection.create(
      connection,
      identity,
      workKind,
      this.active,
      this.leaseEvents,
    );
  }

  private handleSuspended(): void {
    this.active--;
    this.suspended++;
    this.dispatch();
  }

  private handleResumed(): void {
    this.suspended--;
    this.active++;
  }

  private handleReleased(end: LeaseEnd<C>, wasActive: boolean): void {
    if (wasActive) {
      this.active--;
    } else {
      this.suspended--;
    }
    if (end.serviceTimeMs !== null) {
      this.serviceTime.record(end.serviceTimeMs);
    }
    // A response to an earlier request says nothing about the restarted server.
    if (end.startMs >= this.paceStartMs) {
      this.concurrency.record({
        latencyMs: end.serviceTimeMs,
        workKind: end.workKind,
        activeAtStart: end.activeAtStart,
        outcome: end.outcome,
      });
    }
    const isClean = end.condition === 'clean';
    this.returnConnection(end.connection, end.identity, isClean);
    this.resolveDrainIfDone();
  }

  /** Returns a connection to the idle connections, or closes it. */
  private returnConnection(
    connection: C,
    identity: ConnectionIdentity,
    isClean: boolean,
  ): void {
    const isSurplus = this.openConnections >= this.limits.maxConnections;
    if (isClean && this.state === 'open' && !isSurplus) {
      this.idle.add(connection, identity);
    } else {
      this.connector.close(connection);
    }
    this.dispatch();
  }

  private handleConnectFailed(error: ConnectError): void {
    if (this.openConnections + this.opener.attemptCount === 0) {
      this.refuseWithoutConnection(error);
    }
    this.dispatch();
  }

  /** Refuses entries whose deadline is before the next connection attempt. */
  private refuseWithoutConnection(error: ConnectError): void {
    const retryAfterMs = this.opener.getDelayMs();
    if (error.kind === 'unreachable') {
      this.refuseAll({kind: 'unreachable', reason: error.reason, retryAfterMs});
      return;
    }
    const nextAttemptMs = this.clock.nowMs() + retryAfterMs;
    for (const entry of this.queue.getAll()) {
      if (entry.deadlineMs <= nextAttemptMs) {
        entry.settle(failure(createOverloadedError(retryAfterMs)));
      }
    }
  }

  private refuseAll(error: PoolError): void {
    for (const entry of this.queue.getAll()) {
      entry.settle(failure(error));
    }
  }

  private resolveDrainIfDone(): void {
    if (this.state === 'open' || this.active + this.suspended > 0) {
      return;
    }
    for (const resolve of this.drainWaiters.splice(0)) {
      resolve();
    }
  }
}

function createOverloadedError(waitMs: number): PoolError {
  return {
    kind: 'overloaded',
    retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs),
  };
}
