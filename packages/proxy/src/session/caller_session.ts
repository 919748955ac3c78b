import {exhaustiveSwitchError} from '@filbertrun/base/exhaustive_switch.js';
import {
  describeCallerError,
  type CallerError,
  isServiceFault,
} from '@filbertrun/model/outcome.js';
import {
  buildErrorResponse,
  EMPTY_QUERY_RESPONSE,
  getReadyForQuery,
} from '@filbertrun/wire/backend_message_builder.js';
import {readQuery} from '@filbertrun/wire/frontend_message_reader.js';
import {
  FrontendMessage,
  type TransactionStatus,
} from '@filbertrun/wire/protocol_constants.js';
import type {
  ClassifiedStatement,
  StatementClass,
} from '@filbertrun/sql/statement_class.js';
import type {CallerOutput} from '../caller/caller_output.js';
import type {CancelTarget} from '../caller/cancel_registry.js';
import {QueryRequest} from '../execution/statement_request.js';
import type {StatementRequest} from '../execution/statement_request.js';
import {BatchReader, type Batch} from './batch_reader.js';
import {writeBatchResponse, writeSimpleResponse} from './local_response.js';
import {isProxyParameter, LocalStatements} from './local_statements.js';
import {BatchRequest} from './message_batch.js';
import {PreparedStatements} from './prepared_statements.js';
import type {SessionServices} from './session_services.js';
import type {SessionState} from './session_state.js';
import {SessionTransaction} from './session_transaction.js';
import {listStatements} from './statement_effects.js';

/** Dependencies of a session. @public */
export interface CallerSessionOptions {
  readonly services: SessionServices;
  readonly state: SessionState;
  readonly output: CallerOutput;
  /** Ends the caller's connection after the queued output was sent. */
  readonly endConnection: () => void;
}

/** A Query message or a batch of extended-protocol messages. */
interface CallerRequest {
  readonly statements: readonly StatementClass[];
  readonly requestKey: string | null;
  readonly request: StatementRequest;
  /** Null for a Query message. */
  readonly batch: Batch | null;
}

/**
 * A caller's session. Handles one message at a time: each request is run and
 * answered before the next one starts.
 *
 * @public
 */
export class CallerSession implements CancelTarget {
  private readonly prepared = PreparedStatements.create();
  private readonly batchReader: BatchReader;
  private readonly local: LocalStatements;
  private readonly transaction: SessionTransaction;

  private constructor(private readonly options: CallerSessionOptions) {
    const {services, state, output} = options;
    this.batchReader = BatchReader.create(services.classifier, this.prepared);
    this.local = LocalStatements.create(services.codec, state, this.prepared);
    this.transaction = SessionTransaction.create(services, state, output);
  }

  static create(options: CallerSessionOptions): CallerSession {
    return new CallerSession(options);
  }

  /** Whether no transaction is open and no batch is partly received. */
  isIdle(): boolean {
    return !this.transaction.isOpen() && this.batchReader.isEmpty();
  }

  /** Sets a run-time parameter from the startup message. */
  setStartupParameter(name: string, value: string): CallerError | null {
    const result = isProxyParameter(name) ? this.local.set(name, value) : null;
    if (result === null) {
      this.transaction.setParameter(name, value);
      return null;
    }
    return result.ok ? null : result.error;
  }

  /**
   * Handles a message. Returns a promise that resolves when it is answered,
   * or null when there is nothing to wait for.
   */
  handleMessage(type: number, frame: Buffer): Promise<void> | null {
    switch (type) {
      case FrontendMessage.query:
        return this.handleQuery(frame);
      case FrontendMessage.sync:
        return this.handleSync(frame);
      case FrontendMessage.flush:
        this.handleFlush();
        return null;
      case FrontendMessage.terminate:
        this.options.endConnection();
        return null;
      case FrontendMessage.functionCall:
        this.sendError({kind: 'notSupported', feature: 'function calls'});
        this.sendReady();
        return null;
      case FrontendMessage.copyData:
      case FrontendMessage.copyDone:
      case FrontendMessage.copyFail:
        // The proxy refuses COPY. The protocol lets clients send these messages
        // until they see the error, and they are ignored.
        return null;
      default:
        return this.handleBatchMessage(type, frame);
    }
  }

  /** Sends an error of the proxy and counts it by SQLSTATE. */
  sendError(error: CallerError): void {
    const report = describeCallerError(error);
    this.options.services.metrics.countError(report.sqlState);
    this.options.output.write(buildErrorResponse(report));
  }

  cancelCurrentStatement(): void {
    this.transaction.cancel();
  }

  /** Releases the session's resources after the caller has disconnected. */
  dispose(): void {
    this.transaction.dispose();
  }

  private async handleQuery(frame: Buffer): Promise<void> {
    const text = readQuery(frame);
    if (text === null) {
      this.endWithError({
        kind: 'protocolViolation',
        reason: 'malformed Query message',
      });
      return;
    }
    const {classifier} = this.options.services;
    const classified = classifier.classify(text);
    const statements = listStatements(classified.statementClass);
    if (classified.statementClass.kind === 'empty') {
      this.options.output.write(EMPTY_QUERY_RESPONSE);
      this.sendReady();
      return;
    }
    await this.run({
      statements,
      requestKey: classified.requestKey,
      request: QueryRequest.create(frame),
      batch: null,
    });
  }

