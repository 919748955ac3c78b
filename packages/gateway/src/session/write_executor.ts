import {sleep} from '@filbertrun/base/sleep.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {PoolLease} from '@filbertrun/pool/pool_types.js';
import type {
  PooledConnection,
  SessionContext,
} from '../backend/pooled_connection.js';
import type {BackendServerRuntime} from '../group/backend_server_runtime.js';
import type {CallerStatement} from '../statement/caller_statement.js';
import {isNotRun, type BackendAnswer} from '../statement/statement_answer.js';
import {
  getQueueDeadlineMs,
  getRemainingMs,
  getWorkKind,
  type StatementContext,
} from './gateway_context.js';
import {
  convertPoolError,
  PRIMARY_UNAVAILABLE,
  SERVER_OVERLOADED,
  SERVER_UNAVAILABLE,
  type FailedAttempt,
} from './refusal.js';
import {getResponseOutcome, getRunErrorOutcome} from './lease_outcome.js';
import {
  recordOutcomeUnknown,
  recordRefused,
  recordRouted,
  recordWriteAcknowledged,
} from './statement_events.js';
import {runOnConnection, type RunError} from './run_on_connection.js';

/** A write outside a transaction. @public */
export interface WriteStatement {
  readonly statement: CallerStatement;
  readonly session: SessionContext;
}

/** Maximum number of attempts for a write that is known not to have run. */
const MAX_ATTEMPTS = 3;

/** Delay before a write that was not run is sent again. */
const RETRY_DELAY_MS = 30;

type AttemptResult =
  | {readonly kind: 'answered'; readonly answer: BackendAnswer}
  | FailedAttempt<'notRun'>
  | FailedAttempt<'failed'>;

/**
 * Executes a write outside a transaction. It is retried only if it is known not
 * to have run.
 *
 * @public
 */
export class WriteExecutor {
  private constructor(
    private readonly context: StatementContext,
    private readonly write: WriteStatement,
  ) {}

  static create(
    context: StatementContext,
    write: WriteStatement,
  ): WriteExecutor {
    return new WriteExecutor(context, write);
  }

