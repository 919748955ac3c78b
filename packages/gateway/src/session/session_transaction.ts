import type {Timer} from '@filbertrun/base/clock.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {
  ConnectionIdentity,
  LeaseOutcome,
} from '@filbertrun/pool/pool_types.js';
import type {SessionContext} from '../backend/pooled_connection.js';
import {runInBackground} from '../observability/background_task.js';
import type {
  CallerStatement,
  StatementRequest,
} from '../statement/caller_statement.js';
import type {
  StatementReply,
  TransactionState,
} from '../statement/statement_answer.js';
import type {StatementContext} from './gateway_context.js';
import {getResponseOutcome, getRunErrorOutcome} from './lease_outcome.js';
import type {AnsweredRead} from './read_executor.js';
import {createErrorReply, createLocalReply} from './refusal.js';
import {
  createLaterContext,
  createTransactionLostReply,
  endsTransaction,
  type OpenTransaction,
} from './open_transaction.js';
import {runOnConnection, type RunError} from './run_on_connection.js';
import {
  recordOutcomeUnknown,
  recordWriteAcknowledged,
} from './statement_events.js';

/** Timeout of the rollback of an abandoned or idle transaction. */
const ROLLBACK_TIMEOUT_MS = 500;

/**
 * An open transaction. It holds the connection on which it began until it ends.
 * If the connection is lost, the transaction is lost too.
 *
 * @public
 */
export class SessionTransaction implements OpenTransaction {
  private state: TransactionState = 'open';
  private hasWritten = false;
  private isBusy = false;
  /** The worst that its responses have shown about the server's capacity. */
  private outcome: LeaseOutcome = 'served';
  private heldConnection: AnsweredRead | null;
  private idleTimer: Timer | null = null;

  private constructor(
    private readonly beginResult: AnsweredRead,
    private readonly beginContext: StatementContext,
    private readonly idleTimeoutMs: number,
  ) {
    this.heldConnection = beginResult;
    this.suspend();
  }

  /** Takes over the connection on which a transaction has begun. */
  static create(
    beginResult: AnsweredRead,
    beginContext: StatementContext,
    idleTimeoutMs: number,
  ): SessionTransaction {
    return new SessionTransaction(beginResult, beginContext, idleTimeoutMs);
  }

  /** State reported to the caller; `idle` once the transaction has ended. */
  get transactionState(): TransactionState {
    return this.state;
  }

  /** Identity of the connection on which the transaction runs. */
  get identity(): ConnectionIdentity {
    return this.beginContext.identity;
  }

  /** Log position of the commit once it has been acknowledged. */
  committedPosition: LogPosition | null = null;

  createContext(request: StatementRequest): StatementContext {
    return createLaterContext(this.beginContext, request);
  }

  async handle(
    context: StatementContext,
    statement: CallerStatement,
    session: SessionContext,
    isWrite: boolean,
  ): Promise<StatementReply> {
    this.idleTimer?.cancel();
    if (this.heldConnection === null) {
      return this.handleWithoutConnection(statement);
    }
    if (this.state === 'failed' && !endsTransaction(statement)) {
      if (context.group.hasSharedAccess) {
        // Direct access has no idle timeout here: its behavior is kept as it was.
        this.suspend();
      }
      return createErrorReply({kind: 'transactionFailed'}, 'failed');
    }
    const {lease} = this.heldConnection;
    lease.resume();
    this.isBusy = true;
    const sentAtMs = context.gateway.clock.nowMs();
    this.hasWritten ||= isWrite;
    // The primary acknowledges a commit of writes only after its replicas have.
    const isCommitOfWrites = statement.kind === 'commit' && this.hasWritten;
    const writeId = isCommitOfWrites
      ? context.group.writeStallDetector.begin()
      : null;
    const result = await runOnConnection(
      lease.connection,
      {
        requestId: context.requestId,
        statement,
        requiredPosition: null,
        session,
        identity: context.identity,
        permit: context.permit,
        deadlineMs: context.deadlineMs,
        confirmSend: () => true,
      },
      context.gateway.clock,
    );
    this.isBusy = false;
    if (writeId !== null) {
      const isComplete = result.ok && result.value.result.kind === 'complete';
      context.group.writeStallDetector.end(writeId, isComplete);
    }
    if (!result.ok) {
      return this.handleRunError(context, statement, result.error);
    }
    if (this.isAbandoned()) {
      // The transaction was abandoned as the response arrived.
      return this.handleRunError(context, statement, {
        kind: 'connectionLost',
        reason: 'abandoned',
      });
    }
    const {
      rows,
      result: statementResult,
      transactionState,
      position,
    } = result.value;
    this.beginResult.server.recordPosition(position);
    const outcome = getResponseOutcome(statementResult);
    if (outcome !== 'served' && outcome !== 'unused') {
      this.outcome = outcome;
    }
    this.state = transactionState;
    const reply: StatementReply = {
      rows,
      result: statementResult,
      transactionState,
      position,
    };
    if (transactionState !== 'idle') {
      if (this.holdsConnection()) {
        this.suspend();
      }
      return reply;
    }
    this.end('clean', this.outcome);
    const isCommitted =
      statement.kind === 'commit' && statementResult.kind === 'complete';
    return isCommitted ? this.acknowledge(context, reply, sentAtMs) : reply;
  }

