import {sleep} from '@filbertrun/base/sleep.js';
import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {MetricsRegistry} from '@filbertrun/observability/metrics.js';
import type {
  ListableTable,
  TableListing,
} from '@filbertrun/platform/platform_service.js';
import {getEra} from '@filbertrun/platform/store_revision.js';
import type {BackendConnector} from './backend/backend_connection.js';
import type {
  InstanceControl,
  PromotionService,
} from './backend/instance_control.js';
import {ConfigurationHolder} from './configuration/configuration_holder.js';
import {NewestConfigurationFilter} from './configuration/newest_configuration_filter.js';
import type {ServiceConfiguration} from './configuration/service_configuration.js';
import {ConnectionShares} from './control/connection_shares.js';
import {ContactRenewer} from './control/contact_renewer.js';
import {ContactTracker} from './control/contact_tracker.js';
import {
  FailoverLeaderPlacement,
  findPrimaryZones,
} from './control/failover_leader_placement.js';
import {ControlPoller} from './control/control_poller.js';
import {FAILOVER_LEADER_KEY} from './control/control_record.js';
import {RelayingControlTable} from './control/relaying_control_table.js';
import {
  EntryVmRegistration,
  type EntryVmIdentity,
} from './control/entry_vm_registration.js';
import {FailoverLeaderLease} from './control/failover_leader_lease.js';
import {RecordRestorer} from './control/record_restorer.js';
import {StoreRecordMaintainer} from './control/store_record_maintainer.js';
import {ZoneRegions} from './control/zone_regions.js';
import {StoreEraTracker} from './control/store_era_tracker.js';
import {BackendDirectory} from './directory/backend_directory.js';
import type {BackendServerEntry} from './directory/backend_server_entry.js';
import {KnownInstances} from './directory/known_instances.js';
import {RemovedInstanceProber} from './directory/removed_instance_prober.js';
import {TableWatcher} from './directory/table_watcher.js';
import type {WatchableTable} from './directory/watchable_table.js';
import {chooseTakeoverCandidates} from './failover/choose_leader_successor.js';
import {findLeaseHolders} from './failover/find_lease_holders.js';
import {FailoverCoordinator} from './failover/failover_coordinator.js';
import {SuspicionReporter} from './failover/suspicion_reporter.js';
import type {ByteChannel} from './forwarding/byte_channel.js';
import type {DeclineReason} from './forwarding/forward_message.js';
import type {ForwardConnector} from './forwarding/forward_streams.js';
import {Forwarding} from './forwarding/forwarding.js';
import {runInBackground} from './observability/background_task.js';
import {collectGatewayGauges} from './observability/gateway_gauges.js';
import {
  ClockJumpDetector,
  type ClockReading,
  type WallClock,
} from './group/clock_jump_detector.js';
import {FreshnessSeeder} from './group/freshness_seeder.js';
import {GroupRegistry} from './group/group_registry.js';
import type {GroupRuntime} from './group/group_runtime.js';
import {applyRecords} from './group/apply_records.js';
import {PeerFreshnessSource} from './group/peer_freshness_source.js';
import {ReplicaFreshnessSource} from './group/replica_freshness_source.js';
import type {Readiness} from './lifecycle/readiness.js';
import {ReadinessMonitor} from './lifecycle/readiness_monitor.js';
import type {GatewayEventRecorder} from './observability/gateway_event_recorder.js';
import type {PeerClient, PeerHandler} from './peer/peer_client.js';
import {PeerRequestHandler} from './peer/peer_request_handler.js';
import type {ControlRelay, ControlRelayHandler} from './peer/control_relay.js';
import {CustomerQuotas} from './quota/customer_quotas.js';
import {
  UNLIMITED_OPERATIONS,
  type OperationLimiter,
} from './quota/operation_limiter.js';
import type {QuotaRules} from './quota/quota_rules.js';
import {ZoneReading} from './zone/zone_reading.js';
import type {GatewayContext} from './session/gateway_context.js';
import type {OperationExecutor} from './session/operation_executor.js';
import {OrdersInFlight} from './failover/orders_in_flight.js';

