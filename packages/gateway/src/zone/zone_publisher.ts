import type {Clock} from '@filbertrun/base/clock.js';
import type {TableListing} from '@filbertrun/platform/platform_service.js';
import {ConfigurationHistory} from '../configuration/configuration_history.js';
import type {ServiceConfiguration} from '../configuration/service_configuration.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {TableListener} from '../directory/table_watcher.js';
import type {TableChange, TableChanges} from '../directory/watchable_table.js';
import type {
  ClockReading,
  ClockJumpDetector,
} from '../group/clock_jump_detector.js';
import {TableChangeCache} from './table_change_cache.js';
import type {KnownRevisions} from './zone_follower.js';
import type {
  ZoneContact,
  ZoneUpdate,
  ZoneUpdateRequest,
} from './zone_update.js';

/** Dependencies of a publisher. @public */
export interface ZonePublisherOptions {
  readonly clock: Clock;
  readonly clockJumpDetector: ClockJumpDetector;
  /** Whether this process reads the store and the store responds. */
  isReading(): boolean;
  /**
   * Start of the latest contact, at which the store or a proxy of another zone
   * confirmed the primary records of this process; null if it is too old.
   */
  getContactStart(): ClockReading | null;
  /** Key of the configuration in its table. */
  readonly configurationKey: string;
  /** Time as of which the configuration of this process was current. */
  getConfigurationCurrentAsOf(): ClockReading | null;
  /** Digest of the primary records; null unless a lease is held on each. */
  computeLeasedDigest(): string | null;
  /** Polls the control table early if a follower needs an update. */
  pollIfUrgent(): void;
}

/** Time after its last request for which a proxy counts as a follower. */
const FOLLOWER_VALID_MS = 2_500;

/** Time for which an urgent request remains in effect. */
const URGENT_VALID_MS = 1_000;

interface Follower {
  readonly incarnation: string;
  readonly requestedAtMs: number;
}

interface ControlRead {
  readonly readAt: ClockReading;
  readonly storeTimeMs: number;
}

/** Serves the store data that this process has read to followers. @public */
export class ZonePublisher {
  private readonly control = TableChangeCache.create<string>();
  private readonly directory = TableChangeCache.create<BackendServerEntry>();
  private readonly configuration =
    TableChangeCache.create<ServiceConfiguration>();
  /** Latest versions of the configuration, to send only what changed. */
  readonly history = ConfigurationHistory.create();
  private readonly followers = new Map<string, Follower>();
  /** Callbacks that wake held requests. */
  private readonly wakeCallbacks = new Set<() => void>();
  private controlRead: ControlRead | null = null;
  private urgentAtMs = Number.NEGATIVE_INFINITY;

  private constructor(private readonly options: ZonePublisherOptions) {}

  static create(options: ZonePublisherOptions): ZonePublisher {
    return new ZonePublisher(options);
  }

  /** Whether a follower has requested more frequent control table reads. */
  get isUrgent(): boolean {
    return this.options.clock.nowMs() - this.urgentAtMs < URGENT_VALID_MS;
  }

  /** Incarnations of the current followers, by entry VM. */
  getFollowers(): ReadonlyMap<string, string> {
    const oldestMs = this.options.clock.nowMs() - FOLLOWER_VALID_MS;
    const current = new Map<string, string>();
    for (const [entryVm, {incarnation, requestedAtMs}] of [...this.followers]) {
      if (requestedAtMs >= oldestMs) {
        current.set(entryVm, incarnation);
      } else {
        this.followers.delete(entryVm);
      }
    }
    return current;
  }

  /** Newest table revisions that this process knows. */
  getKnownRevisions(): KnownRevisions {
    return {
      controlRevision: this.control.revision,
      directoryRevision: this.directory.revision,
      configurationRevision: this.configuration.revision,
      knownConfiguration: this.history.latest,
    };
  }

  /** Wraps a listener of backend server changes to cache them as well. */
  withDirectoryCache(
    listener: TableListener<BackendServerEntry>,
  ): TableListener<BackendServerEntry> {
    return this.withCache(this.directory, listener);
  }

  /** Wraps a listener of configuration changes to cache them as well. */
  withConfigurationCache(
    listener: TableListener<ServiceConfiguration>,
  ): TableListener<ServiceConfiguration> {
    return this.withCache(this.configuration, {
      handleListing: listing => {
        this.recordVersions(listing);
        listener.handleListing(listing);
      },
      handleChanges: changes => {
        this.recordVersions(changes);
        listener.handleChanges(changes);
      },
    });
  }

  private recordVersions({changes}: TableChanges<ServiceConfiguration>): void {
    for (const change of changes) {
      if (this.isConfiguration(change) && change.kind === 'put') {
        this.history.record(change.revision, change.value);
      }
    }
  }

  private isConfiguration({key}: TableChange<ServiceConfiguration>): boolean {
    return key === this.options.configurationKey;
  }

  /** Applies a listing of the control table whose read began at `readAt`. */
  applyControlListing(listing: TableListing, readAt: ClockReading): void {
    const changes: TableChange<string>[] = [];
    for (const [key, {value, revision}] of listing.entries) {
      changes.push({kind: 'put', key, revision, value});
    }
    this.control.applyListing({changes, revision: listing.revision});
    this.controlRead = {readAt, storeTimeMs: listing.storeTimeMs};
    this.wake();
  }

