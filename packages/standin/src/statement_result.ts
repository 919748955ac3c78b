import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {Row} from './sql_value.js';

/** The result of a statement. @internal */
export interface StatementResult {
  /** Log position of the data that the statement read. */
  readonly position: LogPosition;
  readonly rows: Iterable<Row>;
  /** Whether `rows` is computed lazily, while the client fetches it. */
  readonly isStreamed: boolean;
  /** Command tag; if `countsRows`, the number of rows is appended. */
  readonly tag: string;
  readonly countsRows: boolean;
  /** Position of the commit that the statement made, or null. */
  readonly commitPosition: LogPosition | null;
}

const NO_ROWS: readonly Row[] = [];

/** Creates the result of a command that returns no rows. @internal */
export function createCommandResult(
  tag: string,
  position: LogPosition,
  commitPosition: LogPosition | null = null,
): StatementResult {
  return {
    position,
    rows: NO_ROWS,
    isStreamed: false,
    tag,
    countsRows: false,
    commitPosition,
  };
}

/** Creates a result whose command tag counts the rows sent. @internal */
export function createRowsResult(
  tag: string,
  position: LogPosition,
  rows: Iterable<Row>,
  isStreamed = false,
): StatementResult {
  return {
    position,
    rows,
    isStreamed,
    tag,
    countsRows: true,
    commitPosition: null,
  };
}
