import type {LogRecord} from '@filbertrun/standin/replication_log.js';

/** One change within a transaction. @public */
export type StoreOperation =
  | {readonly kind: 'book'; readonly bookingId: string}
  | {
      readonly kind: 'record';
      readonly requestKey: string;
      readonly statementHash: string;
      readonly answer: string;
    };

/** A committed transaction. @public */
export type StoreChange = readonly StoreOperation[];

/** A completion record as stored. @public */
export interface StoredCompletion {
  readonly statementHash: string;
  readonly answer: string;
}

/** The bookings and completion records of one instance. @public */
export class SimulatedStore {
  private readonly bookings = new Map<string, number>();
  private readonly completions = new Map<string, StoredCompletion>();

  private constructor() {}

  static create(): SimulatedStore {
    return new SimulatedStore();
  }

  /** Returns how many times a booking has run. */
  getCount(bookingId: string): number {
    return this.bookings.get(bookingId) ?? 0;
  }

  getCompletion(requestKey: string): StoredCompletion | null {
    return this.completions.get(requestKey) ?? null;
  }

  /** Returns the bookings that a read returns now. */
  getSnapshot(): ReadonlySet<string> {
    return new Set(this.bookings.keys());
  }

  apply(record: LogRecord<StoreChange>): void {
    if (record.body.kind === 'termStart') {
      return;
    }
    for (const operation of record.body.change) {
      this.applyOperation(operation);
    }
  }

  undo(record: LogRecord<StoreChange>): void {
    if (record.body.kind === 'termStart') {
      return;
    }
    for (const operation of record.body.change) {
      this.undoOperation(operation);
    }
  }

  private applyOperation(operation: StoreOperation): void {
    if (operation.kind === 'book') {
      const count = this.getCount(operation.bookingId) + 1;
      this.bookings.set(operation.bookingId, count);
      return;
    }
    const {requestKey, statementHash, answer} = operation;
    this.completions.set(requestKey, {statementHash, answer});
  }

  private undoOperation(operation: StoreOperation): void {
    if (operation.kind === 'record') {
      this.completions.delete(operation.requestKey);
      return;
    }
    const count = this.getCount(operation.bookingId) - 1;
    if (count === 0) {
      this.bookings.delete(operation.bookingId);
    } else {
      this.bookings.set(operation.bookingId, count);
    }
  }
}
