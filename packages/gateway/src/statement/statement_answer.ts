import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {CallerError} from '@filbertrun/model/outcome.js';

/** Answers of backend servers and the replies that callers get. */

/** State of a session's transaction after an answer. @public */
export type TransactionState = 'idle' | 'open' | 'failed';

/**
 * Why a backend server rejected a statement. Only `executionFailed` and
 * `executionTimedOut` say that it was run.
 *
 * @public
 */
export type BackendRejection =
  | 'overloaded'
  | 'unknownPreparedName'
  | 'positionNotReached'
  | 'notPrimary'
  | 'wrongBackendServer'
  | 'tooManyConnections'
  | 'transactionAborted'
  | 'executionFailed'
  | 'executionTimedOut'
  | 'invalidStatement'
  | 'other';

/** How a backend server ended a statement. @public */
export type BackendResult =
  | {readonly kind: 'complete'; readonly signature: string}
  | {
      readonly kind: 'rejected';
      readonly rejection: BackendRejection;
      /** Code and text as received, to be relayed unchanged. */
      readonly code: string;
      readonly text: string;
    };

/** The whole answer of a backend server to one statement. @public */
export interface BackendAnswer {
  readonly rows: readonly string[];
  readonly result: BackendResult;
  readonly transactionState: TransactionState;
  /** End of the server's log when it answered, or null when it gave none. */
  readonly position: LogPosition | null;
}

/** How a statement ended for its caller. @public */
export type ReplyResult =
  | BackendResult
  /** The proxy carried out the statement itself. */
  | {readonly kind: 'local'}
  | {readonly kind: 'error'; readonly error: CallerError};

/** The reply to one statement of a caller. @public */
export interface StatementReply {
  readonly rows: readonly string[];
  readonly result: ReplyResult;
  readonly transactionState: TransactionState;
  readonly position: LogPosition | null;
}

/** Whether a rejection says that the statement was not run. @public */
export function isNotRun(rejection: BackendRejection): boolean {
  switch (rejection) {
    case 'overloaded':
    case 'unknownPreparedName':
    case 'positionNotReached':
    case 'notPrimary':
    case 'wrongBackendServer':
    case 'tooManyConnections':
      return true;
    case 'transactionAborted':
    case 'executionFailed':
    case 'executionTimedOut':
    case 'invalidStatement':
    case 'other':
      return false;
  }
}
