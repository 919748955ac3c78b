import type {SqlError} from './sql_error.js';
import type {Row} from './sql_value.js';
import type {RowIntent} from './transaction.js';

/** Row intents and result rows of a statement. @internal */
export interface StatementEffect {
  readonly intents: readonly RowIntent[];
  /** The rows of the result, which may be computed lazily. */
  readonly rows: Iterable<Row>;
  /** Whether `rows` is computed lazily, while the client fetches it. */
  readonly isStreamed: boolean;
  /**
   * Error to report once no other transaction holds the rows of the intents,
   * or null.
   */
  readonly error: SqlError | null;
  /** Rows inserted, updated or deleted. */
  readonly affectedRows: number;
}
