import type {Clock} from '@filbertrun/base/clock.js';
import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import type {
  EntryVmIdentity,
  EntryVmRegistration,
} from '../control/entry_vm_registration.js';
import type {RelayingControlTable} from '../control/relaying_control_table.js';
import type {ClockJumpDetector} from '../group/clock_jump_detector.js';
import type {GatewayEventRecorder} from '../observability/gateway_event_recorder.js';
import type {PeerClient} from '../peer/peer_client.js';
import {
  applyZoneUpdate,
  type RequestedUpdate,
  type ZoneUpdateTargets,
} from './apply_zone_update.js';
import {ZoneFollower} from './zone_follower.js';
import type {ZoneUpdate} from './zone_update.js';
import {ZonePublisher} from './zone_publisher.js';

/** Dependencies of {@link ZoneReading}. @public */
export interface ZoneReadingOptions {
  readonly self: EntryVmIdentity;
  readonly clock: Clock;
  readonly clockJumpDetector: ClockJumpDetector;
  readonly events: GatewayEventRecorder;
  readonly peers: PeerClient;
  /** Key of the configuration in its table. */
  readonly configurationKey: string;
  /** Components that read the store or receive the reader's updates. */
  getUpdateTargets(): Omit<
    ZoneUpdateTargets,
    'configurationHistory' | 'configurationKey'
  >;
  getRegistration(): EntryVmRegistration;
  getControlTable(): RelayingControlTable;
  /**
   * Whether this process may follow a zone reader: it is not stopping, has read
   * the directory, and is not the failover leader, which needs the newest records.
   */
  mayFollow(): boolean;
  isStopping(): boolean;
  /**
   * Age of the configuration above which this process reads it itself, also
   * while it follows a zone reader.
   */
  readonly maxConfigurationAgeMs: number;
  /** Whether the control table should be read more often. */
  isUrgent(): boolean;
  /** Digest of the primary records; null unless a lease is held on each. */
  computeLeasedDigest(): string | null;
}

/**
 * Role of a proxy in reading the store for its availability zone: it is the zone
 * reader and sends updates to the others, or it follows the zone reader.
 *
 * @public
 */
export class ZoneReading {
  readonly publisher: ZonePublisher;
  private readonly follower: ZoneFollower;

  private constructor(private readonly options: ZoneReadingOptions) {
    const {self, clock, clockJumpDetector, events, peers} = options;
    this.publisher = ZonePublisher.create({
      clock,
      clockJumpDetector,
      configurationKey: options.configurationKey,
      isReading: () => this.isReadingForZone(),
      getContactStart: () =>
        options.getUpdateTargets().contact.getContactStart(),
      getConfigurationCurrentAsOf: () =>
        options.getUpdateTargets().configurationWatcher.currentAsOf,
      computeLeasedDigest: () => options.computeLeasedDigest(),
      pollIfUrgent: () =>
        options.getUpdateTargets().controlPoller.pollIfUrgent(),
    });
    this.follower = ZoneFollower.create({
      self,
      clock,
      clockJumpDetector,
      events,
      peers,
      getEntryVms: () => options.getRegistration().getEntryVms(),
      canFollow: () => this.canFollow(),
      isStoreAvailable: () => this.isStoreAvailable(),
      getKnownRevisions: () => this.publisher.getKnownRevisions(),
      isUrgent: () => options.isUrgent(),
      applyUpdate: (update, requested) => this.applyUpdate(update, requested),
      setReading: isReading => this.setReading(isReading),
    });
  }

  static create(options: ZoneReadingOptions): ZoneReading {
    return new ZoneReading(options);
  }

  /** Whether this process reads the store itself. */
  get isReading(): boolean {
    return this.follower.isReading;
  }

  /** Chooses the zone reader and rechecks held requests. */
  maintain(): void {
    this.follower.maintain();
    this.maintainWatchers();
    this.publisher.wake();
  }

  dispose(): void {
    this.follower.dispose();
  }

  /** Sets the gauges that describe the current state. */
  collectGauges(metrics: MetricsRegistry): void {
    metrics.setGauge(
      'filbertrun_reads_store',
      'Whether the proxy reads the store itself; 0 while it follows the zone reader.',
      this.isReading ? 1 : 0,
    );
    metrics.setGauge(
      'filbertrun_followers',
      'Proxies of the zone that get updates of the store from this one.',
      this.publisher.getFollowers().size,
    );
  }

  /** Whether this process may follow and its registration is in the store. */
  private canFollow(): boolean {
    const {self, getRegistration, mayFollow} = this.options;
    const record = getRegistration().getEntryVm(self.entryVm);
    return mayFollow() && record?.incarnation === self.incarnation;
  }

  /** Whether the store has responded to the recent calls for all three tables. */
  private isStoreAvailable(): boolean {
    const {getUpdateTargets, getControlTable} = this.options;
    const {directoryWatcher, configurationWatcher} = getUpdateTargets();
    return (
      !getControlTable().isSuspect &&
      directoryWatcher.isAvailable &&
      configurationWatcher.isAvailable
    );
  }

  /**
   * Whether other proxies of the zone may follow this one. False during shutdown,
   * so that they choose another reader.
   */
  private isReadingForZone(): boolean {
    return (
      !this.options.isStopping() && this.isReading && this.isStoreAvailable()
    );
  }

  private setReading(isReading: boolean): void {
    setActive(this.options.getUpdateTargets().controlPoller, isReading);
    this.maintainWatchers();
    this.publisher.wake();
  }

  /**
   * Reads the configuration, unless a zone reader proves that it is current. That
   * a zone reader responds does not prove it: its own read may be old. Reads the
   * directory also if an update of it could not be applied.
   */
  private maintainWatchers(): void {
    const {isReading, options} = this;
    const {configurationWatcher, directoryWatcher} = options.getUpdateTargets();
    setActive(
      configurationWatcher,
      isReading ||
        configurationWatcher.isReadDue(options.maxConfigurationAgeMs),
    );
    setActive(directoryWatcher, isReading || directoryWatcher.isIncomplete);
  }

  private applyUpdate(update: ZoneUpdate, requested: RequestedUpdate): void {
    applyZoneUpdate(update, requested, {
      ...this.options.getUpdateTargets(),
      configurationHistory: this.publisher.history,
      configurationKey: this.options.configurationKey,
    });
  }
}

/** Resumes or pauses a source of the store's data. */
function setActive(
  source: {resume(): void; pause(): void},
  isActive: boolean,
): void {
  if (isActive) {
    source.resume();
  } else {
    source.pause();
  }
}
