import type {Clock} from '@filbertrun/base/clock.js';
import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {
  ConcurrencyControl,
  ConcurrencyOptions,
} from './concurrency_control.js';
import {ConcurrencyLimit} from './concurrency_limit.js';
import {ConnectionOpener} from './connection_opener.js';
import {DispatchSlots} from './dispatch_slots.js';
import type {PoolLoad} from './expected_wait.js';
import {
  chooseRetryAfterMs,
  estimateArrivalWaitMs,
  isExpectedInTime,
  ReviewSchedule,
  reviewQueue,
} from './fair_admission.js';
import {FairQueue} from './fair_queue.js';
import {IdentityUse} from './identity_use.js';
import {IdleConnections, type ConnectionValue} from './idle_connections.js';
import {LatencyGradient} from './latency_gradient.js';
import {
  LeasedConnection,
  type LeaseEnd,
  type LeaseEvents,
} from './leased_connection.js';
import {LeaseTracker, type MeasuredEntry} from './lease_tracker.js';
import {measureHandshakes} from './measure_handshakes.js';
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
  type Queueing,
} from './pool_types.js';
import {RejectionCounter, type RejectionReason} from './rejection_counts.js';
import type {RequestQueue} from './request_queue.js';
import {ServiceTimeEstimator} from './service_time_estimator.js';
import {WaitQueue} from './wait_queue.js';
import {WorkEstimates} from './work_estimates.js';

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

/** Retry delay reported to a request that has no slot to wait for. */
const NO_SLOT_RETRY_AFTER_MS = 1_000;

/** Largest number of queued entries that one arriving request can shed. */
const MAX_SHED_PER_ARRIVAL = 2;

/** Work kind of requests that name none. */
const DEFAULT_WORK_KIND = '';

type LeaseResult<C> = Result<PoolLease<C>, PoolError>;

interface WaitingEntry<C> extends MeasuredEntry {
  readonly isPreferred: ((connection: C) => boolean) | null;
  readonly settle: (result: LeaseResult<C>) => void;
}

interface Refusal {
  readonly reason: RejectionReason;
  readonly error: PoolError;
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
  private queue: RequestQueue<WaitingEntry<C>>;
  private readonly estimates = WorkEstimates.create();
  private readonly rejections = RejectionCounter.create();
  private readonly tracker: LeaseTracker;
  private readonly identityUse: IdentityUse;
  private readonly reviewSchedule: ReviewSchedule;
  private readonly serviceTime = ServiceTimeEstimator.create();
  private concurrency: ConcurrencyControl;
  private readonly idle: IdleConnections<C>;
  private readonly opener: ConnectionOpener<C>;
  private readonly leaseEvents: LeaseEvents<C>;
  private readonly drainWaiters: (() => void)[] = [];
  private active = 0;
  private suspended = 0;
  /** Time of the last restart of the adaptive concurrency. */
  private paceStartMs = Number.NEGATIVE_INFINITY;

