import {success, failure, type Result} from '@filbertrun/base/result.js';
import type {RequestPriority} from '@filbertrun/model/configuration.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import {
  resolveReadRequirement,
  type ResolvedRead,
} from '@filbertrun/routing/read_requirement.js';
import type {StatementClass} from '@filbertrun/sql/statement_class.js';
import type {TransactionStatus} from '@filbertrun/wire/protocol_constants.js';
import type {BackendConnection} from '../backend/backend_connection.js';
import type {CallerOutput} from '../caller/caller_output.js';
import {runInternalQuery} from '../execution/connection_preparation.js';
import type {
  ConnectionLease,
  DatabaseGroupAccess,
} from '../execution/database_group_access.js';
import {RunningStatement} from '../execution/running_statement.js';
import {
  createFailure,
  type ExecutionResult,
  type StatementCompletion,
  type StatementContext,
} from '../execution/statement_context.js';
import type {StatementRequest} from '../execution/statement_request.js';
import type {Batch} from './batch_reader.js';
import type {LocalResponse} from './local_response.js';
import {setParameter} from './session_parameters.js';
import type {SessionServices} from './session_services.js';
import type {SessionState} from './session_state.js';
import {
  analyzeEffects,
  type ParameterChange,
  type StatementEffects,
} from './statement_effects.js';

/** Priority of writes: the highest one, as most of them are bookings. */
const WRITE_PRIORITY: RequestPriority = 'booking';

/** A request to run. @public */
export interface TransactionRequest {
  readonly statements: readonly StatementClass[];
  readonly requestKey: string | null;
  readonly request: StatementRequest;
  readonly batch: Batch | null;
}

/**
 * Runs the requests of one session and holds the connection of its open
 * transaction. Tracks the transaction status that ReadyForQuery reports to the
 * caller.
 *
 * @public
 */
export class SessionTransaction {
  private currentStatus: TransactionStatus = 'idle';
  private lease: ConnectionLease | null = null;
  private running: RunningStatement | null = null;
  private pendingChanges: ParameterChange[] = [];
  private isDisposed = false;

  private constructor(
    private readonly services: SessionServices,
    private readonly state: SessionState,
    private readonly output: CallerOutput,
  ) {}

  static create(
    services: SessionServices,
    state: SessionState,
    output: CallerOutput,
  ): SessionTransaction {
    return new SessionTransaction(services, state, output);
  }

  get status(): TransactionStatus {
    return this.currentStatus;
  }

  isOpen(): boolean {
    return this.currentStatus !== 'idle';
  }

  /** Sets a run-time parameter that is applied to each connection. */
  setParameter(name: string, value: string | null): void {
    this.state.parameters = setParameter(this.state.parameters, name, value);
  }

  /** Marks an open transaction as failed after an error of the proxy. */
  handleLocalError(): void {
    if (this.isOpen()) {
      this.currentStatus = 'failed';
    }
  }

  /**
   * Answers a statement in a failed transaction: COMMIT and ROLLBACK end it,
   * other statements are refused. Returns null when the transaction has not
   * failed, or when a savepoint statement can be sent on its connection.
   */
  respondInFailedTransaction(
    statement: StatementClass,
  ): Result<LocalResponse, CallerError> | null {
    if (this.currentStatus !== 'failed') {
      return null;
    }
    const isEnd =
      statement.kind === 'transaction' &&
      (statement.action === 'commit' || statement.action === 'rollback');
    if (!isEnd) {
      const isSavepoint =
        statement.kind === 'transaction' && statement.action === 'savepoint';
      return isSavepoint && this.lease !== null
        ? null
        : failure({kind: 'transactionFailed'});
    }
    if (this.lease !== null) {
      this.rollBack(this.lease);
    }
    this.endTransaction();
    return success({row: null, tag: 'ROLLBACK'});
  }

  /** Runs a request and sends its response, except ReadyForQuery. */
  async run(request: TransactionRequest): Promise<CallerError | null> {
    const group = this.services.getGroup(this.state.databaseGroup);
    if (group === null) {
      const {databaseGroup} = this.state;
      return {kind: 'unknownDatabase', databaseGroup};
    }
    if (this.currentStatus === 'failed') {
      return {kind: 'transactionFailed'};
    }
    const effects = analyzeEffects(request.statements, this.isOpen());
    if (effects.refusedFeature !== null) {
      this.handleLocalError();
      return {kind: 'notSupported', feature: effects.refusedFeature};
    }
    if (this.hasRequestKeyInTransaction(request, effects)) {
      this.handleLocalError();
      const feature = 'a request key in an explicit transaction';
      return {kind: 'notSupported', feature};
    }
    this.running = RunningStatement.create();
    const result = await this.dispatch(request, effects, group);
    this.running = null;
    return this.handleResult(result);
  }

  /** Cancels the statement that is running or waiting. */
  cancel(): void {
    const {running} = this;
    const group = this.services.getGroup(this.state.databaseGroup);
    if (running?.cancel() !== 'running' || group === null) {
      return;
    }
    const connection = running.backendConnection;
    if (connection !== null) {
      // A late cancel request could hit the next statement on the connection,
      // so the connection must not be reused.
      connection.markDirty();
      group.cancel(connection);
    }
  }

  /**
   * Closes the connection of a running statement, or rolls back the open
   * transaction, after the caller has disconnected.
   */
  dispose(): void {
    this.isDisposed = true;
    const {running, lease} = this;
    const connection = running?.backendConnection ?? null;
    if (connection !== null) {
      connection.close('the caller disconnected');
      return;
    }
    if (running !== null) {
      running.cancel();
      return;
    }
    if (lease !== null) {
      this.rollBack(lease);
      this.endTransaction();
    }
  }

