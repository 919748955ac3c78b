import {
  ORIGIN_POSITION,
  type LogPosition,
} from '@filbertrun/model/log_position.js';

/**
 * The log of one instance: records at consecutive positions from 1, of which
 * a prefix that every instance holds may have been dropped.
 */

/** What a record holds: the start of a term, or a change of data. @public */
export type LogRecordBody<Change> =
  | {readonly kind: 'termStart'; readonly claimId: string}
  | {readonly kind: 'change'; readonly change: Change};

/** A record of the log. @public */
export interface LogRecord<Change> extends LogPosition {
  readonly body: LogRecordBody<Change>;
  /** When the primary of `term` appended it, on that primary's clock. */
  readonly appendedAtMs: number;
}

/** Records that a primary of a term sends. @public */
export interface RecordBatch<Change> {
  readonly term: number;
  readonly previous: LogPosition;
  readonly records: readonly LogRecord<Change>[];
}

/** How a log changed by a batch. @public */
export interface MergeResult<Change> {
  /** Records that were cut, last first. */
  readonly cut: readonly LogRecord<Change>[];
  readonly added: readonly LogRecord<Change>[];
  /** Last place at which the log is known to equal the primary's. */
  readonly matched: LogPosition;
}

/** The log of one instance. @public */
export class ReplicationLog<Change> {
  private records: LogRecord<Change>[] = [];
  /** Last place before `records`. */
  private base: LogPosition = ORIGIN_POSITION;

  private constructor() {}

  static create<Change>(): ReplicationLog<Change> {
    return new ReplicationLog();
  }

  /** The last place of the log. */
  getEnd(): LogPosition {
    const last = this.records[this.records.length - 1];
    return last === undefined
      ? this.base
      : {term: last.term, position: last.position};
  }

  /** The last place that was dropped, or the origin. */
  getBase(): LogPosition {
    return this.base;
  }

  /** Term of the record at a position; null when the log has none there. */
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
      throw new Error(`Position ${record.position} does not follow the end`);
    }
    this.records.push(record);
  }

  /** Removes the records from `position` on and returns them, last first. */
  truncateFrom(position: number): readonly LogRecord<Change>[] {
    const index = position - this.base.position - 1;
    if (index < 0) {
      throw new Error(`Position ${position} was dropped and cannot be undone`);
    }
    return this.records.splice(index).reverse();
  }

  /** Drops the records up to `position`. */
  dropThrough(position: number): void {
    const term = this.getTermAt(position);
    if (term === null || position <= this.base.position) {
      return;
    }
    this.records = this.records.slice(position - this.base.position);
    this.base = {term, position};
  }

  /** Last position before the run of records that have the term of `position`. */
  getPositionBeforeTermOf(position: number): number {
    const term = this.getTermAt(position);
    let before = position - 1;
    while (before > this.base.position && this.getTermAt(before) === term) {
      before--;
    }
    return before;
  }

  /**
   * Null when the log contains `previous`, else the position after which a
   * primary tries next.
   */
  findMismatch(previous: LogPosition): number | null {
    if (previous.position < this.base.position) {
      // The dropped prefix is held by all, so it equals the primary's.
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
   * Takes records that follow `previous`, which the log contains. Records that
   * it holds already are passed over; one of another term is cut with all that
   * follow, which only a newer term may do.
   */
  merge(batch: RecordBatch<Change>): MergeResult<Change> {
    const cut: LogRecord<Change>[] = [];
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
        cut.push(
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
    return {cut, added, matched};
  }

  private truncateConflicting(
    position: number,
    existingTerm: number,
    term: number,
  ): readonly LogRecord<Change>[] {
    if (existingTerm >= term) {
      throw new Error(`A record of term ${existingTerm} is not cut in ${term}`);
    }
    return this.truncateFrom(position);
  }
}
