import type {Clock} from '@filbertrun/base/clock.js';
import type {TableListing} from '@filbertrun/platform/platform_service.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {TableListener} from '../directory/table_watcher.js';
import type {TableChange, TableChanges} from '../directory/watchable_table.js';
import type {ClockReading, ClockWatch} from '../group/clock_watch.js';
import {TableBoard} from './table_board.js';
import type {KnownRevisions} from './zone_follower.js';
import type {ZoneContact, ZoneNews, ZoneQuestion} from './zone_news.js';

/** What a publisher needs of the process. @public */
export interface ZonePublisherOptions {
  readonly clock: Clock;
  readonly clockWatch: ClockWatch;
  /** Whether this process reads the store itself, and the store answers. */
  isReading(): boolean;
  /** Start of the latest contact while it may be relied on, else null. */
  getContactStart(): ClockReading | null;
  /** Digest of the records of primaries; null while no lease is held. */
  computeProvenDigest(): string | null;
  /** Reads the control table soon, since a follower needs news. */
  hasten(): void;
}

/** Time for which a proxy that has asked counts as a follower. */
const FOLLOWER_VALID_MS = 2_500;

/** Time for which the urgency of a follower counts. */
const URGENT_VALID_MS = 1_000;

interface Follower {
  readonly incarnation: string;
  readonly askedAtMs: number;
}

interface ControlRead {
  readonly readAt: ClockReading;
  readonly storeTimeMs: number;
}

/** Answers the other proxies of the zone from what this process has read. @public */
export class ZonePublisher {
  private readonly control = TableBoard.create<string>();
  private readonly directory = TableBoard.create<BackendServerEntry>();
  private readonly configuration = TableBoard.create<ServiceConfiguration>();
  private readonly followers = new Map<string, Follower>();
  private readonly waiting = new Set<() => void>();
  private controlRead: ControlRead | null = null;
  private urgentAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: ZonePublisherOptions) {}

  static create(options: ZonePublisherOptions): ZonePublisher {
    return new ZonePublisher(options);
  }

  /** Whether a follower asks for the control table to be read more often. */
  get isUrgent(): boolean {
    return this.options.clock.nowMs() - this.urgentAtMs < URGENT_VALID_MS;
  }

  /** Incarnations of the proxies that follow this one, by entry VM. */
  getFollowers(): ReadonlyMap<string, string> {
    const oldestMs = this.options.clock.nowMs() - FOLLOWER_VALID_MS;
    const current = new Map<string, string>();
    for (const [entryVm, {incarnation, askedAtMs}] of [...this.followers]) {
      if (askedAtMs >= oldestMs) {
        current.set(entryVm, incarnation);
      } else {
        this.followers.delete(entryVm);
      }
    }
    return current;
  }

  /** Newest revisions that this process knows, as a question states them. */
  getKnownRevisions(): KnownRevisions {
    return {
      controlRevision: this.control.revision,
      directoryRevision: this.directory.revision,
      configurationRevision: this.configuration.revision,
    };
  }

  /** Passes what a watch of the backend servers shows on to `listener` as well. */
  watchDirectory(
    listener: TableListener<BackendServerEntry>,
  ): TableListener<BackendServerEntry> {
    return this.passOn(this.directory, listener);
  }

  /** Passes what a watch of the configuration shows on to `listener` as well. */
  watchConfiguration(
    listener: TableListener<ServiceConfiguration>,
  ): TableListener<ServiceConfiguration> {
    return this.passOn(this.configuration, listener);
  }

  /** Takes a listing of the control table whose read began at `readAt`. */
  takeControl(listing: TableListing, readAt: ClockReading): void {
    const changes: TableChange<string>[] = [];
    for (const [key, {value, revision}] of listing.entries) {
      changes.push({kind: 'put', key, revision, value});
    }
    this.control.takeListing({changes, revision: listing.revision});
    this.controlRead = {readAt, storeTimeMs: listing.storeTimeMs};
    this.wake();
  }

  /** Lets held answers go out, since there may be news. */
  wake(): void {
    for (const resolve of [...this.waiting]) {
      resolve();
    }
  }

  /** Answers a follower, once there is news or its wait is over; null to refuse. */
  async answer(question: ZoneQuestion): Promise<ZoneNews | null> {
    const {clock, clockWatch, isReading} = this.options;
    const arrivedAt = clockWatch.read();
    this.noteFollower(question);
    const untilMs = clock.nowMs() + question.waitMs;
    const contactBefore = this.options.getContactStart();
    while (isReading() && clock.nowMs() < untilMs) {
      const contact = this.options.getContactStart();
      if (this.hasNews(question) || contact !== contactBefore) {
        break;
      }
      await this.waitUntil(untilMs);
    }
    return isReading() ? this.createNews(question, arrivedAt) : null;
  }

  private passOn<T>(
    board: TableBoard<T>,
    listener: TableListener<T>,
  ): TableListener<T> {
    return {
      handleListing: (listing: TableChanges<T>) => {
        board.takeListing(listing);
        listener.handleListing(listing);
        this.wake();
      },
      handleChanges: (changes: TableChanges<T>) => {
        board.takeChanges(changes);
        listener.handleChanges(changes);
        this.wake();
      },
    };
  }

  private noteFollower(question: ZoneQuestion): void {
    const nowMs = this.options.clock.nowMs();
    const {entryVm, incarnation} = question;
    this.followers.set(entryVm, {incarnation, askedAtMs: nowMs});
    if (question.isUrgent) {
      this.urgentAtMs = nowMs;
      this.options.hasten();
    }
  }

  private hasNews(question: ZoneQuestion): boolean {
    return (
      this.control.revision > (question.controlRevision ?? -1) ||
      this.directory.revision > (question.directoryRevision ?? -1) ||
      this.configuration.revision > (question.configurationRevision ?? -1)
    );
  }

  private createNews(
    question: ZoneQuestion,
    arrivedAt: ClockReading,
  ): ZoneNews | null {
    const {controlRead} = this;
    const readLeadMs =
      controlRead === null
        ? null
        : this.getLeadMs(controlRead.readAt, arrivedAt);
    if (controlRead === null || readLeadMs === null) {
      return null;
    }
    return {
      control: {
        ...this.control.getNewsSince(question.controlRevision),
        storeTimeMs: controlRead.storeTimeMs,
        readLeadMs,
      },
      directory: this.directory.getNewsSince(question.directoryRevision),
      configuration: this.configuration.getNewsSince(
        question.configurationRevision,
      ),
      contact: this.createContact(arrivedAt),
    };
  }

  private createContact(arrivedAt: ClockReading): ZoneContact | null {
    const start = this.options.getContactStart();
    const digest = this.options.computeProvenDigest();
    if (start === null || digest === null) {
      return null;
    }
    const startLeadMs = this.getLeadMs(start, arrivedAt);
    return startLeadMs === null ? null : {digest, startLeadMs};
  }

  /** Time from one reading to another; null if the machine may have been suspended since. */
  private getLeadMs(
    start: ClockReading,
    arrivedAt: ClockReading,
  ): number | null {
    const {epoch} = this.options.clockWatch.read();
    return start.epoch === epoch && arrivedAt.epoch === epoch
      ? arrivedAt.timeMs - start.timeMs
      : null;
  }

  private waitUntil(untilMs: number): Promise<void> {
    const {clock} = this.options;
    return new Promise(resolve => {
      const finish = () => {
        timer.cancel();
        this.waiting.delete(finish);
        resolve();
      };
      const timer = clock.startTimer(
        Math.max(0, untilMs - clock.nowMs()),
        finish,
      );
      this.waiting.add(finish);
    });
  }
}
