import type {Clock, Timer} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {GroupManager} from '@filbertrun/group/group_manager.js';
import type {GroupPeers} from '@filbertrun/group/group_peers.js';
import {PgInstanceConnector} from '@filbertrun/group/pg_instance_control.js';
import type {
  BackendServer,
  Configuration,
  DatabaseGroup,
} from '@filbertrun/model/configuration.js';
import type {
  AvailabilityZone,
  DatabaseGroupName,
  EntryVmId,
} from '@filbertrun/model/identifiers.js';
import type {Logger} from '@filbertrun/observability/logger.js';
import type {WriteGap} from '@filbertrun/observability/service_level_snapshot.js';
import type {PlatformTable} from '@filbertrun/platform/platform_service.js';
import {BackendConnector} from '../backend/backend_connector.js';
import {GroupRuntime} from './group_runtime.js';
import {WriteGapMonitor} from './write_gap_monitor.js';

/**
 * Timeout of a call on a control connection, over which the group manager polls
 * and controls an instance.
 */
const CONTROL_CALL_TIMEOUT_MS = 1000;

/** Timeout of a term confirmation, which waits for a replica. */
const CONFIRM_TIMEOUT_MS = 1500;

/** Interval of the check for unresponsive connections. */
const RESPONSE_CHECK_INTERVAL_MS = 250;

/** Options of the group registry. @public */
export interface GroupRegistryOptions {
  readonly entryVm: EntryVmId;
  readonly availabilityZone: AvailabilityZone;
  readonly backendUser: string;
  readonly backendPassword: string;
  readonly sourceAddress: string | null;
  readonly connectTimeoutMs: number;
  /**
   * A connection is closed when a pending response has sent no byte for this
   * long.
   */
  readonly answerSilenceMs: number;
  /** Table service of the platform, which stores the claims of terms. */
  readonly platform: PlatformTable;
  readonly peers: GroupPeers;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: Logger;
  /** Receives each period in which the writes of a group had no primary. */
  readonly recordWriteGap: (gap: WriteGap) => void;
  /** Number of connections that this proxy may open to an instance. */
  readonly getConnectionShare: (
    databaseGroup: DatabaseGroupName,
    server: BackendServer,
  ) => number;
  /**
   * Whether the proxy may send work to backend servers now. False without a
   * configuration, and after a stall of the process until its view of the
   * cluster is renewed.
   */
  readonly canDispatch: () => boolean;
}

/**
 * Manages the database groups of the current configuration.
 *
 * @public
 */
export class GroupRegistry {
  private readonly groups = new Map<DatabaseGroupName, GroupRuntime>();

  private responseCheckTimer: Timer | null = null;

  private constructor(private readonly options: GroupRegistryOptions) {}

  static create(options: GroupRegistryOptions): GroupRegistry {
    const registry = new GroupRegistry(options);
    registry.scheduleResponseCheck();
    return registry;
  }

  get(databaseGroup: DatabaseGroupName): GroupRuntime | null {
    return this.groups.get(databaseGroup) ?? null;
  }

  getAll(): readonly GroupRuntime[] {
    return [...this.groups.values()];
  }

  /** Applies a configuration: adds, changes and removes groups. */
  applyConfiguration(configuration: Configuration): void {
    const kept = new Set<DatabaseGroupName>();
    for (const group of configuration.databaseGroups) {
      kept.add(group.databaseGroup);
      const known = this.groups.get(group.databaseGroup);
      if (known === undefined) {
        this.groups.set(group.databaseGroup, this.createRuntime(group));
        continue;
      }
      known.manager.setBackendServers(group.backendServers);
      known.setGroup(group);
    }
    for (const [databaseGroup, runtime] of this.groups) {
      if (!kept.has(databaseGroup)) {
        runtime.dispose();
        this.groups.delete(databaseGroup);
      }
    }
  }

  /** Recomputes the connection shares after a change of membership. */
  updateShares(): void {
    for (const runtime of this.groups.values()) {
      runtime.updateShares();
    }
  }

  dispose(): void {
    this.responseCheckTimer?.cancel();
    for (const runtime of this.groups.values()) {
      runtime.dispose();
    }
    this.groups.clear();
  }

  private scheduleResponseCheck(): void {
    const {clock, answerSilenceMs} = this.options;
    this.responseCheckTimer = clock.startTimer(
      RESPONSE_CHECK_INTERVAL_MS,
      () => {
        for (const runtime of this.groups.values()) {
          runtime.closeUnresponsiveConnections(answerSilenceMs);
        }
        this.scheduleResponseCheck();
      },
    );
  }

  private createRuntime(group: DatabaseGroup): GroupRuntime {
    const {options} = this;
    const {databaseGroup, backendServers} = group;
    const {entryVm, availabilityZone, platform, peers, logger} = options;
    const {clock, random, getConnectionShare} = options;
    const manager = GroupManager.create({
      databaseGroup,
      backendServers,
      entryVm,
      availabilityZone,
      connector: this.createControlConnector(databaseGroup),
      platform,
      peers,
      clock,
      random,
      logger,
    });
    const connector = BackendConnector.create({
      user: options.backendUser,
      password: options.backendPassword,
      databaseGroup,
      sourceAddress: options.sourceAddress,
      connectTimeoutMs: options.connectTimeoutMs,
      clock,
    });
    return GroupRuntime.create({
      group,
      manager,
      connector,
      writeGaps: WriteGapMonitor.create({
        databaseGroup,
        clock,
        getWallClockMs: Date.now,
        recordWriteGap: options.recordWriteGap,
      }),
      clock,
      random,
      getConnectionShare: server => getConnectionShare(databaseGroup, server),
      canDispatch: options.canDispatch,
    });
  }

  private createControlConnector(
    databaseGroup: DatabaseGroupName,
  ): PgInstanceConnector {
    const {options} = this;
    return PgInstanceConnector.create(
      {
        databaseGroup,
        user: options.backendUser,
        password: options.backendPassword,
        localAddress: options.sourceAddress,
        connectTimeoutMs: options.connectTimeoutMs,
        callTimeoutMs: CONTROL_CALL_TIMEOUT_MS,
        confirmTimeoutMs: CONFIRM_TIMEOUT_MS,
      },
      options.clock,
    );
  }
}
