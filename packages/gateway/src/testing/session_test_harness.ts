import {SeededRandom} from '@filbertrun/base/random_source.js';
import {VirtualClock} from '@filbertrun/base/virtual_clock.js';
import type {
  DatabaseRoute,
  ServiceConfiguration,
} from '../configuration/service_configuration.js';
import type {CustomerDirectory} from '../customer/customer_directory.js';
import {ClockJumpDetector} from '../group/clock_jump_detector.js';
import {GroupRuntime} from '../group/group_runtime.js';
import {InMemoryEventRecorder} from '../observability/gateway_event_recorder.js';
import {
  UNLIMITED_OPERATIONS,
  type OperationLimiter,
} from '../quota/operation_limiter.js';
import {CallerSession} from '../session/caller_session.js';
import type {GatewayContext} from '../session/gateway_context.js';
import {
  LocalOperationExecutor,
  type OperationExecutor,
} from '../session/operation_executor.js';
import type {CallerStatement} from '../statement/caller_statement.js';
import type {StatementReply} from '../statement/statement_answer.js';
import {FakeBackend} from './fake_backend.js';
import {createEntry} from './fake_instances.js';
import {FakeWallClock} from './fake_wall_clock.js';
import {advanceClock} from './settle.js';

/** Names of the routes of the harness. @internal */
export type HarnessRoute = 'strict' | 'session' | 'age';

/** Time limit of a statement in virtual time. */
const MAX_STATEMENT_MS = 3_000;

/** Duration of the lease that `grantLease` grants. */
const LEASE_MS = 60_000;

/** Test harness of sessions on a fake database group of three servers. @internal */
export class SessionTestHarness implements GatewayContext {
  readonly clock = VirtualClock.create();
  readonly events = InMemoryEventRecorder.create();
  readonly availabilityZone = 'zone-a';
  readonly sharedIdentity = 'proxy';
  limiter: OperationLimiter = UNLIMITED_OPERATIONS;
  operations: OperationExecutor = LocalOperationExecutor.create();
  /** Customers of the configuration in force. */
  customers: CustomerDirectory | null = null;
  /** Whether the configuration is known to be current. */
  hasCurrentConfiguration = true;
  readonly backend = FakeBackend.create(this.clock);
  readonly wallClock = FakeWallClock.create(this.clock);
  readonly group: GroupRuntime;
  readonly clockJumpDetector = ClockJumpDetector.create(
    this.clock,
    this.wallClock,
  );
  private readonly routes = new Map<string, DatabaseRoute>();
  private nextRequest = 0;

  private constructor() {
    this.group = GroupRuntime.create({
      databaseGroup: 'group',
      availabilityZone: this.availabilityZone,
      clock: this.clock,
      clockJumpDetector: this.clockJumpDetector,
      contact: {isInContact: () => true},
      drainDurationMs: 7_000,
      getUnwatchedMs: () => 0,
      random: SeededRandom.create(1),
      connector: this.backend,
      events: this.events,
    });
    this.group.setMaxConnections(4);
    for (const consistency of ['strict', 'session', 'age'] as const) {
      this.routes.set(consistency, createRoute(consistency));
    }
    this.group.updateServer(createEntry('p', 'primary'));
    this.group.updateServer(createEntry('r1', 'replica'));
    this.group.updateServer(createEntry('r2', 'replica'));
    this.clock.advance(10_000);
  }

  static create(): SessionTestHarness {
    return new SessionTestHarness();
  }

  /** Grants the proxy a lease on a primary. */
  grantLease(primary = 'p', term = 1, revision = term): void {
    this.group.applyRecord(
      {
        revision,
        record: {
          phase: 'stable',
          databaseGroup: 'group',
          primary,
          term,
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

  /** Removes a route, as a newer configuration may do. */
  removeRoute(name: HarnessRoute): void {
    this.routes.delete(name);
  }

  open(name: HarnessRoute, apiKey = ''): CallerSession {
    const opened = CallerSession.open(this, {databaseName: name, apiKey});
    if (!opened.ok) {
      throw new Error(`The session was refused: ${opened.error.kind}.`);
    }
    return opened.value;
  }

  /** Runs a statement and advances virtual time until its reply. */
  async run(
    session: CallerSession,
    statement: CallerStatement,
    requestId = `r${this.nextRequest++}`,
  ): Promise<StatementReply> {
    let reply: StatementReply | null = null;
    void session
      .handle({requestId, statement, receivedAtMs: this.clock.nowMs()})
      .then(result => {
        reply = result;
      });
    for (let elapsedMs = 0; elapsedMs < MAX_STATEMENT_MS; elapsedMs += 5) {
      await advanceClock(this.clock, 5);
      if (reply !== null) {
        return reply;
      }
    }
    throw new Error('The statement got no reply in time.');
  }

  getConfigurationAgeMs(): number | null {
    return null;
  }

  isConfigurationCurrent(): boolean {
    return this.hasCurrentConfiguration;
  }

  getConfiguration(): ServiceConfiguration {
    return {
      version: 1,
      routes: this.routes,
      databaseGroups: new Map(),
      customers: this.customers,
      transactionIdleTimeoutMs: 3_000,
    };
  }

  /** Does nothing, as if no peer responded; tests may replace it. */
  requestFreshnessBound: () => Promise<void> = () => Promise.resolve();

  getGroup(): GroupRuntime {
    return this.group;
  }
}

function createRoute(consistency: HarnessRoute): DatabaseRoute {
  return {
    databaseName: consistency,
    databaseGroup: 'group',
    consistency,
    maxAgeMs: consistency === 'strict' ? null : 1_500,
    statementTimeoutMs: 1_000,
    targetLatencyMs: 200,
    priority: 'normal',
    isPublic: false,
  };
}
