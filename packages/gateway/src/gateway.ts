import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import type {
  ListableTable,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import {getEra} from '@filbertrun/platform/store_revision.js';
import type {BackendLinkConnector} from './backend/backend_link.js';
import type {
  InstanceControl,
  PromotionService,
} from './backend/instance_control.js';
import {ConfigurationHolder} from './configuration/configuration_holder.js';
import {NewestConfiguration} from './configuration/newest_configuration.js';
import type {ServiceConfiguration} from './configuration/service_configuration.js';
import {ConnectionShares} from './control/connection_shares.js';
import {ContactKeeper} from './control/contact_keeper.js';
import {ContactWatch} from './control/contact_watch.js';
import {DutyPlacement, findPrimaryZones} from './control/duty_placement.js';
import {ControlPoller} from './control/control_poller.js';
import {FAILOVER_DUTY_KEY} from './control/control_record.js';
import {RelayingControlTable} from './control/relaying_control_table.js';
import {
  EntryVmRegistration,
  type EntryVmIdentity,
} from './control/entry_vm_registration.js';
import {FailoverDutyLease} from './control/failover_duty_lease.js';
import {RecordRestorer} from './control/record_restorer.js';
import {StoreEraWatch} from './control/store_era_watch.js';
import {BackendDirectory} from './directory/backend_directory.js';
import type {BackendServerEntry} from './directory/backend_server_entry.js';
import {KnownInstances} from './directory/known_instances.js';
import {TableWatcher} from './directory/table_watcher.js';
import type {WatchableTable} from './directory/watchable_table.js';
import {chooseDutyHeirs} from './failover/choose_duty_successor.js';
import {findLeaseHolders} from './failover/find_lease_holders.js';
import {FailoverCoordinator} from './failover/failover_coordinator.js';
import {SuspicionReporter} from './failover/suspicion_reporter.js';
import {collectGatewayGauges} from './observability/gateway_gauges.js';
import {
  ClockWatch,
  type ClockReading,
  type WallClock,
} from './group/clock_watch.js';
import {FreshnessSeeder} from './group/freshness_seeder.js';
import {GroupRegistry} from './group/group_registry.js';
import type {GroupRuntime} from './group/group_runtime.js';
import {learnRecords} from './group/learn_records.js';
import {PeerFreshness} from './group/peer_freshness.js';
import {ReplicaFreshness} from './group/replica_freshness.js';
import type {Readiness} from './lifecycle/readiness.js';
import {ReadinessMonitor} from './lifecycle/readiness_monitor.js';
import type {GatewayEvents} from './observability/gateway_events.js';
import type {PeerCaller, PeerHandler} from './peer/peer_caller.js';
import {PeerAnswers} from './peer/peer_answers.js';
import type {ControlRelay, ControlRelayHandler} from './peer/control_relay.js';
import {ZoneReading} from './zone/zone_reading.js';
import type {GatewayContext} from './session/gateway_context.js';

/** What a gateway is made of. @public */
export interface GatewayOptions {
  readonly self: EntryVmIdentity;
  readonly clock: Clock;
  readonly wallClock: WallClock;
  readonly random: RandomSource;
  readonly events: GatewayEvents;
  readonly connector: BackendLinkConnector;
  readonly instances: InstanceControl;
  readonly promotions: PromotionService;
  readonly controlTable: ListableTable;
  /** Table of the rosters of the database groups. */
  readonly rosterTable: ListableTable;
  readonly directoryTable: WatchableTable<BackendServerEntry>;
  readonly configurationTable: WatchableTable<ServiceConfiguration>;
  /** Key of the configuration in its table. */
  readonly configurationKey: string;
  readonly peers: PeerCaller;
  readonly relay: ControlRelay;
  /** Time for which a draining backend server may be used. */
  readonly drainDurationMs: number;
  /** Time in which a newer configuration must be in force. */
  readonly configurationApplyMs: number;
  /** Time after the last contact for which a primary is relied on. */
  readonly contactWindowMs: number;
}

/** Wait of a watch on the backend servers; a drain allows several seconds. */
const DIRECTORY_WAIT_MS = 5_000;

/**
 * Part of the time in which a configuration must be in force that a watch may
 * be silent; the rest is for noticing that and for a listing.
 */
const CONFIGURATION_WAIT_PART = 0.7;

/** The same for a proxy that reads for others, which hear of a failure after it. */
const READER_CONFIGURATION_WAIT_PART = 0.4;

/** Least time between two calls of the watch on the configuration. */
const CONFIGURATION_INTERVAL_MS = 250;

/** The same for the backend servers, which register many at a time. */
const DIRECTORY_INTERVAL_MS = 500;

/** Interval of the upkeep of duty, registration, shares and readiness. */
const UPKEEP_INTERVAL_MS = 100;

/** Delay of the event loop from which it is logged. */
const LOGGED_LOOP_DELAY_MS = 250;

/** Interval at which the holder of the duty looks for entry VMs that are gone. */
const REMOVE_GONE_INTERVAL_MS = 10_000;

/** Time without a renewal after which the duty is handed over. */
const YIELD_DUTY_AFTER_MS = 1_400;

/** The parts of one proxy, wired together. @public */
export class Gateway implements GatewayContext {
  readonly clock: Clock;
  readonly events: GatewayEvents;
  readonly availabilityZone: string;
  private readonly clockWatch: ClockWatch;
  private readonly contact: ContactWatch;
  private readonly contactKeeper: ContactKeeper;
  private readonly registry: GroupRegistry;
  private readonly groups: ReadonlyMap<string, GroupRuntime>;
  private readonly freshnessSeeder: FreshnessSeeder;
  private readonly directory: BackendDirectory;
  private readonly configuration: ConfigurationHolder;
  private readonly instances: KnownInstances;
  private readonly shares: ConnectionShares;
  private readonly answers: PeerAnswers;
  private readonly replicaFreshness: ReplicaFreshness;
  private readonly peerFreshness: PeerFreshness;
  private readonly directoryWatcher: TableWatcher<BackendServerEntry>;
  private readonly configurationWatcher: TableWatcher<ServiceConfiguration>;
  private readonly poller: ControlPoller;
  private readonly relayedTable: RelayingControlTable;
  private readonly registration: EntryVmRegistration;
  private readonly duty: FailoverDutyLease;
  private readonly coordinator: FailoverCoordinator;
  private readonly dutyPlacement: DutyPlacement;
  private readonly readiness: ReadinessMonitor;
  private readonly reporter: SuspicionReporter;
  private readonly zoneReading: ZoneReading;
  private readonly storeEra: StoreEraWatch;
  private readonly restorer: RecordRestorer;
  private upkeepTimer: Timer | null = null;
  private isStopping = false;
  private removedGoneAtMs: number;
  private clockEpoch = 0;
  private loopDelayMs = 0;

  private constructor(private readonly options: GatewayOptions) {
    const {clock, wallClock, random, events, controlTable, self} = options;
    this.clock = clock;
    this.events = events;
    this.availabilityZone = self.availabilityZone;
    this.removedGoneAtMs = clock.nowMs();
    this.clockWatch = ClockWatch.create(clock, wallClock);
    const {clockWatch} = this;
    this.contact = ContactWatch.create(clockWatch, options.contactWindowMs);
    this.registry = GroupRegistry.create({
      shared: {
        availabilityZone: self.availabilityZone,
        clock,
        clockWatch,
        contact: this.contact,
        random,
        connector: options.connector,
        events,
        drainDurationMs: options.drainDurationMs,
      },
      getDirectory: () => this.directory,
    });
    this.groups = this.registry.groups;
    this.freshnessSeeder = FreshnessSeeder.create({
      clock,
      instances: options.instances,
    });
    this.directory = BackendDirectory.create({
      clock,
      events,
      listener: {
        handleServerUpdated: entry => this.registry.updateServer(entry),
        handleServerGone: (entry, reason) =>
          this.registry.removeServer(entry, reason),
      },
    });
    this.instances = KnownInstances.create({
      clock,
      directory: this.directory,
      directoryTable: options.directoryTable,
      rosterTable: options.rosterTable,
    });
    this.replicaFreshness = ReplicaFreshness.create({
      clock,
      events,
      instances: options.instances,
      listKnown: databaseGroup => this.instances.listIfComplete(databaseGroup),
    });
    this.peerFreshness = PeerFreshness.create({
      availabilityZone: self.availabilityZone,
      clock,
      clockWatch,
      random,
      events,
      peers: options.peers,
      getOtherEntryVms: () => this.registration.getOtherEntryVms(),
    });
    this.configuration = ConfigurationHolder.create({
      key: options.configurationKey,
      events,
      listener: configuration => this.handleConfiguration(configuration),
    });
    this.zoneReading = ZoneReading.create({
      self,
      clock,
      clockWatch,
      events,
      peers: options.peers,
      getSources: () => ({
        poller: this.poller,
        contact: this.contact,
        directoryWatcher: this.directoryWatcher,
        configurationWatcher: this.configurationWatcher,
        computeDigest: () => this.answers.computeDigest(),
      }),
      getRegistration: () => this.registration,
      getControlTable: () => this.relayedTable,
      mayFollow: () => this.mayFollow(),
      isStopping: () => this.isStopping,
      isUrgent: () => this.isControlUrgent(),
      computeProvenDigest: () => this.answers.computeProvenDigest(),
    });
    const {publisher} = this.zoneReading;
    this.storeEra = StoreEraWatch.create({
      events,
      handleRestored: () => {
        this.instances.roster.forgetStored();
        this.relayedTable.noteStoreAnswered();
        void this.poller.readNow();
      },
    });
    this.directoryWatcher = TableWatcher.create({
      name: 'backend servers',
      getWaitMs: () => DIRECTORY_WAIT_MS,
      minIntervalMs: DIRECTORY_INTERVAL_MS,
      table: options.directoryTable,
      listener: this.storeEra.observe(publisher.watchDirectory(this.directory)),
      clock,
      random,
      events,
    });
    this.configurationWatcher = TableWatcher.create({
      name: 'configuration',
      getWaitMs: () =>
        options.configurationApplyMs *
        (publisher.getFollowers().size === 0
          ? CONFIGURATION_WAIT_PART
          : READER_CONFIGURATION_WAIT_PART),
      minIntervalMs: CONFIGURATION_INTERVAL_MS,
      table: options.configurationTable,
      listener: this.storeEra.observe(
        NewestConfiguration.create({
          key: options.configurationKey,
          listener: publisher.watchConfiguration(this.configuration),
          getCurrent: () => this.configuration.current,
        }),
      ),
      clock,
      random,
      events,
    });
    this.relayedTable = RelayingControlTable.create({
      direct: controlTable,
      relay: options.relay,
      clock,
      random,
      getOtherEntryVms: () => this.registration.getOtherEntryVms(),
    });
    this.registration = EntryVmRegistration.create({
      self,
      table: this.relayedTable,
      clockWatch,
      contactWindowMs: options.contactWindowMs,
      getFollowers: () => publisher.getFollowers(),
      isFollowing: () => !this.zoneReading.isReading,
    });
    this.duty = FailoverDutyLease.create({
      entryVm: self.entryVm,
      incarnation: self.incarnation,
      table: controlTable,
      clockWatch,
      random,
      events,
      mayTakeOver: () => this.zoneReading.isReading,
    });
    this.poller = ControlPoller.create({
      table: this.relayedTable,
      clock,
      clockWatch,
      events,
      handleListing: (listing, readAt) => this.handleListing(listing, readAt),
      isUrgent: () => this.isControlUrgent(),
    });
    this.coordinator = FailoverCoordinator.create({
      clock,
      events,
      availabilityZone: self.availabilityZone,
      entryVm: self.entryVm,
      table: controlTable,
      peers: options.peers,
      instances: options.instances,
      promotions: options.promotions,
      connector: options.connector,
      duty: this.duty,
      directory: this.directory,
      getGroups: () => this.registry.list(),
      getOtherEntryVms: () => this.registration.getOtherEntryVms(),
      isTableRead: () => this.poller.hasRead,
      listInstances: databaseGroup =>
        this.instances.listFromStore(databaseGroup),
      observeLeaseHolders: listing =>
        findLeaseHolders({
          listing,
          nowMs: this.clock.nowMs(),
          remembered: this.registration.getRemembered(),
        }),
      getStoreEra: () => this.storeEra.era,
      handleRecord: record => {
        if (record.record.phase === 'changing') {
          this.dutyPlacement.noteChange();
        }
        this.answers.announce(record);
      },
    });
    this.restorer = RecordRestorer.create({
      clock,
      random,
      events,
      table: this.relayedTable,
      getGroups: () => this.groups.values(),
      isFirst: () => this.duty.getFencingToken() !== null,
      readTable: () => void this.poller.readNow(),
    });
    this.dutyPlacement = DutyPlacement.create({
      clock,
      availabilityZone: self.availabilityZone,
      duty: this.duty,
      peers: options.peers,
      findPrimaryZones: () => findPrimaryZones(this.registry.list()),
      getOtherEntryVms: () => this.registration.getOtherEntryVms(),
      computeDigest: () => this.answers.computeDigest(),
    });
    this.contactKeeper = ContactKeeper.create({
      availabilityZone: self.availabilityZone,
      clockWatch,
      contact: this.contact,
      clock,
      events,
      peers: options.peers,
      random,
      getOtherEntryVms: () => this.registration.getOtherEntryVms(),
      computeDigest: () => this.answers.computeDigest(),
      isFollowing: () => !this.zoneReading.isReading,
      readStore: () => void this.poller.readNow(),
    });
    this.reporter = SuspicionReporter.create({
      clock,
      entryVm: self.entryVm,
      peers: options.peers,
      getDutyHolder: () => this.duty.holder,
      getEntryVm: entryVm => this.registration.getEntryVm(entryVm),
      takeReport: report => this.coordinator.takeReport(report),
    });
    this.shares = ConnectionShares.create({
      clock,
      registration: this.registration,
      groups: this.groups,
      getConfiguration: () => this.configuration.current,
      hasRegistrations: () => this.poller.hasRead,
    });
    this.answers = PeerAnswers.create({
      clock,
      events,
      incarnation: self.incarnation,
      groups: this.groups,
      duty: this.duty,
      directory: this.directory,
      connector: options.connector,
      isStopping: () => this.isStopping,
      takeReport: report => this.coordinator.takeReport(report),
      readControlTable: () => void this.poller.readNow(),
      maintainDuty: () => void this.maintainRecords(),
      answerFollower: question => publisher.answer(question),
    });
    this.readiness = ReadinessMonitor.create({
      clock,
      events,
      availabilityZone: self.availabilityZone,
      getGroups: () => this.registry.list(),
      hasConfiguration: () => this.configuration.current !== null,
      getPeerSilenceMs: () => this.relayedTable.getPeerSilenceMs(),
    });
  }

  static create(options: GatewayOptions): Gateway {
    return new Gateway(options);
  }

  start(): void {
    this.configurationWatcher.start();
    this.directoryWatcher.start();
    this.poller.start();
    this.coordinator.start();
    this.scheduleUpkeep();
    this.shares.start();
  }

  /** Takes no new callers from here on and gives up the duty. */
  beginStop(): void {
    this.isStopping = true;
    this.readiness.beginStop();
    this.coordinator.dispose();
    void this.duty.resign();
  }

  /** Stops at once and without a farewell, as a killed process does. */
  beginKill(): void {
    this.isStopping = true;
    this.duty.stopActing('the proxy was killed');
    this.disposeParts('the proxy was killed');
  }

  /** Ends everything; the proxy must not be used any more. */
  async dispose(): Promise<void> {
    this.disposeParts('the proxy stops');
    await this.registration.leave();
  }

  private disposeParts(reason: string): void {
    this.upkeepTimer?.cancel();
    this.zoneReading.dispose();
    this.shares.dispose();
    this.coordinator.dispose();
    this.poller.dispose();
    this.configurationWatcher.dispose();
    this.directoryWatcher.dispose();
    this.directory.dispose();
    this.registry.dispose(reason);
  }

  /** What other proxies may ask this one. */
  get peerHandler(): PeerHandler {
    return this.answers;
  }

  /** What other proxies may ask this one to carry to the store. */
  get controlRelayHandler(): ControlRelayHandler {
    return this.relayedTable;
  }

  getReadiness(): Readiness {
    return this.readiness.update();
  }

  /** Time for which the proxy has not been ready, 0 while it is. */
  getUnreadyMs(): number {
    return this.readiness.getUnreadyMs();
  }

  /** Sets the gauges that describe the present state. */
  collectGauges(metrics: MetricsRegistry): void {
    this.zoneReading.collectGauges(metrics);
    collectGatewayGauges(
      {
        configurationVersion: this.configuration.current?.version ?? 0,
        controlTableAgeMs: this.clock.nowMs() - this.poller.lastContactMs,
        isInContact: this.contact.isInContact(),
        storeEra: this.storeEra.era,
        loopDelayMs: this.loopDelayMs,
        isReady: this.readiness.isReady,
        isDutyHeld: this.duty.getFencingToken() !== null,
        groups: this.registry.list(),
      },
      metrics,
    );
  }

  getConfiguration(): ServiceConfiguration | null {
    return this.configuration.current;
  }

  learnPosition(group: GroupRuntime): Promise<void> {
    return this.peerFreshness.learn(group);
  }

  getGroup(databaseGroup: string): GroupRuntime | null {
    return this.groups.get(databaseGroup) ?? null;
  }

  private handleConfiguration(configuration: ServiceConfiguration): void {
    if (this.registry.takeConfiguration(configuration)) {
      // The last listing has the records of new groups, if there are any.
      this.poller.repeat();
    }
    this.shares.apply();
  }

  private handleListing(listing: TableListing, readAt: ClockReading): void {
    this.contact.noteContact(readAt);
    this.zoneReading.publisher.takeControl(listing, readAt);
    this.registration.observe(listing, readAt);
    const {storeTimeMs, revision} = listing;
    this.storeEra.note(revision);
    this.duty.observe(listing.entries.get(FAILOVER_DUTY_KEY) ?? null, {
      readAt,
      era: getEra(revision),
      storeTimeMs,
    });
    this.shares.apply();
    if (!this.isStopping) {
      void this.maintainRecords();
    }
    // Without the own record nobody would ask this proxy to release.
    const durationMs = this.registration.getLeaseDurationMs(listing);
    const proof = {readAt, durationMs, storeTimeMs};
    learnRecords(listing, proof, this.groups);
    for (const group of this.groups.values()) {
      void this.freshnessSeeder.seed(group);
    }
  }

  private isControlUrgent(): boolean {
    if (this.zoneReading.publisher.isUrgent) {
      return true;
    }
    for (const group of this.groups.values()) {
      const primary = group.getLeasedPrimary();
      if (primary === null || primary.isUnreachable) {
        return true;
      }
      if (primary.entry.state === 'draining') {
        return true;
      }
    }
    return false;
  }

  /** Whether this process may get its news from another one of its zone. */
  private mayFollow(): boolean {
    return (
      !this.isStopping &&
      this.directory.isListed &&
      this.configuration.current !== null &&
      // The holder of the duty acts on the newest records.
      this.duty.getFencingToken() === null
    );
  }

  private scheduleUpkeep(): void {
    const dueMs = this.clock.nowMs() + UPKEEP_INTERVAL_MS;
    this.upkeepTimer = this.clock.startTimer(UPKEEP_INTERVAL_MS, () => {
      this.loopDelayMs = this.clock.nowMs() - dueMs;
      if (this.loopDelayMs >= LOGGED_LOOP_DELAY_MS) {
        this.events.record({kind: 'loopDelayed', delayMs: this.loopDelayMs});
      }
      this.maintain();
      this.scheduleUpkeep();
    });
  }

  /** Hands the duty to proxies that still reach the store. */
  private yieldDutyWithoutStore(): void {
    const {registration} = this;
    const ageMs = this.duty.getRenewalAgeMs();
    if (ageMs === null || ageMs < YIELD_DUTY_AFTER_MS) {
      return;
    }
    const fencingToken = this.duty.stopActing('the store is out of reach');
    if (fencingToken === null) {
      return;
    }
    for (const peer of chooseDutyHeirs(registration.getOtherEntryVms())) {
      void this.options.peers.handOverDuty(peer, {fencingToken});
    }
  }

  private maintain(): void {
    this.checkClocks();
    this.yieldDutyWithoutStore();
    this.reporter.look(this.registry.list());
    this.probeUnreachable();
    for (const group of this.groups.values()) {
      void this.replicaFreshness.maintain(group);
    }
    this.readiness.update();
    this.zoneReading.maintain();
    this.poller.hasten();
    if (!this.poller.hasRead || this.isStopping) {
      return;
    }
    this.restorer.maintain();
    void this.contactKeeper.maintain();
    void this.dutyPlacement.maintain();
    void this.maintainRecords();
  }

  private async maintainRecords(): Promise<void> {
    if (await this.registration.maintain()) {
      void this.poller.readNow();
    }
    await this.duty.maintain();
    if (this.duty.getFencingToken() !== null && this.directory.isListed) {
      void this.instances.roster.maintain([...this.groups.keys()]);
    }
    const nowMs = this.clock.nowMs();
    const isDue = nowMs - this.removedGoneAtMs >= REMOVE_GONE_INTERVAL_MS;
    if (isDue && this.duty.getFencingToken() !== null) {
      this.removedGoneAtMs = nowMs;
      await this.registration.removeGone();
    }
  }

  private checkClocks(): void {
    const {epoch} = this.clockWatch.read();
    if (epoch !== this.clockEpoch) {
      this.clockEpoch = epoch;
      this.events.record({kind: 'clockDisagreement', epoch});
      void this.poller.readNow();
    }
  }

  /** Looks whether servers that could not be reached are there again. */
  private probeUnreachable(): void {
    for (const group of this.groups.values()) {
      for (const server of group.getServers()) {
        if (server.isProbeDue) {
          void server.probe();
        }
      }
    }
  }
}
