import type {Clock} from '@filbertrun/base/clock.js';
import {failure, type Result} from '@filbertrun/base/result.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {ConnectionIdentity} from '@filbertrun/pool/pool_types.js';
import type {
  BackendCommand,
  BackendConnectionError,
} from '../backend/backend_connection.js';
import {
  getPreparedStatementName,
  type PooledConnection,
  type SessionContext,
} from '../backend/pooled_connection.js';
import type {OperationPermit} from '../quota/operation_permit.js';
import type {CallerStatement} from '../statement/caller_statement.js';
import type {BackendAnswer} from '../statement/statement_answer.js';

/** A statement to run on a backend connection. @public */
export interface ConnectionRequest {
  readonly requestId: string;
  readonly statement: CallerStatement;
  readonly requiredPosition: LogPosition | null;
  readonly session: SessionContext;
  /** Identity that the connection must have been opened under. */
  readonly identity: ConnectionIdentity;
  readonly permit: OperationPermit;
  readonly deadlineMs: number;
  /** Called just before the statement is sent; false prevents the send. */
  readonly confirmSend: () => boolean;
}

/** Reason why a statement received no response on a connection. @public */
export type RunError =
  | BackendConnectionError
  /** A preparation command was rejected, so the statement was not sent. */
  | {readonly kind: 'preparationFailed'; readonly code: string}
  /** `confirmSend` returned false, so the statement was not sent. */
  | {readonly kind: 'sendDeclined'};

/**
 * Applies the state of the session to a connection and runs a statement on it.
 *
 * @public
 */
export async function runOnConnection(
  pooled: PooledConnection,
  request: ConnectionRequest,
  clock: Clock,
): Promise<Result<BackendAnswer, RunError>> {
  if (pooled.identity !== request.identity) {
    return failure({
      kind: 'notSent',
      reason: 'the connection has another identity',
    });
  }
  const preparation = await prepareConnection(pooled, request, clock);
  if (preparation !== null) {
    return failure(preparation);
  }
  if (!request.confirmSend()) {
    return failure({kind: 'sendDeclined'});
  }
  request.permit.markSent();
  const command: BackendCommand = {
    kind: 'callerStatement',
    requestId: request.requestId,
    statement: replacePreparedName(request),
    requiredPosition: request.requiredPosition,
  };
  const result = await pooled.connection.execute(
    command,
    request.deadlineMs - clock.nowMs(),
  );
  const {prepared} = request.session;
  const isNameUnknown =
    result.ok &&
    result.value.result.kind === 'rejected' &&
    result.value.result.rejection === 'unknownPreparedName';
  if (isNameUnknown && prepared !== null) {
    pooled.removePrepared(prepared);
  }
  return result;
}

/** Applies the session's state; returns the error if that failed, else null. */
async function prepareConnection(
  pooled: PooledConnection,
  request: ConnectionRequest,
  clock: Clock,
): Promise<RunError | null> {
  for (const command of pooled.planPreparation(request.session)) {
    const timeoutMs = request.deadlineMs - clock.nowMs();
    const result = await pooled.connection.execute(command, timeoutMs);
    if (!result.ok) {
      // The caller's statement has not been sent, even if the outcome of the
      // preparation command is unknown.
      const reason =
        result.error.kind === 'timedOut' ? 'timed out' : result.error.reason;
      return {kind: 'notSent', reason: `preparation: ${reason}`};
    }
    const {result: commandResult} = result.value;
    if (commandResult.kind === 'rejected') {
      return {kind: 'preparationFailed', code: commandResult.code};
    }
    pooled.recordPreparation(command);
  }
  return null;
}

/** Replaces a session's prepared name by the one used on the connection. */
function replacePreparedName(request: ConnectionRequest): CallerStatement {
  const {statement, session} = request;
  if (statement.kind !== 'execute' || session.prepared === null) {
    return statement;
  }
  return {...statement, name: getPreparedStatementName(session.prepared)};
}