/** Options of a gateway. @public */
export interface GatewayOptions {
  readonly self: EntryVmIdentity;
  readonly clock: Clock;
  readonly wallClock: WallClock;
  readonly random: RandomSource;
  readonly events: GatewayEventRecorder;
  readonly connector: BackendConnector;
  readonly instances: InstanceControl;
  readonly promotions: PromotionService;
  readonly controlTable: ListableTable;
  /**
   * Table of the instance rosters: for each database group, the instances that
   * may still run.
   */
  readonly rosterTable: ListableTable;
  readonly directoryTable: WatchableTable<BackendServerEntry>;
  readonly configurationTable: WatchableTable<ServiceConfiguration>;
  /** Key of the configuration in its table. */
  readonly configurationKey: string;
  readonly peers: PeerClient;
  readonly relay: ControlRelay;
  /** Opens streams to other proxies; null if operations are not forwarded. */
  readonly forwardConnector: ForwardConnector | null;
  /** Time for which a draining backend server may be used. */
  readonly drainDurationMs: number;
  /** Time within which a newer configuration must be in force. */
  readonly configurationApplyMs: number;
  /** How customers' limits are applied; null if they are not. */
  readonly quotaRules: QuotaRules | null;
  /** All availability zones of the deployment. */
  readonly availabilityZones: readonly string[];
  /** Regions of the availability zones, as far as they are known. */
  readonly zoneRegions: ReadonlyMap<string, string>;
  /** Whether the whole deployment starts for the first time. */
  readonly isFirstStart: boolean;
  /** Time after the last contact during which a primary lease is valid. */
  readonly contactWindowMs: number;
}

/**
 * Long-poll timeout of the backend server watch, and so the delay until an
 * unresponsive watch is noticed. It may be this long because a draining server
 * remains usable for several seconds.
 */
const DIRECTORY_WAIT_MS = 5_000;

/**
 * Long-poll timeout of the configuration watch, as a fraction of the time
 * within which a configuration must be in force. The rest of that time is for
 * detecting an unresponsive watch and for a listing.
 */
const CONFIGURATION_WAIT_RATIO = 0.7;

/**
 * The same for a zone reader, the proxy that reads the store for its
 * availability zone and sends updates to the others, its followers. It is
 * smaller because followers detect an unresponsive watch only after the reader
 * does.
 */
const ZONE_READER_CONFIGURATION_WAIT_RATIO = 0.3;

/**
 * Age of the configuration above which a follower reads it itself, as a fraction
 * of the same time. It exceeds the wait of the zone reader by the time to transfer
 * a large version, and leaves as much for the follower's own read.
 */
const MAX_CONFIGURATION_AGE_RATIO = 0.65;

/** Minimum interval between two calls of the configuration watch. */
const CONFIGURATION_INTERVAL_MS = 250;

/**
 * The same for the backend server watch. It is longer because many servers
 * register at the same time.
 */
const DIRECTORY_INTERVAL_MS = 500;

/** Interval of the maintenance of leadership, registration and readiness. */
const MAINTENANCE_INTERVAL_MS = 100;

/** Minimum delay of the event loop that is logged. */
const LOGGED_LOOP_DELAY_MS = 250;

/** Time without a renewal after which failover leadership is transferred. */
const TRANSFER_LEADERSHIP_AFTER_MS = 1_400;

/**
 * Longest wait of a stop for a promotion order under way: its call, its effect
 * and the record of the result.
 */
const MAX_ORDER_WAIT_MS = 2_500;

/** Interval at which a stop renews leadership while it waits for an order. */
const RENEWAL_CHECK_MS = 100;

