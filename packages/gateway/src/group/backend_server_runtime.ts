import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  getLaterPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import {BackendPool} from '@filbertrun/pool/backend_pool.js';
import type {
  ConnectError,
  ConnectionIdentity,
  PoolLimits,
} from '@filbertrun/pool/pool_types.js';
import type {
  BackendConnector,
  ReachabilityResult,
} from '../backend/backend_connection.js';
import {PooledConnection} from '../backend/pooled_connection.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import {IDLE_TIMEOUT_MS} from '../control/choose_idle_timeout.js';
import {runInBackground} from '../observability/background_task.js';
import {estimateQueueWaitMs} from '../routing/estimate_queue_wait.js';
import {FailureRate} from '../routing/failure_rate.js';
import {ServerSlowdown} from '../routing/server_slowdown.js';
import type {DrainTracker} from './drain_tracker.js';
import {RoundTripTracker} from './round_trip_tracker.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';

/** Dependencies and settings of a {@link BackendServerRuntime}. @public */
export interface BackendServerRuntimeOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly connector: BackendConnector;
  readonly events: GatewayEventRecorder;
  readonly maxConnections: number;
  /** Time for which a server remains usable after its drain was observed. */
  readonly drainDurationMs: number;
  /**
   * Start times of drains, kept while servers are missing from the directory.
   */
  readonly drainTracker: DrainTracker;
}

/**
 * Limits of a pool that depend on whether proxies share the connections. The
 * others have methods of their own.
 *
 * @public
 */
export type AccessLimits = Partial<
  Omit<PoolLimits, 'maxConnections' | 'idleTimeoutMs'>
>;

/**
 * Part of the drain duration reserved for the delay until this proxy observes
 * the draining state and for statements that wait for a connection.
 */
const DRAIN_MARGIN_MS = 1_000;

/** Timeout for a new connection, including its handshake. */
const CONNECT_TIMEOUT_MS = 700;

/**
 * Time for which a server counts as suspect after a failed attempt. Reads prefer
 * other servers meanwhile.
 */
const SUSPECT_DURATION_MS = 1_000;

/** Weight of the newest sample in the moving average of the latency. */
const LATENCY_WEIGHT = 0.15;

/** Expected lag of a replica before any was observed. */
const INITIAL_EXPECTED_LAG_MS = 120;

/** Upper bound on the expected lag. */
const MAX_EXPECTED_LAG_MS = 10_000;

/** Factor applied to the expected lag when a read is rejected for lag. */
const LAG_REJECTION_FACTOR = 1.6;

/** Factor applied to the expected lag when a read succeeds. */
const LAG_SUCCESS_FACTOR = 0.97;

/**
 * Connections that are kept open to an instance even if it is unused. It is
 * zero because in a large deployment the connections of proxies that do not use
 * an instance would exhaust its connection limit and leave none when many
 * proxies restart.
 */
const MIN_IDLE_CONNECTIONS = 0;

/**
 * Minimum concurrency limit of statements at an instance. Under load, further
 * statements wait in the proxy by priority and not in the instance's queue.
 */
const MIN_CONCURRENCY = 1;

/** Minimum time between two connection attempts to an instance. */
const CONNECT_INTERVAL_MS = 2;

/** Maximum back-off between connection attempts to an unreachable instance. */
const MAX_CONNECT_BACK_OFF_MS = 500;

/**
 * Time for which a response may be pending without any byte received before the
 * reachability of the server is checked.
 */
const RESPONSE_OVERDUE_MS = 220;

/** Timeout of a reachability check. */
const REACHABILITY_TIMEOUT_MS = 200;

/** Interval of reachability checks of an unreachable server. */
const PROBE_INTERVAL_MS = 700;

/** Interval at which connections are checked for overdue responses. */
const RESPONSE_CHECK_INTERVAL_MS = 50;

/**
 * Connections of this proxy to a backend server, and the server's state.
 *
 * @public
 */
