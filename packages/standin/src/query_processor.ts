import {formatPosition} from '@filbertrun/model/log_position.js';
import type {StatementResult} from './statement_result.js';
import {CompletionWriter} from './completion_writer.js';
import {
  MAJORITY_CHANNEL,
  type DatabaseConnection,
} from './database_connection.js';
import type {FrontendMessage} from './frontend_message.js';
import type {InstanceCore} from './instance_core.js';
import type {MessageWriter} from './message_writer.js';
import {Portal} from './portal.js';
import {PreparedStatements} from './prepared_statements.js';
import {SQL_STATE, SqlError} from './sql_error.js';
import type {StatementPlan} from './statement_plan.js';
import {splitStatements} from './statement_splitter.js';

/** Options of a query processor. @internal */
export interface QueryProcessorOptions {
  readonly core: InstanceCore;
  readonly connection: DatabaseConnection;
  readonly writer: MessageWriter;
  /** Calls back after the current turn of the event loop. */
  readonly defer: (callback: () => void) => void;
  /** Sends the written bytes; false if the transport must drain first. */
  readonly flush: () => boolean;
  /** Continues with the queued messages. */
  readonly resume: () => void;
  /** Closes the connection with an error. */
  readonly fail: (error: unknown) => void;
}

/** Bytes of a result that are written in one turn of the event loop. */
const MAX_BYTES_PER_TURN = 64 * 1024;

/** State of a running statement whose result is being sent. */
interface Execution {
  readonly portal: Portal;
  /** 0 for all rows. */
  readonly maxRows: number;
  sentRows: number;
  /** Remaining statements of the simple query; null if extended. */
  readonly remainingStatements: readonly string[] | null;
}

/** Runs the simple and extended query protocols. @internal */
export class QueryProcessor {
  private readonly prepared: PreparedStatements;
  private readonly completion: CompletionWriter;
  private execution: Execution | null = null;
  private isSkippingToSync = false;
  private isCancelled = false;
  private isDisposed = false;
  private isWaitingForDrain = false;

  private constructor(private readonly options: QueryProcessorOptions) {
    this.prepared = PreparedStatements.create(
      options.core.statements,
      options.writer,
    );
    this.completion = CompletionWriter.create(
      options.connection,
      options.writer,
    );
  }

  static create(options: QueryProcessorOptions): QueryProcessor {
    return new QueryProcessor(options);
  }

  /** Whether a statement is running, so that further messages must wait. */
  isBusy(): boolean {
    return this.execution !== null;
  }

  /** Returns whether a commit was acknowledged since the last call. */
  consumeHasCommit(): boolean {
    return this.completion.consumeHasCommit();
  }

  handleMessage(message: FrontendMessage): void {
    if (this.isSkippingToSync && message.kind !== 'sync') {
      return;
    }
    try {
      this.completion.writeDeferredTag(message.kind === 'sync');
      this.dispatch(message);
    } catch (error) {
      this.handleFailure(error, message.kind === 'query');
    }
  }

  handleDrained(): void {
    if (!this.isWaitingForDrain) {
      return;
    }
    this.isWaitingForDrain = false;
    this.continueStreaming();
  }

  handleCancelled(): void {
    this.isCancelled = this.execution !== null;
  }

  dispose(): void {
    this.isDisposed = true;
  }

  private dispatch(message: FrontendMessage): void {
    switch (message.kind) {
      case 'query':
        this.runSimpleQuery(splitStatements(message.sql));
        return;
      case 'parse':
        this.prepared.parse(message);
        return;
      case 'bind':
        this.prepared.bind(message);
        return;
      case 'describe':
        this.prepared.describe(message);
        return;
      case 'close':
        this.prepared.close(message);
        return;
      case 'execute':
        this.startExecution({
          portal: this.prepared.getPortal(message.portal),
          maxRows: message.maxRows,
          sentRows: 0,
          remainingStatements: null,
        });
        return;
      case 'sync':
        this.isSkippingToSync = false;
        this.writeReady();
        return;
      case 'flush':
        return;
      case 'authentication':
      case 'terminate':
        throw SqlError.createFatal(
          SQL_STATE.protocolViolation,
          `unexpected message "${message.kind}"`,
        );
    }
  }

  private runSimpleQuery(statements: readonly string[]): void {
    const [text, ...remainingStatements] = statements;
    if (text === undefined) {
      this.options.writer.writeEmptyQueryResponse();
      this.writeReady();
      return;
    }
    const plan = this.options.core.statements.getPlan(text);
    const portal = Portal.create(plan, [], []);
    this.startExecution({
      portal,
      maxRows: 0,
      sentRows: 0,
      remainingStatements,
    });
  }

  private startExecution(execution: Execution): void {
    this.isCancelled = false;
    const {portal} = execution;
    if (portal.getResult() !== null) {
      this.execution = execution;
      this.stream(execution);
      return;
    }
    const result = this.options.connection.execute(
      portal.plan,
      portal.parameters,
    );
    this.execution = execution;
    if (!(result instanceof Promise)) {
      portal.setResult(result);
      this.writeResultHeader(execution);
      this.stream(execution);
      return;
    }
    result.then(
      resolved =>
        this.continueExecution(execution, () => {
          portal.setResult(resolved);
          this.writeResultHeader(execution);
          this.stream(execution);
        }),
      error =>
        this.continueExecution(execution, () => {
          throw error;
        }),
    );
  }

