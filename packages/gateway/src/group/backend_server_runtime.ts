import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import {
  getLaterPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import {BackendPool} from '@filbertrun/pool/backend_pool.js';
import type {ConnectError} from '@filbertrun/pool/pool_types.js';
import type {
  BackendLinkConnector,
  ReachabilityResult,
} from '../backend/backend_link.js';
import {PooledLink} from '../backend/pooled_link.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import {IDLE_TIMEOUT_MS} from '../control/choose_idle_timeout.js';
import {FailureShare} from '../routing/failure_share.js';
import type {DrainMemory} from './drain_memory.js';
import type {GatewayEvents} from '../observability/gateway_events.js';

/** What a backend server's runtime is made of. @public */
export interface BackendServerRuntimeOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly connector: BackendLinkConnector;
  readonly events: GatewayEvents;
  readonly maxConnections: number;
  /** Time for which a draining server may be used once its state is known. */
  readonly drainDurationMs: number;
  /** Since when servers have been draining, also those that come back. */
  readonly drains: DrainMemory;
}

/**
 * Part of the drain that makes up for the time until the state is known and for
 * statements that wait for a connection.
 */
const DRAIN_MARGIN_MS = 1_000;

/** Time allowed for a new connection, its handshake included. */
const CONNECT_TIMEOUT_MS = 700;

/** Time after a failed attempt for which a server counts as suspect. */
const SUSPECT_DURATION_MS = 1_000;

/** Weight of the newest sample in the mean latency. */
const LATENCY_WEIGHT = 0.15;

/** Lag expected of a replica before any was observed. */
const INITIAL_EXPECTED_LAG_MS = 120;

/** Lag at which the estimate stops growing. */
const MAX_EXPECTED_LAG_MS = 10_000;

/** Factor by which a rejection for lag raises the expected lag. */
const LAG_REJECTION_FACTOR = 1.6;

/** Factor by which a covered read lowers the expected lag. */
const LAG_SUCCESS_FACTOR = 0.97;

/**
 * Connections that are kept open to an instance whether or not it is used. None:
 * in a large deployment those of proxies that do not use an instance would take
 * all that it admits, and none would be left when many proxies start again.
 */
const MIN_IDLE_CONNECTIONS = 0;

/**
 * Statements that a proxy always keeps at an instance. Under load the others
 * wait here, by priority, and not in the instance's queue.
 */
const MIN_CONCURRENCY = 1;

/** Time between two attempts to connect to one instance. */
const CONNECT_INTERVAL_MS = 2;

/** Longest pause between attempts at an instance that can't be reached. */
const MAX_CONNECT_BACK_OFF_MS = 500;

/**
 * Time for which a connection may owe an answer without a byte before the
 * machine behind it is checked.
 */
const SILENCE_CHECK_MS = 220;

/** Time allowed for that check. */
const REACHABILITY_TIMEOUT_MS = 200;

/** Interval at which a server that can't be reached is tried again. */
const PROBE_INTERVAL_MS = 700;

/** Interval at which connections are looked at for silence. */
const SILENCE_INTERVAL_MS = 50;

/** This proxy's connections to one backend server and what it knows of it. @public */
export class BackendServerRuntime {
  readonly pool: BackendPool<PooledLink>;
  /** Share of its statements that failed lately. */
  readonly failures: FailureShare;
  private readonly links = new Set<PooledLink>();
  private meanLatencyMs: number | null = null;
  private lagMs = INITIAL_EXPECTED_LAG_MS;
  private newestPosition: LogPosition | null = null;
  private suspectUntilMs = Number.NEGATIVE_INFINITY;
  private silenceTimer: Timer | null = null;
  private probedAtMs = Number.NEGATIVE_INFINITY;
  private isChecking = false;
  private answeredAtMs: number | null = null;
  private drainingSinceMs: number | null = null;
  /** Time at which the server was last shown to be unreachable; null when it answers. */
  private unreachableAtMs: number | null = null;

