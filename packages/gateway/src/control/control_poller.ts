import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {
  ListableTable,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import type {ClockReading, ClockWatch} from '../group/clock_watch.js';
import {DependencyTracker} from '../observability/dependency_tracker.js';
import type {GatewayEvents} from '../observability/gateway_events.js';

/** What a poller is made of. @public */
export interface ControlPollerOptions {
  readonly table: ListableTable;
  readonly clock: Clock;
  readonly clockWatch: ClockWatch;
  readonly events: GatewayEvents;
  /** Takes a listing with the time at which its read began. */
  handleListing(listing: TableListing, readAt: ClockReading): void;
  /** Whether something is under way for which the table is read more often. */
  isUrgent(): boolean;
}

/** A listing with the time at which its read began. */
interface TimedListing {
  readonly listing: TableListing;
  readonly readAt: ClockReading;
}

/** Longest interval between reads; each renewal of the registration reads as well. */
const POLL_INTERVAL_MS = 5_500;

/** Interval after a failure or while a change of primary is under way. */
const URGENT_INTERVAL_MS = 300;

/**
 * Reads the control table again and again, or takes what another proxy has
 * read. Each read renews what the process may rely on for a while.
 *
 * @public
 */
export class ControlPoller {
  private timer: Timer | null = null;
  private reading: Promise<boolean> | null = null;
  /** Read that follows the one under way. */
  private next: Promise<boolean> | null = null;
  private contactAtMs = Number.NEGATIVE_INFINITY;
  private newestRevision = 0;
  private scheduledDelayMs = 0;
  private latest: TimedListing | null = null;
  private isPaused = false;
  private isDisposed = false;

  private readonly dependency: DependencyTracker;

  private constructor(private readonly options: ControlPollerOptions) {
    const {clock, events} = options;
    this.dependency = DependencyTracker.create({
      dependency: 'control table',
      clock,
      events,
    });
  }

  static create(options: ControlPollerOptions): ControlPoller {
    return new ControlPoller(options);
  }

  /** Monotonic time of the last answer of the store. */
  get lastContactMs(): number {
    return this.contactAtMs;
  }

  /** Whether the table has been read since the start. */
  get hasRead(): boolean {
    return this.newestRevision > 0;
  }

  start(): void {
    void this.poll();
  }

  dispose(): void {
    this.isDisposed = true;
    this.timer?.cancel();
  }

  /** The newest listing, whoever read it. */
  get newestListing(): TableListing | null {
    return this.latest?.listing ?? null;
  }

  /** Reads nothing until `resume`; listings come by `takeListing` meanwhile. */
  pause(): void {
    this.isPaused = true;
    this.timer?.cancel();
  }

  resume(): void {
    if (this.isPaused && !this.isDisposed) {
      this.isPaused = false;
      void this.poll();
    }
  }

  /** Takes a listing that another proxy has read, if it is not out of date. */
  takeListing(listing: TableListing, readAt: ClockReading): void {
    if (listing.revision < this.newestRevision) {
      return;
    }
    this.contactAtMs = Math.max(this.contactAtMs, readAt.timeMs);
    this.newestRevision = listing.revision;
    this.latest = {listing, readAt};
    this.dependency.noteAvailable();
    this.options.handleListing(listing, readAt);
  }

  /** Handles the newest listing once more, for whoever did not know it. */
  repeat(): void {
    if (this.latest !== null) {
      this.options.handleListing(this.latest.listing, this.latest.readAt);
    }
  }

  /** Reads at once if something urgent has come up since the last read. */
  hasten(): void {
    const isWaiting =
      !this.isPaused && this.scheduledDelayMs === POLL_INTERVAL_MS;
    if (isWaiting && this.reading === null && this.options.isUrgent()) {
      this.timer?.cancel();
      void this.poll();
    }
  }

  /**
   * Reads what the table holds from now on; true when the store answered. A
   * read that is under way may have missed the latest change, so another one
   * follows it.
   */
  async readNow(): Promise<boolean> {
    if (this.isPaused) {
      return false;
    }
    if (this.reading !== null) {
      this.next ??= this.reading.then(() => {
        this.next = null;
        return this.startRead();
      });
      return this.next;
    }
    return this.startRead();
  }

  private startRead(): Promise<boolean> {
    this.reading = this.read().finally(() => {
      this.reading = null;
    });
    return this.reading;
  }

  private async poll(): Promise<void> {
    const hasAnswered = await this.readNow();
    if (this.isDisposed || this.isPaused) {
      return;
    }
    const isUrgent = !hasAnswered || this.options.isUrgent();
    const delayMs = isUrgent ? URGENT_INTERVAL_MS : POLL_INTERVAL_MS;
    this.scheduledDelayMs = delayMs;
    this.schedule(delayMs);
  }

  private schedule(delayMs: number): void {
    this.timer?.cancel();
    this.timer = this.options.clock.startTimer(delayMs, () => {
      void this.poll();
    });
  }

  private async read(): Promise<boolean> {
    const {table, clock, clockWatch} = this.options;
    const readAt = clockWatch.read();
    const result = await table.listEntries();
    if (this.isDisposed) {
      return false;
    }
    if (!result.ok || result.value.revision < this.newestRevision) {
      this.dependency.noteLost(
        result.ok ? 'the answer is out of date' : result.error.kind,
      );
      return false;
    }
    this.contactAtMs = clock.nowMs();
    this.newestRevision = result.value.revision;
    this.latest = {listing: result.value, readAt};
    this.dependency.noteAvailable();
    this.options.handleListing(result.value, readAt);
    if (this.isPaused) {
      return true;
    }
    if (this.scheduledDelayMs === POLL_INTERVAL_MS) {
      this.schedule(POLL_INTERVAL_MS);
    }
    return true;
  }
}
