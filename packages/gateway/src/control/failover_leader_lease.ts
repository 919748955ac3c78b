import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {
  PlatformError,
  PlatformTable,
  TableEntry,
} from '@filbertrun/platform/platform_service.js';
import {getEra} from '@filbertrun/platform/store_revision.js';
import type {
  ClockReading,
  ClockJumpDetector,
} from '../group/clock_jump_detector.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import {
  FAILOVER_LEADER_KEY,
  failoverLeaderSchema,
  parseRecord,
  type FailoverLeaderRecord,
} from './control_record.js';
import {getNextToken, getTokenEra} from './fencing_token.js';

/**
 * Time after the start of a renewal for which the failover leader may act.
 *
 * @public
 */
export const LEADERSHIP_LEASE_MS = 1_900;

/**
 * Time without a renewal after which another proxy acquires leadership.
 *
 * @public
 */
export const LEADERSHIP_TAKEOVER_MS = 2_500;

/** Interval at which the leader renews its lease. */
const RENEWAL_INTERVAL_MS = 800;

/** Minimum time between a failed write and the next one. */
const RETRY_INTERVAL_MS = 300;

/**
 * Time after a transfer in which the old leader does not acquire leadership.
 */
const TRANSFER_BACKOFF_MS = 2_000;

/**
 * Maximum random delay of a takeover, which spreads the attempts of proxies.
 */
const MAX_TAKEOVER_JITTER_MS = 400;

/** Options of the lease on failover leadership. @public */
export interface FailoverLeaderLeaseOptions {
  readonly entryVm: string;
  readonly incarnation: string;
  readonly table: PlatformTable;
  readonly clockJumpDetector: ClockJumpDetector;
  readonly random: RandomSource;
  readonly events: GatewayEventRecorder;
  /**
   * Whether this proxy may acquire leadership that was not transferred to it.
   */
  mayAcquire(): boolean;
}

/**
 * Time and store state of the listing in which the leader record was found or
 * was missing.
 *
 * @public
 */
export interface LeaderRecordReading {
  /** Start of the read. */
  readonly readAt: ClockReading;
  /** Store era at the read. */
  readonly era: number;
  readonly storeTimeMs: number;
}

/** How leadership is acquired after the store was restored from a backup. */
type LeadershipRecovery =
  /**
   * This proxy was the leader or its successor, and no other proxy can be
   * leader.
   */
  | {readonly kind: 'reacquire'}
  /** A leader that the restored store does not list may still act. */
  | {readonly kind: 'waitForLeader'; readonly since: ClockReading};

interface ObservedRecord {
  readonly record: FailoverLeaderRecord;
  readonly revision: number;
}

/**
 * Lease on failover leadership. One proxy at a time, the failover leader, may
 * replace primaries. The leader is recorded in the control table with a fencing
 * token that increases with each leader.
 *
 * @public
 */
export class FailoverLeaderLease {
  private observed: ObservedRecord | null = null;
  /** Time at which the observed revision was first seen. */
  private unchangedSince: ClockReading | null = null;
  /** Start of the latest listing that showed the same revision again. */
  private reconfirmedAt: ClockReading | null = null;
  private renewedAt: ClockReading | null = null;
  private heldToken: number | null = null;
  /** Highest token whose holder has stopped acting on it. */
  private relinquishedToken = 0;
  /** Highest token of a leader that transferred leadership to this proxy. */
  private receivedToken = 0;
  private receivedAt: ClockReading | null = null;
  private transferredAt: ClockReading | null = null;
  private failedAt: ClockReading | null = null;
  private isWriting = false;
  /** Era and time of the store in the newest listing. */
  private store = {era: 0, storeTimeMs: 0};
  private recovery: LeadershipRecovery | null = null;
  private hasObserved = false;
  private readonly jitterMs: number;

  private constructor(private readonly options: FailoverLeaderLeaseOptions) {
    this.jitterMs = options.random.nextFloat() * MAX_TAKEOVER_JITTER_MS;
  }

