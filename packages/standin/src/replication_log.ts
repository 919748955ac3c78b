import {
  ORIGIN_POSITION,
  type LogPosition,
} from '@filbertrun/model/log_position.js';

/**
 * The log of one instance: records at consecutive positions, starting at 1. A
 * prefix that every instance holds may have been dropped.
 */

/** Content of a record: the start of a term or a data change. @public */
export type LogRecordBody<Change> =
  | {readonly kind: 'termStart'; readonly claimId: string}
  | {readonly kind: 'change'; readonly change: Change};

/** A record of the log. @public */
export interface LogRecord<Change> extends LogPosition {
  readonly body: LogRecordBody<Change>;
  /** Time of the append on the clock of the primary of `term`. */
  readonly appendedAtMs: number;
}

/** Consecutive records that the primary of a term sends. @public */
export interface RecordBatch<Change> {
  readonly term: number;
  /** Position immediately before the first record. */
  readonly previous: LogPosition;
  readonly records: readonly LogRecord<Change>[];
}

/** Changes that a batch made to a log. @public */
export interface MergeResult<Change> {
  /** Truncated records, last first. */
  readonly truncated: readonly LogRecord<Change>[];
  readonly added: readonly LogRecord<Change>[];
  /** Last position up to which the log is known to equal the primary's. */
  readonly matched: LogPosition;
}

/** The log of one instance. @public */
export class ReplicationLog<Change> {
  private records: LogRecord<Change>[] = [];
  /** Position immediately before the first of `records`. */
  private base: LogPosition = ORIGIN_POSITION;

  private constructor() {}

  static create<Change>(): ReplicationLog<Change> {
    return new ReplicationLog();
  }

  /** The last position of the log. */
  getEnd(): LogPosition {
    const last = this.records[this.records.length - 1];
    return last === undefined
      ? this.base
      : {term: last.term, position: last.position};
  }

  /** The last position that was dropped, or the origin. */
  getBase(): LogPosition {
    return this.base;
  }

  /** Term of the record at a position; null if the log has no record there. */
  getTermAt(position: number): number | null {
    if (position === this.base.position) {
      return this.base.term;
    }
    return this.getRecord(position)?.term ?? null;
  }

  /** The record at a position, or null. */
  getRecord(position: number): LogRecord<Change> | null {
    return this.records[position - this.base.position - 1] ?? null;
  }

  /** Adds a record; its position must follow the end. */
  append(record: LogRecord<Change>): void {
    const expected = this.getEnd().position + 1;
    if (record.position !== expected) {
      throw new Error(
        `Position ${record.position} does not follow the last position of the log`,
      );
    }
    this.records.push(record);
  }

  /** Removes all records from `position` on and returns them, last first. */
  truncateFrom(position: number): readonly LogRecord<Change>[] {
    const index = position - this.base.position - 1;
    if (index < 0) {
      throw new Error(
        `Cannot truncate from position ${position}: its record was dropped`,
      );
    }
    return this.records.splice(index).reverse();
  }

  /** Drops all records up to and including `position`. */
  dropUpTo(position: number): void {
    const term = this.getTermAt(position);
    if (term === null || position <= this.base.position) {
      return;
    }
    this.records = this.records.slice(position - this.base.position);
    this.base = {term, position};
  }

  /** Last position before the records that share the term of `position`. */
  getPositionBeforeTermOf(position: number): number {
    const term = this.getTermAt(position);
    let before = position - 1;
    while (before > this.base.position && this.getTermAt(before) === term) {
      before--;
    }
    return before;
  }

  /**
   * Returns null if the log contains `previous`, otherwise the position after
   * which the primary should retry.
   */
  findMismatch(previous: LogPosition): number | null {
    if (previous.position < this.base.position) {
      // Every instance holds the dropped prefix, so it equals the primary's.
      return null;
    }
    const existingTerm = this.getTermAt(previous.position);
    if (existingTerm === null) {
      return this.getEnd().position;
    }
    if (existingTerm === previous.term) {
      return null;
    }
    return this.getPositionBeforeTermOf(previous.position);
  }

  /**
   * Adds records that follow `previous`, which the log must contain. Records
   * that the log already holds are skipped. At a record of another term, the
   * log is truncated from there on; only a batch of a newer term may do that.
   */
  merge(batch: RecordBatch<Change>): MergeResult<Change> {
    const truncated: LogRecord<Change>[] = [];
    const added: LogRecord<Change>[] = [];
    let matched: LogPosition = batch.previous;
    for (const record of batch.records) {
      matched = {term: record.term, position: record.position};
      if (record.position <= this.base.position) {
        continue;
      }
      const existingTerm = this.getTermAt(record.position);
      if (existingTerm === record.term) {
        continue;
      }
      if (existingTerm !== null) {
        truncated.push(
          ...this.truncateConflicting(
            record.position,
            existingTerm,
            batch.term,
          ),
        );
      }
      this.append(record);
      added.push(record);
    }
    return {truncated, added, matched};
  }

  private truncateConflicting(
    position: number,
    existingTerm: number,
    term: number,
  ): readonly LogRecord<Change>[] {
    if (existingTerm >= term) {
      throw new Error(
        `A batch of term ${term} cannot truncate a record of term ${existingTerm}`,
      );
    }
    return this.truncateFrom(position);
  }
}
