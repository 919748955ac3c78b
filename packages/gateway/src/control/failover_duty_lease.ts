import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {
  PlatformError,
  PlatformTable,
  TableEntry,
} from '@filbertrun/platform/platform_service.js';
import {getEra} from '@filbertrun/platform/store_revision.js';
import type {ClockReading, ClockWatch} from '../group/clock_watch.js';
import type {GatewayEvents} from '../observability/gateway_events.js';
import {
  FAILOVER_DUTY_KEY,
  failoverDutySchema,
  parseRecord,
  type FailoverDuty,
} from './control_record.js';
import {getNextToken, getTokenEra} from './fencing_token.js';

/** Time after the start of a renewal for which the holder may act on it. @public */
export const DUTY_HOLD_MS = 1_900;

/** Time without a renewal after which another proxy takes the duty over. @public */
export const DUTY_TAKEOVER_MS = 2_500;

/** Interval of the holder's renewals. */
const RENEWAL_INTERVAL_MS = 800;

/** Least time between a failed write and the next one. */
const RETRY_INTERVAL_MS = 300;

/** Time for which a proxy that has passed the duty on leaves it to others. */
const PASSED_ON_MS = 2_000;

/** Spread of the moments at which proxies try to take the duty over. */
const TAKEOVER_JITTER_MS = 400;

/** What a duty lease is made of. @public */
export interface FailoverDutyLeaseOptions {
  readonly entryVm: string;
  readonly incarnation: string;
  readonly table: PlatformTable;
  readonly clockWatch: ClockWatch;
  readonly random: RandomSource;
  readonly events: GatewayEvents;
  /** Whether this proxy may take a duty over that it does not hold. */
  mayTakeOver(): boolean;
}

/** The listing in which a record of the duty was found, or was missing. @public */
export interface DutyReading {
  /** Start of the read. */
  readonly readAt: ClockReading;
  /** Era of the store at the read. */
  readonly era: number;
  readonly storeTimeMs: number;
}

/** What is to be done with the duty after the store came back from a copy. */
type EraClaim =
  /** This proxy held the duty, or was given it, and no other one can have taken it. */
  | {readonly kind: 'claimAgain'}
  /** A holder that the store has forgotten may still act. */
  | {readonly kind: 'waitForHolder'; readonly since: ClockReading};

interface ObservedDuty {
  readonly duty: FailoverDuty;
  readonly revision: number;
}

/**
 * The duty to change primaries: one proxy at a time holds it by a record in
 * the platform's table, with a fencing token that rises with each holder.
 *
 * @public
 */
export class FailoverDutyLease {
  private observed: ObservedDuty | null = null;
  /** When the observed revision was first seen. */
  private unchangedSince: ClockReading | null = null;
  /** When a listing last showed that revision again. */
  private seenAgainAt: ClockReading | null = null;
  private renewedAt: ClockReading | null = null;
  private heldToken: number | null = null;
  private yieldedToken = 0;
  /** Highest token of a holder that has passed the duty to this proxy. */
  private receivedToken = 0;
  private receivedAt: ClockReading | null = null;
  private passedOnAt: ClockReading | null = null;
  private failedAt: ClockReading | null = null;
  private isWriting = false;
  /** Era and time of the store at the latest listing. */
  private store = {era: 0, storeTimeMs: 0};
  private eraClaim: EraClaim | null = null;
  private hasObserved = false;
  private readonly jitterMs: number;

  private constructor(private readonly options: FailoverDutyLeaseOptions) {
    this.jitterMs = options.random.nextFloat() * TAKEOVER_JITTER_MS;
  }

  static create(options: FailoverDutyLeaseOptions): FailoverDutyLease {
    return new FailoverDutyLease(options);
  }

  /** Entry VM that holds the duty as far as is known, or null. */
  get holder(): string | null {
    return this.observed?.duty.holder ?? null;
  }

  /** Token under which this proxy may act now, or null. */
  getFencingToken(): number | null {
    if (this.heldToken === null || this.renewedAt === null) {
      return null;
    }
    const elapsedMs = this.options.clockWatch.getElapsedMs(this.renewedAt);
    if (elapsedMs === null || elapsedMs >= DUTY_HOLD_MS) {
      return null;
    }
    return this.heldToken;
  }

  /** Time since the last renewal of a duty that is held; null without one. */
  getRenewalAgeMs(): number | null {
    return this.heldToken === null || this.renewedAt === null
      ? null
      : this.options.clockWatch.getElapsedMs(this.renewedAt);
  }

