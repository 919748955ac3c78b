import type {Clock} from '@filbertrun/base/clock.js';
import type {RandomSource} from '@filbertrun/base/random_source.js';
import type {
  AvailabilityZone,
  BackendServerId,
} from '@filbertrun/model/identifiers.js';
import {
  comparePositions,
  isCovered,
  ORIGIN_POSITION,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import {
  chooseReadRoute,
  getRequiredPosition,
} from '@filbertrun/routing/choose_read_route.js';
import type {
  ReadRequirement,
  ReadRoute,
} from '@filbertrun/routing/read_route.js';
import type {ProxyMetrics} from '../proxy_metrics.js';
import type {ConnectionLease} from './database_group_access.js';
import {runExchange} from './exchange.js';
import {
  releaseAbandoned,
  type PrimaryExecutor,
  type PrimaryPurpose,
} from './primary_executor.js';
import {
  createFailure,
  type ExecutionResult,
  type StatementContext,
} from './statement_context.js';

/** Retry hint for a caller whose response was truncated. */
const TRUNCATED_RESPONSE_RETRY_AFTER_MS = 100;

/** Dependencies of the executor. @public */
export interface ReadExecutorOptions {
  readonly availabilityZone: AvailabilityZone;
  readonly random: RandomSource;
  readonly clock: Clock;
  readonly primaryExecutor: PrimaryExecutor;
  readonly metrics: ProxyMetrics;
}

/**
 * Runs reads outside a transaction: on a replica if its response covers the
 * required position, otherwise on the primary.
 *
 * @public
 */
export class ReadExecutor {
  private constructor(private readonly options: ReadExecutorOptions) {}

  static create(options: ReadExecutorOptions): ReadExecutor {
    return new ReadExecutor(options);
  }

  async execute(
    context: StatementContext,
    requirement: ReadRequirement,
  ): Promise<ExecutionResult> {
    const {metrics, primaryExecutor} = this.options;
    const {state} = context.group;
    const freshPosition =
      requirement.kind === 'age'
        ? state.getFreshPosition(requirement.maxAgeMs)
        : null;
    const route = this.chooseRoute(context, requirement, freshPosition);
    if (route.kind === 'replica') {
      const {backendServer, requiredPosition} = route;
      const result = await this.tryReplica(
        context,
        backendServer,
        requiredPosition,
      );
      if (result !== null) {
        metrics.countRead('replica');
        context.session.readTarget = 'replica';
        return result;
      }
    }
    metrics.countRead('primary');
    context.session.readTarget = 'primary';
    const purpose = getPrimaryPurpose(context, requirement, freshPosition);
    return primaryExecutor.execute(context, purpose);
  }

  /**
   * Runs a statement that needs no data, such as SHOW, on any instance with
   * capacity.
   */
  async executeOnAnyInstance(
    context: StatementContext,
  ): Promise<ExecutionResult> {
    const requirement = {kind: 'session', floor: ORIGIN_POSITION} as const;
    const route = this.chooseRoute(context, requirement, null);
    if (route.kind === 'replica') {
      const result = await this.tryReplica(context, route.backendServer, null);
      if (result !== null) {
        return result;
      }
    }
    const {primaryExecutor} = this.options;
    // Unlike a read, a write that commits nothing requires no log position.
    return primaryExecutor.execute(context, {kind: 'write', mayCommit: false});
  }

  private chooseRoute(
    context: StatementContext,
    requirement: ReadRequirement,
    freshPosition: LogPosition | null,
  ): ReadRoute {
    const {availabilityZone, random} = this.options;
    return chooseReadRoute(requirement, context.group.getReadCandidates(), {
      availabilityZone,
      freshPosition,
      requiredPositionAgeMs: getRequiredAgeMs(
        context,
        requirement,
        freshPosition,
      ),
      random,
    });
  }

  /** Runs the read on a replica. Returns null if the primary must run it. */
  private async tryReplica(
    context: StatementContext,
    backendServer: BackendServerId,
    requiredPosition: LogPosition | null,
  ): Promise<ExecutionResult | null> {
    const {clock, metrics} = this.options;
    const startMs = clock.nowMs();
    const lease = await context.running.waitUnlessCancelled(
      context.group.acquire(backendServer, context),
      releaseAbandoned,
    );
    metrics.recordQueueTime(clock.nowMs() - startMs);
    if (lease === null) {
      return createFailure({kind: 'cancelled'});
    }
    if (!lease.ok) {
      // Overload of the replicas must not be shifted to the primary.
      return lease.error.kind === 'overloaded'
        ? createFailure(lease.error)
        : null;
    }
    return this.runOnReplica(context, requiredPosition, lease.value);
  }

  private async runOnReplica(
    context: StatementContext,
    requiredPosition: LogPosition | null,
    lease: ConnectionLease,
  ): Promise<ExecutionResult | null> {
    const {backendServer} = lease.connection;
    const isCoverageExpected =
      requiredPosition !== null &&
      !isCovered(
        requiredPosition,
        context.group.state.getKnownPosition(backendServer),
      );
    const {outcome, relay} = await runExchange(context, lease, {
      requiredPosition,
      bufferMode: 'none',
      isRejection: isReplicaRejection,
      hidesErrorsBeforeCheck: requiredPosition !== null,
      confirm: () => Promise.resolve(true),
    });
    recordPosition(context, backendServer, relay?.position ?? null);
    lease.release();
    switch (outcome.kind) {
      case 'complete':
        if (isCoverageExpected) {
          context.group.recordCoverage(backendServer, true);
        }
        return {
          kind: 'answered',
          status: outcome.status,
          lease: null,
          hasError: outcome.error !== null,
        };
      case 'withdrawn':
        return createFailure({kind: 'cancelled'});
      case 'parametersRefused': {
        const reason = outcome.error.message;
        return createFailure({kind: 'invalidParameter', reason});
      }
      case 'lost':
        context.group.state.reportConnectionLoss(backendServer);
        return outcome.wasRelayed ? createTruncatedResponse() : null;
      case 'notCovered':
        context.group.recordCoverage(backendServer, false);
        this.options.metrics.countDiscardedRead();
        return null;
      case 'rejected':
        this.options.metrics.countDiscardedRead();
        return null;
      case 'notDispatched':
        return null;
    }
  }
}

/**
 * Returns what the primary must confirm for a read. If no sufficiently fresh
 * log position is known, the age of the data is bounded only by confirming that
 * the primary is current.
 */
function getPrimaryPurpose(
  context: StatementContext,
  requirement: ReadRequirement,
  freshPosition: LogPosition | null,
): PrimaryPurpose {
  if (requirement.kind === 'strict') {
    return {kind: 'strictRead', requiredPosition: context.session.getFloor()};
  }
  const requiredPosition = getRequiredPosition(requirement, {freshPosition});
  return requiredPosition === null
    ? {kind: 'strictRead', requiredPosition: requirement.floor}
    : {kind: 'read', requiredPosition};
}

/**
 * Returns how long the log position that a read requires is known to have been
 * in the log of the primary. This is known only for the floor of the session.
 * Returns null for any other position: a replica is then used only if its known
 * position, which polling updates, covers it.
 */
function getRequiredAgeMs(
  context: StatementContext,
  requirement: ReadRequirement,
  freshPosition: LogPosition | null,
): number | null {
  if (requirement.kind === 'strict') {
    return null;
  }
  const required = getRequiredPosition(requirement, {freshPosition});
  const isFloor =
    required !== null && comparePositions(required, requirement.floor) === 0;
  return isFloor ? context.session.getFloorAgeMs() : null;
}

/**
 * Whether an error means that the replica shuts down or cannot run the read.
 * The read then runs on the primary.
 */
function isReplicaRejection(error: {readonly sqlState: string}): boolean {
  return error.sqlState.startsWith('57P') || error.sqlState === '25006';
}

function recordPosition(
  context: StatementContext,
  backendServer: BackendServerId,
  position: LogPosition | null,
): void {
  if (position !== null) {
    context.group.state.recordPosition(backendServer, position);
  }
}

function createTruncatedResponse(): ExecutionResult {
  return createFailure({
    kind: 'unavailable',
    retryAfterMs: TRUNCATED_RESPONSE_RETRY_AFTER_MS,
  });
}
