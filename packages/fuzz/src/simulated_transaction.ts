import type {
  PlannedStatement,
  StatementResponse,
} from '@filbertrun/completion/completion_plan.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {SimulatedStore, StoreOperation} from './simulated_store.js';

/** Dependencies of a transaction on its instance. @public */
export interface TransactionHost {
  isPrimary(): boolean;
  getStore(): SimulatedStore;
  getEnd(): LogPosition;
  /** Whether another open transaction has inserted the key. */
  isKeyInUse(requestKey: string, by: SimulatedTransaction): boolean;
  commit(operations: readonly StoreOperation[]): LogPosition;
}

const INSERT_PATTERN = /VALUES \('(.*?)', '(.*?)', '(.*?)', \d+\)$/;
const LOOKUP_PATTERN = /request_key = '(.*)'$/;

/**
 * The transaction state of one connection to a simulated instance. Runs the
 * statements that the completion plan sends, and bookings.
 *
 * @public
 */
export class SimulatedTransaction {
  private operations: StoreOperation[] = [];
  private isOpen = false;
  private isFailed = false;

  private constructor(private readonly host: TransactionHost) {}

  static create(host: TransactionHost): SimulatedTransaction {
    return new SimulatedTransaction(host);
  }

  /** Runs a statement; the caller's statement books `bookingId`. */
  execute(statement: PlannedStatement, bookingId: string): StatementResponse {
    const sql = statement.kind === 'internal' ? statement.sql : 'BOOK';
    if (sql === 'ROLLBACK') {
      this.abort();
      return this.complete([]);
    }
    if (sql === 'COMMIT') {
      return this.commit();
    }
    if (this.isFailed) {
      return fail('25P02');
    }
    const response = this.run(sql, bookingId);
    this.isFailed = this.isOpen && response.kind === 'failed';
    return response;
  }

  /** Whether this open transaction has inserted the key. */
  holdsKey(requestKey: string): boolean {
    return this.operations.some(
      operation =>
        operation.kind === 'record' && operation.requestKey === requestKey,
    );
  }

  abort(): void {
    this.operations = [];
    this.isOpen = false;
    this.isFailed = false;
  }

  private run(sql: string, bookingId: string): StatementResponse {
    if (sql === 'BEGIN') {
      this.isOpen = true;
      return this.complete([]);
    }
    if (sql.startsWith('SELECT')) {
      return this.lookUp(LOOKUP_PATTERN.exec(sql)?.[1] ?? '');
    }
    if (!this.host.isPrimary()) {
      return fail('25006');
    }
    if (sql.startsWith('INSERT')) {
      return this.insertRecord(sql);
    }
    return this.book(bookingId);
  }

  private book(bookingId: string): StatementResponse {
    this.operations.push({kind: 'book', bookingId});
    const storedAnswer = `booked ${bookingId}`;
    if (this.isOpen) {
      return this.complete([], storedAnswer);
    }
    return {...this.commitOperations(), storedAnswer};
  }

  private insertRecord(sql: string): StatementResponse {
    const match = INSERT_PATTERN.exec(sql);
    const [, requestKey = '', statementHash = '', answer = ''] = match ?? [];
    const isKeyTaken =
      this.host.getStore().getCompletion(requestKey) !== null ||
      this.host.isKeyInUse(requestKey, this);
    if (isKeyTaken) {
      return fail('23505');
    }
    this.operations.push({kind: 'record', requestKey, statementHash, answer});
    return this.complete([]);
  }

  private lookUp(requestKey: string): StatementResponse {
    const record = this.host.getStore().getCompletion(requestKey);
    return this.complete(
      record === null ? [] : [[record.statementHash, record.answer]],
    );
  }

  private commit(): StatementResponse {
    if (this.isFailed || !this.isOpen) {
      this.abort();
      return this.complete([]);
    }
    if (!this.host.isPrimary()) {
      this.abort();
      return fail('57P01');
    }
    return this.commitOperations();
  }

  private commitOperations(): Extract<StatementResponse, {kind: 'completed'}> {
    const position = this.host.commit(this.operations);
    this.abort();
    return {kind: 'completed', rows: [], position, storedAnswer: null};
  }

  private complete(
    rows: readonly (readonly string[])[],
    storedAnswer: string | null = null,
  ): StatementResponse {
    return {
      kind: 'completed',
      rows,
      position: this.host.getEnd(),
      storedAnswer,
    };
  }
}

function fail(sqlState: string): StatementResponse {
  return {kind: 'failed', sqlState};
}
