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
import type {GroupState} from '../execution/group_state.js';
import {ManagedGroupState} from './managed_group_state.js';
import {ServerPool} from './server_pool.js';
import type {WriteGapMonitor} from './write_gap_monitor.js';

/** Retry hint for a caller when an instance cannot be used. */
const RETRY_AFTER_MS = 100;

/** Dependencies of a group runtime. @public */
export interface GroupRuntimeOptions {
  readonly group: DatabaseGroup;
  readonly manager: GroupManager;
  readonly connector: BackendConnector;
  readonly writeGaps: WriteGapMonitor;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Number of connections that this proxy may open to an instance. */
  readonly getConnectionShare: (server: BackendServer) => number;
  /**
   * Whether the proxy may send work to backend servers now. False without a
   * configuration, and after a stall of the process until its view of the
   * cluster is renewed.
   */
  readonly canDispatch: () => boolean;
}

/**
 * A database group with the connection pools of its instances.
 *
 * @public
 */
export class GroupRuntime implements DatabaseGroupAccess {
  readonly state: GroupState;
  private readonly pools = new Map<BackendServerId, ServerPool>();
  private readonly lagEstimates = new Map<
    BackendServerId,
    ReplicaLagEstimate
  >();
  private readonly stopListening: () => void;
  private currentPrimary: BackendServerId | null = null;

  private constructor(private readonly options: GroupRuntimeOptions) {
    this.state = ManagedGroupState.create(options.manager, options.writeGaps);
    this.setGroup(options.group);
    this.stopListening = this.state.onChange(() => this.handleChange());
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
    return pool === undefined || !this.options.canDispatch()
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
    this.getLagEstimate(backendServer).recordCoverage(isCovered);
  }

  cancel(connection: BackendConnection): void {
    const pool = this.pools.get(connection.backendServer);
    const {key} = connection;
    if (pool !== undefined && key !== null) {
      const packet = serialize.cancel(key.processId, key.secretKey);
      void this.options.connector.cancel(pool.server, packet);
    }
  }

  /**
   * Applies the instances of a newer configuration. A pool is replaced if the
   * address of its instance has changed.
   */
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

  /** Recomputes the connection shares after a change of membership. */
  updateShares(): void {
    for (const pool of this.pools.values()) {
      pool.updateShare();
    }
  }

  /**
   * Closes connections on which a pending response has sent no byte for longer
   * than `limitMs`.
   */
  closeUnresponsiveConnections(limitMs: number): void {
    for (const pool of this.pools.values()) {
      pool.closeUnresponsiveConnections(limitMs);
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

  private getLagEstimate(backendServer: BackendServerId): ReplicaLagEstimate {
    let estimate = this.lagEstimates.get(backendServer);
    if (estimate === undefined) {
      estimate = ReplicaLagEstimate.create();
      this.lagEstimates.set(backendServer, estimate);
    }
    return estimate;
  }

  /**
   * Closes the connections in use to a replaced primary. Writes that run there
   * can no longer be acknowledged, even if the instance still accepts
   * connections.
   */
  private handleChange(): void {
    const primary = this.state.getPrimary();
    const previous = this.currentPrimary;
    if (primary === null || primary === previous) {
      return;
    }
    this.currentPrimary = primary;
    if (previous !== null) {
      this.pools.get(previous)?.closeLeasedConnections();
    }
  }
}