/** Creates the components of a proxy and connects them. @public */
export class Gateway implements GatewayContext {
  readonly clock: Clock;
  readonly events: GatewayEventRecorder;
  readonly availabilityZone: string;
  readonly sharedIdentity: string;
  readonly limiter: OperationLimiter;
  readonly operations: OperationExecutor;
  private readonly forwarding: Forwarding;
  private readonly clockJumpDetector: ClockJumpDetector;
  private readonly contact: ContactTracker;
  private readonly contactRenewer: ContactRenewer;
  private readonly registry: GroupRegistry;
  private readonly groups: ReadonlyMap<string, GroupRuntime>;
  private readonly freshnessSeeder: FreshnessSeeder;
  private readonly directory: BackendDirectory;
  private readonly configuration: ConfigurationHolder;
  /** Instances that may still run, from the directory and the rosters. */
  private readonly instances: KnownInstances;
  private readonly connectionShares: ConnectionShares;
  private readonly peerRequestHandler: PeerRequestHandler;
  private readonly replicaFreshness: ReplicaFreshnessSource;
  private readonly peerFreshness: PeerFreshnessSource;
  private readonly directoryWatcher: TableWatcher<BackendServerEntry>;
  private readonly configurationWatcher: TableWatcher<ServiceConfiguration>;
  private readonly controlPoller: ControlPoller;
  private readonly relayedTable: RelayingControlTable;
  private readonly registration: EntryVmRegistration;
  private readonly leaderLease: FailoverLeaderLease;
  private readonly orders = OrdersInFlight.create();
  private readonly coordinator: FailoverCoordinator;
  private readonly leaderPlacement: FailoverLeaderPlacement;
  private readonly readiness: ReadinessMonitor;
  private readonly suspicionReporter: SuspicionReporter;
  private readonly zoneReading: ZoneReading;
  private readonly storeEraTracker: StoreEraTracker;
  private readonly recordRestorer: RecordRestorer;
  private readonly storeRecords: StoreRecordMaintainer;
  /** Null if customers' limits are not applied. */
  private readonly quotas: CustomerQuotas | null;
  private maintenanceTimer: Timer | null = null;
  private isStopping = false;
  private clockEpoch = 0;
  private loopDelayMs = 0;

