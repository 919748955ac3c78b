import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {CallerError} from '@filbertrun/model/outcome.js';

/** Responses of backend servers and replies to callers. */

/** State of a session's transaction after a response. @public */
export type TransactionState = 'idle' | 'open' | 'failed';

/**
 * Reason why a backend server rejected a statement. Only `executionFailed` and
 * `executionTimedOut` mean that the statement was run.
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

/** Result of a statement at a backend server. @public */
export type BackendResult =
  /** The signature is the text of the server's confirmation, relayed unchanged. */
  | {readonly kind: 'complete'; readonly signature: string}
  | {
      readonly kind: 'rejected';
      readonly rejection: BackendRejection;
      /** Code and text as received; relayed unchanged. */
      readonly code: string;
      readonly text: string;
    };

/** Complete response of a backend server to one statement. @public */
export interface BackendAnswer {
  readonly rows: readonly string[];
  readonly result: BackendResult;
  readonly transactionState: TransactionState;
  /**
   * End of the server's log at the time of the response; null if not reported.
   */
  readonly position: LogPosition | null;
}

/** Result of a statement as reported to its caller. @public */
export type ReplyResult =
  | BackendResult
  /** The proxy handled the statement itself. */
  | {readonly kind: 'local'}
  | {readonly kind: 'error'; readonly error: CallerError};

/** Reply to one statement of a caller. @public */
export interface StatementReply {
  readonly rows: readonly string[];
  readonly result: ReplyResult;
  readonly transactionState: TransactionState;
  /** As in the server's response; null if the proxy replied itself. */
  readonly position: LogPosition | null;
}

/** Whether the rejection guarantees that the statement was not run. @public */
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
