import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {SessionContext} from '../backend/pooled_connection.js';
import type {
  CallerStatement,
  StatementRequest,
} from '../statement/caller_statement.js';
import type {
  BackendAnswer,
  StatementReply,
  TransactionState,
} from '../statement/statement_answer.js';
import type {GatewayContext, StatementContext} from './gateway_context.js';
import {ReadExecutor, type AnsweredRead} from './read_executor.js';
import {createErrorReply, createLocalReply} from './refusal.js';
import {SessionState} from './session_state.js';
import {SessionTransaction} from './session_transaction.js';
import {WriteExecutor} from './write_executor.js';

/** Idle timeout of a transaction that begins without a configuration. */
const DEFAULT_IDLE_TIMEOUT_MS = 100;

/** A caller's session. It handles one statement at a time, in order. @public */
export class CallerSession {
  private readonly state = SessionState.create();
  private transaction: SessionTransaction | null = null;

  private constructor(
    private readonly gateway: GatewayContext,
    readonly databaseName: string,
  ) {}

  /** Opens a session for a database; null if no route has that name. */
  static open(
    gateway: GatewayContext,
    databaseName: string,
  ): CallerSession | null {
    const route = gateway.getConfiguration()?.routes.get(databaseName);
    return route === undefined
      ? null
      : new CallerSession(gateway, databaseName);
  }

  get transactionState(): TransactionState {
    return this.transaction?.transactionState ?? 'idle';
  }

  /** Handles the next statement. The previous one must have been answered. */
  async handle(request: StatementRequest): Promise<StatementReply> {
    const local = this.handleLocally(request.statement);
    if (local !== null) {
      return local;
    }
    const {transaction} = this;
    const context =
      transaction === null
        ? this.createContext(request)
        : transaction.createContext(request);
    if (context === null) {
      return this.refuseWithoutRoute();
    }
    const reply =
      transaction === null
        ? await this.handleOutsideTransaction(context, request.statement)
        : await this.handleInTransaction(
            transaction,
            context,
            request.statement,
          );
    this.recordAnswered(context, reply);
    return reply;
  }

  /** Closes the session and rolls back an open transaction. */
  close(): void {
    this.transaction?.abandon();
    this.transaction = null;
  }

  /** Handles statements that need no backend server; null for all others. */
  private handleLocally(statement: CallerStatement): StatementReply | null {
    const state = this.transactionState;
    switch (statement.kind) {
      case 'malformed':
        return createErrorReply(
          {kind: 'protocolViolation', reason: statement.reason},
          state,
        );
      case 'setValue':
      case 'prepare':
      case 'closePrepared':
        return state === 'failed'
          ? createErrorReply({kind: 'transactionFailed'}, state)
          : this.changeState(statement, state);
      case 'execute':
        return this.state.getPrepared(statement.name) === null
          ? createErrorReply(
              {kind: 'unknownStatement', name: statement.name},
              state,
            )
          : null;
      case 'begin':
        return this.transaction === null
          ? null
          : createErrorReply(
              {kind: 'protocolViolation', reason: 'a transaction is open'},
              state,
            );
      case 'commit':
      case 'rollback':
        return this.transaction === null ? createLocalReply('idle') : null;
      case 'read':
      case 'write':
        return null;
      default:
        return exhaustiveSwitchError(statement);
    }
  }

  private changeState(
    statement: Extract<
      CallerStatement,
      {kind: 'setValue' | 'prepare' | 'closePrepared'}
    >,
    state: TransactionState,
  ): StatementReply {
    switch (statement.kind) {
      case 'setValue':
        return this.state.setValue(statement.name, statement.value)
          ? createLocalReply(state)
          : createErrorReply(
              {kind: 'invalidParameter', reason: 'too many values'},
              state,
            );
      case 'prepare':
        return this.state.prepare(statement.name, statement.prepared)
          ? createLocalReply(state)
          : createErrorReply(
              {
                kind: 'invalidParameter',
                reason: 'too many prepared statements',
              },
              state,
            );
      case 'closePrepared':
        this.state.closePrepared(statement.name);
        return createLocalReply(state);
      default:
        return exhaustiveSwitchError(statement);
    }
  }

  /** Creates the context of a statement; null if its database has no route. */
  private createContext(request: StatementRequest): StatementContext | null {
    const configuration = this.gateway.getConfiguration();
    const route = configuration?.routes.get(this.databaseName);
    if (configuration === null || route === undefined) {
      return null;
    }
    const group = this.gateway.getGroup(route.databaseGroup);
    if (group === null) {
      return null;
    }
    return {
      gateway: this.gateway,
      route,
      group,
      configurationVersion: configuration.version,
      requestId: request.requestId,
      receivedAtMs: request.receivedAtMs,
      deadlineMs: request.receivedAtMs + route.statementTimeoutMs,
    };
  }

