import {sleep} from '@filbertrun/base/sleep.js';
import type {Result} from '@filbertrun/base/result.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {PoolLease} from '@filbertrun/pool/pool_types.js';
import type {
  PooledConnection,
  SessionContext,
} from '../backend/pooled_connection.js';
import type {BackendServerRuntime} from '../group/backend_server_runtime.js';
import type {TermPrimary} from '../group/primary_lease.js';
import {isExpectedToCoverPosition} from '../routing/choose_backend_server.js';
import type {
  SelectionCandidate,
  SelectionRequirements,
} from '../routing/server_selection_policy.js';
import type {CallerStatement} from '../statement/caller_statement.js';
import type {BackendAnswer} from '../statement/statement_answer.js';
import {
  getQueueDeadlineMs,
  getRemainingMs,
  getWorkKind,
  type StatementContext,
} from './gateway_context.js';
import {getResponseOutcome, getRunErrorOutcome} from './lease_outcome.js';
import {
  resolveReadRequirement,
  type ReadRequirement,
} from './read_requirement.js';
import {
  convertPoolError,
  PRIMARY_UNAVAILABLE,
  SERVER_OVERLOADED,
  SERVER_UNAVAILABLE,
  type FailedAttempt,
} from './refusal.js';
import {recordRefused, recordRouted} from './statement_events.js';
import {runOnConnection, type RunError} from './run_on_connection.js';

/** A read, or a statement that begins a transaction. @public */
export interface ReadStatement {
  readonly statement: CallerStatement;
  readonly session: SessionContext;
  /** Minimum position at which the session sees its own commits, or null. */
  readonly sessionFloor: LogPosition | null;
  /** Whether it must run on the primary, regardless of the data it needs. */
  readonly needsPrimary: boolean;
}

/** An answered read and its connection, still leased from the pool. @public */
export interface AnsweredRead {
  readonly answer: BackendAnswer;
  readonly server: BackendServerRuntime;
  readonly lease: PoolLease<PooledConnection>;
}

/** Interval at which a waiting read checks for a recent position. */
const REQUIREMENT_POLL_INTERVAL_MS = 25;

/** Maximum number of attempts for one read. */
const MAX_ATTEMPTS = 4;

/** Outcome of one attempt. */
type AttemptResult =
  | {readonly kind: 'answered'; readonly read: AnsweredRead}
  /** The read may be retried on another server. */
  | FailedAttempt<'tryNext'>
  /**
   * Only the connection failed or the lease on the primary ended; the same server
   * may be retried.
   */
  | FailedAttempt<'tryAgain'>
  | FailedAttempt<'failed'>;

/** Target of one attempt. */
interface ReadPlan {
  readonly server: BackendServerRuntime;
  /**
   * Position that the server must have; null if it must be the primary on which
   * this proxy holds a lease.
   */
  readonly requiredPosition: LogPosition | null;
  readonly requiredPositionAgeMs: number | null;
  /**
   * Whether the server is the primary although a replica is expected to be able
   * to run the read, which then leaves room for the statements that only the
   * primary can run.
   */
  readonly isReplaceable: boolean;
}

/**
 * Executes a statement that is safe to retry. It tries servers until one
 * answers, `MAX_ATTEMPTS` is reached or the deadline passes.
 *
 * @public
 */
export class ReadExecutor {
  private readonly excluded = new Set<BackendServerId>();
  private attempts = 0;
  private lastError: CallerError = SERVER_UNAVAILABLE;

  private constructor(
    private readonly context: StatementContext,
    private readonly read: ReadStatement,
  ) {}

  static create(context: StatementContext, read: ReadStatement): ReadExecutor {
    return new ReadExecutor(context, read);
  }

  async run(): Promise<AnsweredRead | CallerError> {
    let reason = 'no server qualifies';
    while (this.attempts < MAX_ATTEMPTS && getRemainingMs(this.context) > 0) {
      const plan = await this.plan();
      if (plan === null) {
        break;
      }
      this.attempts++;
      const result = await this.attempt(plan);
      if (result.kind === 'answered') {
        return result.read;
      }
      reason = result.reason;
      this.lastError = result.error;
      if (result.kind === 'failed') {
        break;
      }
      if (result.kind === 'tryNext' || plan.server.isUnreachable) {
        this.excluded.add(plan.server.entry.backendServer);
      }
      this.context.gateway.events.record({
        kind: 'statementRetried',
        requestId: this.context.requestId,
        backendServer: plan.server.entry.backendServer,
        reason,
      });
    }
    recordRefused(this.context, this.lastError, reason);
    return this.lastError;
  }

