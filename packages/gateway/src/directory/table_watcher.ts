import type {Clock, Timer} from '@filbertrun/base/clock.js';
import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {
  ClockJumpDetector,
  ClockReading,
} from '../group/clock_jump_detector.js';
import {LatestClockReading} from '../group/latest_clock_reading.js';
import {
  recordTaskFailure,
  runInBackground,
} from '../observability/background_task.js';
import {DependencyTracker} from '../observability/dependency_tracker.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {
  TableChanges,
  WatchableTable,
  WatchError,
} from './watchable_table.js';

/** Receives the contents and changes of a watched table. @public */
export interface TableListener<T> {
  /** Handles the whole table; keys that are not listed do not exist. */
  handleListing(listing: TableChanges<T>): void;
  handleChanges(changes: TableChanges<T>): void;
}

/** Options of {@link TableWatcher}. @public */
export interface TableWatcherOptions<T> {
  /** Name of the table in log events. */
  readonly name: string;
  /**
   * Time for which the store may hold a watch open without a change. An
   * unresponsive watch is detected shortly after this time.
   */
  getWaitMs(): number;
  /**
   * Minimum time between two calls, so that one call returns several changes
   * when they follow each other closely.
   */
  readonly minIntervalMs: number;
  /**
   * Whether the listener has to see each change, also of rows that were removed
   * again. If not, a failed watch is followed by a listing, whose size does not
   * grow with the changes that were missed.
   */
  readonly needsEachChange: boolean;
  readonly table: WatchableTable<T>;
  readonly listener: TableListener<T>;
  readonly clock: Clock;
  readonly clockJumpDetector: ClockJumpDetector;
  readonly random: RandomSource;
  readonly events: GatewayEventRecorder;
}

/**
 * Delay between the first listing and the first watch. In this time, a process
 * that has just started may find a zone reader that forwards the table to it.
 */
const FIRST_WATCH_DELAY_MS = 800;

/**
 * Longest interval at which a zone reader sends updates while it watches the
 * table.
 */
const UPDATE_INTERVAL_MS = 1_500;

/** Source of the reads that this process makes itself. */
const STORE_SOURCE = 'store';

const MIN_RETRY_DELAY_MS = 80;
const MAX_RETRY_DELAY_MS = 600;

/**
 * Lists a table once, then watches for changes after the newest known revision.
 * The revision never decreases, even if the store returns an older one.
 *
 * @public
 */
export class TableWatcher<T> {
  private revision: number | null = null;
  /** Whether the known contents may be incomplete. */
  private mustList = true;
  /** Whether a watch has failed since the last response or update. */
  private hasMissedChanges = false;
  private failureCount = 0;
  private timer: Timer | null = null;
  private isDisposed = false;
  private isPaused = false;
  /** Whether a call is in flight. */
  private isCalling = false;
  /** Time as of which the known contents were confirmed to be current. */
  private readonly current: LatestClockReading;

  /** Time of the last successful call or update from another proxy. */
  private watchedUntilMs: number | null = null;
  private lastUnwatchedMs = 0;
  private readonly dependency: DependencyTracker;

  private constructor(private readonly options: TableWatcherOptions<T>) {
    const {name, clock, clockJumpDetector, events} = options;
    this.current = LatestClockReading.create(clockJumpDetector);
    this.dependency = DependencyTracker.create({
      dependency: `table ${name}`,
      clock,
      events,
    });
  }

  static create<T>(options: TableWatcherOptions<T>): TableWatcher<T> {
    return new TableWatcher(options);
  }

  /**
   * Time for which the table had not been watched before the call whose changes
   * are being applied: a change may be older by this time.
   */
  get unwatchedMs(): number {
    return this.lastUnwatchedMs;
  }

  /**
   * Time as of which the known contents are known to have been current; null
   * before the first listing.
   */
  get currentAsOf(): ClockReading | null {
    return this.current.value;
  }

  /**
   * Time since the known contents were confirmed to be current; null if they were
   * not since the start or since a clock jump.
   */
  getAgeMs(): number | null {
    return this.current.getAgeMs();
  }

  /** Whether the last call succeeded. */
  get isAvailable(): boolean {
    return this.failureCount === 0;
  }

  start(): void {
    this.startRun();
  }