  /** The group is unknown, so the error holds the name of the database. */
  private refuseWithoutRoute(): StatementReply {
    const error: CallerError = {
      kind: 'unknownDatabase',
      databaseGroup: this.databaseName,
    };
    return createErrorReply(error, 'idle');
  }

  private async handleInTransaction(
    transaction: SessionTransaction,
    context: StatementContext,
    statement: CallerStatement,
  ): Promise<StatementReply> {
    const reply = await transaction.handle(
      context,
      statement,
      this.createSessionContext(statement),
      this.isWrite(statement),
    );
    if (transaction.transactionState === 'idle') {
      this.transaction = null;
    }
    if (transaction.committedPosition !== null) {
      // Later reads of the session must see this commit.
      this.state.raiseFloor(
        context.group.databaseGroup,
        transaction.committedPosition,
      );
    }
    return reply;
  }

  private handleOutsideTransaction(
    context: StatementContext,
    statement: CallerStatement,
  ): Promise<StatementReply> {
    if (statement.kind === 'begin') {
      return this.begin(context, statement);
    }
    return this.isWrite(statement)
      ? this.write(context, statement)
      : this.read(context, statement);
  }

  private async read(
    context: StatementContext,
    statement: CallerStatement,
  ): Promise<StatementReply> {
    const result = await this.executeRead(context, statement, false);
    if ('kind' in result) {
      return createErrorReply(result, 'idle');
    }
    const {answer, lease} = result;
    lease.release(answer.transactionState === 'idle' ? 'clean' : 'dirty');
    return toReply(answer);
  }

  private async write(
    context: StatementContext,
    statement: CallerStatement,
  ): Promise<StatementReply> {
    const result = await WriteExecutor.create(context, {
      statement,
      session: this.createSessionContext(statement),
    }).run();
    if ('kind' in result) {
      return createErrorReply(result, 'idle');
    }
    if (result.result.kind === 'complete' && result.position !== null) {
      this.state.raiseFloor(context.group.databaseGroup, result.position);
    }
    return toReply(result);
  }

  private async begin(
    context: StatementContext,
    statement: Extract<CallerStatement, {kind: 'begin'}>,
  ): Promise<StatementReply> {
    const result = await this.executeRead(
      context,
      statement,
      !statement.isReadOnly,
    );
    if ('kind' in result) {
      return createErrorReply(result, 'idle');
    }
    const {answer, lease} = result;
    if (answer.transactionState === 'idle') {
      lease.release('clean');
      return toReply(answer);
    }
    const idleTimeoutMs =
      this.gateway.getConfiguration()?.transactionIdleTimeoutMs ??
      DEFAULT_IDLE_TIMEOUT_MS;
    this.transaction = SessionTransaction.create(
      result,
      context,
      idleTimeoutMs,
    );
    return toReply(answer);
  }

  /** Executes a read or a `begin`, which can both be retried. */
  private executeRead(
    context: StatementContext,
    statement: CallerStatement,
    needsPrimary: boolean,
  ): Promise<AnsweredRead | CallerError> {
    return ReadExecutor.create(context, {
      statement,
      session: this.createSessionContext(statement),
      sessionFloor: this.state.getFloor(context.group.databaseGroup),
      needsPrimary,
    }).run();
  }

  private recordAnswered(
    context: StatementContext,
    reply: StatementReply,
  ): void {
    const {gateway, group, route, requestId, receivedAtMs} = context;
    const {result, position} = reply;
    if (result.kind === 'rejected') {
      gateway.events.record({
        kind: 'statementRejected',
        requestId,
        databaseGroup: group.databaseGroup,
        code: result.code,
        isInTransaction: this.transaction !== null,
      });
    }
    gateway.events.record({
      kind: 'statementAnswered',
      requestId,
      databaseGroup: group.databaseGroup,
      consistency: route.consistency,
      outcome: result.kind === 'error' ? result.error.kind : result.kind,
      durationMs: gateway.clock.nowMs() - receivedAtMs,
      position,
    });
  }

  private createSessionContext(statement: CallerStatement): SessionContext {
    const prepared =
      statement.kind === 'execute'
        ? this.state.getPrepared(statement.name)
        : null;
    return {values: this.state.values, prepared};
  }

  private isWrite(statement: CallerStatement): boolean {
    if (statement.kind === 'execute') {
      return this.state.getPrepared(statement.name)?.access === 'write';
    }
    return statement.kind === 'write';
  }
}

function toReply(answer: BackendAnswer): StatementReply {
  const {rows, result, transactionState, position} = answer;
  return {rows, result, transactionState, position};
}
