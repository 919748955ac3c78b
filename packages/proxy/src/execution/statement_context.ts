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

/** Inputs for the execution of one statement. @public */
export interface StatementContext {
  readonly group: DatabaseGroupAccess;
  readonly session: SessionState;
  readonly output: CallerOutput;
  readonly request: StatementRequest;
  readonly running: RunningStatement;
  readonly priority: RequestPriority;
  /** Time after which the proxy stops waiting or retrying. */
  readonly deadlineMs: number;
  /**
   * Called when the response is complete, before the connection can be
   * released.
   */
  readonly handleComplete: (
    connection: BackendConnection,
    completion: StatementCompletion,
  ) => void;
}

/** Status that the backend server reported after a statement. @public */
export interface StatementCompletion {
  readonly status: TransactionStatus;
  readonly hasError: boolean;
}

/**
 * Result of an execution. After `answered`, the response except for
 * ReadyForQuery has been sent to the caller. After `failed`, the error has not
 * been sent.
 *
 * @public
 */
export type ExecutionResult =
  | {
      readonly kind: 'answered';
      readonly status: TransactionStatus;
      /** Connection that is kept for the open transaction, or null. */
      readonly lease: ConnectionLease | null;
      /** Whether the backend server returned an error. */
      readonly hasError: boolean;
    }
  | {readonly kind: 'failed'; readonly error: CallerError};

/** Creates the result for an error of the proxy itself. @public */
export function createFailure(error: CallerError): ExecutionResult {
  return {kind: 'failed', error};
}