  static create(options: FailoverLeaderLeaseOptions): FailoverLeaderLease {
    return new FailoverLeaderLease(options);
  }

  /** Entry VM of the last known failover leader, or null. */
  get holder(): string | null {
    return this.observed?.record.holder ?? null;
  }

  /** Returns the fencing token if this proxy may act as leader now, or null. */
  getFencingToken(): number | null {
    if (this.heldToken === null || this.renewedAt === null) {
      return null;
    }
    const elapsedMs = this.options.clockJumpDetector.getElapsedMs(
      this.renewedAt,
    );
    if (elapsedMs === null || elapsedMs >= LEADERSHIP_LEASE_MS) {
      return null;
    }
    return this.heldToken;
  }

  /**
   * Returns the time since the last renewal; null if this proxy is not leader.
   */
  getRenewalAgeMs(): number | null {
    return this.heldToken === null || this.renewedAt === null
      ? null
      : this.options.clockJumpDetector.getElapsedMs(this.renewedAt);
  }

  /** Applies the leader record of a listing; `null` if there is none. */
  applyListedRecord(
    entry: TableEntry | null,
    reading: LeaderRecordReading,
  ): void {
    const {readAt} = reading;
    this.applyStoreState(reading);
    if (entry === null) {
      this.observed = null;
      return;
    }
    if (this.observed !== null && entry.revision <= this.observed.revision) {
      if (entry.revision === this.observed.revision) {
        this.reconfirmedAt = readAt;
      }
      return;
    }
    const record = parseRecord(failoverLeaderSchema, entry.value);
    if (record === null) {
      this.options.events.record({
        kind: 'storeConflict',
        key: FAILOVER_LEADER_KEY,
      });
      return;
    }
    this.applyRecord({record, revision: entry.revision});
  }

  /** Renews leadership, or acquires it if the leader has stopped renewing. */
  async maintain(): Promise<void> {
    if (this.isWriting || this.isBackingOff() || !this.shouldWrite()) {
      return;
    }
    this.isWriting = true;
    try {
      await this.write(this.createRecord());
    } finally {
      this.isWriting = false;
    }
  }

  /** Releases leadership, so that another proxy can acquire it immediately. */
  async stepDown(): Promise<void> {
    const {observed} = this;
    if (this.heldToken === null || observed === null) {
      return;
    }
    this.recordLeadershipLost('leadership was released');
    this.renewedAt = null;
    await this.options.table.putEntry({
      key: FAILOVER_LEADER_KEY,
      value: JSON.stringify({...observed.record, holder: null}),
      expectedRevision: observed.revision,
    });
  }

  /**
   * Stops acting as leader although the record still names this proxy. Returns
   * the token that it held, or null. It never acts on that token again.
   */
  stopActing(reason: string): number | null {
    const token = this.heldToken;
    if (token === null) {
      return null;
    }
    this.recordLeadershipLost(reason);
    this.renewedAt = null;
    this.relinquishedToken = token;
    return token;
  }

  /**
   * Like `stopActing`, but also does not acquire leadership again for a while.
   */
  beginTransfer(reason: string): number | null {
    this.transferredAt = this.options.clockJumpDetector.read();
    return this.stopActing(reason);
  }

  /**
   * Accepts leadership from the holder of a token, which has stopped acting.
   */
  acceptTransfer(fencingToken: number): void {
    this.relinquishedToken = Math.max(this.relinquishedToken, fencingToken);
    this.receivedToken = this.relinquishedToken;
    this.receivedAt = this.options.clockJumpDetector.read();
    if (this.recovery !== null) {
      this.recovery = {kind: 'reacquire'};
    }
    this.transferredAt = null;
    this.failedAt = null;
  }