  /** Takes the record from a listing; `null` when there is none. */
  observe(entry: TableEntry | null, reading: DutyReading): void {
    const {readAt} = reading;
    this.noteStore(reading);
    if (entry === null) {
      this.observed = null;
      return;
    }
    if (this.observed !== null && entry.revision <= this.observed.revision) {
      if (entry.revision === this.observed.revision) {
        this.seenAgainAt = readAt;
      }
      return;
    }
    const duty = parseRecord(failoverDutySchema, entry.value);
    if (duty === null) {
      this.options.events.record({
        kind: 'storeConflict',
        key: FAILOVER_DUTY_KEY,
      });
      return;
    }
    this.adopt({duty, revision: entry.revision});
  }

  /** Renews the duty, or takes it over when its holder has stopped renewing. */
  async maintain(): Promise<void> {
    if (this.isWriting || this.isBackingOff() || !this.shouldWrite()) {
      return;
    }
    this.isWriting = true;
    await this.write(this.createClaim());
    this.isWriting = false;
  }

  /** Gives the duty up, so that another proxy can take it at once. */
  async resign(): Promise<void> {
    const {observed} = this;
    if (this.heldToken === null || observed === null) {
      return;
    }
    this.recordLost('it was given up');
    this.renewedAt = null;
    await this.options.table.putEntry({
      key: FAILOVER_DUTY_KEY,
      value: JSON.stringify({...observed.duty, holder: null}),
      expectedRevision: observed.revision,
    });
  }

  /**
   * Stops acting on the duty although the record still names this proxy; gives
   * the token that it held, or null. It does not act on that token again.
   */
  stopActing(reason: string): number | null {
    const token = this.heldToken;
    if (token === null) {
      return null;
    }
    this.recordLost(reason);
    this.renewedAt = null;
    this.yieldedToken = token;
    return token;
  }

  /** Like `stopActing`, and leaves the duty to others for a while. */
  passOn(reason: string): number | null {
    this.passedOnAt = this.options.clockWatch.read();
    return this.stopActing(reason);
  }

  /** Takes the duty from the holder of a token, who acts on it no more. */
  receive(fencingToken: number): void {
    this.yieldedToken = Math.max(this.yieldedToken, fencingToken);
    this.receivedToken = this.yieldedToken;
    this.receivedAt = this.options.clockWatch.read();
    if (this.eraClaim !== null) {
      this.eraClaim = {kind: 'claimAgain'};
    }
    this.passedOnAt = null;
    this.failedAt = null;
  }

  private noteStore({era, storeTimeMs}: DutyReading): void {
    const isRestored = era > this.store.era && this.hasObserved;
    if (isRestored) {
      this.eraClaim =
        this.wasLastHolder() || this.wasNamedHeir()
          ? {kind: 'claimAgain'}
          : {kind: 'waitForHolder', since: this.options.clockWatch.read()};
      this.recordLost('the store came back from a copy');
      this.observed = null;
      this.failedAt = null;
    }
    this.hasObserved = true;
    this.store = {era, storeTimeMs};
  }

  /** Whether this proxy renewed the duty so lately that no other one has taken it over. */
  private wasLastHolder(): boolean {
    const ageMs = this.getRenewalAgeMs();
    return ageMs !== null && ageMs < DUTY_TAKEOVER_MS;
  }

  /** Whether the last known holder has just passed the duty to this proxy. */
  private wasNamedHeir(): boolean {
    if (this.receivedAt === null) {
      return false;
    }
    const ageMs = this.options.clockWatch.getElapsedMs(this.receivedAt);
    const isNewest =
      this.receivedToken >= (this.observed?.duty.fencingToken ?? 0);
    return isNewest && ageMs !== null && ageMs < DUTY_TAKEOVER_MS;
  }

  /** Whether a holder that the store has forgotten may still act. */
  private mayBeHeld(): boolean {
    if (this.eraClaim?.kind !== 'waitForHolder') {
      return false;
    }
    const {clockWatch} = this.options;
    const elapsedMs = clockWatch.getElapsedMs(this.eraClaim.since);
    if (elapsedMs === null) {
      this.eraClaim = {kind: 'waitForHolder', since: clockWatch.read()};
      return true;
    }
    return elapsedMs < DUTY_HOLD_MS;
  }

  private shouldWrite(): boolean {
    const {observed, options} = this;
    if (this.hasPassedOn()) {
      return false;
    }
    if (this.eraClaim?.kind === 'claimAgain') {
      return true;
    }
    if (this.mayBeHeld()) {
      return false;
    }
    const duty = observed?.duty ?? null;
    const isReceived = duty !== null && duty.fencingToken <= this.receivedToken;
    const isNamed = duty?.holder === options.entryVm;
    if (!isReceived && !isNamed && !options.mayTakeOver()) {
      return false;
    }
    if (observed === null || observed.duty.holder === null) {
      return true;
    }
    if (observed.duty.fencingToken <= this.yieldedToken) {
      return true;
    }
    if (observed.duty.holder === options.entryVm) {
      return this.isOwnRenewalDue();
    }
    return this.hasStoodStill();
  }