  /** Continues an execution asynchronously, after its message was handled. */
  private continueExecution(execution: Execution, action: () => void): void {
    if (this.isDisposed || this.execution !== execution) {
      return;
    }
    try {
      action();
    } catch (error) {
      this.handleFailure(error, execution.remainingStatements !== null);
    }
    if (!this.isBusy()) {
      this.options.resume();
    }
  }

  private writeResultHeader({portal, remainingStatements}: Execution): void {
    const {writer, connection} = this.options;
    const result = portal.getResult();
    const hasRows = portal.fields.length > 0;
    // An implicit commit reports its own position before CommandComplete.
    if (result !== null && (hasRows || !connection.hasImplicitTransaction())) {
      this.completion.writePosition(result.position);
    }
    if (remainingStatements !== null && hasRows) {
      writer.writeRowDescription(portal.fields);
    }
  }

  private continueStreaming(): void {
    const {execution} = this;
    if (execution !== null) {
      this.continueExecution(execution, () => this.stream(execution));
    }
  }

  /** Writes rows until the end, the row limit or the byte limit of a turn. */
  private stream(execution: Execution): void {
    const {portal, maxRows} = execution;
    const {writer} = this.options;
    for (;;) {
      if (this.isCancelled) {
        throw SqlError.create(
          SQL_STATE.queryCanceled,
          'canceling statement due to user request',
        );
      }
      if (maxRows > 0 && execution.sentRows >= maxRows) {
        this.finishExecution(portal);
        writer.writePortalSuspended();
        return;
      }
      if (writer.getSize() >= MAX_BYTES_PER_TURN) {
        this.pauseStreaming();
        return;
      }
      const row = portal.nextRow();
      if (row === null) {
        break;
      }
      writer.writeDataRow(row, portal.fields);
      execution.sentRows++;
    }
    this.finishExecution(portal);
    this.complete(execution);
  }

  private pauseStreaming(): void {
    this.isWaitingForDrain = !this.options.flush();
    if (!this.isWaitingForDrain) {
      this.options.defer(() => this.continueStreaming());
    }
  }

  private finishExecution(portal: Portal): void {
    this.execution = null;
    if (portal.getResult()?.isStreamed === true) {
      this.options.connection.finishStreaming();
    }
  }

  private complete({portal, sentRows, remainingStatements}: Execution): void {
    const {writer} = this.options;
    const result = portal.getResult();
    if (result === null) {
      return;
    }
    if (portal.plan.body.kind === 'empty') {
      writer.writeEmptyQueryResponse();
    } else {
      const tag = result.countsRows ? `${result.tag} ${sentRows}` : result.tag;
      this.writeResultEnd(result, portal.plan, tag, remainingStatements);
    }
    this.handleSessionStatement(portal.plan);
    if (remainingStatements === null) {
      return;
    }
    if (remainingStatements.length === 0) {
      this.writeReady();
      return;
    }
    this.runSimpleQuery(remainingStatements);
  }

  private writeResultEnd(
    result: StatementResult,
    plan: StatementPlan,
    tag: string,
    remainingStatements: readonly string[] | null,
  ): void {
    const {connection, writer} = this.options;
    if (result.commitPosition !== null) {
      this.completion.writeCommitPosition(result.commitPosition);
    }
    if (plan.body.kind === 'utility') {
      this.completion.writeChangedParameters();
    }
    if (
      !connection.hasImplicitTransaction() ||
      remainingStatements?.length === 0
    ) {
      this.completion.commitAndComplete(tag);
    } else if (remainingStatements === null) {
      this.completion.deferTag(tag);
    } else {
      // The implicit transaction ends with the last statement of the query.
      writer.writeCommandComplete(tag);
    }
  }

  private handleSessionStatement({body}: StatementPlan): void {
    if (body.kind !== 'utility') {
      return;
    }
    const {core, connection, writer} = this.options;
    const {statement} = body;
    if (statement.kind === 'deallocate') {
      this.prepared.deallocate(statement.name);
    }
    if (statement.kind === 'discard') {
      this.prepared.deallocate(null);
    }
    const isListen =
      statement.kind === 'listen' && statement.channel === MAJORITY_CHANNEL;
    if (isListen && core.replication.getRole() === 'primary') {
      const majority = formatPosition(core.replication.getMajorityPosition());
      writer.writeNotification(
        connection.processId,
        MAJORITY_CHANNEL,
        majority,
      );
    }
  }

  private writeReady(): void {
    const status = this.options.connection.getTransactionStatus();
    if (status === 'I') {
      this.prepared.closePortals();
    }
    this.options.writer.writeReadyForQuery(status);
  }

  private handleFailure(error: unknown, isSimpleQuery: boolean): void {
    const {connection, writer, fail} = this.options;
    this.execution = null;
    this.completion.discardDeferredTag();
    if (!(error instanceof SqlError) || error.severity === 'FATAL') {
      fail(error);
      return;
    }
    connection.handleStatementFailed();
    writer.writeError(error);
    if (isSimpleQuery) {
      this.writeReady();
    } else {
      this.isSkippingToSync = true;
    }
  }
}
