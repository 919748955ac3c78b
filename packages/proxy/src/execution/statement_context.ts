import type {RequestPriority} from '@filbertrun/model/configuration.js';
import type {CallerError} from '@filbertrun/model/outcome.js';
import type {TransactionStatus} from '@filbertrun/wire/protocol_constants.js';
import type {BackendConnection} from '../backend/backend_connection.js';
import type {CallerOutput} from '../caller/caller_output.js';
import type {SessionState} from '../session/session_state.js';
import type {
  ConnectionLease,
  DatabaseGroupAccess,
} from './database_group_access.js';
import type {RunningStatement} from './running_statement.js';
import type {StatementRequest} from './statement_request.js';

/** All that the execution of one statement needs. @public */
export interface StatementContext {
  readonly group: DatabaseGroupAccess;
  readonly session: SessionState;
  readonly output: CallerOutput;
  readonly request: StatementRequest;
  readonly running: RunningStatement;
  readonly priority: RequestPriority;
  /** Time at which the proxy gives the statement up. */
  readonly deadlineMs: number;
  /** Called when the answer is complete, before the connection can be given back. */
  readonly handleComplete: (
    connection: BackendConnection,
    completion: StatementCompletion,
  ) => void;
}

/** How the backend server ended a statement. @public */
export interface StatementCompletion {
  readonly status: TransactionStatus;
  readonly hasError: boolean;
}

/**
 * How an execution ended. Except for ReadyForQuery, the answer has been sent
 * when it is `answered`; the error of `failed` has not.
 *
 * @public
 */
export type ExecutionResult =
  | {
      readonly kind: 'answered';
      readonly status: TransactionStatus;
      /** Connection that the open transaction keeps, or null. */
      readonly lease: ConnectionLease | null;
      /** Whether the statement ended with an error of the backend server. */
      readonly hasError: boolean;
    }
  | {readonly kind: 'failed'; readonly error: CallerError};

/** Wraps an error of the proxy. @public */
export function createFailure(error: CallerError): ExecutionResult {
  return {kind: 'failed', error};
}