  private applyStoreState({era, storeTimeMs}: LeaderRecordReading): void {
    const isRestored = era > this.store.era && this.hasObserved;
    if (isRestored) {
      this.recovery =
        this.wasRecentLeader() || this.wasTransferTarget()
          ? {kind: 'reacquire'}
          : {
              kind: 'waitForLeader',
              since: this.options.clockJumpDetector.read(),
            };
      this.recordLeadershipLost('the store was restored from a backup');
      this.observed = null;
      this.failedAt = null;
    }
    this.hasObserved = true;
    this.store = {era, storeTimeMs};
  }

  /**
   * Whether this proxy renewed leadership so recently that no other proxy can
   * have acquired it.
   */
  private wasRecentLeader(): boolean {
    const ageMs = this.getRenewalAgeMs();
    return ageMs !== null && ageMs < LEADERSHIP_TAKEOVER_MS;
  }

  /**
   * Whether the last known leader has just transferred leadership to this
   * proxy.
   */
  private wasTransferTarget(): boolean {
    if (this.receivedAt === null) {
      return false;
    }
    const ageMs = this.options.clockJumpDetector.getElapsedMs(this.receivedAt);
    const isNewest =
      this.receivedToken >= (this.observed?.record.fencingToken ?? 0);
    return isNewest && ageMs !== null && ageMs < LEADERSHIP_TAKEOVER_MS;
  }

  /** Whether a leader that the restored store does not list may still act. */
  private mayLeaderAct(): boolean {
    if (this.recovery?.kind !== 'waitForLeader') {
      return false;
    }
    const {clockJumpDetector} = this.options;
    const elapsedMs = clockJumpDetector.getElapsedMs(this.recovery.since);
    if (elapsedMs === null) {
      this.recovery = {kind: 'waitForLeader', since: clockJumpDetector.read()};
      return true;
    }
    return elapsedMs < LEADERSHIP_LEASE_MS;
  }

  private shouldWrite(): boolean {
    const {observed, options} = this;
    if (this.hasRecentlyTransferred()) {
      return false;
    }
    if (this.recovery?.kind === 'reacquire') {
      return true;
    }
    if (this.mayLeaderAct()) {
      return false;
    }
    const record = observed?.record ?? null;
    const isTransferredHere =
      record !== null && record.fencingToken <= this.receivedToken;
    const isRecordedLeader = record?.holder === options.entryVm;
    if (!isTransferredHere && !isRecordedLeader && !options.mayAcquire()) {
      return false;
    }
    if (observed === null || observed.record.holder === null) {
      return true;
    }
    if (observed.record.fencingToken <= this.relinquishedToken) {
      return true;
    }
    if (observed.record.holder === options.entryVm) {
      return this.isRenewalDue();
    }
    return this.hasLeaderExpired();
  }

  private hasRecentlyTransferred(): boolean {
    if (this.transferredAt === null) {
      return false;
    }
    const elapsedMs = this.options.clockJumpDetector.getElapsedMs(
      this.transferredAt,
    );
    return elapsedMs !== null && elapsedMs < TRANSFER_BACKOFF_MS;
  }

  /**
   * Whether the record of another leader has not been renewed for so long that
   * its lease has expired. A second listing must show the same revision.
   * Otherwise every proxy would try to write although the leader renews.
   */
  private hasLeaderExpired(): boolean {
    const {unchangedSince, reconfirmedAt, options} = this;
    if (unchangedSince === null) {
      return false;
    }
    if (options.clockJumpDetector.getElapsedMs(unchangedSince) === null) {
      this.unchangedSince = options.clockJumpDetector.read();
      return false;
    }
    if (
      reconfirmedAt === null ||
      reconfirmedAt.epoch !== unchangedSince.epoch
    ) {
      return false;
    }
    const unchangedMs = reconfirmedAt.timeMs - unchangedSince.timeMs;
    return unchangedMs >= LEADERSHIP_TAKEOVER_MS + this.jitterMs;
  }

