import type {CallerError} from '@filbertrun/model/outcome.js';
import type {PoolError} from '@filbertrun/pool/pool_types.js';
import type {
  StatementReply,
  TransactionState,
} from '../statement/statement_answer.js';

/** Return suggested while a database group has no primary. */
export const NO_PRIMARY_RETRY_AFTER_MS = 300;

/** Return suggested when no server could take a read. */
export const NO_SERVER_RETRY_AFTER_MS = 100;

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
      return {kind: 'unavailable', retryAfterMs: NO_SERVER_RETRY_AFTER_MS};
  }
}