  /** Starts no further calls until `resume`. */
  pause(): void {
    this.isPaused = true;
    this.timer?.cancel();
  }

  /**
   * Continues after the newest known revision. A call that was in flight at the
   * pause and still is counts as the next one.
   */
  resume(): void {
    if (!this.isPaused || this.isDisposed) {
      return;
    }
    this.isPaused = false;
    if (!this.isCalling) {
      this.start();
    }
  }

  /**
   * Applies an update from another proxy. `isListing` is true if it contains
   * all keys; `currentAsOf` is the time as of which it was current.
   */
  applyUpdate(
    update: TableChanges<T>,
    isListing: boolean,
    currentAsOf: ClockReading | null = null,
  ): void {
    if (currentAsOf !== null) {
      // If the other proxy knew all changes then, so does this one, whose revision
      // is at least as high once the update is applied.
      this.current.record(currentAsOf);
    }
    if (update.revision < (this.revision ?? 0)) {
      return;
    }
    this.revision = update.revision;
    this.hasMissedChanges = false;
    this.recordWatched(this.options.clock.nowMs() - UPDATE_INTERVAL_MS);
    try {
      this.passOn(update, isListing);
    } catch (error) {
      // Its changes may have been applied in part.
      this.mustList = true;
      throw error;
    }
  }

  private passOn(update: TableChanges<T>, isListing: boolean): void {
    const {listener} = this.options;
    if (isListing) {
      this.mustList = false;
      listener.handleListing(update);
    } else if (update.changes.length > 0) {
      listener.handleChanges(update);
    }
  }

  /** Whether the known contents may lack changes that another proxy has sent. */
  get isIncomplete(): boolean {
    return this.mustList;
  }

  /**
   * Whether this process has to read the table itself although another proxy
   * forwards it: the contents were not confirmed to be current for `maxAgeMs`.
   */
  isReadDue(maxAgeMs: number): boolean {
    const ageMs = this.getAgeMs();
    return this.isIncomplete || ageMs === null || ageMs > maxAgeMs;
  }

  dispose(): void {
    this.isDisposed = true;
    this.timer?.cancel();
  }

  private startRun(): void {
    const {events, name} = this.options;
    runInBackground(events, `watch of ${name}`, this.runOnce());
  }

  private async runOnce(): Promise<void> {
    const startedAtMs = this.options.clock.nowMs();
    const isFirst = this.revision === null;
    this.isCalling = true;
    const failureReason = await this.readSafely();
    this.isCalling = false;
    if (this.isDisposed || this.isPaused) {
      return;
    }
    if (failureReason === null) {
      this.recordSuccess();
      const elapsedMs = this.options.clock.nowMs() - startedAtMs;
      const intervalMs = isFirst
        ? FIRST_WATCH_DELAY_MS
        : this.options.minIntervalMs;
      this.schedule(intervalMs - elapsedMs);
      return;
    }
    this.recordFailure(failureReason);
    this.schedule(this.getRetryDelayMs());
  }

  /** Lists or watches; an unexpected failure must not end the watching. */
  private async readSafely(): Promise<string | null> {
    try {
      return await (this.mustList || this.hasMissedChanges
        ? this.list()
        : this.watch());
    } catch (error) {
      const {events, name} = this.options;
      recordTaskFailure(events, `watch of ${name}`, error);
      // Its changes may have been applied in part.
      this.mustList = true;
      return 'an unexpected failure';
    }
  }

  private schedule(delayMs: number): void {
    if (delayMs <= 0) {
      this.startRun();
      return;
    }
    this.timer = this.options.clock.startTimer(delayMs, () => {
      this.startRun();
    });
  }

  /** Records that the table was watched from a time until now. */
  private recordWatched(fromMs: number): void {
    const {watchedUntilMs} = this;
    this.lastUnwatchedMs =
      watchedUntilMs === null ? 0 : Math.max(0, fromMs - watchedUntilMs);
    this.watchedUntilMs = this.options.clock.nowMs();
  }