  /** Rechecks held requests after a possible change. */
  wake(): void {
    for (const resolve of [...this.wakeCallbacks]) {
      resolve();
    }
  }

  /**
   * Answers a follower when there are changes or its wait has ended; null
   * refuses the request.
   */
  async answer(request: ZoneUpdateRequest): Promise<ZoneUpdate | null> {
    const {clock, clockJumpDetector, isReading} = this.options;
    const arrivedAt = clockJumpDetector.read();
    this.recordFollower(request);
    const untilMs = clock.nowMs() + request.waitMs;
    const contactBefore = this.options.getContactStart();
    const currentBefore = this.options.getConfigurationCurrentAsOf();
    while (isReading() && clock.nowMs() < untilMs) {
      // A new contact is sent immediately, because it extends the time for which
      // the follower may use its primary records, and so is a new proof that the
      // configuration is current, without which the follower reads it itself.
      const hasProof =
        this.options.getContactStart() !== contactBefore ||
        this.options.getConfigurationCurrentAsOf() !== currentBefore;
      if (hasProof || this.hasChanges(request)) {
        break;
      }
      await this.waitUntil(untilMs);
    }
    return isReading() ? this.createUpdate(request, arrivedAt) : null;
  }

  private withCache<T>(
    cache: TableChangeCache<T>,
    listener: TableListener<T>,
  ): TableListener<T> {
    return {
      handleListing: (listing: TableChanges<T>) => {
        cache.applyListing(listing);
        listener.handleListing(listing);
        this.wake();
      },
      handleChanges: (changes: TableChanges<T>) => {
        cache.applyChanges(changes);
        listener.handleChanges(changes);
        this.wake();
      },
    };
  }

  private recordFollower(request: ZoneUpdateRequest): void {
    const nowMs = this.options.clock.nowMs();
    const {entryVm, incarnation} = request;
    this.followers.set(entryVm, {incarnation, requestedAtMs: nowMs});
    if (request.isUrgent) {
      this.urgentAtMs = nowMs;
      this.options.pollIfUrgent();
    }
  }

  private hasChanges(request: ZoneUpdateRequest): boolean {
    return (
      this.control.revision > (request.controlRevision ?? -1) ||
      this.directory.revision > (request.directoryRevision ?? -1) ||
      this.configuration.revision > (request.configurationRevision ?? -1)
    );
  }

  private createUpdate(
    request: ZoneUpdateRequest,
    arrivedAt: ClockReading,
  ): ZoneUpdate | null {
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
        ...this.control.getUpdateSince(request.controlRevision),
        storeTimeMs: controlRead.storeTimeMs,
        readLeadMs,
      },
      directory: this.directory.getUpdateSince(request.directoryRevision),
      ...this.createConfigurationUpdate(request),
      configurationLeadMs: this.getConfigurationLeadMs(arrivedAt),
      contact: this.createContact(arrivedAt),
    };
  }

  private createConfigurationUpdate({
    configurationRevision,
    knownConfiguration,
  }: ZoneUpdateRequest): Pick<
    ZoneUpdate,
    'configuration' | 'configurationDelta'
  > {
    const whole = this.configuration.getUpdateSince(configurationRevision);
    if (knownConfiguration === undefined) {
      return {configuration: whole, configurationDelta: null};
    }
    const isPut = (change: TableChange<ServiceConfiguration>) =>
      this.isConfiguration(change) && change.kind === 'put';
    const changes = whole.changes.filter(change => !isPut(change));
    return {
      configuration: {...whole, changes},
      configurationDelta: whole.changes.some(isPut)
        ? this.history.getDeltaSince(knownConfiguration)
        : null,
    };
  }

  private getConfigurationLeadMs(arrivedAt: ClockReading): number | null {
    const currentAsOf = this.options.getConfigurationCurrentAsOf();
    return currentAsOf === null ? null : this.getLeadMs(currentAsOf, arrivedAt);
  }

  private createContact(arrivedAt: ClockReading): ZoneContact | null {
    const start = this.options.getContactStart();
    const digest = this.options.computeLeasedDigest();
    if (start === null || digest === null) {
      return null;
    }
    const startLeadMs = this.getLeadMs(start, arrivedAt);
    return startLeadMs === null ? null : {digest, startLeadMs};
  }

  /**
   * Time from one clock reading to another; null if either belongs to an earlier
   * clock epoch, since the machine may have been suspended after it.
   */
  private getLeadMs(
    start: ClockReading,
    arrivedAt: ClockReading,
  ): number | null {
    const {epoch} = this.options.clockJumpDetector.read();
    return start.epoch === epoch && arrivedAt.epoch === epoch
      ? arrivedAt.timeMs - start.timeMs
      : null;
  }

  private waitUntil(untilMs: number): Promise<void> {
    const {clock} = this.options;
    return new Promise(resolve => {
      const finish = () => {
        timer.cancel();
        this.wakeCallbacks.delete(finish);
        resolve();
      };
      const timer = clock.startTimer(
        Math.max(0, untilMs - clock.nowMs()),
        finish,
      );
      this.wakeCallbacks.add(finish);
    });
  }
}
