import type {Timer} from '@filbertrun/base/clock.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {SessionContext} from '../backend/pooled_link.js';
import type {
  CallerStatement,
  StatementRequest,
} from '../statement/caller_statement.js';
import type {
  StatementReply,
  TransactionState,
} from '../statement/statement_answer.js';
import type {StatementContext} from './gateway_context.js';
import type {AnsweredRead} from './read_executor.js';
import {createErrorReply, createLocalReply} from './refusal.js';
import {runOnLink, type RunError} from './run_on_link.js';
import {recordOutcomeUnknown} from './statement_events.js';

/** Return suggested to a caller whose transaction was lost. */
const LOST_RETRY_AFTER_MS = 50;

/** Time allowed for the rollback of a transaction that its caller has left. */
const ROLLBACK_TIMEOUT_MS = 500;

/**
 * An open transaction. It keeps the connection on which it began until its end,
 * and a lost connection ends it for good.
 *
 * @public
 */
export class SessionTransaction {
  private state: TransactionState = 'open';
  private hasWritten = false;
  private isBusy = false;
  private held: AnsweredRead | null;
  private idleTimer: Timer | null = null;

  private constructor(
    private readonly begun: AnsweredRead,
    private readonly begin: StatementContext,
    private readonly idleTimeoutMs: number,
  ) {
    this.held = begun;
    this.suspend();
  }

  /** Takes over the connection on which a transaction has begun. */
  static create(
    begun: AnsweredRead,
    begin: StatementContext,
    idleTimeoutMs: number,
  ): SessionTransaction {
    return new SessionTransaction(begun, begin, idleTimeoutMs);
  }

  /** State that the caller is told; `idle` once the transaction has ended. */
  get transactionState(): TransactionState {
    return this.state;
  }

  /** Position of the commit, once it was acknowledged. */
  committedPosition: LogPosition | null = null;

  /** Context of a later statement; the route stays that of the beginning. */
  createContext(request: StatementRequest): StatementContext {
    const {begin} = this;
    return {
      ...begin,
      requestId: request.requestId,
      receivedAtMs: request.receivedAtMs,
      deadlineMs: request.receivedAtMs + begin.route.statementTimeoutMs,
    };
  }

  async handle(
    context: StatementContext,
    statement: CallerStatement,
    session: SessionContext,
    isWrite: boolean,
  ): Promise<StatementReply> {
    this.idleTimer?.cancel();
    if (this.held === null) {
      return this.handleWithoutConnection(statement);
    }
    if (this.state === 'failed' && !endsTransaction(statement)) {
      return createErrorReply({kind: 'transactionFailed'}, 'failed');
    }
    const {lease} = this.held;
    lease.resume();
    this.isBusy = true;
    const sentAtMs = context.gateway.clock.nowMs();
    this.hasWritten ||= isWrite;
    const isCommitOfWrites = statement.kind === 'commit' && this.hasWritten;
    const writeId = isCommitOfWrites ? context.group.writes.begin() : null;
    const result = await runOnLink(
      lease.connection,
      {
        requestId: context.requestId,
        statement,
        requiredPosition: null,
        session,
        deadlineMs: context.deadlineMs,
        confirmSend: () => true,
      },
      context.gateway.clock,
    );
    this.isBusy = false;
    if (writeId !== null) {
      const isComplete = result.ok && result.value.result.kind === 'complete';
      context.group.writes.end(writeId, isComplete);
    }
    if (!result.ok) {
      return this.handleRunError(context, statement, result.error);
    }
    const {rows, result: ended, transactionState, position} = result.value;
    this.held.server.recordPosition(position);
    this.state = transactionState;
    const reply: StatementReply = {
      rows,
      result: ended,
      transactionState,
      position,
    };
    if (transactionState !== 'idle') {
      this.suspend();
      return reply;
    }
    this.end('clean');
    const isCommitted =
      statement.kind === 'commit' && ended.kind === 'complete';
    return isCommitted ? this.acknowledge(context, reply, sentAtMs) : reply;
  }

  /** Ends the transaction because its caller has gone; nothing of it is kept. */
  abandon(): void {
    this.idleTimer?.cancel();
    if (this.held === null) {
      return;
    }
    if (this.isBusy) {
      this.end('doubtful');
      return;
    }
    void this.rollBack();
  }

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
      this.recordUnknown(
        context,
        'the primary was given up before it acknowledged',
      );
      return createErrorReply({kind: 'outcomeUnknown'}, 'idle');
    }
    if (reply.position !== null) {
      group.recordAcknowledged(sentAtMs, reply.position);
      this.committedPosition = reply.position;
    }
    return reply;
  }

  private handleRunError(
    context: StatementContext,
    statement: CallerStatement,
    error: RunError,
  ): StatementReply {
    const server = this.begun.server;
    this.end('doubtful');
    const wasSent =
      error.kind === 'timedOut' || error.kind === 'connectionLost';
    if (wasSent) {
      server.markSuspect();
    }
    const isUnknown = statement.kind === 'commit' && wasSent && this.hasWritten;
    const reason = error.kind;
    if (isUnknown) {
      this.state = 'idle';
      this.recordUnknown(context, reason);
      return createErrorReply({kind: 'outcomeUnknown'}, 'idle');
    }
    context.gateway.events.record({
      kind: 'transactionLost',
      requestId: context.requestId,
      backendServer: server.entry.backendServer,
      reason,
    });
    return this.reportLost(statement);
  }

  private handleWithoutConnection(statement: CallerStatement): StatementReply {
    if (statement.kind === 'rollback') {
      this.state = 'idle';
      return createLocalReply('idle');
    }
    if (statement.kind === 'commit') {
      return this.reportLost(statement);
    }
    return createErrorReply({kind: 'transactionFailed'}, 'failed');
  }

  /** Tells the caller that the transaction was rolled back. */
  private reportLost(statement: CallerStatement): StatementReply {
    const error: CallerError = {
      kind: 'transactionLost',
      retryAfterMs: LOST_RETRY_AFTER_MS,
    };
    this.state = endsTransaction(statement) ? 'idle' : 'failed';
    if (statement.kind === 'rollback') {
      return createLocalReply('idle');
    }
    return createErrorReply(error, this.state);
  }

  private recordUnknown(context: StatementContext, reason: string): void {
    const {backendServer} = this.begun.server.entry;
    recordOutcomeUnknown(context, backendServer, reason);
  }

  private suspend(): void {
    this.held?.lease.suspend();
    this.idleTimer = this.begin.gateway.clock.startTimer(
      this.idleTimeoutMs,
      () => {
        void this.rollBack();
        this.state = 'failed';
        this.begin.gateway.events.record({
          kind: 'transactionLost',
          requestId: this.begin.requestId,
          backendServer: this.begun.server.entry.backendServer,
          reason: 'the transaction was idle for too long',
        });
      },
    );
  }

  private async rollBack(): Promise<void> {
    const held = this.held;
    this.held = null;
    if (held === null) {
      return;
    }
    const result = await held.lease.connection.link.execute(
      {kind: 'rollback'},
      ROLLBACK_TIMEOUT_MS,
    );
    const isClean = result.ok && result.value.transactionState === 'idle';
    held.lease.release(isClean ? 'clean' : 'doubtful');
  }

  private end(condition: 'clean' | 'doubtful'): void {
    this.held?.lease.release(condition);
    this.held = null;
  }
}

function endsTransaction(statement: CallerStatement): boolean {
  return statement.kind === 'commit' || statement.kind === 'rollback';
}
