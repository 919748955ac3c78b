import {failure, success, type Result} from '@filbertrun/base/result.js';
import {SeededRandom} from '@filbertrun/base/random_source.js';
import type {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {ConnectionIdentity} from '@filbertrun/pool/pool_types.js';
import type {
  BackendConnector,
  ReachabilityResult,
} from '../backend/backend_connection.js';
import type {
  DatabaseRoute,
  ServiceConfiguration,
} from '../configuration/service_configuration.js';
import type {CustomerDirectory} from '../customer/customer_directory.js';
import type {BackendServerEntry} from '../directory/backend_server_entry.js';
import type {ByteChannel} from '../forwarding/byte_channel.js';
import type {DeclineReason} from '../forwarding/forward_message.js';
import type {ForwardConnector} from '../forwarding/forward_streams.js';
import {Forwarding} from '../forwarding/forwarding.js';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {GroupRuntime} from '../group/group_runtime.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {
  UNLIMITED_OPERATIONS,
  type OperationLimiter,
} from '../quota/operation_limiter.js';
import type {GatewayContext} from '../session/gateway_context.js';
import type {OperationExecutor} from '../session/operation_executor.js';
import {createEntry} from './fake_instances.js';
import {FakeWallClock} from './fake_wall_clock.js';
import type {HistoryConnection, HistoryInstances} from './history_instances.js';

/** Idle timeout of a transaction in a history. @internal */
export const HISTORY_IDLE_TIMEOUT_MS = 400;

const LEASE_MS = 3_600_000;

/** Creates the routes of a history, by consistency. @internal */
export function createHistoryRoutes(
  statementTimeoutMs: number,
): ReadonlyMap<string, DatabaseRoute> {
  const routes = new Map<string, DatabaseRoute>();
  for (const consistency of ['strict', 'session', 'age'] as const) {
    routes.set(consistency, {
      databaseName: consistency,
      databaseGroup: 'group',
      consistency,
      maxAgeMs: consistency === 'strict' ? null : 1_500,
      statementTimeoutMs,
      targetLatencyMs: 200,
      priority: 'normal',
      isPublic: false,
    });
  }
  return routes;
}

/** A stream that a mutant serves instead of {@link Forwarding}. @internal */
export interface MutantStream {
  readonly transactionCount: number;
  close(reason: string): void;
}

/** Options of a {@link HistoryProxy}. @internal */
export interface HistoryProxyOptions {
  readonly entryVm: string;
  readonly incarnation: string;
  readonly clock: VirtualClock;
  readonly instances: HistoryInstances;
  /** Null if all connections have the shared identity of their proxy. */
  readonly customers: CustomerDirectory | null;
  readonly routes: ReadonlyMap<string, DatabaseRoute>;
  /** Null for a proxy that is no follower. */
  readonly connector: ForwardConnector | null;
  /** Connections to each instance. */
  readonly maxConnections: number;
  /** Connections that it opens above that, for mutants. */
  readonly excessConnections: number;
  readonly seed: number;
  /** Reports a rule that was broken. */
  reportViolation(description: string): void;
  /** Replaces the executor of sessions, for mutants. */
  wrapExecutor(executor: OperationExecutor): OperationExecutor;
  /** Serves a stream of a follower in another way, for mutants. */
  readonly accept:
    ((proxy: HistoryProxy, channel: ByteChannel) => MutantStream) | null;
}

/** A proxy of a history, with its own connections and its own lease. @internal */
export class HistoryProxy implements GatewayContext, BackendConnector {
  readonly clock: VirtualClock;
  readonly events = InMemoryEventRecorder.create();
  readonly availabilityZone = 'zone-a';
  readonly limiter: OperationLimiter = UNLIMITED_OPERATIONS;
  readonly group: GroupRuntime;
  readonly forwarding: Forwarding;
  readonly operations: OperationExecutor;
  isReachable = true;
  isInContact = true;
  declineReason: DeclineReason | null = null;
  /** Whether the process was killed: nothing that it does has an effect. */
  isKilled = false;
  private readonly mutantStreams: MutantStream[] = [];
  private readonly clockJumpDetector: ClockJumpDetector;

