import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {
  ListableTable,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import type {
  ClockReading,
  ClockJumpDetector,
} from '../group/clock_jump_detector.js';
import {
  recordTaskFailure,
  runInBackground,
} from '../observability/background_task.js';
import {DependencyTracker} from '../observability/dependency_tracker.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';

/** Dependencies of {@link ControlPoller}. @public */
export interface ControlPollerOptions {
  readonly table: ListableTable;
  readonly clock: Clock;
  readonly clockJumpDetector: ClockJumpDetector;
  readonly events: GatewayEventRecorder;
  /** Handles a listing; `readAt` is the start of its read. */
  handleListing(listing: TableListing, readAt: ClockReading): void;
  /** Whether the table must currently be polled at the shorter interval. */
  isUrgent(): boolean;
}

/** A listing and the start of its read. */
interface TimedListing {
  readonly listing: TableListing;
  readonly readAt: ClockReading;
}

/**
 * Longest interval between reads. The table is also read after each renewal of
 * the registration.
 */
const POLL_INTERVAL_MS = 5_500;

/** Poll interval after a failure or during a primary change. */
const URGENT_INTERVAL_MS = 300;

/**
 * Polls the control table, or accepts listings that another proxy has read.
 * The handler of a listing derives from the start of its read how long this
 * process may use the listed records.
 *
 * @public
 */
export class ControlPoller {
  private timer: Timer | null = null;
  private currentRead: Promise<boolean> | null = null;
  /** Read that starts when the current one ends. */
  private nextRead: Promise<boolean> | null = null;
  private lastResponseAtMs = Number.NEGATIVE_INFINITY;
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

  /**
   * Monotonic time of the store's last response. For a listing that another
   * proxy has read, the start of that read.
   */
  get lastResponseMs(): number {
    return this.lastResponseAtMs;
  }

  /** Whether the table has been read since process start. */
  get hasRead(): boolean {
    return this.newestRevision > 0;
  }

  start(): void {
    this.startPoll();
  }

  dispose(): void {
    this.isDisposed = true;
    this.timer?.cancel();
  }

  /** The newest listing, read by this or another proxy. */
  get newestListing(): TableListing | null {
    return this.latest?.listing ?? null;
  }

  /**
   * Stops reading until `resume`. Other proxies supply listings meanwhile.
   */
  pause(): void {
    this.isPaused = true;
    this.timer?.cancel();
  }

  resume(): void {
    if (this.isPaused && !this.isDisposed) {
      this.isPaused = false;
      this.startPoll();
    }
  }

  /** Applies a listing that another proxy has read, unless it is outdated. */
  applyListing(listing: TableListing, readAt: ClockReading): void {
    if (listing.revision < this.newestRevision) {
      return;
    }
    this.lastResponseAtMs = Math.max(this.lastResponseAtMs, readAt.timeMs);
    this.newestRevision = listing.revision;
    this.latest = {listing, readAt};
    this.dependency.markAvailable();
    this.options.handleListing(listing, readAt);
  }

  /** Passes the newest listing to the handler again. */
  replayListing(): void {
    if (this.latest !== null) {
      this.options.handleListing(this.latest.listing, this.latest.readAt);
    }
  }

  /** Reads immediately if polling became urgent since the last read. */
  pollIfUrgent(): void {
    const isWaiting =
      !this.isPaused && this.scheduledDelayMs === POLL_INTERVAL_MS;
    if (isWaiting && this.currentRead === null && this.options.isUrgent()) {
      this.timer?.cancel();
      this.startPoll();
    }
  }

  /**
   * Reads the current contents of the table; true if the store responded. A
   * read in progress may have missed the latest change, so a second read
   * follows it.
   */
  async readNow(): Promise<boolean> {
    if (this.isPaused) {
      return false;
    }
    if (this.currentRead !== null) {
      this.nextRead ??= this.currentRead.then(() => {
        this.nextRead = null;
        return this.startRead();
      });
      return this.nextRead;
    }
    return this.startRead();
  }

  private startRead(): Promise<boolean> {
    this.currentRead = this.read().finally(() => {
      this.currentRead = null;
    });
    return this.currentRead;
  }

  private startPoll(): void {
    runInBackground(this.options.events, 'poll of the table', this.poll());
  }

  private async poll(): Promise<void> {
    const hasResponded = await this.readSafely();
    if (this.isDisposed || this.isPaused) {
      return;
    }
    const isUrgent = !hasResponded || this.options.isUrgent();
    const delayMs = isUrgent ? URGENT_INTERVAL_MS : POLL_INTERVAL_MS;
    this.scheduledDelayMs = delayMs;
    this.schedule(delayMs);
  }

  /** Reads; an unexpected failure must not end the polling. */
  private async readSafely(): Promise<boolean> {
    try {
      return await this.readNow();
    } catch (error) {
      recordTaskFailure(this.options.events, 'read of the table', error);
      return false;
    }
  }

  private schedule(delayMs: number): void {
    this.timer?.cancel();
    this.timer = this.options.clock.startTimer(delayMs, () => {
      this.startPoll();
    });
  }

  private async read(): Promise<boolean> {
    const {table, clock, clockJumpDetector} = this.options;
    const readAt = clockJumpDetector.read();
    const result = await table.listEntries();
    if (this.isDisposed) {
      return false;
    }
    if (!result.ok || result.value.revision < this.newestRevision) {
      this.dependency.markLost(
        result.ok
          ? 'the listing is older than the known revision'
          : result.error.kind,
      );
      return false;
    }
    this.lastResponseAtMs = clock.nowMs();
    this.newestRevision = result.value.revision;
    this.latest = {listing: result.value, readAt};
    this.dependency.markAvailable();
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