  /** Chooses a server; waits for the primary if only that one qualifies. */
  private async plan(): Promise<ReadPlan | null> {
    const {group} = this.context;
    const requirement = await this.waitForRequirement();
    if (requirement.kind === 'primary' || this.read.needsPrimary) {
      return this.planPrimary(requirement);
    }
    const candidates = group.listCandidates(this.context.identity);
    const requirements: SelectionRequirements = {
      requiredPosition: requirement.position,
      requiredPositionAgeMs: requirement.ageMs,
      availabilityZone: this.context.gateway.availabilityZone,
      excluded: this.excluded,
      expectedWorkMs: group.getExpectedWorkMs(this.context.route.databaseName),
    };
    const candidate = group.serverSelection.choose(candidates, requirements);
    const server =
      candidate === null ? null : group.getServer(candidate.backendServer);
    return server === null
      ? null
      : {
          server,
          requiredPosition: requirement.position,
          requiredPositionAgeMs: requirement.ageMs,
          isReplaceable:
            candidate?.isPrimary === true &&
            hasSuitableReplica(candidates, requirements),
        };
  }

  private async planPrimary(
    requirement: ReadRequirement,
  ): Promise<ReadPlan | null> {
    const requiredPosition =
      requirement.kind === 'position' ? requirement.position : null;
    const server = await this.findPrimary(requiredPosition !== null);
    if (server === null) {
      this.lastError = PRIMARY_UNAVAILABLE;
      return null;
    }
    if (this.excluded.has(server.entry.backendServer)) {
      return null;
    }
    return {
      server,
      requiredPosition,
      requiredPositionAgeMs: null,
      isReplaceable: false,
    };
  }

  /**
   * Finds the primary. A transaction that isn't read-only may write, so it
   * waits until writes are allowed.
   */
  private async findPrimary(
    hasRequiredPosition: boolean,
  ): Promise<BackendServerRuntime | null> {
    const {group} = this.context;
    if (!this.read.needsPrimary) {
      return group.waitForLeasedPrimary(this.getPrimaryWaitMs());
    }
    const writablePrimary = await group.waitForPrimary(
      group.estimateWriteWaitMs(getRemainingMs(this.context)),
    );
    return writablePrimary === null || hasRequiredPosition
      ? writablePrimary
      : group.waitForLeasedPrimary(this.getPrimaryWaitMs());
  }

  /**
   * While the primary is unavailable or accepts no more connections, waits for a
   * freshness bound that allows a replica to answer.
   */
  private async waitForRequirement(): Promise<ReadRequirement> {
    const {group, gateway, route} = this.context;
    const waitUntilMs = gateway.clock.nowMs() + this.getPrimaryWaitMs();
    let requirement = this.resolveRequirement();
    if (route.consistency === 'strict' || this.read.needsPrimary) {
      return requirement;
    }
    if (requirement.kind === 'primary' && !group.isPrimaryInLocalZone()) {
      // With a bound, a replica in the local zone may be able to answer.
      await gateway.requestFreshnessBound(group);
      requirement = this.resolveRequirement();
    }
    while (
      requirement.kind === 'primary' &&
      (group.getLeasedPrimary() === null ||
        group.isPrimaryConnectionLimitReached()) &&
      gateway.clock.nowMs() < waitUntilMs
    ) {
      await gateway.requestFreshnessBound(group);
      await sleep(gateway.clock, REQUIREMENT_POLL_INTERVAL_MS);
      requirement = this.resolveRequirement();
    }
    return requirement;
  }

  private getPrimaryWaitMs(): number {
    return this.context.group.estimatePrimaryWaitMs(
      getRemainingMs(this.context),
    );
  }