  private constructor(private readonly options: HistoryProxyOptions) {
    const {clock, entryVm, incarnation, seed} = options;
    this.clock = clock;
    this.clockJumpDetector = ClockJumpDetector.create(
      clock,
      FakeWallClock.create(clock),
    );
    this.group = GroupRuntime.create({
      databaseGroup: 'group',
      availabilityZone: this.availabilityZone,
      clock,
      clockJumpDetector: this.clockJumpDetector,
      contact: {isInContact: () => this.isInContact},
      drainDurationMs: 7_000,
      getUnwatchedMs: () => 0,
      random: SeededRandom.create(seed),
      connector: this,
      events: this.events,
    });
    this.group.setMaxConnections(
      options.maxConnections + options.excessConnections,
    );
    this.group.updateServer(createEntry('p', 'primary'));
    this.group.updateServer(createEntry('r1', 'replica'));
    this.group.updateServer(createEntry('r2', 'replica'));
    this.group.setSharedAccess(true);
    this.forwarding = Forwarding.create({
      self: {
        entryVm,
        availabilityZone: this.availabilityZone,
        peerHost: entryVm,
        peerPort: 1,
        incarnation,
      },
      clock,
      events: this.events,
      gateway: this,
      connector: options.connector,
      findDeclineReason: () => this.declineReason,
      handleHolderChanged: () => {},
    });
    this.operations = options.wrapExecutor(this.forwarding.executor);
    this.grantLease();
  }

  static create(options: HistoryProxyOptions): HistoryProxy {
    return new HistoryProxy(options);
  }

  get entryVm(): string {
    return this.options.entryVm;
  }

  get incarnation(): string {
    return this.options.incarnation;
  }

  get sharedIdentity(): ConnectionIdentity {
    return this.entryVm;
  }

  /** Open transactions of followers. */
  get transactionCount(): number {
    let count = this.forwarding.transactionCount;
    for (const stream of this.mutantStreams) {
      count += stream.transactionCount;
    }
    return count;
  }

  accept(channel: ByteChannel): void {
    const {accept} = this.options;
    if (accept === null) {
      this.forwarding.accept(channel);
    } else {
      this.mutantStreams.push(accept(this, channel));
    }
  }

  hasLease(): boolean {
    return this.group.lease.getPrimary() !== null;
  }

  getConfigurationAgeMs(): number | null {
    return null;
  }

  isConfigurationCurrent(): boolean {
    return true;
  }

  getConfiguration(): ServiceConfiguration {
    return {
      version: 1,
      routes: this.options.routes,
      databaseGroups: new Map(),
      customers: this.options.customers,
      transactionIdleTimeoutMs: HISTORY_IDLE_TIMEOUT_MS,
    };
  }

  getGroup(): GroupRuntime {
    return this.group;
  }

  requestFreshnessBound(): Promise<void> {
    return Promise.resolve();
  }

  async connect(
    backendServer: BackendServerEntry,
    identity: ConnectionIdentity,
  ): Promise<
    Result<
      HistoryConnection,
      {readonly kind: 'unreachable'; readonly reason: string}
    >
  > {
    await Promise.resolve();
    if (this.isKilled) {
      return failure({kind: 'unreachable', reason: 'killed'});
    }
    const {instances, maxConnections} = this.options;
    const connection = instances.connect(this, backendServer, identity);
    const {backendServer: name} = backendServer;
    const count = instances.countConnections(this, name);
    if (count > maxConnections) {
      this.options.reportViolation(
        `connection limit: ${this.entryVm} has ${count} connections to ${name}, more than ${maxConnections}`,
      );
    }
    return success(connection);
  }

  checkReachable(): Promise<ReachabilityResult> {
    return Promise.resolve(this.isKilled ? 'silent' : 'accepted');
  }

  /** Stops the process as planned, at the end of its grace period. */
  stop(): void {
    this.isReachable = false;
    this.dispose('stopping');
  }

  /** Kills the process: its connections close without a rollback command. */
  kill(): void {
    this.isKilled = true;
    this.isReachable = false;
    for (const connection of this.options.instances.connections) {
      if (connection.owner === this) {
        connection.close();
      }
    }
    this.dispose('killed');
  }

  private dispose(reason: string): void {
    this.forwarding.dispose(reason);
    for (const stream of this.mutantStreams) {
      stream.close(reason);
    }
    this.group.dispose(reason);
  }

  private grantLease(): void {
    this.group.applyRecord(
      {
        revision: 1,
        record: {
          phase: 'stable',
          databaseGroup: 'group',
          primary: 'p',
          term: 1,
          writesFromStoreMs: null,
        },
      },
      {
        readAt: this.clockJumpDetector.read(),
        durationMs: LEASE_MS,
        storeTimeMs: 0,
      },
      'test',
    );
  }
}
