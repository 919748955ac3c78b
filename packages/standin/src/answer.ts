import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {Row} from './sql_value.js';

/** The answer of a statement. @internal */
export interface Answer {
  /** The place whose data the statement read. */
  readonly position: LogPosition;
  readonly rows: Iterable<Row>;
  /** Whether `rows` is computed while it is taken. */
  readonly isStreamed: boolean;
  /** Command tag; the number of rows follows when `countsRows`. */
  readonly tag: string;
  readonly countsRows: boolean;
  /** Place of the commit that the statement made, or null. */
  readonly commitPosition: LogPosition | null;
}

const NO_ROWS: readonly Row[] = [];

/** Creates the answer of a command without rows. @internal */
export function createCommandAnswer(
  tag: string,
  position: LogPosition,
  commitPosition: LogPosition | null = null,
): Answer {
  return {
    position,
    rows: NO_ROWS,
    isStreamed: false,
    tag,
    countsRows: false,
    commitPosition,
  };
}

/** Creates the answer of a statement whose tag counts the rows sent. @internal */
export function createRowsAnswer(
  tag: string,
  position: LogPosition,
  rows: Iterable<Row>,
  isStreamed = false,
): Answer {
  return {
    position,
    rows,
    isStreamed,
    tag,
    countsRows: true,
    commitPosition: null,
  };
}