  private constructor(private readonly options: GatewayOptions) {
    const {clock, wallClock, random, events, controlTable, self} = options;
    this.clock = clock;
    this.events = events;
    this.availabilityZone = self.availabilityZone;
    this.sharedIdentity = self.entryVm;
    this.clockJumpDetector = ClockJumpDetector.create(clock, wallClock);
    const {clockJumpDetector} = this;
    this.contact = ContactTracker.create(
      clockJumpDetector,
      options.contactWindowMs,
    );
    this.registry = GroupRegistry.create({
      shared: {
        availabilityZone: self.availabilityZone,
        clock,
        clockJumpDetector,
        contact: this.contact,
        random,
        connector: options.connector,
        events,
        drainDurationMs: options.drainDurationMs,
        getUnwatchedMs: () => this.directoryWatcher.unwatchedMs,
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
        handleServerRemoved: (entry, reason) =>
          this.registry.removeServer(entry, reason),
      },
    });
    this.instances = KnownInstances.create({
      clock,
      directory: this.directory,
      directoryTable: options.directoryTable,
      rosterTable: options.rosterTable,
    });
    this.replicaFreshness = ReplicaFreshnessSource.create({
      clock,
      events,
      instances: options.instances,
      listKnown: databaseGroup => this.instances.listIfComplete(databaseGroup),
      isReplicatedBeforeAcknowledgement: databaseGroup => {
        const settings = this.configuration.current?.databaseGroups;
        return (settings?.get(databaseGroup)?.synchronousReplicaCount ?? 0) > 0;
      },
    });
    this.peerFreshness = PeerFreshnessSource.create({
      availabilityZone: self.availabilityZone,
      clock,
      clockJumpDetector,
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
      clockJumpDetector,
      events,
      peers: options.peers,
      configurationKey: options.configurationKey,
      getUpdateTargets: () => ({
        controlPoller: this.controlPoller,
        contact: this.contact,
        directoryWatcher: this.directoryWatcher,
        configurationWatcher: this.configurationWatcher,
        computeDigest: () => this.peerRequestHandler.computeDigest(),
      }),
      getRegistration: () => this.registration,
      getControlTable: () => this.relayedTable,
      mayFollow: () => this.mayFollow(),
      isStopping: () => this.isStopping,
      maxConfigurationAgeMs:
        options.configurationApplyMs * MAX_CONFIGURATION_AGE_RATIO,
      isUrgent: () => this.isControlUrgent(),
      computeLeasedDigest: () => this.peerRequestHandler.computeLeasedDigest(),
    });
    const {publisher} = this.zoneReading;
    this.storeEraTracker = StoreEraTracker.create({
      events,
      handleRestored: () => {
        this.instances.roster.clearCache();
        this.relayedTable.markStoreAvailable();
        this.readControlTable();
      },
    });
    this.directoryWatcher = TableWatcher.create({
      name: 'backend servers',
      getWaitMs: () => DIRECTORY_WAIT_MS,
      minIntervalMs: DIRECTORY_INTERVAL_MS,
      needsEachChange: true,
      table: options.directoryTable,
      listener: this.storeEraTracker.wrapListener(
        publisher.withDirectoryCache(this.directory),
      ),
      clock,
      clockJumpDetector,
      random,
      events,
    });
    this.configurationWatcher = TableWatcher.create({
      name: 'configuration',
      getWaitMs: () =>
        options.configurationApplyMs *
        (publisher.getFollowers().size === 0
          ? CONFIGURATION_WAIT_RATIO
          : ZONE_READER_CONFIGURATION_WAIT_RATIO),
      minIntervalMs: CONFIGURATION_INTERVAL_MS,
      needsEachChange: false,
      table: options.configurationTable,
      listener: this.storeEraTracker.wrapListener(
        NewestConfigurationFilter.create({
          key: options.configurationKey,
          listener: publisher.withConfigurationCache(this.configuration),
          getCurrent: () => this.configuration.current,
        }),
      ),
      clock,
      clockJumpDetector,
      random,
      events,
    });
    this.relayedTable = RelayingControlTable.create({
      direct: controlTable,
      relay: options.relay,
      clock,
      events,
      random,
      getOtherEntryVms: () => this.registration.getOtherEntryVms(),
    });
    this.registration = EntryVmRegistration.create({
      self,
      table: this.relayedTable,
      clockJumpDetector,
      isFirstStart: options.isFirstStart,
      contactWindowMs: options.contactWindowMs,
      getFollowers: () => publisher.getFollowers(),
      isFollowing: () => !this.zoneReading.isReading,
    });
    this.leaderLease = FailoverLeaderLease.create({
      entryVm: self.entryVm,
      incarnation: self.incarnation,
      table: controlTable,
      clockJumpDetector,
      random,
      events,
      mayAcquire: () => this.zoneReading.isReading,
    });
    this.controlPoller = ControlPoller.create({
      table: this.relayedTable,
      clock,
      clockJumpDetector,
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
      leaderLease: this.leaderLease,
      orders: this.orders,
      directory: this.directory,
      getGroups: () => this.registry.list(),
      getOtherEntryVms: () => this.registration.getOtherEntryVms(),
      isTableRead: () => this.controlPoller.hasRead,
      listInstances: databaseGroup =>
        this.instances.listFromStore(databaseGroup),
      describeLastListing: databaseGroup =>
        this.instances.describeLastListing(databaseGroup),
      findLeaseHolders: listing =>
        findLeaseHolders({
          listing,
          nowMs: this.clock.nowMs(),
          previouslyRegistered: this.registration.getEntryVmsBeforeRestore(),
        }),
      getStoreEra: () => this.storeEraTracker.era,
      handleRecord: record => {
        if (record.record.phase === 'changing') {
          this.leaderPlacement.recordPrimaryChange();
        }
        this.peerRequestHandler.announce(record);
      },
    });
    this.recordRestorer = RecordRestorer.create({
      clock,
      random,
      events,
      table: this.relayedTable,
      getGroups: () => this.groups.values(),
      isFailoverLeader: () => this.leaderLease.getFencingToken() !== null,
      readTable: () => this.readControlTable(),
    });
    this.storeRecords = StoreRecordMaintainer.create({
      clock,
      events,
      directory: this.directory,
      instances: this.instances,
      removedInstanceProber: RemovedInstanceProber.create({
        clock,
        instances: options.instances,
        directory: this.directory,
      }),
      getRegistration: () => this.registration,
      getLeaderLease: () => this.leaderLease,
      getGroups: () => [...this.groups.keys()],
      readControlTable: () => this.readControlTable(),
    });
    this.leaderPlacement = FailoverLeaderPlacement.create({
      clock,
      availabilityZone: self.availabilityZone,
      leaderLease: this.leaderLease,
      peers: options.peers,
      findPrimaryZones: () => findPrimaryZones(this.registry.list()),
      getOtherEntryVms: () => this.registration.getOtherEntryVms(),
      hasOrderInFlight: () => this.orders.hasCall,
      computeDigest: () => this.peerRequestHandler.computeDigest(),
    });
    this.contactRenewer = ContactRenewer.create({
      availabilityZone: self.availabilityZone,
      clockJumpDetector,
      contact: this.contact,
      clock,
      events,
      peers: options.peers,
      random,
      getOtherEntryVms: () => this.registration.getOtherEntryVms(),
      computeDigest: () => this.peerRequestHandler.computeDigest(),
      isFollowing: () => !this.zoneReading.isReading,
      readStore: () => this.readControlTable(),
    });
    this.suspicionReporter = SuspicionReporter.create({
      clock,
      entryVm: self.entryVm,
      events,
      peers: options.peers,
      getFailoverLeader: () => this.leaderLease.holder,
      getEntryVm: entryVm => this.registration.getEntryVm(entryVm),
      handleReport: report => this.coordinator.handleReport(report),
    });
    this.forwarding = Forwarding.create({
      self,
      clock,
      events,
      gateway: this,
      connector: options.forwardConnector,
      findDeclineReason: group => this.findDeclineReason(group),
      handleHolderChanged: () => this.connectionShares.apply(),
    });
    this.operations = this.forwarding.executor;
    this.connectionShares = ConnectionShares.create({
      clock,
      availabilityZone: self.availabilityZone,
      zoneRegions: ZoneRegions.create(options.zoneRegions),
      events,
      canForward: options.forwardConnector !== null,
      isHolder: databaseGroup => this.forwarding.isHolder(databaseGroup),
      registration: this.registration,
      groups: this.groups,
      getConfiguration: () => this.configuration.current,
      hasRegistrations: () => this.controlPoller.hasRead,
    });
    this.peerRequestHandler = PeerRequestHandler.create({
      clock,
      events,
      incarnation: self.incarnation,
      registry: this.registry,
      leaderLease: this.leaderLease,
      directory: this.directory,
      connector: options.connector,
      isStopping: () => this.isStopping,
      handleSuspicionReport: report => this.coordinator.handleReport(report),
      readControlTable: () => this.readControlTable(),
      maintainLeadership: () =>
        this.runInBackground('store records', this.storeRecords.maintain()),
      handleUpdateRequest: request => publisher.answer(request),
      exchangePermits: exchange =>
        this.quotas?.owner.exchange(exchange) ?? null,
    });
    this.quotas =
      options.quotaRules === null
        ? null
        : CustomerQuotas.create({
            self,
            availabilityZones: options.availabilityZones,
            clock,
            clockJumpDetector,
            events,
            peers: options.peers,
            rules: options.quotaRules,
            getView: () => this.registration.getView(),
          });
    this.limiter = this.quotas?.limiter ?? UNLIMITED_OPERATIONS;
    this.readiness = ReadinessMonitor.create({
      clock,
      events,
      availabilityZone: self.availabilityZone,
      getGroups: () => this.registry.list(),
      hasConfiguration: () => this.configuration.current !== null,
      getMsSincePeerResponse: () => this.relayedTable.getMsSincePeerResponse(),
    });
  }

