import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {ConnectionIdentity} from '@filbertrun/pool/pool_types.js';
import type {SessionContext} from '../backend/pooled_connection.js';
import type {
  CallerStatement,
  StatementRequest,
} from '../statement/caller_statement.js';
import type {
  StatementReply,
  TransactionState,
} from '../statement/statement_answer.js';
import type {StatementContext} from './gateway_context.js';
import {
  createErrorReply,
  createLocalReply,
  TRANSACTION_LOST,
} from './refusal.js';

/**
 * The open transaction of a session, on a connection of this proxy or of the
 * proxy that holds the connections to the database group.
 *
 * @public
 */
export interface OpenTransaction {
  /** State reported to the caller; `idle` once the transaction has ended. */
  readonly transactionState: TransactionState;
  /** Identity of the connection on which the transaction runs. */
  readonly identity: ConnectionIdentity;
  /** Log position of the commit once it has been acknowledged, else null. */
  readonly committedPosition: LogPosition | null;
  /** Creates the context of a later statement, with the route of `begin`. */
  createContext(request: StatementRequest): StatementContext;
  /** Runs a statement in the transaction, or ends it. */
  handle(
    context: StatementContext,
    statement: CallerStatement,
    session: SessionContext,
    isWrite: boolean,
  ): Promise<StatementReply>;
  /** Rolls back because the caller may not go on with the transaction. */
  refuse(statement: CallerStatement, error: CallerError): StatementReply;
  /** Ends the transaction without a commit because its caller disconnected. */
  abandon(): void;
}

/**
 * Creates the context of a later statement of a transaction: that of `begin`
 * with the request's own id and deadline.
 *
 * @public
 */
export function createLaterContext(
  beginContext: StatementContext,
  {requestId, receivedAtMs}: StatementRequest,
): StatementContext {
  return {
    ...beginContext,
    requestId,
    receivedAtMs,
    deadlineMs: receivedAtMs + beginContext.route.statementTimeoutMs,
  };
}

/** Whether a statement ends a transaction. @public */
export function endsTransaction({kind}: CallerStatement): boolean {
  return kind === 'commit' || kind === 'rollback';
}

/**
 * Creates the reply to a statement of a transaction that was lost, and so not
 * committed. A rollback has nothing left to do.
 *
 * @public
 */
export function createTransactionLostReply(
  statement: CallerStatement,
): StatementReply {
  return statement.kind === 'rollback'
    ? createLocalReply('idle')
    : createErrorReply(
        TRANSACTION_LOST,
        endsTransaction(statement) ? 'idle' : 'failed',
      );
}