  /** Rolls back because the caller may not go on with the transaction. */
  refuse(statement: CallerStatement, error: CallerError): StatementReply {
    this.idleTimer?.cancel();
    this.startRollback();
    this.state = endsTransaction(statement) ? 'idle' : 'failed';
    return createErrorReply(error, this.state);
  }

  /** Ends the transaction without a commit because its caller disconnected. */
  abandon(): void {
    this.idleTimer?.cancel();
    if (this.heldConnection === null) {
      return;
    }
    if (this.isBusy) {
      this.end('dirty', 'unused');
      return;
    }
    this.startRollback();
  }

  /** Whether the connection was given back while a statement was under way. */
  private isAbandoned(): boolean {
    return this.heldConnection === null;
  }

  /**
   * Returns the reply to a completed commit. If this proxy has released the
   * primary in the meantime, its successor may lack the writes, so their outcome
   * is reported as unknown.
   */
  private acknowledge(
    context: StatementContext,
    reply: StatementReply,
    sentAtMs: number,
  ): StatementReply {
    if (!this.hasWritten) {
      return reply;
    }
    const {group} = context;
    if (!group.mayAcknowledge(reply.position)) {
      this.recordUnknownOutcome(
        context,
        'the primary was given up before it acknowledged',
      );
      return createErrorReply({kind: 'outcomeUnknown'}, 'idle');
    }
    if (reply.position !== null) {
      group.recordAcknowledged(sentAtMs, reply.position);
      this.committedPosition = reply.position;
      const {backendServer} = this.beginResult.server.entry;
      recordWriteAcknowledged(context, backendServer, reply.position);
    }
    return reply;
  }

  private handleRunError(
    context: StatementContext,
    statement: CallerStatement,
    error: RunError,
  ): StatementReply {
    const server = this.beginResult.server;
    // An abandoned statement loses its connection whatever the server does.
    // Direct access suspects the server all the same, as it always has.
    const isServerLost =
      this.holdsConnection() || !context.group.hasSharedAccess;
    this.end('dirty', getRunErrorOutcome(error));
    const wasSent =
      error.kind === 'timedOut' || error.kind === 'connectionLost';
    if (wasSent && isServerLost) {
      server.markSuspect();
    }
    const isOutcomeUnknown =
      statement.kind === 'commit' && wasSent && this.hasWritten;
    const reason = error.kind;
    if (isOutcomeUnknown) {
      this.state = 'idle';
      this.recordUnknownOutcome(context, reason);
      return createErrorReply({kind: 'outcomeUnknown'}, 'idle');
    }
    context.gateway.events.record({
      kind: 'transactionLost',
      requestId: context.requestId,
      backendServer: server.entry.backendServer,
      reason,
    });
    return this.createLostReply(statement);
  }

  private handleWithoutConnection(statement: CallerStatement): StatementReply {
    if (statement.kind === 'rollback') {
      this.state = 'idle';
      return createLocalReply('idle');
    }
    if (statement.kind === 'commit') {
      return this.createLostReply(statement);
    }
    return createErrorReply({kind: 'transactionFailed'}, 'failed');
  }

  /** Reports to the caller that the transaction was not committed. */
  private createLostReply(statement: CallerStatement): StatementReply {
    const reply = createTransactionLostReply(statement);
    this.state = reply.transactionState;
    return reply;
  }

  private recordUnknownOutcome(
    context: StatementContext,
    reason: string,
  ): void {
    const {backendServer} = this.beginResult.server.entry;
    recordOutcomeUnknown(context, backendServer, reason);
  }

  /**
   * Starts the idle timeout. Until the next statement, the connection does not
   * count towards the concurrency limit of its pool.
   */
  private suspend(): void {
    this.heldConnection?.lease.suspend();
    this.idleTimer = this.beginContext.gateway.clock.startTimer(
      this.idleTimeoutMs,
      () => {
        this.startRollback();
        this.state = 'failed';
        this.beginContext.gateway.events.record({
          kind: 'transactionLost',
          requestId: this.beginContext.requestId,
          backendServer: this.beginResult.server.entry.backendServer,
          reason: 'the transaction was idle for too long',
        });
      },
    );
  }

  private startRollback(): void {
    const {events} = this.beginContext.gateway;
    runInBackground(events, 'rollback', this.rollBack());
  }

  private async rollBack(): Promise<void> {
    const heldConnection = this.heldConnection;
    this.heldConnection = null;
    if (heldConnection === null) {
      return;
    }
    const result = await heldConnection.lease.connection.connection.execute(
      {kind: 'rollback'},
      ROLLBACK_TIMEOUT_MS,
    );
    const isClean = result.ok && result.value.transactionState === 'idle';
    if (isClean) {
      heldConnection.lease.release('clean', this.outcome);
    } else {
      heldConnection.lease.release('dirty');
    }
  }

  /** Whether the transaction was not abandoned, also during a statement. */
  private holdsConnection(): boolean {
    return this.heldConnection !== null;
  }

  /** Returns the connection to the pool, which closes it if it is dirty. */
  private end(condition: 'clean' | 'dirty', outcome: LeaseOutcome): void {
    this.heldConnection?.lease.release(condition, outcome);
    this.heldConnection = null;
  }
}
