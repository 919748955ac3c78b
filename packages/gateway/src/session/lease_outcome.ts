import type {LeaseOutcome} from '@filbertrun/pool/pool_types.js';
import type {BackendResult} from '../statement/statement_answer.js';
import type {RunError} from './run_on_connection.js';

/** What the results of statements show about a server's capacity. */

/** Returns the outcome that a server's response means for its pool. @public */
export function getResponseOutcome(result: BackendResult): LeaseOutcome {
  if (result.kind === 'complete') {
    return 'served';
  }
  switch (result.rejection) {
    case 'overloaded':
    case 'tooManyConnections':
      return 'rejected';
    case 'executionFailed':
      return 'failed';
    case 'executionTimedOut':
      return 'timedOut';
    // These depend on the statement, its session or the server's role, and
    // take no time that is comparable with that of a statement.
    case 'positionNotReached':
    case 'notPrimary':
    case 'wrongBackendServer':
    case 'unknownPreparedName':
    case 'transactionAborted':
    case 'invalidStatement':
    case 'other':
      return 'unused';
  }
}

/** Returns the outcome that a missing response means for a pool. @public */
export function getRunErrorOutcome(error: RunError): LeaseOutcome {
  switch (error.kind) {
    case 'timedOut':
      return 'timedOut';
    case 'connectionLost':
      return 'failed';
    case 'notSent':
    case 'preparationFailed':
    case 'sendDeclined':
      return 'unused';
  }
}