export class BackendServerRuntime {
  readonly pool: BackendPool<PooledConnection>;
  /** Recent failure rate of its statements. */
  readonly failures: FailureRate;
  private readonly roundTrip: RoundTripTracker;
  private readonly serviceSlowdown: ServerSlowdown;
  private maxConnections: number;
  private readonly connections = new Set<PooledConnection>();
  private meanLatencyMs: number | null = null;
  private lagMs = INITIAL_EXPECTED_LAG_MS;
  private newestPosition: LogPosition | null = null;
  private suspectUntilMs = Number.NEGATIVE_INFINITY;
  private responseCheckTimer: Timer | null = null;
  private probedAtMs = Number.NEGATIVE_INFINITY;
  private isCheckingReachability = false;
  private respondedAtMs: number | null = null;
  private drainingSinceMs: number | null = null;
  /**
   * Time at which the server became unreachable; null while it is reachable.
   */
  private unreachableAtMs: number | null = null;

  private constructor(
    private currentEntry: BackendServerEntry,
    private readonly options: BackendServerRuntimeOptions,
  ) {
    this.updateDrainState(false);
    this.failures = FailureRate.create(options.clock);
    this.roundTrip = RoundTripTracker.create(options.clock);
    this.serviceSlowdown = ServerSlowdown.create(options.clock);
    this.maxConnections = options.maxConnections;
    this.pool = BackendPool.create<PooledConnection>({
      clock: options.clock,
      random: options.random,
      connector: {
        connect: identity => this.connect(identity),
        close: pooled => this.closeConnection(pooled, 'closed by the pool'),
        isUsable: pooled => pooled.connection.isOpen,
      },
      limits: {
        maxConnections: options.maxConnections,
        slots: currentEntry.slots,
        minConcurrency: MIN_CONCURRENCY,
        connectIntervalMs: CONNECT_INTERVAL_MS,
        maxBackOffMs: MAX_CONNECT_BACK_OFF_MS,
        minIdleConnections: MIN_IDLE_CONNECTIONS,
        idleTimeoutMs: IDLE_TIMEOUT_MS,
      },
    });
  }

  static create(
    entry: BackendServerEntry,
    options: BackendServerRuntimeOptions,
  ): BackendServerRuntime {
    return new BackendServerRuntime(entry, options);
  }

  get entry(): BackendServerEntry {
    return this.currentEntry;
  }

  /**
   * Whether the drain has lasted so long that no statements are sent any more.
   */
  get isPastDrain(): boolean {
    const {clock, drainDurationMs} = this.options;
    return (
      this.drainingSinceMs !== null &&
      clock.nowMs() - this.drainingSinceMs >= drainDurationMs - DRAIN_MARGIN_MS
    );
  }

  get latencyMs(): number | null {
    return this.meanLatencyMs;
  }

  /** Recent minimum of the network round-trip time; null while unknown. */
  get roundTripMs(): number | null {
    return this.roundTrip.value;
  }

  /** Recent service time relative to that of the same work on all servers. */
  get slowdown(): number {
    return this.serviceSlowdown.value;
  }

  /** Longest time for which a statement has been without any response. */
  getOldestPendingMs(): number {
    const nowMs = this.options.clock.nowMs();
    let oldestMs = 0;
    for (const {connection} of this.connections) {
      const sinceMs = connection.getUnresponsiveSinceMs();
      oldestMs = Math.max(oldestMs, sinceMs === null ? 0 : nowMs - sinceMs);
    }
    return oldestMs;
  }

  get expectedLagMs(): number {
    return this.lagMs;
  }

  get knownPosition(): LogPosition | null {
    return this.newestPosition;
  }

  get isSuspect(): boolean {
    return this.options.clock.nowMs() < this.suspectUntilMs;
  }

  /** Whether the server was unreachable according to the latest evidence. */
  get isUnreachable(): boolean {
    return this.unreachableAtMs !== null;
  }

  /** Time of the last response; null before the first one. */
  get lastResponseAtMs(): number | null {
    return this.respondedAtMs;
  }

  /** Time since which the server is unreachable; null while it is reachable. */
  get unreachableSinceMs(): number | null {
    return this.unreachableAtMs;
  }

  /** Statements of this proxy that run or are queued for the server. */
  get load(): number {
    const {activeLeases, queueLength} = this.pool.getStatus();
    return activeLeases + queueLength;
  }

  /**
   * Applies a newer entry; returns false if the server was restarted or its
   * address has changed.
   */
  updateEntry(entry: BackendServerEntry): boolean {
    const isSameStart =
      entry.startedAtEpochMs === this.currentEntry.startedAtEpochMs &&
      entry.host === this.currentEntry.host &&
      entry.port === this.currentEntry.port;
    const wasActive = this.currentEntry.state === 'active';
    this.currentEntry = entry;
    this.updateDrainState(wasActive);
    if (!isSameStart) {
      this.restartMeasurements();
      this.pool.restartPace();
    }
    return isSameStart;
  }

