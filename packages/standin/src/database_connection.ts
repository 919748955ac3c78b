import type {LogPosition} from '@filbertrun/model/log_position.js';
import {
  createCommandResult,
  createRowsResult,
  type StatementResult,
} from './statement_result.js';
import {
  checkTableDoesNotExist,
  runDelete,
  runInsert,
  runUpdate,
} from './change_executor.js';
import {
  ConnectionTransactions,
  type TransactionStatus,
} from './connection_transactions.js';
import {ConnectionWait} from './connection_wait.js';
import type {InstanceCore} from './instance_core.js';
import type {EvaluationContext} from './scope.js';
import {runSelect} from './select_executor.js';
import {SessionParameters} from './session_parameters.js';
import {SQL_STATE, SqlError} from './sql_error.js';
import type {SqlValue} from './sql_value.js';
import type {StatementEffect} from './statement_effect.js';
import type {
  CreateTablePlan,
  GroupCallPlan,
  PlanBody,
  StatementPlan,
} from './statement_plan.js';
import type {Transaction} from './transaction.js';
import {UtilityExecutor} from './utility_executor.js';

/** Receives events of a connection from outside its statements. @internal */
export interface ConnectionListener {
  handleRoleChanged(): void;
  handleMajority(majority: LogPosition): void;
  /** The result that is being streamed must end. */
  handleCancelled(): void;
  /** The connection must send the error and close. */
  handleTerminated(error: SqlError): void;
}

type Attempt =
  | {readonly kind: 'completed'; readonly result: StatementResult}
  | {readonly kind: 'blocked'; readonly holder: Transaction};

/** Channel for notifications of the majority position. @internal */
export const MAJORITY_CHANNEL = 'group_majority';

/**
 * One connection to an instance, without the wire protocol. It runs one
 * statement at a time and holds the transaction, the session parameters and at
 * most one slot. A statement that does not have to wait runs synchronously.
 *
 * @internal
 */
export class DatabaseConnection {
  readonly parameters: SessionParameters;
  private readonly transactions: ConnectionTransactions;
  private readonly utilities: UtilityExecutor;
  private readonly wait = ConnectionWait.create();
  private holdsSlot = false;
  private isClosed = false;

  private constructor(
    private readonly core: InstanceCore,
    readonly listener: ConnectionListener,
    readonly processId: number,
    readonly secretKey: number,
    startupParameters: ReadonlyMap<string, string>,
  ) {
    this.parameters = SessionParameters.create(startupParameters);
    this.transactions = ConnectionTransactions.create(core);
    this.utilities = UtilityExecutor.create(
      core,
      this.parameters,
      this.transactions,
    );
  }

  /** Called only by the instance, which counts its connections. */
  static create(
    core: InstanceCore,
    listener: ConnectionListener,
    processId: number,
    secretKey: number,
    startupParameters: ReadonlyMap<string, string>,
  ): DatabaseConnection {
    return new DatabaseConnection(
      core,
      listener,
      processId,
      secretKey,
      startupParameters,
    );
  }

  isListening(channel: string): boolean {
    return this.utilities.isListening(channel);
  }

  getTransactionStatus(): TransactionStatus {
    return this.transactions.getStatus();
  }

  /** Whether uncommitted writes need `commitImplicit`. */
  hasImplicitTransaction(): boolean {
    return this.transactions.hasImplicit();
  }

  /** Runs a statement; throws or rejects with a SqlError. */
  execute(
    plan: StatementPlan,
    parameters: readonly SqlValue[],
  ): StatementResult | Promise<StatementResult> {
    const {body} = plan;
    this.checkNotFailed(body);
    if (body.kind === 'utility') {
      return this.utilities.run(body.statement);
    }
    if (body.kind === 'empty') {
      return createCommandResult('', this.core.getPosition());
    }
    const context = {parameters, processId: this.processId};
    if (body.kind === 'groupCall') {
      return this.runGroupCall(body, context);
    }
    this.core.countStatement();
    const hasDelay = this.core.getLimits().serviceTimeMs > 0 || isSleep(body);
    this.holdsSlot = this.core.slots.tryAcquire();
    if (!this.holdsSlot || hasDelay) {
      return this.executeAsync(body, context);
    }
    const attempt = this.attemptOrRelease(body, context);
    if (attempt.kind === 'completed') {
      return attempt.result;
    }
    return this.waitAndRetry(attempt.holder, body, context);
  }

