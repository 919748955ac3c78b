import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {EvaluationContext} from './expression.js';
import type {InstanceCore} from './instance_core.js';
import {SessionParameters} from './session_parameters.js';
import {SQL_STATE, SqlError} from './sql_error.js';
import type {Row, SqlValue} from './sql_value.js';
import {
  checkTableIsNew,
  runDelete,
  runInsert,
  runSelect,
  runUpdate,
  type StatementEffect,
} from './statement_executor.js';
import type {
  CreateTablePlan,
  GroupCallPlan,
  PlanBody,
  StatementPlan,
} from './statement_plan.js';
import {Transaction} from './transaction.js';
import type {UtilityStatement} from './utility_statement.js';

/** Told of what happens to a connection outside of its statements. @internal */
export interface ConnectionListener {
  handleRoleChanged(): void;
  handleMajority(majority: LogPosition): void;
  /** The answer that is being streamed must end. */
  handleCancelled(): void;
  /** The connection must send the error and end. */
  handleTerminated(error: SqlError): void;
}

/** The answer of a statement. @internal */
export interface Answer {
  /** The place whose data the statement read. */
  readonly position: LogPosition;
  readonly rows: Iterable<Row>;
  readonly isStreamed: boolean;
  /** Command tag; the number of rows follows when `countsRows`. */
  readonly tag: string;
  readonly countsRows: boolean;
  /** Place of the commit that the statement made, or null. */
  readonly commitPosition: LogPosition | null;
}

/** State of a connection's transaction as ReadyForQuery reports it. @internal */
export type TransactionStatus = 'I' | 'T' | 'E';

type Attempt =
  | {readonly kind: 'answered'; readonly answer: Answer}
  | {readonly kind: 'blocked'; readonly holder: Transaction};

/** Channel that tells of the place that a majority holds. @internal */
export const MAJORITY_CHANNEL = 'group_majority';

const NO_ROWS: readonly Row[] = [];

/**
 * One connection to an instance, without its wire protocol: it runs one
 * statement at a time and holds the transaction, the parameters and at most
 * one slot. A statement that need not wait is answered synchronously.
 *
 * @internal
 */
export class DatabaseConnection {
  readonly parameters: SessionParameters;
  readonly channels = new Set<string>();
  private explicit: Transaction | null = null;
  private implicit: Transaction | null = null;
  private hasFailed = false;
  private holdsSlot = false;
  private isClosed = false;
  private abortWait: ((error: SqlError) => void) | null = null;

  private constructor(
    private readonly core: InstanceCore,
    readonly listener: ConnectionListener,
    readonly processId: number,
    readonly secretKey: number,
    startupParameters: ReadonlyMap<string, string>,
  ) {
    this.parameters = SessionParameters.create(startupParameters);
  }

  /** Called by the instance, which counts its connections. */
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

  getTransactionStatus(): TransactionStatus {
    if (this.explicit === null) {
      return 'I';
    }
    return this.hasFailed ? 'E' : 'T';
  }

  /** Whether writes wait for `commitImplicit`. */
  hasImplicitTransaction(): boolean {
    return this.implicit !== null;
  }

  /** Runs a statement; throws or rejects with a SqlError. */
  execute(
    plan: StatementPlan,
    parameters: readonly SqlValue[],
  ): Answer | Promise<Answer> {
    const {body} = plan;
    this.checkNotFailed(body);
    if (body.kind === 'utility') {
      return this.runUtility(body.statement);
    }
    if (body.kind === 'empty') {
      return this.createAnswer('', NO_ROWS, null);
    }
    const context = {parameters, processId: this.processId};
    if (body.kind === 'groupCall') {
      return this.runGroupCall(body, context);
    }
    this.core.countStatement();
    const isSlow = this.core.getLimits().serviceTimeMs > 0 || isSleep(body);
    this.holdsSlot = this.core.slots.tryAcquire();
    if (!this.holdsSlot || isSlow) {
      return this.executeSlowly(body, context);
    }
    const attempt = this.attemptOrRelease(body, context);
    if (attempt.kind === 'answered') {
      return attempt.answer;
    }
    return this.waitAndRetry(attempt.holder, body, context);
  }

