import type {CallerError} from '@filbertrun/model/outcome.js';
import type {PoolError} from '@filbertrun/pool/pool_types.js';
import type {
  StatementReply,
  TransactionState,
} from '../statement/statement_answer.js';

/** Return suggested while a database group has no primary. */
const NO_PRIMARY_RETRY_AFTER_MS = 300;

/** Return suggested when no server could take a read. */
const NO_SERVER_RETRY_AFTER_MS = 100;

/** No primary could take a statement; nothing was run. @public */
export const PRIMARY_UNAVAILABLE: CallerError = {
  kind: 'unavailable',
  retryAfterMs: NO_PRIMARY_RETRY_AFTER_MS,
};

/** No server could take a statement; nothing was run. @public */
export const SERVER_UNAVAILABLE: CallerError = {
  kind: 'unavailable',
  retryAfterMs: NO_SERVER_RETRY_AFTER_MS,
};

/** A server had no room for a statement; nothing was run. @public */
export const SERVER_OVERLOADED: CallerError = {
  kind: 'overloaded',
  retryAfterMs: NO_SERVER_RETRY_AFTER_MS,
};

/** An attempt at a statement that brought no answer. @public */
export interface FailedAttempt<Kind extends string> {
  readonly kind: Kind;
  readonly error: CallerError;
  readonly reason: string;
}

/** A reply that carries an error of the proxy. @public */
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

/** A reply to a statement that the proxy carried out itself. @public */
export function createLocalReply(
  transactionState: TransactionState,
): StatementReply {
  return {rows: [], result: {kind: 'local'}, transactionState, position: null};
}

/** Turns a pool's refusal into an error for the caller; nothing was run. @public */
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