  static create(options: GatewayOptions): Gateway {
    return new Gateway(options);
  }

  start(): void {
    this.configurationWatcher.start();
    this.directoryWatcher.start();
    this.controlPoller.start();
    this.coordinator.start();
    this.scheduleMaintenance();
    this.connectionShares.start();
  }

  /** Reports the proxy as not ready and releases failover leadership. */
  beginStop(): void {
    this.isStopping = true;
    this.readiness.markStopping();
    this.coordinator.dispose();
    this.runInBackground('step-down', this.releaseLeadership());
  }

  /**
   * Releases leadership once no promotion order is under way, so that this
   * proxy completes a change whose order it has given.
   */
  private async releaseLeadership(): Promise<void> {
    const untilMs = this.clock.nowMs() + MAX_ORDER_WAIT_MS;
    let areOrdersOver = false;
    const closing = this.orders.close().then(() => {
      areOrdersOver = true;
    });
    while (!areOrdersOver && this.clock.nowMs() < untilMs) {
      if (this.leaderLease.getFencingToken() !== null) {
        this.runInBackground('renewal', this.leaderLease.maintain());
      }
      await Promise.race([closing, sleep(this.clock, RENEWAL_CHECK_MS)]);
    }
    await this.leaderLease.stepDown();
  }

  /** Stops at once and without deregistration, like a killed process. */
  kill(): void {
    this.isStopping = true;
    this.leaderLease.stopActing('the proxy was killed');
    this.disposeComponents('the proxy was killed');
  }

