import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {ConnectionIdentity} from '@filbertrun/pool/pool_types.js';
import type {SessionContext} from '../backend/pooled_connection.js';
import {
  getRemainingMs,
  type StatementContext,
} from '../session/gateway_context.js';
import {
  createLaterContext,
  createTransactionLostReply,
  endsTransaction,
  type OpenTransaction,
} from '../session/open_transaction.js';
import {createErrorReply} from '../session/refusal.js';
import {recordOutcomeUnknown} from '../session/statement_events.js';
import type {
  CallerStatement,
  StatementRequest,
} from '../statement/caller_statement.js';
import type {
  StatementReply,
  TransactionState,
} from '../statement/statement_answer.js';
import {computeReplyTimeoutMs} from './compute_reply_timeout.js';
import {describeForwardError} from './describe_forward_error.js';
import type {
  ForwardClientStream,
  ForwardError,
} from './forward_client_stream.js';
import {toForwardable, type ForwardReply} from './forward_message.js';

/** Options of a {@link ForwardedTransaction}. @public */
export interface ForwardedTransactionOptions {
  readonly stream: ForwardClientStream;
  /** Exchange id of the `begin` that opened the transaction. */
  readonly transactionId: number;
  /** Entry VM of the holder. */
  readonly holder: string;
  readonly beginContext: StatementContext;
}

/**
 * An open transaction on a connection of the holder. If the stream to the holder
 * is lost, so is the transaction: the holder rolls it back.
 *
 * @public
 */
export class ForwardedTransaction implements OpenTransaction {
  committedPosition: LogPosition | null = null;
  private state: TransactionState = 'open';
  private hasWritten = false;
  /** Whether the holder no longer has the transaction. */
  private isLost = false;

  private constructor(private readonly options: ForwardedTransactionOptions) {}

  static create(options: ForwardedTransactionOptions): ForwardedTransaction {
    return new ForwardedTransaction(options);
  }

  get transactionState(): TransactionState {
    return this.state;
  }

  get identity(): ConnectionIdentity {
    return this.options.beginContext.identity;
  }

  createContext(request: StatementRequest): StatementContext {
    return createLaterContext(this.options.beginContext, request);
  }

  async handle(
    context: StatementContext,
    statement: CallerStatement,
    session: SessionContext,
    isWrite: boolean,
  ): Promise<StatementReply> {
    const forwardable = toForwardable(statement);
    if (this.isLost || forwardable === null) {
      return this.createLostReply(statement);
    }
    this.hasWritten ||= isWrite;
    const {stream, transactionId} = this.options;
    const exchange = stream.sendStatement(
      transactionId,
      {
        requestId: context.requestId,
        statement: forwardable,
        isWrite,
        values: [...session.values],
        prepared: session.prepared,
        remainingMs: Math.max(0, getRemainingMs(context)),
      },
      computeReplyTimeoutMs(context),
    );
    const result = await exchange.result;
    return result.ok
      ? this.handleReply(result.value)
      : this.handleError(context, statement, result.error);
  }

  refuse(statement: CallerStatement, error: CallerError): StatementReply {
    this.abandon();
    this.state = endsTransaction(statement) ? 'idle' : 'failed';
    return createErrorReply(error, this.state);
  }

  abandon(): void {
    if (!this.isLost) {
      this.isLost = true;
      this.options.stream.abandon(this.options.transactionId);
    }
  }

  private handleReply({
    reply,
    committedPosition,
  }: ForwardReply): StatementReply {
    this.state = reply.transactionState;
    this.committedPosition = committedPosition;
    return reply;
  }

  private handleError(
    context: StatementContext,
    statement: CallerStatement,
    error: ForwardError,
  ): StatementReply {
    this.abandon();
    const reason = `holder: ${describeForwardError(error)}`;
    const mayHaveRun =
      error.kind === 'connectionLost' || error.kind === 'timedOut';
    if (statement.kind === 'commit' && this.hasWritten && mayHaveRun) {
      this.state = 'idle';
      recordOutcomeUnknown(context, this.options.holder, reason);
      return createErrorReply({kind: 'outcomeUnknown'}, 'idle');
    }
    context.gateway.events.record({
      kind: 'transactionLost',
      requestId: context.requestId,
      backendServer: this.options.holder,
      reason,
    });
    return this.createLostReply(statement);
  }

  /** Reports to the caller that the transaction was not committed. */
  private createLostReply(statement: CallerStatement): StatementReply {
    const reply = createTransactionLostReply(statement);
    this.state = reply.transactionState;
    return reply;
  }
}