  async run(): Promise<BackendAnswer | CallerError> {
    let error: CallerError = PRIMARY_UNAVAILABLE;
    let reason = 'no primary';
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const server = await this.findPrimary();
      if (server === null) {
        break;
      }
      const result = await this.attempt(server, attempt);
      if (result.kind === 'answered') {
        return result.answer;
      }
      ({error, reason} = result);
      if (
        result.kind === 'failed' ||
        getRemainingMs(this.context) <= RETRY_DELAY_MS
      ) {
        break;
      }
      await sleep(this.context.gateway.clock, RETRY_DELAY_MS);
    }
    this.recordFailure(error, reason);
    return error;
  }

  private findPrimary(): Promise<BackendServerRuntime | null> {
    const {group} = this.context;
    return group.waitForPrimary(
      group.estimateWriteWaitMs(getRemainingMs(this.context)),
    );
  }

  private async attempt(
    server: BackendServerRuntime,
    attempt: number,
  ): Promise<AttemptResult> {
    const {context} = this;
    const {group, gateway} = context;
    if (server.isUnreachable) {
      return {
        kind: 'failed',
        error: PRIMARY_UNAVAILABLE,
        reason: 'the primary is out of reach',
      };
    }
    if (group.writeStallDetector.shouldRefuse()) {
      return {
        kind: 'failed',
        error: PRIMARY_UNAVAILABLE,
        reason: 'earlier writes are not acknowledged',
      };
    }
    const leased = await server.pool.acquire({
      priority: context.route.priority,
      identity: context.identity,
      deadlineMs: getQueueDeadlineMs(context),
      signal: context.signal,
      workKind: getWorkKind(context, 'write'),
      isPreferred: pooled => pooled.isPreparedFor(this.write.session),
    });
    if (!leased.ok) {
      const error = convertPoolError(leased.error);
      // An overload is not retried here but reported with a retry delay.
      const kind = leased.error.kind === 'overloaded' ? 'failed' : 'notRun';
      return {kind, error, reason: `no connection: ${leased.error.kind}`};
    }
    const lease = leased.value;
    const sentAtMs = gateway.clock.nowMs();
    recordRouted(context, {
      backendServer: server.entry.backendServer,
      role: 'primary',
      attempt,
      requiredPosition: null,
      requiredPositionAgeMs: null,
    });
    const writeId = group.writeStallDetector.begin();
    const result = await runOnConnection(
      lease.connection,
      {
        requestId: context.requestId,
        statement: this.write.statement,
        requiredPosition: null,
        session: this.write.session,
        identity: context.identity,
        permit: context.permit,
        deadlineMs: context.deadlineMs,
        confirmSend: () => group.getWritablePrimary() === server,
      },
      gateway.clock,
    );
    const isComplete = result.ok && result.value.result.kind === 'complete';
    group.writeStallDetector.end(writeId, isComplete);
    if (!result.ok) {
      return this.classifyRunError(server, lease, result.error);
    }
    const answer = result.value;
    server.recordResponse(gateway.clock.nowMs() - sentAtMs, answer.position);
    return this.classifyAnswer(server, lease, answer, sentAtMs);
  }

  private classifyAnswer(
    server: BackendServerRuntime,
    lease: PoolLease<PooledConnection>,
    answer: BackendAnswer,
    sentAtMs: number,
  ): AttemptResult {
    lease.release(
      answer.transactionState === 'idle' ? 'clean' : 'dirty',
      getResponseOutcome(answer.result),
    );
    const {group} = this.context;
    if (answer.result.kind === 'complete') {
      if (!group.mayAcknowledge(answer.position)) {
        // This proxy has released the primary, and its successor may lack the
        // write.
        return {
          kind: 'failed',
          error: {kind: 'outcomeUnknown'},
          reason: 'the primary was given up before it acknowledged',
        };
      }
      if (answer.position !== null) {
        group.recordAcknowledged(sentAtMs, answer.position);
        const {backendServer} = server.entry;
        recordWriteAcknowledged(this.context, backendServer, answer.position);
      }
      return {kind: 'answered', answer};
    }
    const {rejection, code} = answer.result;
    if (!isNotRun(rejection)) {
      return {kind: 'answered', answer};
    }
    if (rejection === 'wrongBackendServer') {
      server.markSuspect();
    }
    // An overload is not retried here but reported with a retry delay.
    const kind = rejection === 'overloaded' ? 'failed' : 'notRun';
    return {
      kind,
      error: SERVER_OVERLOADED,
      reason: `rejected: ${code}`,
    };
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
          kind: 'notRun',
          error: SERVER_UNAVAILABLE,
          reason: 'the primary was given up',
        };
      case 'preparationFailed':
        lease.release('dirty', outcome);
        return {
          kind: 'notRun',
          error: SERVER_UNAVAILABLE,
          reason: `preparation: ${error.code}`,
        };
      case 'notSent':
        lease.release('dirty', outcome);
        return {
          kind: 'notRun',
          error: SERVER_UNAVAILABLE,
          reason: error.reason,
        };
      case 'connectionLost':
      case 'timedOut':
        // The duration is not recorded as service time: the write may have waited
        // for an acknowledgement of the replicas.
        lease.release('unacknowledged', outcome);
        server.markSuspect();
        return {
          kind: 'failed',
          error: {kind: 'outcomeUnknown'},
          reason: error.kind,
        };
    }
  }

  private recordFailure(error: CallerError, reason: string): void {
    if (error.kind === 'outcomeUnknown') {
      const {lease} = this.context.group;
      const backendServer = lease.getLastKnownPrimary()?.primary ?? '';
      recordOutcomeUnknown(this.context, backendServer, reason);
      return;
    }
    recordRefused(this.context, error, reason);
  }
}
