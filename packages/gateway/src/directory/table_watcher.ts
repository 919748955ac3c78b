import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {DependencyTracker} from '../observability/dependency_tracker.js';
import type {GatewayEvents} from '../observability/gateway_events.js';
import type {TableChanges, WatchableTable} from './watchable_table.js';

/** Takes what a watcher learns. @public */
export interface TableListener<T> {
  /** The whole table; keys that are missing do not exist. */
  handleListing(listing: TableChanges<T>): void;
  handleChanges(changes: TableChanges<T>): void;
}

/** What a watcher is made of. @public */
export interface TableWatcherOptions<T> {
  /** Name of the table in log events. */
  readonly name: string;
  /**
   * Time for which the store may hold a watch open without a change. A watch
   * that goes silent is noticed a little later than this.
   */
  getWaitMs(): number;
  /**
   * Least time between two calls. While changes follow each other closely, one
   * call then brings several of them.
   */
  readonly minIntervalMs: number;
  readonly table: WatchableTable<T>;
  readonly listener: TableListener<T>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly events: GatewayEvents;
}

/**
 * Time from a listing to the first watch. Until then a process that has just
 * started may have found another one that reads for it.
 */
const FIRST_WATCH_DELAY_MS = 800;

const MIN_RETRY_DELAY_MS = 80;
const MAX_RETRY_DELAY_MS = 600;

/**
 * Follows a table: lists it once, then asks for the changes after the newest
 * known revision. It never goes back to an older revision, even when the store
 * answers with one.
 *
 * @public
 */
export class TableWatcher<T> {
  private revision: number | null = null;
  private mustList = true;
  private failureCount = 0;
  private timer: Timer | null = null;
  private isDisposed = false;
  private isPaused = false;
  /** Tells the calls of one run of the watch from those before a pause. */
  private run = 0;

  private readonly dependency: DependencyTracker;

  private constructor(private readonly options: TableWatcherOptions<T>) {
    const {name, clock, events} = options;
    this.dependency = DependencyTracker.create({
      dependency: `table ${name}`,
      clock,
      events,
    });
  }

  static create<T>(options: TableWatcherOptions<T>): TableWatcher<T> {
    return new TableWatcher(options);
  }

  /** Whether the last call was answered. */
  get isAnswered(): boolean {
    return this.failureCount === 0;
  }

  start(): void {
    void this.runOnce(this.run);
  }

  /** Asks nothing until `resume`; what is still answered is discarded. */
  pause(): void {
    this.isPaused = true;
    this.run++;
    this.timer?.cancel();
  }

  /** Goes on after the newest known revision. */
  resume(): void {
    if (this.isPaused && !this.isDisposed) {
      this.isPaused = false;
      this.start();
    }
  }

  /** Takes what another proxy has read; `isListing` says that it is all keys. */
  takeNews(news: TableChanges<T>, isListing: boolean): void {
    if (news.revision < (this.revision ?? 0)) {
      return;
    }
    this.revision = news.revision;
    if (isListing) {
      this.mustList = false;
      this.options.listener.handleListing(news);
    } else if (news.changes.length > 0) {
      this.options.listener.handleChanges(news);
    }
  }

  dispose(): void {
    this.isDisposed = true;
    this.timer?.cancel();
  }

  private async runOnce(run: number): Promise<void> {
    const startedAtMs = this.options.clock.nowMs();
    const isListing = this.mustList;
    const failureReason = await (isListing ? this.list(run) : this.watch(run));
    if (this.isOver(run)) {
      return;
    }
    if (failureReason === null) {
      this.recordContact();
      const elapsedMs = this.options.clock.nowMs() - startedAtMs;
      const intervalMs = isListing
        ? FIRST_WATCH_DELAY_MS
        : this.options.minIntervalMs;
      this.schedule(run, intervalMs - elapsedMs);
      return;
    }
    this.recordFailure(failureReason);
    this.schedule(run, this.getRetryDelayMs());
  }

  private schedule(run: number, delayMs: number): void {
    if (delayMs <= 0) {
      void this.runOnce(run);
      return;
    }
    this.timer = this.options.clock.startTimer(delayMs, () => {
      void this.runOnce(run);
    });
  }

  private isOver(run: number): boolean {
    return this.isDisposed || run !== this.run;
  }

  /** Lists the table; gives the reason of a failure, or null. */
  private async list(run: number): Promise<string | null> {
    const result = await this.options.table.list();
    if (this.isOver(run)) {
      return null;
    }
    if (!result.ok) {
      return result.error.kind;
    }
    const listing = result.value;
    if (this.revision !== null && listing.revision < this.revision) {
      return 'the listing is older than what is known';
    }
    this.revision = listing.revision;
    this.mustList = false;
    this.options.listener.handleListing(listing);
    return null;
  }

  private async watch(run: number): Promise<string | null> {
    const afterRevision = this.revision ?? 0;
    const result = await this.options.table.watch(
      afterRevision,
      this.options.getWaitMs(),
    );
    if (this.isOver(run)) {
      return null;
    }
    if (!result.ok) {
      if (result.error.kind === 'historyLost') {
        this.mustList = true;
        return null;
      }
      return result.error.kind;
    }
    if (result.value.changes.length > 0) {
      this.options.listener.handleChanges(result.value);
    }
    this.revision = Math.max(afterRevision, result.value.revision);
    return null;
  }

  private recordContact(): void {
    this.failureCount = 0;
    this.dependency.noteAvailable();
  }

  private recordFailure(reason: string): void {
    this.failureCount++;
    this.dependency.noteLost(reason);
  }

  private getRetryDelayMs(): number {
    const growing = MIN_RETRY_DELAY_MS * 2 ** Math.min(this.failureCount, 6);
    const boundedMs = Math.min(MAX_RETRY_DELAY_MS, growing);
    return boundedMs * (0.5 + this.options.random.nextFloat() / 2);
  }
}
