import type {Clock} from '@filbertrun/base/clock.js';
import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import type {
  EntryVmIdentity,
  EntryVmRegistration,
} from '../control/entry_vm_registration.js';
import type {RelayingControlTable} from '../control/relaying_control_table.js';
import type {ClockReading, ClockWatch} from '../group/clock_watch.js';
import type {GatewayEvents} from '../observability/gateway_events.js';
import type {PeerCaller} from '../peer/peer_caller.js';
import {applyZoneNews, type ZoneNewsTargets} from './apply_zone_news.js';
import {ZoneFollower} from './zone_follower.js';
import type {ZoneNews} from './zone_news.js';
import {ZonePublisher} from './zone_publisher.js';

/** What the reading of a zone needs of the process. @public */
export interface ZoneReadingOptions {
  readonly self: EntryVmIdentity;
  readonly clock: Clock;
  readonly clockWatch: ClockWatch;
  readonly events: GatewayEvents;
  readonly peers: PeerCaller;
  /** What reads the store, and takes news in place of that. */
  getSources(): ZoneNewsTargets;
  getRegistration(): EntryVmRegistration;
  getControlTable(): RelayingControlTable;
  /** Whether this process has read everything once and needs no newer records than others. */
  mayFollow(): boolean;
  isStopping(): boolean;
  /** Whether the control table should be read more often. */
  isUrgent(): boolean;
  /** Digest of the records of primaries; null while no lease is held. */
  computeProvenDigest(): string | null;
}

/**
 * A proxy's part in reading the store for its availability zone: it reads, and
 * answers the others, or it follows one that does.
 *
 * @public
 */
export class ZoneReading {
  readonly publisher: ZonePublisher;
  private readonly follower: ZoneFollower;

  private constructor(private readonly options: ZoneReadingOptions) {
    const {self, clock, clockWatch, events, peers} = options;
    this.publisher = ZonePublisher.create({
      clock,
      clockWatch,
      isReading: () => this.isReadingForZone(),
      getContactStart: () => options.getSources().contact.getContactStart(),
      computeProvenDigest: () => options.computeProvenDigest(),
      hasten: () => options.getSources().poller.hasten(),
    });
    this.follower = ZoneFollower.create({
      self,
      clock,
      clockWatch,
      events,
      peers,
      getEntryVms: () => options.getRegistration().getEntryVms(),
      canFollow: () => this.canFollow(),
      isStoreAnswering: () => this.isStoreAnswering(),
      getKnownRevisions: () => this.publisher.getKnownRevisions(),
      isUrgent: () => options.isUrgent(),
      handleNews: (news, askedAt) => this.handleNews(news, askedAt),
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

  /** Decides who reads, and lets held answers go out that have become news. */
  maintain(): void {
    this.follower.maintain();
    this.publisher.wake();
  }

  dispose(): void {
    this.follower.dispose();
  }

  /** Sets the gauges that describe the present state. */
  collectGauges(metrics: MetricsRegistry): void {
    metrics.setGauge(
      'filbertrun_reads_store',
      'Whether the proxy reads the store itself; 0 while another one of its zone does.',
      this.isReading ? 1 : 0,
    );
    metrics.setGauge(
      'filbertrun_followers',
      'Proxies of the zone that get their news of the store from this one.',
      this.publisher.getFollowers().size,
    );
  }

  private canFollow(): boolean {
    const {self, getRegistration, mayFollow} = this.options;
    const own = getRegistration().getEntryVm(self.entryVm);
    return mayFollow() && own?.incarnation === self.incarnation;
  }

  private isStoreAnswering(): boolean {
    const {getSources, getControlTable} = this.options;
    const {directoryWatcher, configurationWatcher} = getSources();
    return (
      !getControlTable().isSuspect &&
      directoryWatcher.isAnswered &&
      configurationWatcher.isAnswered
    );
  }

  /** Whether other proxies of the zone may rely on what this one reads. */
  private isReadingForZone(): boolean {
    return (
      !this.options.isStopping() && this.isReading && this.isStoreAnswering()
    );
  }

  private setReading(isReading: boolean): void {
    const {configurationWatcher, directoryWatcher, poller} =
      this.options.getSources();
    for (const source of [configurationWatcher, directoryWatcher, poller]) {
      if (isReading) {
        source.resume();
      } else {
        source.pause();
      }
    }
    this.publisher.wake();
  }

  private handleNews(news: ZoneNews, askedAt: ClockReading): void {
    applyZoneNews(news, askedAt, this.options.getSources());
  }
}