  /** Leases that the pool could grant without waiting for a release. */
  get freeCapacity(): number {
    const status = this.pool.getStatus();
    return status.isConnectionLimitReached ? 0 : status.freeSlots;
  }

  /** Expected wait of a new statement for a lease of the pool. */
  estimateQueueWaitMs(): number {
    const status = this.pool.getStatus();
    if (status.isConnectionLimitReached) {
      // Connections that a power loss left behind fill the server for seconds.
      return MAX_CONNECT_BACK_OFF_MS;
    }
    return estimateQueueWaitMs({
      ...status,
      maxConnections: this.maxConnections,
      meanLatencyMs: this.meanLatencyMs,
    });
  }

  /**
   * Handles that the server has become the primary. Its work changes, so
   * earlier latencies no longer apply.
   */
  handlePromoted(): void {
    this.pool.restartPace();
  }

  setMaxConnections(maxConnections: number): void {
    this.maxConnections = maxConnections;
    this.pool.setLimits({maxConnections});
  }

  /** Sets the time after which an unused connection is closed. */
  setIdleTimeout(idleTimeoutMs: number): void {
    this.pool.setLimits({idleTimeoutMs});
  }

  /** Changes the limits that depend on whether access is shared. */
  setAccessLimits(limits: AccessLimits): void {
    this.pool.setLimits(limits);
  }

  /**
   * Records the service time of a statement and that expected of its kind of
   * work; null if none is known.
   */
  recordService(serviceMs: number, expectedMs: number | null): void {
    if (expectedMs !== null) {
      this.serviceSlowdown.record(serviceMs, expectedMs);
    }
  }

  recordResponse(latencyMs: number, position: LogPosition | null): void {
    this.meanLatencyMs =
      this.meanLatencyMs === null
        ? latencyMs
        : this.meanLatencyMs +
          (latencyMs - this.meanLatencyMs) * LATENCY_WEIGHT;
    this.recordPosition(position);
  }

  /**
   * Records the log position of a response and marks the server as reachable.
   */
  recordPosition(position: LogPosition | null): void {
    if (this.unreachableAtMs !== null) {
      this.endUnreachability();
      this.suspectUntilMs = Number.NEGATIVE_INFINITY;
    }
    this.respondedAtMs = this.options.clock.nowMs();
    if (position !== null) {
      this.newestPosition =
        this.newestPosition === null
          ? position
          : getLaterPosition(this.newestPosition, position);
    }
  }

  /**
   * Updates the expected lag after a read that required a log position.
   * `isCovered` tells whether the server had reached the position, and
   * `requiredAgeMs` is the age of the position; null if unknown.
   */
  recordLagOutcome(isCovered: boolean, requiredAgeMs: number | null): void {
    if (isCovered) {
      this.lagMs = Math.max(
        INITIAL_EXPECTED_LAG_MS / 2,
        this.lagMs * LAG_SUCCESS_FACTOR,
      );
      return;
    }
    const lowerBoundMs = requiredAgeMs ?? this.lagMs;
    this.lagMs = Math.min(
      MAX_EXPECTED_LAG_MS,
      Math.max(this.lagMs, lowerBoundMs) * LAG_REJECTION_FACTOR,
    );
  }

  markSuspect(): void {
    this.suspectUntilMs = this.options.clock.nowMs() + SUSPECT_DURATION_MS;
  }

  /** Whether the next reachability check of an unreachable server is due. */
  get isProbeDue(): boolean {
    const sinceMs = this.options.clock.nowMs() - this.probedAtMs;
    return this.unreachableAtMs !== null && sinceMs >= PROBE_INTERVAL_MS;
  }

  /**
   * Checks reachability with a TCP connection and marks the server as reachable
   * or unreachable. Unlike the check of overdue responses, it needs no pending
   * statement and can end the unreachable state.
   */
  async probe(): Promise<void> {
    this.probedAtMs = this.options.clock.nowMs();
    const result = await this.options.connector.checkReachable(
      this.currentEntry,
      REACHABILITY_TIMEOUT_MS,
    );
    if (result === 'accepted') {
      this.recordPosition(null);
    } else {
      this.markUnreachable(result);
    }
  }

  /** Closes all connections, for example when the server has been removed. */
  closeAll(reason: string): void {
    for (const pooled of [...this.connections]) {
      this.closeConnection(pooled, reason);
    }
  }