  /** Releases the slot of a streamed result. */
  finishStreaming(): void {
    this.releaseSlot();
  }

  /** Commits the implicit transaction, if any. */
  commitImplicit(): LogPosition | null {
    return this.transactions.commitImplicit();
  }

  /** Releases the slot of a failed statement and fails the transaction. */
  handleStatementFailed(): void {
    this.releaseSlot();
    this.transactions.fail();
  }

  /** Cancels the running statement, if any. */
  cancel(): void {
    this.listener.handleCancelled();
    this.wait.abort(
      SqlError.create(
        SQL_STATE.queryCanceled,
        'canceling statement due to user request',
      ),
    );
  }

  /**
   * Rolls back the open transaction and closes the connection because the
   * primary was replaced; without a transaction, the connection stays open.
   */
  handleDemoted(): void {
    if (this.transactions.getCurrent() === null) {
      return;
    }
    this.transactions.end(false);
    const error = SqlError.createFatal(
      SQL_STATE.adminShutdown,
      'terminating connection: the primary was replaced',
    );
    this.listener.handleTerminated(error);
    this.close();
  }

  /**
   * Rolls back, releases the slot and removes the connection from the
   * instance.
   */
  close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.wait.abort(
      SqlError.createFatal(SQL_STATE.adminShutdown, 'connection closed'),
    );
    this.releaseSlot();
    this.transactions.end(false);
    this.core.removeConnection(this);
  }

  private checkNotFailed(body: PlanBody): void {
    if (this.transactions.getStatus() !== 'E') {
      return;
    }
    const isEnd =
      body.kind === 'utility' &&
      (body.statement.kind === 'commit' || body.statement.kind === 'rollback');
    if (!isEnd) {
      throw SqlError.create(
        SQL_STATE.failedTransaction,
        'current transaction is aborted, commands ignored until end of transaction block',
      );
    }
  }

  private async executeAsync(
    body: PlanBody,
    context: EvaluationContext,
  ): Promise<StatementResult> {
    try {
      if (!this.holdsSlot) {
        await this.waitForSlot();
      }
      const delayMs = this.getServiceTimeMs(body, context);
      if (delayMs > 0) {
        await this.wait.wait(done => this.core.startTimer(delayMs, done));
      }
    } catch (error) {
      this.releaseSlot();
      throw error;
    }
    const attempt = this.attemptOrRelease(body, context);
    if (attempt.kind === 'completed') {
      return attempt.result;
    }
    return this.waitAndRetry(attempt.holder, body, context);
  }

  private async waitAndRetry(
    firstHolder: Transaction,
    body: PlanBody,
    context: EvaluationContext,
  ): Promise<StatementResult> {
    let holder = firstHolder;
    for (;;) {
      this.releaseSlot();
      await this.waitForTransaction(holder);
      await this.waitForSlot();
      const attempt = this.attemptOrRelease(body, context);
      if (attempt.kind === 'completed') {
        return attempt.result;
      }
      holder = attempt.holder;
    }
  }

  private getServiceTimeMs(body: PlanBody, context: EvaluationContext): number {
    const {serviceTimeMs} = this.core.getLimits();
    if (body.kind !== 'select' || body.sleep === null) {
      return serviceTimeMs;
    }
    const seconds = body.sleep.evaluate([], context);
    return serviceTimeMs + Math.max(0, Number(seconds ?? 0)) * 1000;
  }

  private attemptOrRelease(
    body: PlanBody,
    context: EvaluationContext,
  ): Attempt {
    try {
      const attempt = this.attempt(body, context);
      if (attempt.kind === 'completed' && !attempt.result.isStreamed) {
        this.releaseSlot();
      }
      return attempt;
    } catch (error) {
      this.releaseSlot();
      throw error;
    }
  }

  private attempt(body: PlanBody, context: EvaluationContext): Attempt {
    switch (body.kind) {
      case 'select':
        return this.runAndStage('SELECT', body.isLocking, transaction =>
          runSelect(body, transaction, context),
        );
      case 'insert':
        return this.runAndStage('INSERT 0', true, transaction =>
          runInsert(body, transaction, context),
        );
      case 'update':
        return this.runAndStage('UPDATE', true, transaction =>
          runUpdate(body, transaction, context),
        );
      case 'delete':
        return this.runAndStage('DELETE', true, transaction =>
          runDelete(body, transaction, context),
        );
      case 'createTable':
        return {kind: 'completed', result: this.createTable(body)};
      default:
        throw new Error(`${body.kind} does not run in a slot`);
    }
  }

  private runAndStage(
    tag: string,
    isWrite: boolean,
    run: (transaction: Transaction | null) => StatementEffect,
  ): Attempt {
    if (isWrite) {
      this.core.requirePrimary();
    }
    const effect = run(this.transactions.getCurrent());
    const holder = this.transactions.stage(effect);
    if (holder !== null) {
      return {kind: 'blocked', holder};
    }
    if (effect.error !== null) {
      throw effect.error;
    }
    const {rows, isStreamed, affectedRows} = effect;
    const result = createRowsResult(
      tag,
      this.core.getPosition(),
      rows,
      isStreamed,
    );
    if (tag === 'SELECT') {
      return {kind: 'completed', result};
    }
    const countedTag = `${tag} ${affectedRows}`;
    return {
      kind: 'completed',
      result: {...result, tag: countedTag, countsRows: false},
    };
  }

  /** Creates a table in a separate commit, outside transaction blocks. */
  private createTable(plan: CreateTablePlan): StatementResult {
    this.core.requirePrimary();
    const {definition} = plan;
    if (this.transactions.hasExplicit()) {
      throw SqlError.create(
        SQL_STATE.featureNotSupported,
        'CREATE TABLE in a transaction block is not supported',
      );
    }
    const {database} = this.core;
    if (plan.ifNotExists && database.findTable(definition.name) !== null) {
      return createCommandResult('CREATE TABLE', this.core.getPosition());
    }
    checkTableDoesNotExist(database, definition.name);
    this.commitImplicit();
    const position = this.core.appendCommit([
      {kind: 'createTable', definition},
    ]);
    return createCommandResult('CREATE TABLE', position, position);
  }

  private runGroupCall(
    plan: GroupCallPlan,
    context: EvaluationContext,
  ): StatementResult | Promise<StatementResult> {
    const values = plan.arguments.map(argument =>
      argument.evaluate([], context),
    );
    const row = this.core.callGroupFunction(plan.functionName, values);
    const position = this.core.getPosition();
    if (!(row instanceof Promise)) {
      return createRowsResult('SELECT', position, [row]);
    }
    return row.then(confirmed =>
      createRowsResult('SELECT', position, [confirmed]),
    );
  }

  private releaseSlot(): void {
    if (this.holdsSlot) {
      this.holdsSlot = false;
      this.core.slots.release();
    }
  }

  private async waitForSlot(): Promise<void> {
    await this.wait.wait(done =>
      this.core.slots.acquire(() => {
        this.holdsSlot = true;
        done();
      }),
    );
  }

  private async waitForTransaction(holder: Transaction): Promise<void> {
    const transaction = this.transactions.getCurrent();
    if (transaction?.wouldDeadlock(holder) === true) {
      throw SqlError.create(SQL_STATE.deadlockDetected, 'deadlock detected');
    }
    transaction?.setWaitsFor(holder);
    try {
      await this.wait.wait(done => this.startLockWait(holder, done));
    } finally {
      transaction?.setWaitsFor(null);
    }
  }

  private startLockWait(holder: Transaction, done: () => void): () => void {
    const {lockTimeoutMs} = this.core.getLimits();
    const stopListening = holder.onEnd(done);
    const stopTimer = this.core.startTimer(lockTimeoutMs, () =>
      this.wait.abort(
        SqlError.create(
          SQL_STATE.lockNotAvailable,
          'canceling statement due to lock timeout',
        ),
      ),
    );
    return () => {
      stopListening();
      stopTimer();
    };
  }
}

function isSleep(body: PlanBody): boolean {
  return body.kind === 'select' && body.sleep !== null;
}