  private handleBatchMessage(type: number, frame: Buffer): null {
    const error = this.batchReader.add(type, frame);
    if (error?.kind === 'protocolViolation') {
      this.endWithError(error);
    }
    return null;
  }

  private async handleSync(frame: Buffer): Promise<void> {
    const batch = this.batchReader.finishBatch({kind: 'sync', frame});
    if (batch.error !== null) {
      this.transaction.handleLocalError();
      if (!batch.isErrorReported) {
        this.sendError(batch.error);
      }
      this.sendReady();
      return;
    }
    if (batch.isEmpty) {
      this.sendReady();
      return;
    }
    await this.run({
      statements: collectStatements(batch.executed),
      requestKey: findRequestKey(batch.executed),
      request: BatchRequest.create(batch.messages),
      batch,
    });
  }

  /**
   * Refuses Flush unless the batch is empty. Responses before Sync would keep
   * a pooled connection waiting for the caller in the middle of a statement.
   */
  private handleFlush(): void {
    if (this.batchReader.isEmpty()) {
      return;
    }
    const error = {kind: 'notSupported', feature: 'Flush before Sync'} as const;
    this.transaction.handleLocalError();
    this.sendError(error);
    this.batchReader.skipToSync(error);
  }

  private async run(request: CallerRequest): Promise<void> {
    if (this.runLocally(request)) {
      return;
    }
    const {clock, metrics} = this.options.services;
    const {state} = this.options;
    const startMs = clock.nowMs();
    state.readTarget = null;
    const error = await this.transaction.run(request);
    if (error !== null) {
      this.sendError(error);
    }
    this.sendReady();
    metrics.recordStatement({
      application: state.application,
      durationMs: clock.nowMs() - startMs,
      isAnswered: error === null || !isServiceFault(error),
      readTarget: state.readTarget,
    });
  }

  /**
   * Runs a request that needs no backend server. Returns false if the request
   * must be sent to one.
   */
  private runLocally(request: CallerRequest): boolean {
    const [statement, second] = request.statements;
    if (second !== undefined) {
      return this.refuseMixedStatements(request.statements);
    }
    if (statement === undefined) {
      return this.closeLocally(request.batch);
    }
    const failedTransactionResponse =
      this.transaction.respondInFailedTransaction(statement);
    const response = failedTransactionResponse ?? this.local.run(statement);
    if (response === null) {
      return false;
    }
    if (!response.ok) {
      this.transaction.handleLocalError();
      this.sendError(response.error);
    } else if (request.batch === null) {
      writeSimpleResponse(this.options.output, response.value);
    } else {
      const {messages} = request.batch;
      writeBatchResponse(this.options.output, messages, response.value);
    }
    this.sendReady();
    return true;
  }

  /**
   * Answers a batch that only closes statements and portals outside a
   * transaction. Returns false for any other batch.
   */
  private closeLocally(batch: Batch | null): boolean {
    if (batch === null || batch.hasExecute || this.transaction.isOpen()) {
      return false;
    }
    for (const message of batch.messages) {
      if (!message.kind.startsWith('close') && message.kind !== 'sync') {
        return false;
      }
    }
    const {output} = this.options;
    writeBatchResponse(output, batch.messages, {row: null, tag: ''});
    this.sendReady();
    return true;
  }

  private refuseMixedStatements(
    statements: readonly StatementClass[],
  ): boolean {
    for (const statement of statements) {
      if (isLocalStatement(statement)) {
        this.transaction.handleLocalError();
        this.sendError({
          kind: 'notSupported',
          feature: 'session statements together with others in one request',
        });
        this.sendReady();
        return true;
      }
    }
    return false;
  }

  private endWithError(error: CallerError): void {
    this.sendError(error);
    this.options.endConnection();
  }

  private sendReady(): void {
    const status: TransactionStatus = this.transaction.status;
    this.options.output.write(getReadyForQuery(status));
  }
}

/** Whether the proxy runs a statement itself, without a backend server. */
function isLocalStatement(statement: StatementClass): boolean {
  switch (statement.kind) {
    case 'set':
    case 'show':
      return isProxyParameter(statement.parameter);
    case 'reset':
      return (
        statement.parameter === null || isProxyParameter(statement.parameter)
      );
    case 'discard':
    case 'deallocate':
      return true;
    case 'read':
    case 'write':
    case 'transaction':
    case 'prepare':
    case 'execute':
    case 'refused':
    case 'empty':
    case 'multiple':
      return false;
    default:
      return exhaustiveSwitchError(statement);
  }
}

function collectStatements(
  executed: readonly ClassifiedStatement[],
): readonly StatementClass[] {
  const statements: StatementClass[] = [];
  for (const classified of executed) {
    statements.push(...listStatements(classified.statementClass));
  }
  return statements;
}

function findRequestKey(
  executed: readonly ClassifiedStatement[],
): string | null {
  for (const classified of executed) {
    if (classified.requestKey !== null) {
      return classified.requestKey;
    }
  }
  return null;
}