  /** Stops all components and deregisters the proxy. */
  async dispose(): Promise<void> {
    this.disposeComponents('the proxy is shutting down');
    await this.registration.deregister();
  }

  private disposeComponents(reason: string): void {
    this.maintenanceTimer?.cancel();
    this.zoneReading.dispose();
    this.connectionShares.dispose();
    this.forwarding.dispose(reason);
    this.coordinator.dispose();
    this.controlPoller.dispose();
    this.configurationWatcher.dispose();
    this.directoryWatcher.dispose();
    this.directory.dispose();
    this.registry.dispose(reason);
  }

  /** Handles the requests of other proxies. */
  get peerHandler(): PeerHandler {
    return this.peerRequestHandler;
  }

  /** Serves the operations that another proxy forwards on a channel. */
  acceptForwardChannel(channel: ByteChannel): void {
    this.forwarding.accept(channel);
  }

  /**
   * Number of forwarded transactions under way on this proxy; a single statement
   * counts as one.
   */
  get forwardedTransactionCount(): number {
    return this.forwarding.transactionCount;
  }

  /**
   * Returns why this proxy serves no other proxy as the holder of a group. A proxy
   * that has not read the group's primary record yet could only let it wait.
   */
  private findDeclineReason({lease}: GroupRuntime): DeclineReason | null {
    if (this.isStopping) {
      return 'stopping';
    }
    return lease.record === null ? 'notServing' : null;
  }

  /** Handles calls to the store that other proxies relay through this one. */
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

  /** Sets the gauges that describe the current state. */
  collectGauges(metrics: MetricsRegistry): void {
    this.zoneReading.collectGauges(metrics);
    this.forwarding.collectGauges(metrics);
    collectGatewayGauges(
      {
        configurationVersion: this.configuration.current?.version ?? 0,
        configurationAgeMs: this.configurationWatcher.getAgeMs(),
        controlTableAgeMs:
          this.clock.nowMs() - this.controlPoller.lastResponseMs,
        isInContact: this.contact.isInContact(),
        storeEra: this.storeEraTracker.era,
        loopDelayMs: this.loopDelayMs,
        isReady: this.readiness.isReady,
        isFailoverLeader: this.leaderLease.getFencingToken() !== null,
        groups: this.registry.list(),
      },
      metrics,
    );
  }

  getConfiguration(): ServiceConfiguration | null {
    return this.configuration.current;
  }

  getConfigurationAgeMs(): number | null {
    return this.configurationWatcher.getAgeMs();
  }

  isConfigurationCurrent(): boolean {
    const ageMs = this.getConfigurationAgeMs();
    return (
      this.configuration.current !== null &&
      ageMs !== null &&
      ageMs <= this.options.configurationApplyMs
    );
  }

  requestFreshnessBound(group: GroupRuntime): Promise<void> {
    return this.peerFreshness.fetch(group);
  }

  getGroup(databaseGroup: string): GroupRuntime | null {
    return this.groups.get(databaseGroup) ?? null;
  }

  private handleConfiguration(configuration: ServiceConfiguration): void {
    if (this.registry.applyConfiguration(configuration)) {
      // The last listing may hold the records of the new groups.
      this.controlPoller.replayListing();
    }
    this.connectionShares.apply();
    this.quotas?.applyCustomers(configuration.customers?.customers ?? []);
  }