  dispose(reason: string): void {
    this.responseCheckTimer?.cancel();
    this.pool.dispose();
    this.closeAll(reason);
  }

  private updateDrainState(wasActive: boolean): void {
    const {drainTracker} = this.options;
    this.drainingSinceMs = drainTracker.update(this.currentEntry, wasActive);
  }

  private async connect(
    identity: ConnectionIdentity,
  ): Promise<Result<PooledConnection, ConnectError>> {
    const {connector, events} = this.options;
    const entry = this.currentEntry;
    const result = await connector.connect(entry, identity, CONNECT_TIMEOUT_MS);
    if (!result.ok) {
      const reason =
        result.error.kind === 'unreachable'
          ? result.error.reason
          : result.error.kind;
      events.record({
        kind: 'backendConnectFailed',
        backendServer: entry.backendServer,
        reason,
      });
      if (result.error.kind === 'refused') {
        return failure({kind: 'refused'});
      }
      this.markSuspect();
      // A full accept queue looks the same as an unreachable server, so check
      // reachability separately.
      runInBackground(events, 'probe', this.probe());
      return failure({kind: 'unreachable', reason});
    }
    const connection = result.value;
    if (typeof connection.connectTimeMs === 'number') {
      this.roundTrip.record(connection.connectTimeMs);
    }
    const pooled = PooledConnection.create(connection, identity);
    this.endUnreachability();
    this.connections.add(pooled);
    this.scheduleResponseCheck();
    return success(pooled);
  }

  /** Marks the server as reachable and restarts its pace if it was not. */
  private endUnreachability(): void {
    if (this.unreachableAtMs !== null) {
      this.unreachableAtMs = null;
      this.pool.restartPace();
    }
  }

  private closeConnection(pooled: PooledConnection, reason: string): void {
    this.connections.delete(pooled);
    pooled.connection.close(reason);
  }

  /**
   * Checks the connections for overdue responses while any connection exists.
   */
  private scheduleResponseCheck(): void {
    if (this.responseCheckTimer !== null || this.connections.size === 0) {
      return;
    }
    this.responseCheckTimer = this.options.clock.startTimer(
      RESPONSE_CHECK_INTERVAL_MS,
      () => {
        this.responseCheckTimer = null;
        this.removeClosedConnections();
        if (this.hasOverdueResponse()) {
          runInBackground(
            this.options.events,
            'reachability check',
            this.checkReachability(),
          );
        }
        this.scheduleResponseCheck();
      },
    );
  }

  private removeClosedConnections(): void {
    for (const pooled of this.connections) {
      if (!pooled.connection.isOpen) {
        this.connections.delete(pooled);
        this.pool.handleConnectionClosed(pooled);
      }
    }
  }

  private hasOverdueResponse(): boolean {
    const nowMs = this.options.clock.nowMs();
    for (const {connection} of this.connections) {
      const sinceMs = connection.getUnresponsiveSinceMs();
      if (sinceMs !== null && nowMs - sinceMs >= RESPONSE_OVERDUE_MS) {
        return true;
      }
    }
    return false;
  }

  /**
   * Attempts a TCP connection without sending a command to the server. If the
   * attempt fails, the server is marked unreachable and all of its connections
   * are closed.
   */
  private async checkReachability(): Promise<void> {
    if (this.isCheckingReachability) {
      return;
    }
    this.isCheckingReachability = true;
    try {
      const result = await this.options.connector.checkReachable(
        this.currentEntry,
        REACHABILITY_TIMEOUT_MS,
      );
      if (result !== 'accepted') {
        this.markUnreachable(result);
      }
    } finally {
      this.isCheckingReachability = false;
    }
  }

  /**
   * Measures again after a restart or an interruption: the network path and the
   * speed of the server may have changed.
   */
  private restartMeasurements(): void {
    this.roundTrip.restart();
    this.serviceSlowdown.reset();
  }

  private markUnreachable(evidence: ReachabilityResult): void {
    if (this.unreachableAtMs === null) {
      this.unreachableAtMs = this.options.clock.nowMs();
      this.restartMeasurements();
      this.options.events.record({
        kind: 'backendUnreachable',
        backendServer: this.currentEntry.backendServer,
        evidence,
      });
    }
    this.markSuspect();
    this.closeAll(`reachability check: ${evidence}`);
  }
}