  /** Gives back the slot of a streamed answer. */
  finishStreaming(): void {
    this.releaseSlot();
  }

  /** Commits writes made outside of a transaction block. */
  commitImplicit(): LogPosition | null {
    const transaction = this.implicit;
    this.implicit = null;
    return transaction === null ? null : this.core.commit(transaction);
  }

  /** Notes a failed statement: the transaction can only be rolled back. */
  handleStatementFailed(): void {
    this.releaseSlot();
    this.rollbackImplicit();
    if (this.explicit !== null) {
      this.hasFailed = true;
    }
  }

  /** Ends the statement that is waiting, if any. */
  cancel(): void {
    this.listener.handleCancelled();
    this.abortWait?.(
      SqlError.create(
        SQL_STATE.queryCanceled,
        'canceling statement due to user request',
      ),
    );
  }

  /** A replaced primary ends its open transactions. */
  handleDemoted(): void {
    if (this.explicit === null && this.implicit === null) {
      return;
    }
    this.endTransactions();
    const error = SqlError.createFatal(
      SQL_STATE.adminShutdown,
      'terminating connection: the primary was replaced',
    );
    this.listener.handleTerminated(error);
    this.close();
  }

  /** Rolls back, frees the slot and leaves the instance. */
  close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.abortWait?.(
      SqlError.createFatal(SQL_STATE.adminShutdown, 'connection closed'),
    );
    this.releaseSlot();
    this.endTransactions();
    this.core.removeConnection(this);
  }

  private checkNotFailed(body: PlanBody): void {
    if (!this.hasFailed) {
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

  private async executeSlowly(
    body: PlanBody,
    context: EvaluationContext,
  ): Promise<Answer> {
    try {
      if (!this.holdsSlot) {
        await this.waitForSlot();
      }
      const delayMs = this.getServiceTimeMs(body, context);
      if (delayMs > 0) {
        await this.wait(done => this.core.startTimer(delayMs, done));
      }
    } catch (error) {
      this.releaseSlot();
      throw error;
    }
    const attempt = this.attemptOrRelease(body, context);
    if (attempt.kind === 'answered') {
      return attempt.answer;
    }
    return this.waitAndRetry(attempt.holder, body, context);
  }

  private async waitAndRetry(
    firstHolder: Transaction,
    body: PlanBody,
    context: EvaluationContext,
  ): Promise<Answer> {
    let holder = firstHolder;
    for (;;) {
      this.releaseSlot();
      await this.waitForTransaction(holder);
      await this.waitForSlot();
      const attempt = this.attemptOrRelease(body, context);
      if (attempt.kind === 'answered') {
        return attempt.answer;
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
      if (attempt.kind === 'answered' && !attempt.answer.isStreamed) {
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
        return this.finishAttempt('SELECT', body.isLocking, transaction =>
          runSelect(body, transaction, context),
        );
      case 'insert':
        return this.finishAttempt('INSERT 0', true, transaction =>
          runInsert(body, transaction, context),
        );
      case 'update':
        return this.finishAttempt('UPDATE', true, transaction =>
          runUpdate(body, transaction, context),
        );
      case 'delete':
        return this.finishAttempt('DELETE', true, transaction =>
          runDelete(body, transaction, context),
        );
      case 'createTable':
        return {kind: 'answered', answer: this.createTable(body)};
      default:
        throw new Error(`${body.kind} does not run in a slot`);
    }
  }

  private finishAttempt(
    tag: string,
    isWrite: boolean,
    run: (transaction: Transaction | null) => StatementEffect,
  ): Attempt {
    if (isWrite) {
      this.core.checkPrimary();
    }
    const current = this.explicit ?? this.implicit;
    const effect = run(current);
    const {intents, error} = effect;
    if (intents.length > 0) {
      const transaction = current ?? Transaction.create();
      const holder = this.core.locks.findOtherHolder(intents, transaction);
      if (holder !== null) {
        return {kind: 'blocked', holder};
      }
      if (error === null) {
        this.stage(effect, transaction);
      }
    }
    if (error !== null) {
      throw error;
    }
    const answer = this.createAnswer(tag, effect.rows, null, {
      isStreamed: effect.isStreamed,
      affectedRows: tag === 'SELECT' ? null : effect.affectedRows,
    });
    return {kind: 'answered', answer};
  }

  private stage(effect: StatementEffect, transaction: Transaction): void {
    if (this.explicit === null) {
      this.implicit = transaction;
    }
    this.core.locks.lock(effect.intents, transaction);
    for (const intent of effect.intents) {
      if (intent.kind === 'change') {
        transaction.stage(intent.table, intent.key, intent.after);
      }
    }
  }

  /** A table is created by a commit of its own, outside of transaction blocks. */
  private createTable(plan: CreateTablePlan): Answer {
    this.core.checkPrimary();
    const {definition} = plan;
    if (this.explicit !== null) {
      throw SqlError.create(
        SQL_STATE.featureNotSupported,
        'CREATE TABLE in a transaction block is not supported',
      );
    }
    const {database} = this.core;
    if (plan.ifNotExists && database.findTable(definition.name) !== null) {
      return this.createAnswer('CREATE TABLE', NO_ROWS, null);
    }
    checkTableIsNew(database, definition.name);
    this.commitImplicit();
    const position = this.core.appendCommit([
      {kind: 'createTable', definition},
    ]);
    return this.createAnswer('CREATE TABLE', NO_ROWS, position);
  }

  private runGroupCall(
    plan: GroupCallPlan,
    context: EvaluationContext,
  ): Answer | Promise<Answer> {
    const values = plan.arguments.map(argument =>
      argument.evaluate([], context),
    );
    const row = this.core.callGroupFunction(plan.functionName, values);
    if (!(row instanceof Promise)) {
      return this.createAnswer('SELECT', [row], null, SELECT_SHAPE);
    }
    return row.then(confirmed =>
      this.createAnswer('SELECT', [confirmed], null, SELECT_SHAPE),
    );
  }

  private runUtility(statement: UtilityStatement): Answer {
    switch (statement.kind) {
      case 'begin':
        return this.begin();
      case 'commit':
        return this.endExplicit(!this.hasFailed);
      case 'rollback':
        return this.endExplicit(false);
      case 'set':
        this.parameters.set(
          statement.parameter,
          statement.value,
          statement.isLocal,
        );
        return this.createAnswer('SET', NO_ROWS, null);
      case 'setTransaction':
        return this.createAnswer('SET', NO_ROWS, null);
      case 'show':
        return this.createAnswer(
          'SHOW',
          [[this.parameters.get(statement.parameter)]],
          null,
        );
      case 'reset':
        return this.reset(statement.parameter);
      case 'discard':
        this.parameters.resetAll();
        this.channels.clear();
        return this.createAnswer('DISCARD ALL', NO_ROWS, null);
      case 'listen':
        this.channels.add(statement.channel);
        return this.createAnswer('LISTEN', NO_ROWS, null);
      case 'unlisten':
        this.unlisten(statement.channel);
        return this.createAnswer('UNLISTEN', NO_ROWS, null);
      case 'deallocate':
        return this.createAnswer('DEALLOCATE', NO_ROWS, null);
    }
  }

  private begin(): Answer {
    if (this.explicit === null) {
      this.explicit = this.implicit ?? Transaction.create();
      this.implicit = null;
      this.parameters.handleBegin();
    }
    return this.createAnswer('BEGIN', NO_ROWS, null);
  }

  private endExplicit(isCommitted: boolean): Answer {
    const transaction = this.explicit ?? this.implicit;
    this.explicit = null;
    this.implicit = null;
    this.hasFailed = false;
    this.parameters.handleEnd(isCommitted);
    const tag = isCommitted ? 'COMMIT' : 'ROLLBACK';
    let position: LogPosition | null = null;
    if (transaction !== null && isCommitted) {
      position = this.core.commit(transaction);
    } else if (transaction !== null) {
      this.core.rollback(transaction);
    }
    return this.createAnswer(tag, NO_ROWS, position);
  }

  private reset(parameter: string | null): Answer {
    if (parameter === null) {
      this.parameters.resetAll();
    } else {
      this.parameters.set(parameter, null, false);
    }
    return this.createAnswer('RESET', NO_ROWS, null);
  }

  private unlisten(channel: string | null): void {
    if (channel === null) {
      this.channels.clear();
    } else {
      this.channels.delete(channel);
    }
  }

  private createAnswer(
    tag: string,
    rows: Iterable<Row>,
    commitPosition: LogPosition | null,
    shape: AnswerShape = COMMAND_SHAPE,
  ): Answer {
    const {affectedRows} = shape;
    return {
      position: this.core.getPosition(),
      rows,
      isStreamed: shape.isStreamed,
      tag: typeof affectedRows === 'number' ? `${tag} ${affectedRows}` : tag,
      countsRows: affectedRows === null,
      commitPosition,
    };
  }

  private endTransactions(): void {
    this.rollbackImplicit();
    const transaction = this.explicit;
    this.explicit = null;
    this.hasFailed = false;
    if (transaction !== null) {
      this.core.rollback(transaction);
    }
  }

  private rollbackImplicit(): void {
    const transaction = this.implicit;
    this.implicit = null;
    if (transaction !== null) {
      this.core.rollback(transaction);
    }
  }

  private releaseSlot(): void {
    if (this.holdsSlot) {
      this.holdsSlot = false;
      this.core.slots.release();
    }
  }

  private async waitForSlot(): Promise<void> {
    await this.wait(done =>
      this.core.slots.acquire(() => {
        this.holdsSlot = true;
        done();
      }),
    );
  }

  private async waitForTransaction(holder: Transaction): Promise<void> {
    const transaction = this.explicit ?? this.implicit;
    if (transaction?.wouldDeadlock(holder) === true) {
      throw SqlError.create(SQL_STATE.deadlockDetected, 'deadlock detected');
    }
    transaction?.setWaitsFor(holder);
    const {lockTimeoutMs} = this.core.getLimits();
    try {
      await this.wait(done => {
        const stopListening = holder.onEnd(done);
        const stopTimer = this.core.startTimer(lockTimeoutMs, () =>
          this.abortWait?.(
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
      });
    } finally {
      transaction?.setWaitsFor(null);
    }
  }

  /** Waits for one event; a cancel, a lock timeout or the end rejects. */
  private wait(start: (done: () => void) => () => void): Promise<void> {
    return new Promise((resolve, reject) => {
      let stop: () => void = () => {};
      this.abortWait = error => {
        this.abortWait = null;
        stop();
        reject(error);
      };
      stop = start(() => {
        this.abortWait = null;
        stop();
        resolve();
      });
    });
  }
}

interface AnswerShape {
  readonly isStreamed: boolean;
  /** Rows changed; null when the rows of the answer are counted; undefined for none. */
  readonly affectedRows: number | null | undefined;
}

const COMMAND_SHAPE: AnswerShape = {
  isStreamed: false,
  affectedRows: undefined,
};

const SELECT_SHAPE: AnswerShape = {isStreamed: false, affectedRows: null};

function isSleep(body: PlanBody): boolean {
  return body.kind === 'select' && body.sleep !== null;
}
