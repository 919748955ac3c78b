import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {
  BackendAnswer,
  BackendRejection,
  TransactionState,
} from '../statement/statement_answer.js';

/** Responses of simulated and fake backend servers. */

/** State of a connection and its server after a statement. @internal */
export interface AnswerState {
  readonly transactionState: TransactionState;
  readonly position: LogPosition;
}

/** Creates the response to a statement that was run. @internal */
export function createCompleteAnswer(
  signature: string,
  rows: readonly string[],
  state: AnswerState,
): BackendAnswer {
  return {rows, result: {kind: 'complete', signature}, ...state};
}

/** Creates a rejection whose error code is its kind. @internal */
export function createRejectedAnswer(
  rejection: BackendRejection,
  state: AnswerState,
): BackendAnswer {
  return {
    rows: [],
    result: {kind: 'rejected', rejection, code: rejection, text: ''},
    ...state,
  };
}
