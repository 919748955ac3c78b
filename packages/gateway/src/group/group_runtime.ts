import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {
  FreshnessRing,
  type FreshnessEntry,
} from '@filbertrun/group/freshness_ring.js';
import type {
  AvailabilityZone,
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import {
  getLaterPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import {
  DEFAULT_POOL_LIMITS,
  type ConnectionIdentity,
} from '@filbertrun/pool/pool_types.js';
import type {BackendConnector} from '../backend/backend_connection.js';
import type {ContactStatus} from '../control/contact_tracker.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import {
  CompletionTimeSelection,
  RESERVED_PRIMARY_SLOTS,
} from '../routing/completion_time_selection.js';
import {ExpectedWork} from '../routing/expected_work.js';
import {FixedCostSelection} from '../routing/fixed_cost_selection.js';
import type {
  SelectionCandidate,
  ServerSelectionPolicy,
} from '../routing/server_selection_policy.js';
import {
  chooseIdleTimeoutMs,
  chooseSharedIdleTimeoutMs,
} from '../control/choose_idle_timeout.js';
import {DrainTracker} from './drain_tracker.js';
import {
  BackendServerRuntime,
  type AccessLimits,
} from './backend_server_runtime.js';
import type {ClockJumpDetector} from './clock_jump_detector.js';
import {choosePrimaryWaitMs} from '../routing/choose_primary_wait.js';
import {
  PrimaryLease,
  type LeaseGrant,
  type TermPrimary,
} from './primary_lease.js';
import {WriteStallDetector} from './write_stall_detector.js';
import type {PrimaryRecord, RevisedPrimaryRecord} from './primary_record.js';
import {
  PrimaryRecordCache,
  type LostRecord,
  type AnnouncedChange,
} from './primary_record_cache.js';

/** Dependencies and settings of a {@link GroupRuntime}. @public */
export interface GroupRuntimeOptions {
  readonly databaseGroup: DatabaseGroupName;
  readonly availabilityZone: AvailabilityZone;
  readonly clock: Clock;
  readonly clockJumpDetector: ClockJumpDetector;
  readonly contact: ContactStatus;
  readonly random: RandomSource;
  readonly connector: BackendConnector;
  readonly events: GatewayEventRecorder;
  /** Time for which a draining server remains usable. */
  readonly drainDurationMs: number;
  /**
   * How long the directory had not been watched when the change that is being
   * applied was received.
   */
  getUnwatchedMs(): number;
}

/**
 * Smallest difference by which one time counts as later than another. Freshness
 * bounds are used only if they are later than the start of the clock epoch.
 */
const CLOCK_STEP_MS = 1;

/** Margin for rounding errors in data ages. */
const AGE_MARGIN_MS = 10;

/**
 * Log position with its age: all commits that were acknowledged before that
 * time ago are at or before the position.
 *
 * @public
 */
export interface FreshPosition {
  readonly position: LogPosition;
  readonly ageMs: number;
}

/** Content of this proxy's response when it releases a primary. @public */
export interface ReleaseReport {
  /** Highest position of a commit that this proxy has acknowledged. */
  readonly highestAcknowledged: LogPosition | null;
}

/**
 * Limits of the pools with shared access, where the pool of the holder is the
 * only queue of its zone for an instance.
 */
const SHARED_ACCESS_LIMITS: AccessLimits = {
  queueing: 'fair',
  pacing: 'adaptive',
  reservedSlots: RESERVED_PRIMARY_SLOTS,
};

/** Returns how many connections this proxy may open to an instance of a zone. */
type ConnectionLimits = (instanceZone: AvailabilityZone) => number;

/** Re-checks whether the awaited primary is available. */
type PrimaryWaiter = () => void;

/** Expected duration of a change of primary before any was observed. */
const INITIAL_EXPECTED_CHANGE_MS = 1_300;

/** Upper bound on the expected duration of a change of primary. */
const MAX_EXPECTED_CHANGE_MS = 2_500;

/**
 * State of a database group in this proxy: servers, primary, freshness.
 *
 * @public
 */
export class GroupRuntime {
  readonly lease: PrimaryLease;
  /** Detects stalls of this proxy's writes at the primary. */
  readonly writeStallDetector: WriteStallDetector;
  private readonly servers = new Map<BackendServerId, BackendServerRuntime>();
  private readonly freshnessRing = FreshnessRing.create();
  private readonly waiters = new Set<PrimaryWaiter>();
  private highestAcknowledged: LogPosition | null = null;
  /** Highest term whose commits are no longer acknowledged to callers. */
  private releasedTerm = -1;
  private hasBound = false;
  private newestBound: FreshnessEntry | null = null;
  private lastStablePrimary: string | null = null;
  private writesBlockedUntilMs = Number.NEGATIVE_INFINITY;
  /** Notifies the waiters when writes are no longer blocked. */
  private writeTimer: Timer | null = null;
  private changeStartedAtMs: number | null = null;
  private expectedChangeMs = INITIAL_EXPECTED_CHANGE_MS;
  private getMaxConnections: ConnectionLimits = () => 1;
  private isShared = false;
  private isHolder = false;
  private readonly expectedWork = ExpectedWork.create();
  private readonly directSelection = FixedCostSelection.create();
  private readonly sharedSelection: CompletionTimeSelection;
  private readonly recordCache = PrimaryRecordCache.create();
  private readonly drainTracker: DrainTracker;

  private constructor(private readonly options: GroupRuntimeOptions) {
    this.sharedSelection = CompletionTimeSelection.create(options.random);
    this.lease = PrimaryLease.create(
      options.clockJumpDetector,
      options.contact,
    );
    this.writeStallDetector = WriteStallDetector.create(options.clock);
    this.drainTracker = DrainTracker.create(
      options.clock,
      options.drainDurationMs,
      () => options.getUnwatchedMs(),
    );
  }

  static create(options: GroupRuntimeOptions): GroupRuntime {
    return new GroupRuntime(options);
  }

  get databaseGroup(): DatabaseGroupName {
    return this.options.databaseGroup;
  }

  /** Whether a freshness bound of the primary was ever recorded. */
  get hasFreshnessBound(): boolean {
    return this.hasBound;
  }

  getServers(): readonly BackendServerRuntime[] {
    return [...this.servers.values()];
  }

  getServer(backendServer: BackendServerId): BackendServerRuntime | null {
    return this.servers.get(backendServer) ?? null;
  }

  /** Applies a new or changed directory entry. */
  updateServer(entry: BackendServerEntry): void {
    const known = this.servers.get(entry.backendServer);
    if (known === undefined) {
      const {clock, random, connector, events, drainDurationMs} = this.options;
      const runtime = BackendServerRuntime.create(entry, {
        clock,
        random,
        connector,
        events,
        maxConnections: this.getMaxConnections(entry.availabilityZone),
        drainDurationMs,
        drainTracker: this.drainTracker,
      });
      if (this.isShared) {
        runtime.setAccessLimits(this.getAccessLimits());
      }
      this.servers.set(entry.backendServer, runtime);
    } else if (!known.updateEntry(entry)) {
      this.options.events.record({
        kind: 'backendServerRestarted',
        backendServer: entry.backendServer,
      });
      known.closeAll('the backend server was restarted');
    }
    this.updateIdleTimeouts();
    this.notifyWaiters();
  }

  removeServer(backendServer: BackendServerId, reason: string): void {
    const runtime = this.servers.get(backendServer);
    if (runtime === undefined) {
      return;
    }
    this.servers.delete(backendServer);
    runtime.dispose(reason);
    this.updateIdleTimeouts();
  }

  /** Sets the same limit of connections for all instances. */
  setMaxConnections(maxConnections: number): void {
    this.setConnectionLimits(() => maxConnections);
  }

  /** Connections that this proxy may open to an instance of a zone. */
  getConnectionLimit(instanceZone: AvailabilityZone): number {
    return this.getMaxConnections(instanceZone);
  }

  /** Sets the limits of connections by the availability zone of an instance. */
  setConnectionLimits(getMaxConnections: ConnectionLimits): void {
    this.getMaxConnections = getMaxConnections;
    for (const server of this.servers.values()) {
      const {availabilityZone} = server.entry;
      server.setMaxConnections(getMaxConnections(availabilityZone));
    }
  }

  /** Whether proxies share the connections to this group's instances. */
  get hasSharedAccess(): boolean {
    return this.isShared;
  }

  /**
   * Sets whether proxies share the connections to this group's instances, which
   * decides how a server is selected and how the pools are limited.
   */
  setSharedAccess(isShared: boolean): void {
    if (isShared === this.isShared) {
      return;
    }
    this.isShared = isShared;
    for (const server of this.servers.values()) {
      server.setAccessLimits(this.getAccessLimits());
    }
    this.updateIdleTimeouts();
  }

  /**
   * Sets whether this proxy is the holder of the group in its zone; without
   * shared access this has no effect.
   */
  setHolder(isHolder: boolean): void {
    if (isHolder !== this.isHolder) {
      this.isHolder = isHolder;
      this.updateIdleTimeouts();
    }
  }

  /** Limits of the pools that depend on whether access is shared. */
  private getAccessLimits(): AccessLimits {
    return this.isShared
      ? SHARED_ACCESS_LIMITS
      : {
          queueing: DEFAULT_POOL_LIMITS.queueing,
          pacing: DEFAULT_POOL_LIMITS.pacing,
          reservedSlots: DEFAULT_POOL_LIMITS.reservedSlots,
        };
  }

  /** Policy that chooses the servers of reads. */
  get serverSelection(): ServerSelectionPolicy {
    return this.isShared ? this.sharedSelection : this.directSelection;
  }

  /** Expected service time of a kind of work; null while unknown. */
  getExpectedWorkMs(workKind: string): number | null {
    return this.expectedWork.get(workKind);
  }

  /** Records the latency of a statement that a server has completed. */
  recordWork(
    workKind: string,
    server: BackendServerRuntime,
    latencyMs: number,
  ): void {
    const serviceMs = Math.max(0, latencyMs - (server.roundTripMs ?? 0));
    server.recordService(serviceMs, this.expectedWork.get(workKind));
    this.expectedWork.record(workKind, serviceMs);
  }

  /** Applies a primary record from a linearizable read. */
  applyRecord(
    revised: RevisedPrimaryRecord,
    grant: LeaseGrant,
    source: string,
  ): void {
    const {record} = revised;
    if (!this.recordCache.apply(revised)) {
      this.handleLostRecord();
      return;
    }
    const previousRevision = this.lease.revision;
    // A newer record may have been announced before this read completed.
    if (revised.revision >= previousRevision) {
      this.lease.apply(revised, grant);
      this.writesBlockedUntilMs = this.computeWritesBlockedUntilMs(
        record,
        grant,
      );
      this.handleRecordApplied(revised, previousRevision, source);
    }
    if (record.phase === 'changing' && record.lastOldPosition !== null) {
      this.recordFreshnessBound(grant.readAt.timeMs, record.lastOldPosition);
    }
  }

  /** Handles a listing of the control table without a record of the group. */
  handleMissingRecord(revision: number): void {
    this.recordCache.markMissing(revision);
    if (this.recordCache.lostRecord !== null) {
      this.handleLostRecord();
    }
  }

  /** The cached record that the store has lost, or null. */
  get lostRecord(): LostRecord | null {
    return this.recordCache.lostRecord;
  }

  /** Ends the lease until the lost record has been restored. */
  private handleLostRecord(): void {
    if (this.lease.isHeld()) {
      const {databaseGroup} = this;
      this.options.events.record({kind: 'primaryRecordLost', databaseGroup});
    }
    this.lease.dropGrant();
  }

  /** Applies a record announced by another proxy. */
  applyAnnouncedRecord(revised: RevisedPrimaryRecord): void {
    if (!this.recordCache.apply(revised)) {
      return;
    }
    const previousRevision = this.lease.revision;
    this.lease.applyAnnounced(revised);
    if (revised.revision > previousRevision) {
      this.writesBlockedUntilMs = this.computeWritesBlockedUntilMs(
        revised.record,
        null,
      );
    }
    this.handleRecordApplied(revised, previousRevision, 'announcement');
  }

  /**
   * Returns the monotonic time from which writes may be sent and, if it is
   * known, starts the timer that notifies the waiters then. The store's clock has
   * advanced since the read by at least the time since the response arrived.
   */
  private computeWritesBlockedUntilMs(
    record: PrimaryRecord,
    grant: LeaseGrant | null,
  ): number {
    if (record.phase !== 'stable' || record.writesFromStoreMs === null) {
      return Number.NEGATIVE_INFINITY;
    }
    if (grant === null) {
      return Number.POSITIVE_INFINITY;
    }
    const remainingMs = record.writesFromStoreMs - grant.storeTimeMs;
    const fromMs = this.options.clock.nowMs() + remainingMs;
    this.startWriteTimer(remainingMs);
    return fromMs;
  }

  private startWriteTimer(delayMs: number): void {
    this.writeTimer?.cancel();
    this.writeTimer = this.options.clock.startTimer(
      Math.max(0, delayMs),
      () => {
        this.notifyWaiters();
      },
    );
  }

  /** Releases the primary for a change that another proxy has recorded. */
  releaseForChange(change: AnnouncedChange, revision: number): void {
    this.recordCache.recordAnnouncedChange(change, revision);
    this.release(revision, change.oldTerm);
  }

  /** Releases the primary for a change that was recorded at `revision`. */
  release(revision: number, oldTerm: number): void {
    this.lease.release(revision);
    this.releasedTerm = Math.max(this.releasedTerm, oldTerm);
    if (revision >= this.lease.revision) {
      this.changeStartedAtMs ??= this.options.clock.nowMs();
    }
  }

  createReleaseReport(): ReleaseReport {
    return {highestAcknowledged: this.highestAcknowledged};
  }

  /**
   * Whether a commit at `position` may still be acknowledged to its caller. A
   * proxy without contact may have missed a change of primary, and one that is not
   * registered is not asked for a release. A promotion or a restart ends the pause
   * of a replica, which then confirms commits of the old primary again.
   */
  mayAcknowledge(position: LogPosition | null): boolean {
    return (
      position === null ||
      (position.term > this.releasedTerm &&
        this.lease.isRegistered() &&
        this.options.contact.isInContact())
    );
  }

  /** Time since the change of primary began; null if none is in progress. */
  getChangeAgeMs(): number | null {
    return this.changeStartedAtMs === null
      ? null
      : this.options.clock.nowMs() - this.changeStartedAtMs;
  }

  /** The primary under a valid lease if it is listed and usable, or null. */
  getLeasedPrimary(): BackendServerRuntime | null {
    const leased = this.lease.getPrimary();
    return leased === null ? null : this.findUsableServer(leased.primary);
  }

  /** The primary to which writes may be sent now, or null. */
  getWritablePrimary(): BackendServerRuntime | null {
    const {clock, contact} = this.options;
    const areWritesBlocked = clock.nowMs() < this.writesBlockedUntilMs;
    if (
      areWritesBlocked ||
      !this.lease.isRegistered() ||
      !contact.isInContact()
    ) {
      return null;
    }
    const known = this.lease.getLastKnownPrimary();
    return known === null ? null : this.findUsableServer(known.primary);
  }

  /** A listed server whose drain has not expired, or null. */
  private findUsableServer(
    backendServer: BackendServerId,
  ): BackendServerRuntime | null {
    const server = this.getServer(backendServer);
    return server === null || server.isPastDrain ? null : server;
  }

  /** Resolves with a writable primary, or with null after `timeoutMs`. */
  waitForPrimary(timeoutMs: number): Promise<BackendServerRuntime | null> {
    return this.waitFor(() => this.getWritablePrimary(), timeoutMs);
  }

  /** Resolves with a primary under a lease, or with null after `timeoutMs`. */
  waitForLeasedPrimary(
    timeoutMs: number,
  ): Promise<BackendServerRuntime | null> {
    return this.waitFor(() => this.getLeasedPrimary(), timeoutMs);
  }

  /**
   * Time that a statement should wait for a primary; 0 to refuse it immediately.
   * `availableMs` is the time left until the deadline of the statement.
   */
  estimatePrimaryWaitMs(availableMs: number): number {
    return choosePrimaryWaitMs({
      availableMs,
      changeAgeMs: this.getChangeAgeMs(),
      expectedChangeMs: this.expectedChangeMs,
    });
  }

  /**
   * Like `estimatePrimaryWaitMs`, for a primary to which writes may be sent.
   */
  estimateWriteWaitMs(availableMs: number): number {
    const blockedMs = this.writesBlockedUntilMs - this.options.clock.nowMs();
    if (blockedMs <= 0) {
      return this.estimatePrimaryWaitMs(availableMs);
    }
    return blockedMs < availableMs ? availableMs : 0;
  }

  private waitFor(
    find: () => BackendServerRuntime | null,
    timeoutMs: number,
  ): Promise<BackendServerRuntime | null> {
    const current = find();
    if (current !== null || timeoutMs <= 0) {
      return Promise.resolve(current);
    }
    return new Promise(resolve => {
      const end = (primary: BackendServerRuntime | null) => {
        timer.cancel();
        this.waiters.delete(waiter);
        resolve(primary);
      };
      const timer = this.options.clock.startTimer(timeoutMs, () => end(null));
      const waiter: PrimaryWaiter = () => {
        const primary = find();
        if (primary !== null) {
          end(primary);
        }
      };
      this.waiters.add(waiter);
    });
  }

  /**
   * Records an acknowledged commit that was sent at `sentAtMs`. Because a
   * replica has acknowledged it, no promotion had taken effect, and all commits
   * that were acknowledged before `sentAtMs` are at or before `position`. This
   * is sufficient for reads with a bounded age, even without a lease.
   */
  recordAcknowledged(sentAtMs: number, position: LogPosition): void {
    this.recordFreshnessBound(sentAtMs, position);
    this.highestAcknowledged =
      this.highestAcknowledged === null
        ? position
        : getLaterPosition(this.highestAcknowledged, position);
  }

  /**
   * Records the position in a response of the primary to a statement that was
   * sent at `sentAtMs` under a valid lease. All commits that were acknowledged
   * before then are at or before `position`.
   */
  recordPrimaryPosition(
    sentAtMs: number,
    sender: TermPrimary,
    position: LogPosition,
  ): void {
    // A later term means that the server lost the primary role before it
    // responded.
    if (position.term <= sender.term) {
      this.recordFreshnessBound(sentAtMs, position);
    }
  }

  /** Age of the newest freshness bound; infinite if there is none. */
  getFreshnessAgeMs(): number {
    const bound = this.getNewestBound();
    return bound === null
      ? Number.POSITIVE_INFINITY
      : this.options.clock.nowMs() - bound.timeMs;
  }

  /** The newest freshness bound that is still valid, or null. */
  getNewestBound(): FreshnessEntry | null {
    const {newestBound} = this;
    const epochStartMs = this.options.clockJumpDetector.getEpochStartMs();
    return newestBound !== null && newestBound.timeMs > epochStartMs
      ? newestBound
      : null;
  }

  /** Whether the leased primary refuses connections of this proxy. */
  isPrimaryConnectionLimitReached(): boolean {
    return (
      this.getLeasedPrimary()?.pool.getStatus().isConnectionLimitReached ===
      true
    );
  }

  /** Whether the leased primary is in this proxy's availability zone. */
  isPrimaryInLocalZone(): boolean {
    const primary = this.getLeasedPrimary();
    return primary?.entry.availabilityZone === this.options.availabilityZone;
  }

  /**
   * The recorded primary if it is unreachable or not listed, the old primary
   * during a change, or null.
   */
  getUnresponsivePrimary(): BackendServerId | null {
    const {record} = this.lease;
    if (record === null) {
      return null;
    }
    if (record.phase === 'changing') {
      return record.oldPrimary;
    }
    const server = this.getServer(record.primary);
    return server === null || server.isUnreachable ? record.primary : null;
  }

  /**
   * Records a freshness bound: all commits that were acknowledged before `atMs`
   * are at or before `position`. A time from before a suspension is ignored,
   * because more time has passed since then than the monotonic clock shows.
   */
  recordFreshnessBound(atMs: number, position: LogPosition): void {
    if (atMs <= this.options.clockJumpDetector.getEpochStartMs()) {
      return;
    }
    this.hasBound = true;
    if (atMs >= (this.newestBound?.timeMs ?? Number.NEGATIVE_INFINITY)) {
      this.newestBound = {timeMs: atMs, position};
    }
    this.freshnessRing.record(atMs, position);
  }

  /**
   * Returns a position such that a server that holds it had data no older than
   * `maxAgeMs` at `atMs`; null if none is known.
   */
  getFreshPosition(atMs: number, maxAgeMs: number): FreshPosition | null {
    const sinceEpochMs =
      atMs - this.options.clockJumpDetector.getEpochStartMs();
    const entry = this.freshnessRing.getEntry(
      atMs,
      Math.min(maxAgeMs - AGE_MARGIN_MS, sinceEpochMs - CLOCK_STEP_MS),
    );
    if (entry === null) {
      return null;
    }
    const ageMs = this.options.clock.nowMs() - entry.timeMs;
    return {position: entry.position, ageMs};
  }

  /** Lists the active servers as candidates for new reads of an identity. */
  listCandidates(identity: ConnectionIdentity): readonly SelectionCandidate[] {
    const primary = this.lease.getLastKnownPrimary()?.primary ?? null;
    const candidates: SelectionCandidate[] = [];
    for (const server of this.servers.values()) {
      if (server.entry.state !== 'active') {
        continue;
      }
      candidates.push({
        backendServer: server.entry.backendServer,
        availabilityZone: server.entry.availabilityZone,
        isPrimary: server.entry.backendServer === primary,
        load: server.load,
        slots: server.entry.slots,
        latencyMs: server.latencyMs,
        isSuspect: server.isSuspect || server.isUnreachable,
        isFailing: server.failures.isFailing(),
        knownPosition: server.knownPosition,
        expectedLagMs: server.expectedLagMs,
        roundTripMs: server.roundTripMs,
        expectedWaitMs: server.estimateQueueWaitMs(),
        freeCapacity: server.freeCapacity,
        hasIdleConnection: server.pool.hasIdleConnection(identity),
        slowdown: this.estimateSlowdown(server),
      });
    }
    return candidates;
  }

  private estimateSlowdown(server: BackendServerRuntime): number {
    const pendingMs = server.getOldestPendingMs() - (server.roundTripMs ?? 0);
    return this.expectedWork.estimateSlowdown(server.slowdown, pendingMs);
  }

  dispose(reason: string): void {
    this.writeTimer?.cancel();
    for (const server of this.servers.values()) {
      server.dispose(reason);
    }
    this.servers.clear();
  }

  private handleRecordApplied(
    revised: RevisedPrimaryRecord,
    previousRevision: number,
    source: string,
  ): void {
    const {record, revision} = revised;
    if (revision > previousRevision) {
      const isStable = record.phase === 'stable';
      this.options.events.record({
        kind: 'primaryBelieved',
        databaseGroup: this.databaseGroup,
        primary: isStable ? record.primary : record.target,
        term: isStable ? record.term : null,
        phase: record.phase,
        revision,
        source,
      });
    }
    if (record.phase === 'changing') {
      this.release(revision, record.oldTerm);
    } else {
      // This proxy may have missed the whole change.
      this.releasedTerm = Math.max(this.releasedTerm, record.term - 1);
    }
    if (
      record.phase === 'stable' &&
      record.primary !== this.lastStablePrimary
    ) {
      if (this.lastStablePrimary !== null) {
        this.getServer(record.primary)?.handlePromoted();
      }
      this.lastStablePrimary = record.primary;
      this.writeStallDetector.reset();
      this.updateIdleTimeouts();
    }
    this.notifyWaiters();
  }

  /** Updates the idle timeout of the connections to each server. */
  private updateIdleTimeouts(): void {
    const servers = this.getServers();
    const known = this.lease.getLastKnownPrimary();
    const groupZones = servers.map(({entry}) => entry.availabilityZone);
    for (const server of servers) {
      const {availabilityZone, backendServer} = server.entry;
      const directTimeoutMs = chooseIdleTimeoutMs({
        localZone: this.options.availabilityZone,
        instanceZone: availabilityZone,
        isPrimary: known?.primary === backendServer,
        groupZones,
      });
      server.setIdleTimeout(
        this.isShared
          ? chooseSharedIdleTimeoutMs(this.isHolder)
          : directTimeoutMs,
      );
    }
  }

  /**
   * Notifies the waiters if a primary is known. If this ends a change of primary,
   * also updates the expected duration of a change.
   */
  private notifyWaiters(): void {
    if (this.lease.getLastKnownPrimary() === null) {
      return;
    }
    const changeAgeMs = this.getChangeAgeMs();
    if (changeAgeMs !== null) {
      const meanMs = (this.expectedChangeMs + changeAgeMs) / 2;
      this.expectedChangeMs = Math.min(meanMs, MAX_EXPECTED_CHANGE_MS);
      this.changeStartedAtMs = null;
    }
    for (const waiter of [...this.waiters]) {
      waiter();
    }
  }
}