  /**
   * Whether leadership that is recorded for this entry VM must be written now.
   * If the record is from a previous process of this VM, that process has
   * ended, so leadership is acquired immediately.
   */
  private isRenewalDue(): boolean {
    if (this.heldToken === null || this.renewedAt === null) {
      return true;
    }
    const elapsedMs = this.options.clockJumpDetector.getElapsedMs(
      this.renewedAt,
    );
    return elapsedMs === null || elapsedMs >= RENEWAL_INTERVAL_MS;
  }

  private createRecord(): FailoverLeaderRecord {
    const {entryVm, incarnation} = this.options;
    const record = this.observed?.record ?? null;
    const {era, storeTimeMs} = this.store;
    const isOfCurrentEra =
      record !== null && getTokenEra(record.fencingToken) === era;
    const isHeldByThisProcess =
      isOfCurrentEra &&
      record.holder === entryVm &&
      record.incarnation === incarnation &&
      record.fencingToken > this.relinquishedToken &&
      this.recovery === null;
    return {
      holder: entryVm,
      incarnation,
      fencingToken: isHeldByThisProcess
        ? record.fencingToken
        : getNextToken(era, record),
      renewalCount: (record?.renewalCount ?? 0) + 1,
      eraSinceStoreMs: isOfCurrentEra ? record.eraSinceStoreMs : storeTimeMs,
    };
  }

  private async write(newRecord: FailoverLeaderRecord): Promise<void> {
    const startedAt = this.options.clockJumpDetector.read();
    const result = await this.options.table.putEntry({
      key: FAILOVER_LEADER_KEY,
      value: JSON.stringify(newRecord),
      expectedRevision: this.observed?.revision ?? 0,
    });
    if (result.ok) {
      this.applyRecord({record: newRecord, revision: result.value.revision});
      this.markHeld(newRecord.fencingToken, startedAt);
      return;
    }
    this.handleWriteError(result.error);
  }

  private isBackingOff(): boolean {
    if (this.failedAt === null) {
      return false;
    }
    const elapsedMs = this.options.clockJumpDetector.getElapsedMs(
      this.failedAt,
    );
    return elapsedMs !== null && elapsedMs < RETRY_INTERVAL_MS;
  }

  private handleWriteError(error: PlatformError): void {
    this.failedAt = this.options.clockJumpDetector.read();
    if (error.kind === 'conflict') {
      const {era, storeTimeMs} = this.store;
      this.applyListedRecord(error.current, {
        readAt: this.failedAt,
        era: Math.max(era, getEra(error.current?.revision ?? 0)),
        storeTimeMs,
      });
      const token = this.observed?.record.fencingToken ?? 0;
      if (token <= this.receivedToken) {
        // The leader renewed the record before it transferred leadership.
        this.failedAt = null;
      }
    }
  }

  private markHeld(token: number, startedAt: ClockReading): void {
    if (this.heldToken !== token) {
      this.options.events.record({
        kind: 'dutyGained',
        fencingToken: token,
        reason: 'the leader record was written',
      });
    }
    this.heldToken = token;
    this.renewedAt = startedAt;
    this.recovery = null;
  }

  private applyRecord(observed: ObservedRecord): void {
    const {entryVm, incarnation, clockJumpDetector} = this.options;
    this.observed = observed;
    this.unchangedSince = clockJumpDetector.read();
    this.reconfirmedAt = null;
    const {record} = observed;
    if (getTokenEra(record.fencingToken) === this.store.era) {
      // A proxy has acquired leadership in this era, so normal rules apply.
      this.recovery = null;
    }
    const isHeldByThisProcess =
      record.holder === entryVm && record.incarnation === incarnation;
    if (!isHeldByThisProcess && this.heldToken !== null) {
      this.recordLeadershipLost(
        `${record.holder ?? 'no proxy'} holds leadership`,
      );
    }
  }

  private recordLeadershipLost(reason: string): void {
    const token = this.heldToken;
    this.heldToken = null;
    if (token !== null) {
      this.options.events.record({
        kind: 'dutyLost',
        fencingToken: token,
        reason,
      });
    }
  }
}
