import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {failure, type Result} from '@filbertrun/base/result.js';
import type {GroupManager} from '@filbertrun/group/group_manager.js';
import type {
  BackendServer,
  DatabaseGroup,
} from '@filbertrun/model/configuration.js';
import type {
  BackendServerId,
  DatabaseGroupName,
} from '@filbertrun/model/identifiers.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {ReadCandidate} from '@filbertrun/routing/read_route.js';
import {ReplicaLagEstimate} from '@filbertrun/routing/replica_lag_estimate.js';
import {serialize} from 'pg-protocol';
import type {BackendConnection} from '../backend/backend_connection.js';
import type {BackendConnector} from '../backend/backend_connector.js';
import type {
  ConnectionLease,
  DatabaseGroupAccess,
  LeaseRequest,
} from '../execution/database_group_access.js';
import type {GroupView} from '../execution/group_view.js';
import {ManagedGroupView} from './managed_group_view.js';
import {ServerPool} from './server_pool.js';
import type {WriteGapMonitor} from './write_gap_monitor.js';

/** Hint for a caller when an instance cannot be used. */
const RETRY_AFTER_MS = 100;

/** What a database group of this proxy is made of. @public */
export interface GroupRuntimeOptions {
  readonly group: DatabaseGroup;
  readonly manager: GroupManager;
  readonly connector: BackendConnector;
  readonly writeGaps: WriteGapMonitor;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Connections that this proxy may hold to an instance. */
  readonly getConnectionShare: (server: BackendServer) => number;
  /** Whether the proxy may send work now; not right after a pause. */
  readonly mayTakeWork: () => boolean;
}

/**
 * A database group with the pools of its instances.
 *
 * @public
 */
export class GroupRuntime implements DatabaseGroupAccess {
  readonly view: GroupView;
  private readonly pools = new Map<BackendServerId, ServerPool>();
  private readonly lagEstimates = new Map<
    BackendServerId,
    ReplicaLagEstimate
  >();
  private readonly stopListening: () => void;
  private currentPrimary: BackendServerId | null = null;

  private constructor(private readonly options: GroupRuntimeOptions) {
    this.view = ManagedGroupView.create(options.manager, options.writeGaps);
    this.setGroup(options.group);
    this.stopListening = this.view.onChange(() => this.handleChange());
  }

  static create(options: GroupRuntimeOptions): GroupRuntime {
    return new GroupRuntime(options);
  }

  get databaseGroup(): DatabaseGroupName {
    return this.options.group.databaseGroup;
  }

  get manager(): GroupManager {
    return this.options.manager;
  }

  async acquire(
    backendServer: BackendServerId,
    request: LeaseRequest,
  ): Promise<Result<ConnectionLease, CallerError>> {
    const pool = this.pools.get(backendServer);
    return pool === undefined || !this.options.mayTakeWork()
      ? failure({kind: 'unavailable', retryAfterMs: RETRY_AFTER_MS})
      : pool.acquire(request);
  }

  getReadCandidates(): readonly ReadCandidate[] {
    const candidates: ReadCandidate[] = [];
    for (const candidate of this.options.manager.getCandidates()) {
      const {server, isPrimary, isAvailable, knownPosition, latencyMs} =
        candidate;
      const {backendServer, availabilityZone, weight} = server;
      candidates.push({
        backendServer,
        availabilityZone,
        isPrimary,
        isAvailable,
        weight,
        knownPosition,
        freeSlots: this.pools.get(backendServer)?.getFreeSlots() ?? 0,
        latencyMs,
        expectedLagMs: this.getLagEstimate(backendServer).getLagMs(),
      });
    }
    return candidates;
  }

  recordCoverage(backendServer: BackendServerId, isCovered: boolean): void {
    this.getLagEstimate(backendServer).recordAnswer(isCovered);
  }

  cancel(connection: BackendConnection): void {
    const pool = this.pools.get(connection.backendServer);
    const {key} = connection;
    if (pool !== undefined && key !== null) {
      const packet = serialize.cancel(key.processId, key.secretKey);
      void this.options.connector.cancel(pool.server, packet);
    }
  }

  /** Takes the instances of a newer configuration. */
  setGroup(group: DatabaseGroup): void {
    const kept = new Set<BackendServerId>();
    for (const server of group.backendServers) {
      if (server.state === 'removed') {
        continue;
      }
      kept.add(server.backendServer);
      const pool = this.pools.get(server.backendServer);
      if (pool?.hasAddressOf(server) === true) {
        pool.setServer(server);
      } else {
        pool?.dispose();
        this.pools.set(server.backendServer, this.createPool(server));
      }
    }
    for (const [backendServer, pool] of this.pools) {
      if (!kept.has(backendServer)) {
        pool.dispose();
        this.pools.delete(backendServer);
      }
    }
  }

  /** Takes new connection shares after a change of membership. */
  updateShares(): void {
    for (const pool of this.pools.values()) {
      pool.updateShare();
    }
  }

  /** Closes connections whose backend server has fallen silent. */
  closeSilentLeases(limitMs: number): void {
    for (const pool of this.pools.values()) {
      pool.closeSilentLeases(limitMs);
    }
  }

  dispose(): void {
    this.stopListening();
    for (const pool of this.pools.values()) {
      pool.dispose();
    }
    this.pools.clear();
    this.options.manager.dispose();
  }

  private createPool(server: BackendServer): ServerPool {
    const {connector, clock, random, getConnectionShare} = this.options;
    return ServerPool.create({
      server,
      connector,
      clock,
      random,
      getConnectionShare,
    });
  }

  /**
   * Ends what runs as a write on a replaced primary: it can never be
   * acknowledged, however long the instance goes on accepting connections.
   */
  private getLagEstimate(backendServer: BackendServerId): ReplicaLagEstimate {
    let estimate = this.lagEstimates.get(backendServer);
    if (estimate === undefined) {
      estimate = ReplicaLagEstimate.create();
      this.lagEstimates.set(backendServer, estimate);
    }
    return estimate;
  }

  private handleChange(): void {
    const primary = this.view.getPrimary();
    const previous = this.currentPrimary;
    if (primary === null || primary === previous) {
      return;
    }
    this.currentPrimary = primary;
    if (previous !== null) {
      this.pools.get(previous)?.closePrimaryLeases();
    }
  }
}
