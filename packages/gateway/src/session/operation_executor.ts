import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {SessionContext} from '../backend/pooled_connection.js';
import type {CallerStatement} from '../statement/caller_statement.js';
import type {
  BackendAnswer,
  StatementReply,
} from '../statement/statement_answer.js';
import type {StatementContext} from './gateway_context.js';
import {getResponseOutcome} from './lease_outcome.js';
import type {OpenTransaction} from './open_transaction.js';
import {ReadExecutor, type AnsweredRead} from './read_executor.js';
import {createErrorReply} from './refusal.js';
import {SessionTransaction} from './session_transaction.js';
import {WriteExecutor} from './write_executor.js';

/** The first statement of an operation: a single statement or a `begin`. @public */
export interface Operation {
  readonly statement: CallerStatement;
  /** Whether the statement writes, also by a prepared statement. */
  readonly isWrite: boolean;
  readonly session: SessionContext;
  /** Minimum position at which the session sees its own commits, or null. */
  readonly sessionFloor: LogPosition | null;
  /** Idle timeout of the transaction that a `begin` opens. */
  readonly idleTimeoutMs: number;
}

/** Result of the first statement of an operation. @public */
export interface OperationResult {
  readonly reply: StatementReply;
  /** The transaction that was opened, or null. */
  readonly transaction: OpenTransaction | null;
  /** Log position of an acknowledged write, or null. */
  readonly committedPosition: LogPosition | null;
}

/** Runs the first statement of an operation. @public */
export interface OperationExecutor {
  execute(
    context: StatementContext,
    operation: Operation,
  ): Promise<OperationResult>;
}

/** Runs operations on this proxy's own connections. @public */
export class LocalOperationExecutor implements OperationExecutor {
  private constructor() {}

  static create(): LocalOperationExecutor {
    return new LocalOperationExecutor();
  }

  execute(
    context: StatementContext,
    operation: Operation,
  ): Promise<OperationResult> {
    if (operation.statement.kind === 'begin') {
      return this.begin(context, operation, operation.statement.isReadOnly);
    }
    return operation.isWrite
      ? this.write(context, operation)
      : this.read(context, operation);
  }

  private async read(
    context: StatementContext,
    operation: Operation,
  ): Promise<OperationResult> {
    const result = await executeRead(context, operation, false);
    if ('kind' in result) {
      return createErrorResult(result);
    }
    const {answer, lease} = result;
    const condition = answer.transactionState === 'idle' ? 'clean' : 'dirty';
    lease.release(condition, getResponseOutcome(answer.result));
    return createResult(answer);
  }

  private async write(
    context: StatementContext,
    {statement, session}: Operation,
  ): Promise<OperationResult> {
    const result = await WriteExecutor.create(context, {
      statement,
      session,
    }).run();
    if ('kind' in result) {
      return createErrorResult(result);
    }
    const isComplete = result.result.kind === 'complete';
    return {
      ...createResult(result),
      committedPosition: isComplete ? result.position : null,
    };
  }

  private async begin(
    context: StatementContext,
    operation: Operation,
    isReadOnly: boolean,
  ): Promise<OperationResult> {
    const result = await executeRead(context, operation, !isReadOnly);
    if ('kind' in result) {
      return createErrorResult(result);
    }
    const {answer, lease} = result;
    if (answer.transactionState === 'idle') {
      lease.release('clean', getResponseOutcome(answer.result));
      return createResult(answer);
    }
    const transaction = SessionTransaction.create(
      result,
      context,
      operation.idleTimeoutMs,
    );
    return {...createResult(answer), transaction};
  }
}

/** Executes a read or a `begin`, which can both be retried. */
function executeRead(
  context: StatementContext,
  {statement, session, sessionFloor}: Operation,
  needsPrimary: boolean,
): Promise<AnsweredRead | CallerError> {
  return ReadExecutor.create(context, {
    statement,
    session,
    sessionFloor,
    needsPrimary,
  }).run();
}

function createErrorResult(error: CallerError): OperationResult {
  const reply = createErrorReply(error, 'idle');
  return {reply, transaction: null, committedPosition: null};
}

function createResult(answer: BackendAnswer): OperationResult {
  const {rows, result, transactionState, position} = answer;
  const reply: StatementReply = {rows, result, transactionState, position};
  return {reply, transaction: null, committedPosition: null};
}
