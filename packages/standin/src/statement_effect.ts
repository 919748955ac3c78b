import type {SqlError} from './sql_error.js';
import type {Row} from './sql_value.js';
import type {RowIntent} from './transaction.js';

/** What a statement wants to change and answer. @internal */
export interface StatementEffect {
  readonly intents: readonly RowIntent[];
  /** The rows of the answer, which may be computed while they are taken. */
  readonly rows: Iterable<Row>;
  /** Whether `rows` is computed while it is taken. */
  readonly isStreamed: boolean;
  /** What to report once no other transaction holds the rows, or null. */
  readonly error: SqlError | null;
  /** Rows inserted, updated or deleted. */
  readonly affectedRows: number;
}