  private constructor(
    private currentEntry: BackendServerEntry,
    private readonly options: BackendServerRuntimeOptions,
  ) {
    this.noteState(false);
    this.failures = FailureShare.create(options.clock);
    this.pool = BackendPool.create<PooledLink>({
      clock: options.clock,
      random: options.random,
      connector: {
        connect: () => this.connect(),
        close: pooled => this.closeLink(pooled, 'closed by the pool'),
        isUsable: pooled => pooled.link.isOpen,
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

  /** Whether the server has been draining for so long that nothing more is sent to it. */
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

  get expectedLagMs(): number {
    return this.lagMs;
  }

  get knownPosition(): LogPosition | null {
    return this.newestPosition;
  }

  get isSuspect(): boolean {
    return this.options.clock.nowMs() < this.suspectUntilMs;
  }

  /** Whether the last evidence says that the server can't be reached. */
  get isUnreachable(): boolean {
    return this.unreachableAtMs !== null;
  }

  /** Time of the last answer; null before the first. */
  get lastAnsweredAtMs(): number | null {
    return this.answeredAtMs;
  }

  /** Time since which the server can't be reached; null when it can. */
  get unreachableSinceMs(): number | null {
    return this.unreachableAtMs;
  }

  /** Statements of this proxy that run or wait at the server. */
  get load(): number {
    const {activeLeases, queueLength} = this.pool.getStatus();
    return activeLeases + queueLength;
  }

  /** Takes a newer entry; false when it describes another start of the server. */
  updateEntry(entry: BackendServerEntry): boolean {
    const isSameStart =
      entry.startedAtEpochMs === this.currentEntry.startedAtEpochMs &&
      entry.host === this.currentEntry.host &&
      entry.port === this.currentEntry.port;
    const wasActive = this.currentEntry.state === 'active';
    this.currentEntry = entry;
    this.noteState(wasActive);
    return isSameStart;
  }

  setMaxConnections(maxConnections: number): void {
    this.pool.setLimits({maxConnections});
  }

  /** Sets the time after which an unused connection is closed. */
  setIdleTimeout(idleTimeoutMs: number): void {
    this.pool.setLimits({idleTimeoutMs});
  }

  recordAnswer(latencyMs: number, position: LogPosition | null): void {
    this.meanLatencyMs =
      this.meanLatencyMs === null
        ? latencyMs
        : this.meanLatencyMs +
          (latencyMs - this.meanLatencyMs) * LATENCY_WEIGHT;
    this.recordPosition(position);
  }

  /** Takes the log position of an answer, which also shows that the server is there. */
  recordPosition(position: LogPosition | null): void {
    if (this.unreachableAtMs !== null) {
      this.unreachableAtMs = null;
      this.suspectUntilMs = Number.NEGATIVE_INFINITY;
    }
    this.answeredAtMs = this.options.clock.nowMs();
    if (position !== null) {
      this.newestPosition =
        this.newestPosition === null
          ? position
          : getLaterPosition(this.newestPosition, position);
    }
  }

  /** Learns from a read that required a position of a known age. */
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

  /** Whether it is time to look if the server can be reached again. */
  get isProbeDue(): boolean {
    const sinceMs = this.options.clock.nowMs() - this.probedAtMs;
    return this.unreachableAtMs !== null && sinceMs >= PROBE_INTERVAL_MS;
  }

  /** Asks for a bare TCP connection, although no statement is waiting. */
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

  /** Closes every connection, for example to a server that has left. */
  closeAll(reason: string): void {
    for (const pooled of [...this.links]) {
      this.closeLink(pooled, reason);
    }
  }

  dispose(reason: string): void {
    this.silenceTimer?.cancel();
    this.pool.dispose();
    this.closeAll(reason);
  }

  private noteState(wasActive: boolean): void {
    const {drains} = this.options;
    this.drainingSinceMs = drains.note(this.currentEntry, wasActive);
  }

  private async connect(): Promise<Result<PooledLink, ConnectError>> {
    const {connector, events} = this.options;
    const entry = this.currentEntry;
    const result = await connector.connect(entry, CONNECT_TIMEOUT_MS);
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
      // A full queue of connections looks the same, so the machine is asked.
      void this.probe();
      return failure({kind: 'unreachable', reason});
    }
    const pooled = PooledLink.create(result.value);
    this.unreachableAtMs = null;
    this.links.add(pooled);
    this.watchSilence();
    return success(pooled);
  }

  private closeLink(pooled: PooledLink, reason: string): void {
    this.links.delete(pooled);
    pooled.link.close(reason);
  }

  /** Looks at the connections while any owes an answer. */
  private watchSilence(): void {
    if (this.silenceTimer !== null || this.links.size === 0) {
      return;
    }
    this.silenceTimer = this.options.clock.startTimer(
      SILENCE_INTERVAL_MS,
      () => {
        this.silenceTimer = null;
        this.dropClosedLinks();
        if (this.hasSilentLink()) {
          void this.checkReachability();
        }
        this.watchSilence();
      },
    );
  }

  private dropClosedLinks(): void {
    for (const pooled of this.links) {
      if (!pooled.link.isOpen) {
        this.links.delete(pooled);
        this.pool.handleConnectionClosed(pooled);
      }
    }
  }

  private hasSilentLink(): boolean {
    const nowMs = this.options.clock.nowMs();
    for (const {link} of this.links) {
      const sinceMs = link.getSilentSinceMs();
      if (sinceMs !== null && nowMs - sinceMs >= SILENCE_CHECK_MS) {
        return true;
      }
    }
    return false;
  }

  /**
   * Asks the machine for a bare TCP connection. Without one, every connection
   * that owes an answer is given up; the server itself is not asked anything.
   */
  private async checkReachability(): Promise<void> {
    if (this.isChecking) {
      return;
    }
    this.isChecking = true;
    const entry = this.currentEntry;
    const result = await this.options.connector.checkReachable(
      entry,
      REACHABILITY_TIMEOUT_MS,
    );
    this.isChecking = false;
    if (result === 'accepted') {
      return;
    }
    this.markUnreachable(result);
  }

  private markUnreachable(evidence: ReachabilityResult): void {
    if (this.unreachableAtMs === null) {
      this.unreachableAtMs = this.options.clock.nowMs();
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
