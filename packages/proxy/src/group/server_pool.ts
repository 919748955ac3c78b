import type {Clock} from '@filbertrun/base/clock.js';
import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import {BackendPool} from '@filbertrun/pool/backend_pool.js';
import type {
  ConnectError,
  PoolError,
  PoolLease,
} from '@filbertrun/pool/pool_types.js';
import type {BackendConnection} from '../backend/backend_connection.js';
import type {BackendConnector} from '../backend/backend_connector.js';
import {
  describeConnectError,
  type BackendConnectError,
} from '../backend/backend_error.js';
import type {
  ConnectionLease,
  LeaseRequest,
} from '../execution/database_group_access.js';

/** Retry hint for a caller whose pool has been closed. */
const DISPOSED_RETRY_AFTER_MS = 100;

/** Dependencies of the pool of one instance. @public */
export interface ServerPoolOptions {
  readonly server: BackendServer;
  readonly connector: BackendConnector;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly getConnectionShare: (server: BackendServer) => number;
}

/** All connections are opened with the credentials of the proxy. */
const SHARED_IDENTITY = 'proxy';

/**
 * The connection pool of this proxy for one instance. A returned connection is
 * kept only if it is known to be clean.
 *
 * @public
 */
export class ServerPool {
  private readonly pool: BackendPool<BackendConnection>;
  private readonly leased = new Set<BackendConnection>();
  private currentServer: BackendServer;

  private constructor(private readonly options: ServerPoolOptions) {
    this.currentServer = options.server;
    const {clock, random, getConnectionShare} = options;
    this.pool = BackendPool.create<BackendConnection>({
      connector: {
        connect: () => this.connect(),
        close: connection => connection.close('closed by the connection pool'),
        isUsable: connection => connection.isClean(),
      },
      clock,
      random,
      limits: {
        maxConnections: getConnectionShare(options.server),
        slots: options.server.slots,
      },
    });
    this.setServer(options.server);
  }

  static create(options: ServerPoolOptions): ServerPool {
    return new ServerPool(options);
  }

  get server(): BackendServer {
    return this.currentServer;
  }

  getFreeSlots(): number {
    return this.pool.getStatus().freeSlots;
  }

  hasAddressOf(server: BackendServer): boolean {
    return (
      this.currentServer.host === server.host &&
      this.currentServer.port === server.port
    );
  }

  /** Applies a newer state, weight or limit of the instance. */
  setServer(server: BackendServer): void {
    this.currentServer = server;
    this.updateShare();
    if (server.state === 'active') {
      this.pool.reopen();
    } else {
      void this.pool.drain();
    }
  }

  updateShare(): void {
    const {currentServer} = this;
    this.pool.setLimits({
      maxConnections: this.options.getConnectionShare(currentServer),
      slots: currentServer.slots,
    });
  }

  async acquire(
    request: LeaseRequest,
  ): Promise<Result<ConnectionLease, CallerError>> {
    const lease = await this.pool.acquire({
      ...request,
      identity: SHARED_IDENTITY,
    });
    return lease.ok
      ? success(this.createLease(lease.value))
      : failure(convertPoolError(lease.error));
  }

  /**
   * Closes the connections that are in use because the instance was replaced
   * as primary.
   */
  closeLeasedConnections(): void {
    for (const connection of [...this.leased]) {
      connection.close('the primary was replaced');
    }
  }

  /**
   * Closes the connections on which a pending response has sent no byte for
   * longer than `limitMs`.
   */
  closeUnresponsiveConnections(limitMs: number): void {
    for (const connection of [...this.leased]) {
      if (connection.getResponseWaitMs() > limitMs) {
        connection.close('the backend server is unresponsive');
      }
    }
  }

  dispose(): void {
    this.pool.dispose();
  }

  private async connect(): Promise<Result<BackendConnection, ConnectError>> {
    const connected = await this.options.connector.connect(this.currentServer);
    if (!connected.ok) {
      return failure(convertConnectError(connected.error));
    }
    const connection = connected.value;
    connection.onClosed(() => this.pool.handleConnectionClosed(connection));
    return connected;
  }

  private createLease(lease: PoolLease<BackendConnection>): ConnectionLease {
    const {connection} = lease;
    this.leased.add(connection);
    return {
      connection,
      suspend: () => lease.suspend(),
      resume: () => lease.resume(),
      release: () => {
        this.leased.delete(connection);
        lease.release(connection.isClean() ? 'clean' : 'dirty');
      },
    };
  }
}

function convertConnectError(error: BackendConnectError): ConnectError {
  return error.kind === 'tooManyConnections'
    ? {kind: 'refused'}
    : {kind: 'unreachable', reason: describeConnectError(error)};
}

function convertPoolError(error: PoolError): CallerError {
  switch (error.kind) {
    case 'overloaded':
      return error;
    case 'draining':
    case 'unreachable':
      return {kind: 'unavailable', retryAfterMs: error.retryAfterMs};
    case 'cancelled':
      return {kind: 'cancelled'};
    case 'disposed':
      return {kind: 'unavailable', retryAfterMs: DISPOSED_RETRY_AFTER_MS};
    default:
      return exhaustiveSwitchError(error);
  }
}