  private handleListing(listing: TableListing, readAt: ClockReading): void {
    this.contact.recordContact(readAt);
    this.zoneReading.publisher.applyControlListing(listing, readAt);
    this.registration.applyListing(listing, readAt);
    const {storeTimeMs, revision} = listing;
    this.storeEraTracker.recordRevision(revision);
    this.leaderLease.applyListedRecord(
      listing.entries.get(FAILOVER_LEADER_KEY) ?? null,
      {
        readAt,
        era: getEra(revision),
        storeTimeMs,
      },
    );
    this.forwarding.updateHolders(this.registration.getEntryVms());
    this.connectionShares.apply();
    if (!this.isStopping) {
      this.runInBackground('store records', this.storeRecords.maintain());
    }
    // The duration is 0 if the listing has no registration of this proxy: other
    // proxies would then not ask it to release a primary.
    const durationMs = this.registration.getLeaseDurationMs(listing);
    const grant = {readAt, durationMs, storeTimeMs};
    applyRecords(listing, grant, this.groups);
    for (const group of this.groups.values()) {
      this.runInBackground('freshness seed', this.freshnessSeeder.seed(group));
    }
  }

  /** Whether the control table should be read more often. */
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

  /** Whether this proxy may follow a zone reader instead of the store. */
  private mayFollow(): boolean {
    return (
      !this.isStopping &&
      this.directory.isListed &&
      // The failover leader needs the newest records, so it reads the store.
      this.leaderLease.getFencingToken() === null
    );
  }

  private scheduleMaintenance(): void {
    const dueMs = this.clock.nowMs() + MAINTENANCE_INTERVAL_MS;
    this.maintenanceTimer = this.clock.startTimer(
      MAINTENANCE_INTERVAL_MS,
      () => {
        this.loopDelayMs = this.clock.nowMs() - dueMs;
        if (this.loopDelayMs >= LOGGED_LOOP_DELAY_MS) {
          this.events.record({kind: 'loopDelayed', delayMs: this.loopDelayMs});
        }
        this.maintain();
        this.scheduleMaintenance();
      },
    );
  }

  /**
   * Offers leadership to other proxies, which may still reach the store, when
   * this one has failed to renew it.
   */
  private transferLeadershipOnStoreLoss(): void {
    const {registration} = this;
    const ageMs = this.leaderLease.getRenewalAgeMs();
    if (ageMs === null || ageMs < TRANSFER_LEADERSHIP_AFTER_MS) {
      return;
    }
    if (this.orders.hasCall) {
      return;
    }
    const fencingToken = this.leaderLease.stopActing(
      'the store is unreachable',
    );
    if (fencingToken === null) {
      return;
    }
    for (const peer of chooseTakeoverCandidates(
      registration.getOtherEntryVms(),
    )) {
      this.runInBackground(
        'transfer of leadership',
        this.options.peers.handOverDuty(peer, {fencingToken}),
      );
    }
  }

  private maintain(): void {
    this.checkClock();
    this.transferLeadershipOnStoreLoss();
    this.suspicionReporter.check(this.registry.list());
    this.probeUnreachable();
    for (const group of this.groups.values()) {
      this.runInBackground(
        'replica freshness',
        this.replicaFreshness.maintain(group),
      );
    }
    this.readiness.update();
    this.forwarding.maintain();
    this.zoneReading.maintain();
    this.quotas?.maintain();
    this.controlPoller.pollIfUrgent();
    if (!this.controlPoller.hasRead || this.isStopping) {
      return;
    }
    this.recordRestorer.maintain();
    this.storeRecords.maintainKnownInstances();
    this.runInBackground('contact', this.contactRenewer.maintain());
    this.runInBackground('placement', this.leaderPlacement.maintain());
    this.runInBackground('store records', this.storeRecords.maintain());
  }

  private readControlTable(): void {
    this.runInBackground('read of the table', this.controlPoller.readNow());
  }

  private runInBackground(task: string, promise: Promise<unknown>): void {
    runInBackground(this.events, task, promise);
  }

  private checkClock(): void {
    const {epoch} = this.clockJumpDetector.read();
    if (epoch !== this.clockEpoch) {
      this.clockEpoch = epoch;
      this.events.record({kind: 'clockDisagreement', epoch});
      this.readControlTable();
    }
  }

  /** Probes unreachable backend servers. */
  private probeUnreachable(): void {
    for (const group of this.groups.values()) {
      for (const server of group.getServers()) {
        if (server.isProbeDue) {
          this.runInBackground('probe', server.probe());
        }
      }
    }
  }
}