  private resolveRequirement(): ReadRequirement {
    const {route, group, receivedAtMs} = this.context;
    return resolveReadRequirement({
      route,
      sessionFloor: this.read.sessionFloor,
      freshPosition:
        route.maxAgeMs === null
          ? null
          : group.getFreshPosition(receivedAtMs, route.maxAgeMs),
    });
  }

  private async attempt(plan: ReadPlan): Promise<AttemptResult> {
    const {server} = plan;
    if (server.isUnreachable) {
      return {
        kind: 'tryNext',
        error: SERVER_UNAVAILABLE,
        reason: 'the server is out of reach',
      };
    }
    const leased = await server.pool.acquire({
      priority: this.context.route.priority,
      identity: this.context.identity,
      deadlineMs: getQueueDeadlineMs(this.context),
      signal: this.context.signal,
      workKind: getWorkKind(
        this.context,
        this.read.statement.kind === 'begin' ? 'begin' : 'read',
      ),
      isReplaceable: plan.isReplaceable,
      isPreferred: pooled => pooled.isPreparedFor(this.read.session),
    });
    if (!leased.ok) {
      return {
        kind: 'tryNext',
        error: convertPoolError(leased.error),
        reason: `no connection: ${leased.error.kind}`,
      };
    }
    const lease = leased.value;
    const sentAtMs = this.context.gateway.clock.nowMs();
    let leasedPrimary: TermPrimary | null = null;
    const result = await runOnConnection(
      lease.connection,
      {
        requestId: this.context.requestId,
        statement: this.read.statement,
        requiredPosition: plan.requiredPosition,
        session: this.read.session,
        identity: this.context.identity,
        permit: this.context.permit,
        deadlineMs: this.context.deadlineMs,
        confirmSend: () => {
          leasedPrimary = this.findLeasedPrimary(server);
          return plan.requiredPosition !== null || leasedPrimary !== null;
        },
      },
      this.context.gateway.clock,
    );
    this.recordRouted(plan);
    return this.classifyResult(plan, lease, result, {sentAtMs, leasedPrimary});
  }

  /** Returns the leased primary if `server` is that primary, else null. */
  private findLeasedPrimary(server: BackendServerRuntime): TermPrimary | null {
    const leased = this.context.group.lease.getPrimary();
    const isLeasedPrimary = leased?.primary === server.entry.backendServer;
    return isLeasedPrimary ? leased : null;
  }

  private classifyResult(
    plan: ReadPlan,
    lease: PoolLease<PooledConnection>,
    result: Result<BackendAnswer, RunError>,
    sent: {
      readonly sentAtMs: number;
      readonly leasedPrimary: TermPrimary | null;
    },
  ): AttemptResult {
    const {server} = plan;
    if (!result.ok) {
      return this.classifyRunError(server, lease, result.error);
    }
    const answer = result.value;
    this.recordObservations(plan, answer, sent);
    if (answer.result.kind === 'complete') {
      return {kind: 'answered', read: {answer, server, lease}};
    }
    const {rejection, code} = answer.result;
    const isClean = answer.transactionState === 'idle';
    const outcome = getResponseOutcome(answer.result);
    switch (rejection) {
      case 'executionFailed':
        if (!this.mayRetryElsewhere(plan)) {
          return {kind: 'answered', read: {answer, server, lease}};
        }
        lease.release(isClean ? 'clean' : 'dirty', outcome);
        return {
          kind: 'tryNext',
          error: SERVER_UNAVAILABLE,
          reason: `rejected: ${code}`,
        };
      case 'overloaded':
      case 'tooManyConnections':
      case 'positionNotReached':
      case 'notPrimary':
      case 'unknownPreparedName':
        lease.release(isClean ? 'clean' : 'dirty', outcome);
        return {
          kind: 'tryNext',
          error: SERVER_OVERLOADED,
          reason: `rejected: ${code}`,
        };
      case 'wrongBackendServer':
        lease.release('dirty');
        server.markSuspect();
        return {
          kind: 'tryNext',
          error: SERVER_UNAVAILABLE,
          reason: `rejected: ${code}`,
        };
      default:
        return {kind: 'answered', read: {answer, server, lease}};
    }
  }

