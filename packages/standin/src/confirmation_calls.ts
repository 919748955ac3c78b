import type {Clock, Timer} from '@filbertrun/base/clock.js';
import {
  formatPosition,
  type LogPosition,
} from '@filbertrun/model/log_position.js';
import type {Commit} from './database.js';
import type {ReplicationCore} from './replication_core.js';
import {SQL_STATE, SqlError} from './sql_error.js';
import type {Row} from './sql_value.js';

/** Longest wait for the confirmation by a majority. */
const CONFIRMATION_TIMEOUT_MS = 1000;

interface PendingCall {
  /** Last position of the log when the call arrived. */
  readonly end: LogPosition;
  readonly timer: Timer;
  resolve(row: Row): void;
  reject(error: SqlError): void;
}

/** Calls of `group_confirm_term` that await confirmation. @internal */
export class ConfirmationCalls {
  private readonly pending = new Map<number, PendingCall>();

  private constructor(
    private readonly replication: ReplicationCore<Commit>,
    private readonly clock: Clock,
  ) {}

  static create(
    replication: ReplicationCore<Commit>,
    clock: Clock,
  ): ConfirmationCalls {
    return new ConfirmationCalls(replication, clock);
  }

  /** Resolves with the row to return; rejects after a timeout. */
  start(): Promise<Row> {
    const end = this.replication.getEnd();
    const ticket = this.replication.startConfirmation();
    return new Promise((resolve, reject) => {
      const timer = this.clock.startTimer(CONFIRMATION_TIMEOUT_MS, () => {
        this.pending.delete(ticket);
        reject(
          SqlError.create(
            SQL_STATE.queryCanceled,
            'no replica confirmed the term in time',
          ),
        );
      });
      this.pending.set(ticket, {end, timer, resolve, reject});
    });
  }

  /** Resolves the call that has this ticket. */
  complete(ticket: number): void {
    const call = this.pending.get(ticket);
    if (call === undefined) {
      return;
    }
    this.pending.delete(ticket);
    call.timer.cancel();
    call.resolve([
      this.replication.getTerm(),
      formatPosition(call.end),
      formatPosition(this.replication.getMajorityPosition()),
    ]);
  }

  rejectAll(error: SqlError): void {
    for (const call of this.pending.values()) {
      call.timer.cancel();
      call.reject(error);
    }
    this.pending.clear();
  }
}
