import type {Clock} from '@filbertrun/base/clock.js';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import {failure, success, type Result} from '@filbertrun/base/result.js';
import type {TermConfirmation} from '@filbertrun/group/instance_control.js';
import type {BackendServer} from '@filbertrun/model/configuration.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import {
  ORIGIN_POSITION,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {ReadCandidate} from '@filbertrun/routing/read_route.js';
import {serialize} from 'pg-protocol';
import type {BackendConnection} from '../backend/backend_connection.js';
import {BackendConnector} from '../backend/backend_connector.js';
import type {
  ConnectionLease,
  DatabaseGroupAccess,
  LeaseRequest,
} from '../execution/database_group_access.js';
import type {GroupState} from '../execution/group_state.js';
import {ServerPool} from '../group/server_pool.js';
import type {FakeBackendServer} from './fake_backend_server.js';

/** A group state that the test sets. @internal */
export class FakeGroupState implements GroupState {
  primary: BackendServerId | null = null;
  isMajorityConfirmed = true;
  isTermConfirmed = true;
  freshPosition: LogPosition | null = null;
  readonly waitedPositions: LogPosition[] = [];
  readonly positions = new Map<BackendServerId, LogPosition>();
  private readonly waiters: ((primary: BackendServerId) => void)[] = [];

  private constructor(private readonly clock: Clock) {}

  static create(clock: Clock): FakeGroupState {
    return new FakeGroupState(clock);
  }

  setPrimary(primary: BackendServerId): void {
    this.primary = primary;
    for (const waiter of this.waiters.splice(0)) {
      waiter(primary);
    }
  }

  getPrimary(): BackendServerId | null {
    return this.primary;
  }

  waitForPrimary(deadlineMs: number): Promise<BackendServerId | null> {
    return new Promise(resolve => {
      this.waiters.push(resolve);
      const delayMs = deadlineMs - this.clock.nowMs();
      this.clock.startTimer(delayMs, () => resolve(null));
    });
  }

  waitForMajority(position: LogPosition): Promise<Result<void, unknown>> {
    this.waitedPositions.push(position);
    return Promise.resolve(
      this.isMajorityConfirmed ? success(undefined) : failure('no majority'),
    );
  }

  confirmTerm(): Promise<Result<TermConfirmation, unknown>> {
    const position = ORIGIN_POSITION;
    return Promise.resolve(
      this.isTermConfirmed
        ? success({term: 1, position, majorityPosition: position})
        : failure('unconfirmed'),
    );
  }

  getKnownPosition(backendServer: BackendServerId): LogPosition {
    return this.positions.get(backendServer) ?? ORIGIN_POSITION;
  }

  recordPosition(backendServer: BackendServerId, position: LogPosition): void {
    this.positions.set(backendServer, position);
  }

  getFreshPosition(): LogPosition | null {
    return this.freshPosition;
  }

  reportConnectionLoss(): void {}

  onChange(): () => void {
    return () => {};
  }
}

/** A group of fake backend servers with real connection pools. @internal */
export class FakeGroup implements DatabaseGroupAccess {
  readonly databaseGroup = 'sched-db-1';
  private readonly pools = new Map<BackendServerId, ServerPool>();
  private readonly connector: BackendConnector;

  private constructor(
    readonly state: FakeGroupState,
    servers: ReadonlyMap<BackendServerId, FakeBackendServer>,
    clock: Clock,
  ) {
    this.connector = BackendConnector.create({
      user: 'proxy',
      password: 'secret',
      databaseGroup: this.databaseGroup,
      sourceAddress: null,
      connectTimeoutMs: 5_000,
      clock,
    });
    for (const [backendServer, server] of servers) {
      const pool = ServerPool.create({
        server: createServerRecord(backendServer, server.port),
        connector: this.connector,
        clock,
        random: SeededRandom.create(1),
        getConnectionShare: () => 8,
      });
      this.pools.set(backendServer, pool);
    }
  }

  static create(
    state: FakeGroupState,
    servers: ReadonlyMap<BackendServerId, FakeBackendServer>,
    clock: Clock,
  ): FakeGroup {
    return new FakeGroup(state, servers, clock);
  }

  acquire(
    backendServer: BackendServerId,
    request: LeaseRequest,
  ): Promise<Result<ConnectionLease, CallerError>> {
    return this.pools.get(backendServer)!.acquire(request);
  }

  getReadCandidates(): readonly ReadCandidate[] {
    const candidates: ReadCandidate[] = [];
    for (const [backendServer, pool] of this.pools) {
      candidates.push({
        backendServer,
        availabilityZone: 'mrk-a',
        isPrimary: backendServer === this.state.primary,
        isAvailable: true,
        weight: 100,
        knownPosition: this.state.getKnownPosition(backendServer),
        freeSlots: pool.getFreeSlots(),
        latencyMs: 1,
      });
    }
    return candidates;
  }

  recordCoverage(): void {}

  cancel(connection: BackendConnection): void {
    const pool = this.pools.get(connection.backendServer);
    if (pool !== undefined && connection.key !== null) {
      const {processId, secretKey} = connection.key;
      const packet = serialize.cancel(processId, secretKey);
      void this.connector.cancel(pool.server, packet);
    }
  }

  dispose(): void {
    for (const pool of this.pools.values()) {
      pool.dispose();
    }
  }
}

function createServerRecord(
  backendServer: BackendServerId,
  port: number,
): BackendServer {
  return {
    backendServer,
    availabilityZone: 'mrk-a',
    host: '127.0.0.1',
    port,
    state: 'active',
    weight: 100,
    slots: 4,
    maxConnections: 20,
  };
}