  /** Lists the table; returns the reason of a failure, or null on success. */
  private async list(): Promise<string | null> {
    const knownRevision = this.revision ?? 0;
    const startedAt = this.options.clockJumpDetector.read();
    const startedAtMs = startedAt.timeMs;
    const result = await this.options.table.list();
    if (this.isDisposed) {
      return null;
    }
    if (!result.ok) {
      this.recordReadFailure('listing', startedAtMs, result.error);
      return result.error.kind;
    }
    const listing = result.value;
    if (listing.revision < knownRevision) {
      return 'the listing is older than the known revision';
    }
    if (listing.revision < (this.revision ?? 0)) {
      // Another proxy has sent a newer update meanwhile.
      return null;
    }
    this.revision = listing.revision;
    this.mustList = false;
    this.recordWatched(startedAtMs);
    this.current.record(startedAt);
    this.options.listener.handleListing(this.describe(listing, startedAtMs));
    return null;
  }

  private async watch(): Promise<string | null> {
    const afterRevision = this.revision ?? 0;
    const waitMs = this.options.getWaitMs();
    const startedAt = this.options.clockJumpDetector.read();
    const startedAtMs = startedAt.timeMs;
    const result = await this.options.table.watch(afterRevision, waitMs);
    if (this.isDisposed) {
      return null;
    }
    if (!result.ok) {
      this.recordReadFailure('watch', startedAtMs, result.error);
      if (result.error.kind === 'historyLost') {
        this.mustList = true;
        return null;
      }
      return result.error.kind;
    }
    const update = this.selectNewer(result.value);
    this.recordWatched(startedAtMs);
    this.recordCurrentAfterWatch(result.value, startedAt, waitMs);
    if (update.changes.length > 0) {
      this.options.listener.handleChanges(this.describe(update, startedAtMs));
    }
    this.revision = Math.max(this.revision ?? 0, update.revision);
    return null;
  }

  /** Leaves out what another proxy has sent since the call began. */
  private selectNewer(update: TableChanges<T>): TableChanges<T> {
    const knownRevision = this.revision ?? 0;
    const changes = update.changes.filter(
      ({revision}) => revision > knownRevision,
    );
    return {...update, changes};
  }

  /**
   * The store ends a watch without changes no earlier than after its wait, so the
   * contents were current then. One with changes may have been answered at once.
   */
  private recordCurrentAfterWatch(
    {changes}: TableChanges<T>,
    startedAt: ClockReading,
    waitMs: number,
  ): void {
    const elapsedMs = this.options.clock.nowMs() - startedAt.timeMs;
    const wasHeld = changes.length === 0 && elapsedMs >= waitMs;
    const timeMs = startedAt.timeMs + (wasHeld ? waitMs : 0);
    this.current.record({timeMs, epoch: startedAt.epoch});
  }

  private describe(
    changes: TableChanges<T>,
    startedAtMs: number,
  ): TableChanges<T> {
    const durationMs = this.options.clock.nowMs() - startedAtMs;
    return {...changes, read: {source: STORE_SOURCE, durationMs}};
  }

  private recordReadFailure(
    operation: 'listing' | 'watch',
    startedAtMs: number,
    error: WatchError,
  ): void {
    const {name, clock, events} = this.options;
    events.record({
      kind: 'tableReadFailed',
      table: name,
      operation,
      knownRevision: this.revision,
      durationMs: clock.nowMs() - startedAtMs,
      reason: describeWatchError(error),
    });
  }

  private recordSuccess(): void {
    this.failureCount = 0;
    this.hasMissedChanges = false;
    this.dependency.markAvailable();
  }

  private recordFailure(reason: string): void {
    this.failureCount++;
    this.hasMissedChanges = !this.options.needsEachChange;
    this.dependency.markLost(reason);
  }

  private getRetryDelayMs(): number {
    const backoffMs = MIN_RETRY_DELAY_MS * 2 ** Math.min(this.failureCount, 6);
    const boundedMs = Math.min(MAX_RETRY_DELAY_MS, backoffMs);
    return boundedMs * (0.5 + this.options.random.nextFloat() / 2);
  }
}

function describeWatchError(error: WatchError): string {
  switch (error.kind) {
    case 'unavailable':
    case 'outcomeUnknown':
    case 'malformed':
      return `${error.kind}: ${error.reason}`;
    case 'conflict':
    case 'historyLost':
      return error.kind;
    default:
      return exhaustiveSwitchError(error);
  }
}