  private constructor(
    private readonly connector: BackendConnector<C>,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    private limits: PoolLimits,
    private readonly createAdaptiveControl: (
      options: ConcurrencyOptions,
    ) => ConcurrencyControl,
  ) {
    this.queue = createQueue(limits.queueing);
    this.tracker = LeaseTracker.create({
      estimates: this.estimates,
      getNowMs: () => clock.nowMs(),
      handleMeasured: (entry, workMs) => this.queue.correctWork(entry, workMs),
    });
    this.identityUse = IdentityUse.create(clock);
    this.reviewSchedule = ReviewSchedule.create(clock, () =>
      this.rejectLateEntries(),
    );
    this.concurrency = this.createControl();
    this.idle = IdleConnections.create(connector, clock, limits);
    this.opener = ConnectionOpener.create({
      connector: measureHandshakes(connector, clock, durationMs =>
        this.estimates.recordHandshake(durationMs),
      ),
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
    const arrival = this.describe(request);
    const lease = this.isFair ? this.leaseAtOnce(request, arrival) : null;
    if (lease !== null) {
      return Promise.resolve(success(lease));
    }
    const waitMs = this.estimateWaitMs(arrival);
    const refusal = this.findRefusal(request, arrival, waitMs);
    if (refusal !== null) {
      this.rejections.add(refusal.reason);
      return Promise.resolve(failure(refusal.error));
    }
    return new Promise(resolve => {
      this.enqueue(request, {arrival, waitMs, resolve});
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
      queueLengths: this.queue.lengths,
      rejectionCounts: this.rejections.counts,
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
    const {queueing, pacing} = this.limits;
    this.limits = {...this.limits, ...limits};
    if (this.limits.pacing !== pacing) {
      this.concurrency = this.createControl();
    }
    const isReordered = this.limits.queueing !== queueing;
    if (isReordered) {
      this.replaceQueue();
    }
    this.concurrency.setBounds(
      Math.min(this.limits.minConcurrency, this.limits.slots),
      this.limits.maxConnections,
    );
    this.idle.setLimits(this.limits);
    this.closeIdle(this.openConnections - this.limits.maxConnections);
    this.dispatch();
    if (isReordered && this.isFair) {
      this.rejectLateEntries();
    } else {
      this.reviewIfDue();
    }
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
    this.refuseAll('draining', {
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
    this.reviewSchedule.clear();
    this.refuseAll('disposed', {kind: 'disposed'});
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

  private get isFair(): boolean {
    return this.limits.queueing === 'fair';
  }

  /** Slots for which connections are available. */
  private get usableSlots(): number {
    const connections = this.limits.maxConnections - this.suspended;
    return Math.min(this.concurrency.value, connections);
  }

  /** Returns why a request is refused on arrival, or null. */
  private findRefusal(
    request: AcquireRequest<C>,
    arrival: MeasuredEntry,
    waitMs: number,
  ): Refusal | null {
    if (this.state === 'disposed') {
      return {reason: 'disposed', error: {kind: 'disposed'}};
    }
    if (this.state === 'draining') {
      const retryAfterMs = DRAINING_RETRY_AFTER_MS;
      return {reason: 'draining', error: {kind: 'draining', retryAfterMs}};
    }
    if (request.signal?.aborted === true) {
      return {reason: 'cancelled', error: {kind: 'cancelled'}};
    }
    const remainingMs = request.deadlineMs - this.clock.nowMs();
    const isInTime = this.isFair
      ? isExpectedInTime(waitMs, remainingMs)
      : waitMs < remainingMs * MAX_EXPECTED_WAIT_SHARE;
    if (!isInTime) {
      const error = this.createOverloadedError(waitMs);
      return {reason: 'expectedLate', error};
    }
    const connectError = this.findConnectRefusal(request);
    if (connectError !== null) {
      return {reason: 'noConnection', error: connectError};
    }
    const queueError = this.displace(arrival, waitMs);
    return queueError && {reason: 'queueFull', error: queueError};
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
    return isInTime ? null : this.createOverloadedError(retryAfterMs);
  }

  /**
   * Makes room in a full queue: removes the entry that the queue gives up for
   * the arriving one, or returns an error if there is none.
   */
  private displace(arrival: MeasuredEntry, waitMs: number): PoolError | null {
    if (this.queue.length < this.limits.maxQueueLength) {
      return null;
    }
    const displaced = this.queue.findDisplaceable(arrival);
    if (displaced === null) {
      return this.createOverloadedError(waitMs);
    }
    this.reject(displaced, 'queueFull', waitMs);
    return null;
  }

  /** Expected wait of an entry that is queued or about to arrive. */
  private estimateWaitMs(entry: MeasuredEntry): number {
    if (this.isFair) {
      return estimateArrivalWaitMs(entry, this.queue, this.createLoad());
    }
    const slots = this.countSlotsFor(entry);
    const isBusy = this.queue.length > 0 || this.active >= slots;
    if (!isBusy) {
      return 0;
    }
    const ahead = this.queue.countAhead(entry.priority);
    return slots <= 0
      ? Infinity
      : this.serviceTime.estimateWaitMs(ahead, slots);
  }

  /** Number of slots that an entry may use. */
  private countSlotsFor({isReplaceable}: MeasuredEntry): number {
    const reserved = isReplaceable ? this.limits.reservedSlots : 0;
    return this.concurrency.value - reserved;
  }

  private createLoad(): PoolLoad {
    const {maxConnections, reservedSlots, connectIntervalMs} = this.limits;
    return {
      slots: this.concurrency.value,
      reservedSlots,
      activeLeases: this.active,
      nextReleaseMs: this.tracker.getNextReleaseMs(),
      meanWorkMs: this.estimates.meanWorkMs,
      maxConnections,
      suspendedLeases: this.suspended,
      holdMs: this.tracker.getHoldMs(),
      handshakeMs: this.estimates.handshakeMs,
      ownHandshakeMs: this.estimates.unloadedHandshakeMs,
      connectIntervalMs,
      connectDelayMs: this.opener.getDelayMs(),
      connectedIdentities: new Set([
        ...this.idle.getIdentities(),
        ...this.opener.getAttempts().keys(),
        ...this.tracker.getActiveIdentities(),
      ]),
    };
  }

  private describe(request: AcquireRequest<C>): MeasuredEntry {
    const {priority, identity, deadlineMs} = request;
    const workKind = request.workKind ?? null;
    return {
      priority,
      identity,
      deadlineMs,
      workKind,
      workMs: this.estimates.getWorkMs(workKind),
      isReplaceable: request.isReplaceable ?? false,
    };
  }

  /**
   * Leases an idle connection of the identity if nothing is queued and a slot is
   * free; else null. It spares the usual request the estimates and timers of one
   * that waits.
   */
  private leaseAtOnce(
    request: AcquireRequest<C>,
    arrival: MeasuredEntry,
  ): PoolLease<C> | null {
    const mayLease =
      this.state === 'open' &&
      this.queue.length === 0 &&
      this.active < this.countSlotsFor(arrival) &&
      request.signal?.aborted !== true &&
      request.deadlineMs > this.clock.nowMs();
    const connection = mayLease
      ? this.idle.take(arrival.identity, request.isPreferred)
      : null;
    if (connection === null) {
      return null;
    }
    const entry: WaitingEntry<C> = {
      ...arrival,
      isPreferred: null,
      settle: () => {},
    };
    this.queue.add(entry);
    this.queue.serve(entry);
    return this.createLease(connection, entry);
  }

  private enqueue(
    request: AcquireRequest<C>,
    admitted: {
      readonly arrival: MeasuredEntry;
      readonly waitMs: number;
      readonly resolve: (result: LeaseResult<C>) => void;
    },
  ): void {
    const {arrival, waitMs, resolve} = admitted;
    const {deadlineMs, signal} = request;
    const handleAbort = () => {
      this.rejections.add('cancelled');
      entry.settle(failure({kind: 'cancelled'}));
    };
    const timer = this.clock.startTimer(deadlineMs - this.clock.nowMs(), () =>
      this.reject(entry, 'deadline', this.estimateWaitMs(entry)),
    );
    const entry: WaitingEntry<C> = {
      ...arrival,
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
    if (this.isFair) {
      this.reviewSchedule.addEntry(entry, waitMs, this.usableSlots);
      this.reviewIfDue();
    } else {
      this.shedLateEntries(entry);
    }
  }

  private reviewIfDue(): void {
    if (this.isFair && this.reviewSchedule.isDue(this.usableSlots)) {
      this.rejectLateEntries();
    }
  }

  /** Rejects the queued entries that can no longer be sent in time. */
  private rejectLateEntries(): void {
    const nowMs = this.clock.nowMs();
    const review = reviewQueue(this.queue, this.createLoad(), nowMs);
    for (const {entry, waitMs} of review.late) {
      this.reject(entry, 'becameLate', waitMs);
    }
    this.reviewSchedule.plan(review.minSlackMs, this.usableSlots);
    if (review.late.length > 0) {
      this.dispatch();
    }
  }

  /** Moves the queued entries to a queue of the present order. */
  private replaceQueue(): void {
    const entries = [...this.queue.getAll()];
    this.queue = createQueue(this.limits.queueing);
    this.reviewSchedule.clear();
    for (const entry of entries) {
      this.queue.add(entry);
    }
  }

  /** Sheds less urgent entries that are now expected to miss their deadline. */
  private shedLateEntries(arrival: MeasuredEntry): void {
    for (let count = 0; count < MAX_SHED_PER_ARRIVAL; count++) {
      const latest = this.queue.findDisplaceable(arrival);
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
      this.reject(latest, 'becameLate', waitMs);
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
    const slots = DispatchSlots.create({
      slots: this.concurrency.value,
      reservedSlots: this.limits.reservedSlots,
      getActiveLeases: () => this.active,
    });
    for (const entry of this.queue.getAll()) {
      if (!slots.advance(entry)) {
        return;
      }
      if (entry.deadlineMs <= this.clock.nowMs()) {
        this.reject(entry, 'deadline', this.estimateWaitMs(entry));
        continue;
      }
      if (!slots.mayUse(entry)) {
        continue;
      }
      const {identity} = entry;
      const connection = this.idle.take(identity, entry.isPreferred);
      if (connection !== null) {
        this.queue.serve(entry);
        entry.settle(success(this.createLease(connection, entry)));
        continue;
      }
      const opening = attempts.get(identity) ?? 0;
      if (opening === 0 && this.shouldAwaitRelease(identity)) {
        slots.awaitRelease(entry);
        continue;
      }
      slots.claim();
      if (opening > 0) {
        attempts.set(identity, opening - 1);
      } else {
        this.openConnection(identity);
      }
    }
  }

  /**
   * Starts a connection attempt if one may start now. At the connection limit,
   * it replaces an idle connection.
   */
  private openConnection(identity: ConnectionIdentity): void {
    const excess =
      this.openConnections +
      this.opener.attemptCount +
      1 -
      this.limits.maxConnections;
    // Attempts that began before the limit was lowered can exceed it. The
    // priority order replaces one connection regardless.
    const replaced = this.isFair ? excess : Math.min(excess, 1);
    if (replaced > this.idle.size || !this.opener.mayStart()) {
      return;
    }
    this.closeIdle(replaced);
    this.opener.requestAttempt(identity);
  }

  /** Closes idle connections to make room for others. */
  private closeIdle(count: number): void {
    if (!this.isFair) {
      this.idle.close(count);
      return;
    }
    this.idle.closeLeastValuable(count, this.createConnectionValue());
  }

  private createConnectionValue(): ConnectionValue {
    const {meanWorkMs} = this.estimates;
    const leased = this.tracker.countLeases();
    return (identity, otherIdle) => {
      const others = otherIdle + (leased.get(identity) ?? 0);
      return this.identityUse.getValue(identity, others, meanWorkMs);
    };
  }

  /**
   * Whether an identity without an idle connection waits for one that it uses
   * now, because another one would replace a connection of more value. Otherwise
   * an identity with many requests takes turns with others on all connections,
   * with a handshake for each request.
   */
  private shouldAwaitRelease(identity: ConnectionIdentity): boolean {
    const total = this.openConnections + this.opener.attemptCount;
    if (!this.isFair || total < this.limits.maxConnections) {
      return false;
    }
    const getValue = this.createConnectionValue();
    return (
      this.tracker.getActiveIdentities().includes(identity) &&
      this.idle.getLeastValue(getValue) >= getValue(identity, 0)
    );
  }

  private createLease(connection: C, entry: WaitingEntry<C>): PoolLease<C> {
    this.active++;
    this.identityUse.record(entry.identity);
    return LeasedConnection.create(
      connection,
      entry.identity,
      entry.workKind ?? DEFAULT_WORK_KIND,
      this.active,
      this.tracker.track(entry, this.leaseEvents),
    );
  }

  private handleSuspended(): void {
    this.active--;
    this.suspended++;
    this.dispatch();
    this.reviewIfDue();
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
    this.reviewIfDue();
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
      const {kind, reason} = error;
      this.refuseAll('noConnection', {kind, reason, retryAfterMs});
      return;
    }
    const nextAttemptMs = this.clock.nowMs() + retryAfterMs;
    for (const entry of this.queue.getAll()) {
      if (entry.deadlineMs <= nextAttemptMs) {
        this.reject(entry, 'noConnection', retryAfterMs);
      }
    }
  }

  private refuseAll(reason: RejectionReason, error: PoolError): void {
    for (const entry of this.queue.getAll()) {
      this.rejections.add(reason);
      entry.settle(failure(error));
    }
  }

  private reject(
    entry: WaitingEntry<C>,
    reason: RejectionReason,
    waitMs: number,
  ): void {
    this.rejections.add(reason);
    entry.settle(failure(this.createOverloadedError(waitMs)));
  }

  private createOverloadedError(waitMs: number): PoolError {
    if (this.isFair) {
      const retryAfterMs = chooseRetryAfterMs(waitMs, this.random);
      return {kind: 'overloaded', retryAfterMs};
    }
    const boundedMs = waitMs === Infinity ? NO_SLOT_RETRY_AFTER_MS : waitMs;
    const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, boundedMs);
    return {kind: 'overloaded', retryAfterMs};
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

function createQueue<C>(queueing: Queueing): RequestQueue<WaitingEntry<C>> {
  switch (queueing) {
    case 'priority':
      return WaitQueue.create();
    case 'fair':
      return FairQueue.create();
    default:
      return exhaustiveSwitchError(queueing);
  }
}