  /** Whether a failed read has another server and an attempt left. */
  private mayRetryElsewhere({requiredPosition, server}: ReadPlan): boolean {
    const {group} = this.context;
    const {backendServer} = server.entry;
    const hasOther = group
      .getServers()
      .some(
        other =>
          other.entry.backendServer !== backendServer &&
          other.entry.state === 'active' &&
          !other.isUnreachable &&
          !this.excluded.has(other.entry.backendServer),
      );
    return (
      requiredPosition !== null &&
      !this.read.needsPrimary &&
      hasOther &&
      this.attempts < MAX_ATTEMPTS
    );
  }

  private classifyRunError(
    server: BackendServerRuntime,
    lease: PoolLease<PooledConnection>,
    error: RunError,
  ): AttemptResult {
    const outcome = getRunErrorOutcome(error);
    switch (error.kind) {
      case 'sendDeclined':
        lease.release('clean', outcome);
        return {
          kind: 'tryAgain',
          error: SERVER_UNAVAILABLE,
          reason: 'the lease of the primary ended',
        };
      case 'preparationFailed':
        lease.release('dirty', outcome);
        return {
          kind: 'tryNext',
          error: SERVER_UNAVAILABLE,
          reason: `preparation: ${error.code}`,
        };
      case 'timedOut':
        lease.release('dirty', outcome);
        server.markSuspect();
        return {
          kind: 'failed',
          error: {kind: 'outcomeUnknown'},
          reason: 'timed out',
        };
      case 'connectionLost':
      case 'notSent':
        lease.release('dirty', outcome);
        return {
          kind: 'tryAgain',
          error: SERVER_UNAVAILABLE,
          reason: error.reason,
        };
    }
  }

  /** Records the position, latency and lag that a response shows. */
  private recordObservations(
    plan: ReadPlan,
    answer: BackendAnswer,
    sent: {
      readonly sentAtMs: number;
      readonly leasedPrimary: TermPrimary | null;
    },
  ): void {
    const {group, gateway} = this.context;
    const {server} = plan;
    const latencyMs = gateway.clock.nowMs() - sent.sentAtMs;
    server.recordResponse(latencyMs, answer.position);
    this.recordWork(server, answer, latencyMs);
    const hasFailed =
      answer.result.kind === 'rejected' &&
      answer.result.rejection === 'executionFailed';
    server.failures.record(hasFailed);
    if (sent.leasedPrimary !== null && answer.position !== null) {
      group.recordPrimaryPosition(
        sent.sentAtMs,
        sent.leasedPrimary,
        answer.position,
      );
    }
    if (plan.requiredPosition === null || sent.leasedPrimary !== null) {
      return;
    }
    const isLagging =
      answer.result.kind === 'rejected' &&
      answer.result.rejection === 'positionNotReached';
    server.recordLagOutcome(!isLagging, plan.requiredPositionAgeMs);
  }

  /** Records the service time of a read, not of the start of a transaction. */
  private recordWork(
    server: BackendServerRuntime,
    answer: BackendAnswer,
    latencyMs: number,
  ): void {
    const isWork =
      answer.result.kind === 'complete' && this.read.statement.kind !== 'begin';
    if (isWork) {
      const {group, route} = this.context;
      group.recordWork(route.databaseName, server, latencyMs);
    }
  }

  private recordRouted(plan: ReadPlan): void {
    const {backendServer} = plan.server.entry;
    const leased = this.context.group.lease.getLastKnownPrimary();
    recordRouted(this.context, {
      backendServer,
      role: leased?.primary === backendServer ? 'primary' : 'replica',
      attempt: this.attempts,
      requiredPosition: plan.requiredPosition,
      requiredPositionAgeMs: plan.requiredPositionAgeMs,
    });
  }
}

/** Whether a replica is expected to be able to run a read now. */
function hasSuitableReplica(
  candidates: readonly SelectionCandidate[],
  requirements: SelectionRequirements,
): boolean {
  return candidates.some(
    candidate =>
      !candidate.isPrimary &&
      !candidate.isSuspect &&
      !requirements.excluded.has(candidate.backendServer) &&
      isExpectedToCoverPosition(candidate, requirements),
  );
}