  private hasPassedOn(): boolean {
    if (this.passedOnAt === null) {
      return false;
    }
    const elapsedMs = this.options.clockWatch.getElapsedMs(this.passedOnAt);
    return elapsedMs !== null && elapsedMs < PASSED_ON_MS;
  }

  /**
   * Whether another holder's record stood still for so long that its holder is
   * gone. A listing has to show it: without one, every proxy would try to write
   * although the holder renews.
   */
  private hasStoodStill(): boolean {
    const {unchangedSince, seenAgainAt, options} = this;
    if (unchangedSince === null) {
      return false;
    }
    if (options.clockWatch.getElapsedMs(unchangedSince) === null) {
      this.unchangedSince = options.clockWatch.read();
      return false;
    }
    if (seenAgainAt === null || seenAgainAt.epoch !== unchangedSince.epoch) {
      return false;
    }
    const unchangedMs = seenAgainAt.timeMs - unchangedSince.timeMs;
    return unchangedMs >= DUTY_TAKEOVER_MS + this.jitterMs;
  }

  /** An earlier process of this VM is gone for sure, so its duty is taken at once. */
  private isOwnRenewalDue(): boolean {
    if (this.heldToken === null || this.renewedAt === null) {
      return true;
    }
    const elapsedMs = this.options.clockWatch.getElapsedMs(this.renewedAt);
    return elapsedMs === null || elapsedMs >= RENEWAL_INTERVAL_MS;
  }

  private createClaim(): FailoverDuty {
    const {entryVm, incarnation} = this.options;
    const duty = this.observed?.duty ?? null;
    const {era, storeTimeMs} = this.store;
    const isOfEra = duty !== null && getTokenEra(duty.fencingToken) === era;
    const isOwn =
      isOfEra &&
      duty.holder === entryVm &&
      duty.incarnation === incarnation &&
      duty.fencingToken > this.yieldedToken &&
      this.eraClaim === null;
    return {
      holder: entryVm,
      incarnation,
      fencingToken: isOwn ? duty.fencingToken : getNextToken(era, duty),
      renewalCount: (duty?.renewalCount ?? 0) + 1,
      eraSinceStoreMs: isOfEra ? duty.eraSinceStoreMs : storeTimeMs,
    };
  }

  private async write(claim: FailoverDuty): Promise<void> {
    const startedAt = this.options.clockWatch.read();
    const result = await this.options.table.putEntry({
      key: FAILOVER_DUTY_KEY,
      value: JSON.stringify(claim),
      expectedRevision: this.observed?.revision ?? 0,
    });
    if (result.ok) {
      this.adopt({duty: claim, revision: result.value.revision});
      this.hold(claim.fencingToken, startedAt);
      return;
    }
    this.handleWriteError(result.error);
  }

  private isBackingOff(): boolean {
    if (this.failedAt === null) {
      return false;
    }
    const elapsedMs = this.options.clockWatch.getElapsedMs(this.failedAt);
    return elapsedMs !== null && elapsedMs < RETRY_INTERVAL_MS;
  }

  private handleWriteError(error: PlatformError): void {
    this.failedAt = this.options.clockWatch.read();
    if (error.kind === 'conflict') {
      const {era, storeTimeMs} = this.store;
      this.observe(error.current, {
        readAt: this.failedAt,
        era: Math.max(era, getEra(error.current?.revision ?? 0)),
        storeTimeMs,
      });
      const token = this.observed?.duty.fencingToken ?? 0;
      if (token <= this.receivedToken) {
        // The record had been renewed before it was passed on.
        this.failedAt = null;
      }
    }
  }

  private hold(token: number, startedAt: ClockReading): void {
    if (this.heldToken !== token) {
      this.options.events.record({
        kind: 'dutyGained',
        fencingToken: token,
        reason: 'the record was written',
      });
    }
    this.heldToken = token;
    this.renewedAt = startedAt;
    this.eraClaim = null;
  }

  private adopt(observed: ObservedDuty): void {
    const {entryVm, incarnation, clockWatch} = this.options;
    this.observed = observed;
    this.unchangedSince = clockWatch.read();
    this.seenAgainAt = null;
    const {duty} = observed;
    if (getTokenEra(duty.fencingToken) === this.store.era) {
      // Somebody has claimed it in this era, so the usual rules hold again.
      this.eraClaim = null;
    }
    const isOwn = duty.holder === entryVm && duty.incarnation === incarnation;
    if (!isOwn && this.heldToken !== null) {
      this.recordLost(`${duty.holder ?? 'nobody'} holds it`);
    }
  }

  private recordLost(reason: string): void {
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
