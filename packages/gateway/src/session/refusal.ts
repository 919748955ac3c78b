import type {CallerError} from '@filbertrun/model/outcome.js';
import type {PoolError} from '@filbertrun/pool/pool_types.js';
import type {
  StatementReply,
  TransactionState,
} from '../statement/statement_answer.js';

/** Retry delay suggested while a database group has no primary. */
const NO_PRIMARY_RETRY_AFTER_MS = 300;

/** Retry delay suggested when no server could run a statement. */
const NO_SERVER_RETRY_AFTER_MS = 100;

/** No primary was available; the statement was not run. @public */
export const PRIMARY_UNAVAILABLE: CallerError = {
  kind: 'unavailable',
  retryAfterMs: NO_PRIMARY_RETRY_AFTER_MS,
};

/** No server was available; the statement was not run. @public */
export const SERVER_UNAVAILABLE: CallerError = {
  kind: 'unavailable',
  retryAfterMs: NO_SERVER_RETRY_AFTER_MS,
};

/** Retry delay suggested while the configuration may be out of date. */
const NO_CONFIGURATION_RETRY_AFTER_MS = 200;

/**
 * The configuration of this proxy may be out of date; the statement was not run.
 *
 * @public
 */
export const CONFIGURATION_UNAVAILABLE: CallerError = {
  kind: 'unavailable',
  retryAfterMs: NO_CONFIGURATION_RETRY_AFTER_MS,
};

/** Retry delay suggested to a caller whose transaction was lost. */
const LOST_RETRY_AFTER_MS = 50;

/** The transaction was rolled back and can be repeated. @public */
export const TRANSACTION_LOST: CallerError = {
  kind: 'transactionLost',
  retryAfterMs: LOST_RETRY_AFTER_MS,
};

/** The server had no free capacity; the statement was not run. @public */
export const SERVER_OVERLOADED: CallerError = {
  kind: 'overloaded',
  retryAfterMs: NO_SERVER_RETRY_AFTER_MS,
};

/** Failed attempt to run a statement, with the error to report. @public */
export interface FailedAttempt<Kind extends string> {
  readonly kind: Kind;
  readonly error: CallerError;
  readonly reason: string;
}

/** Creates a reply with an error of the proxy. @public */
export function createErrorReply(
  error: CallerError,
  transactionState: TransactionState,
): StatementReply {
  return {
    rows: [],
    result: {kind: 'error', error},
    transactionState,
    position: null,
  };
}

/** Creates the reply to a statement that the proxy handled itself. @public */
export function createLocalReply(
  transactionState: TransactionState,
): StatementReply {
  return {rows: [], result: {kind: 'local'}, transactionState, position: null};
}

/**
 * Converts an error of a connection pool to an error for the caller. The
 * statement was not run.
 *
 * @public
 */
export function convertPoolError(error: PoolError): CallerError {
  switch (error.kind) {
    case 'overloaded':
      return {kind: 'overloaded', retryAfterMs: error.retryAfterMs};
    case 'draining':
    case 'unreachable':
      return {kind: 'unavailable', retryAfterMs: error.retryAfterMs};
    case 'cancelled':
    case 'disposed':
      return SERVER_UNAVAILABLE;
  }
}
