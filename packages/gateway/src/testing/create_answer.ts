import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {
  BackendAnswer,
  BackendRejection,
  TransactionState,
} from '../statement/statement_answer.js';

/** Answers of backend servers in memory. */

/** State of a connection and its server after a statement. @internal */
export interface AnswerState {
  readonly transactionState: TransactionState;
  readonly position: LogPosition;
}

/** A statement was carried out. @internal */
export function createCompleteAnswer(
  signature: string,
  rows: readonly string[],
  end: AnswerState,
): BackendAnswer {
  return {rows, result: {kind: 'complete', signature}, ...end};
}

/** A statement was rejected; its code is the rejection itself. @internal */
export function createRejectedAnswer(
  rejection: BackendRejection,
  end: AnswerState,
): BackendAnswer {
  return {
    rows: [],
    result: {kind: 'rejected', rejection, code: rejection, text: ''},
    ...end,
  };
}