  private dispatch(
    request: TransactionRequest,
    effects: StatementEffects,
    group: DatabaseGroupAccess,
  ): Promise<ExecutionResult> {
    const {readExecutor, primaryExecutor, transactionExecutor} = this.services;
    const mayCommit = effects.mayCommit && request.batch?.hasExecute !== false;
    if (this.lease !== null) {
      this.lease.resume();
      const context = this.createContext(request, effects, group, 'booking');
      return transactionExecutor.execute(context, this.lease, mayCommit);
    }
    if (effects.readTables !== null) {
      const {requirement, priority} = this.resolveRead(effects.readTables);
      const context = this.createContext(request, effects, group, priority);
      return readExecutor.execute(context, requirement);
    }
    const context = this.createContext(request, effects, group, WRITE_PRIORITY);
    if (request.statements.every(isParameterStatement)) {
      return readExecutor.executeOnAnyInstance(context);
    }
    this.services.metrics.countWrite();
    const requestKey = request.requestKey ?? this.state.requestKey;
    if (requestKey !== null && mayCommit) {
      return this.runKeyedWrite(context, request, requestKey);
    }
    return primaryExecutor.execute(context, {kind: 'write', mayCommit});
  }

  /**
   * Whether the request has an idempotency key but is part of an explicit
   * transaction, where the key can't prevent the write from running twice.
   */
  private hasRequestKeyInTransaction(
    request: TransactionRequest,
    effects: StatementEffects,
  ): boolean {
    const requestKey = request.requestKey ?? this.state.requestKey;
    if (requestKey === null || effects.readTables !== null) {
      return false;
    }
    return request.statements.some(
      statement =>
        (statement.kind === 'write' && this.isOpen()) ||
        (statement.kind === 'transaction' && statement.action === 'begin'),
    );
  }

  /**
   * Runs a write with an idempotency key. The session's key is cleared once the
   * write is acknowledged.
   */
  private async runKeyedWrite(
    context: StatementContext,
    request: TransactionRequest,
    requestKey: string,
  ): Promise<ExecutionResult> {
    const [statement, second] = request.statements;
    if (statement?.kind !== 'write' || second !== undefined) {
      const feature = 'a request key for anything but a single write';
      return createFailure({kind: 'notSupported', feature});
    }
    const {keyedWriteExecutor} = this.services;
    const result = await keyedWriteExecutor.execute(context, requestKey);
    const isAcknowledged = result.kind === 'answered' && !result.hasError;
    if (isAcknowledged && this.state.requestKey === requestKey) {
      this.state.requestKey = null;
    }
    return result;
  }

  private resolveRead(tables: readonly string[]): ResolvedRead {
    const {application, databaseGroup} = this.state;
    const floor = this.state.getFloor();
    const configuration = this.services.getConfiguration();
    const read = {application, databaseGroup, tables, floor};
    return resolveReadRequirement(configuration, read);
  }

  private createContext(
    request: TransactionRequest,
    effects: StatementEffects,
    group: DatabaseGroupAccess,
    priority: RequestPriority,
  ): StatementContext {
    const {clock, statementDeadlineMs} = this.services;
    return {
      group,
      session: this.state,
      output: this.output,
      request: request.request,
      running: this.running ?? RunningStatement.create(),
      priority,
      deadlineMs: clock.nowMs() + statementDeadlineMs,
      handleComplete: (connection, completion) =>
        this.handleComplete(connection, completion, request, effects),
    };
  }

  /**
   * Records changed run-time parameters. Runs before the connection returns to
   * the pool, so that the next session sees which values are applied to it.
   */
  private handleComplete(
    connection: BackendConnection,
    completion: StatementCompletion,
    request: TransactionRequest,
    effects: StatementEffects,
  ): void {
    if (effects.parameterChanges.length === 0 && !this.isOpen()) {
      return;
    }
    if (!completion.hasError) {
      this.pendingChanges.push(...effects.parameterChanges);
    }
    if (completion.status !== 'idle') {
      return;
    }
    const changes = this.pendingChanges;
    this.pendingChanges = [];
    const isRolledBack =
      completion.hasError || request.statements.some(isRollback);
    if (changes.length === 0 || isRolledBack) {
      return;
    }
    for (const {parameter, value} of changes) {
      this.setParameter(parameter, value);
    }
    connection.appliedParameters = this.state.parameters;
  }

  private handleResult(result: ExecutionResult): CallerError | null {
    if (result.kind === 'answered') {
      this.currentStatus = result.status;
      this.lease = result.lease;
      this.lease?.suspend();
      if (this.isDisposed && this.lease !== null) {
        this.rollBack(this.lease);
      }
      return null;
    }
    const isTransactionLost = result.error.kind === 'transactionLost';
    this.lease = null;
    this.pendingChanges = [];
    this.currentStatus = isTransactionLost ? 'failed' : 'idle';
    return result.error;
  }

  /** Rolls back the transaction and returns the connection to the pool. */
  private rollBack(lease: ConnectionLease): void {
    void runInternalQuery(lease.connection, 'ROLLBACK').then(() =>
      lease.release(),
    );
  }

  private endTransaction(): void {
    this.currentStatus = 'idle';
    this.lease = null;
    this.pendingChanges = [];
  }
}

function isRollback(statement: StatementClass): boolean {
  return statement.kind === 'transaction' && statement.action === 'rollback';
}

/** Whether a statement only sets, resets or shows a run-time parameter. */
function isParameterStatement(statement: StatementClass): boolean {
  return (
    (statement.kind === 'set' && !statement.isLocal) ||
    statement.kind === 'reset' ||
    statement.kind === 'show'
  );
}
