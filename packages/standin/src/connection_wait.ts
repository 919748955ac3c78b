import type {SqlError} from './sql_error.js';

/**
 * The one event that a connection's statement waits for: a slot, a row, a
 * timer. A cancel, a timeout or the end of the connection aborts the wait.
 *
 * @internal
 */
export class ConnectionWait {
  private abortCurrent: ((error: SqlError) => void) | null = null;

  private constructor() {}

  static create(): ConnectionWait {
    return new ConnectionWait();
  }

  /** Rejects the wait that is under way, if any. */
  abort(error: SqlError): void {
    this.abortCurrent?.(error);
  }

  /** Waits until `start` calls back; `start` returns how to stop. */
  wait(start: (done: () => void) => () => void): Promise<void> {
    return new Promise((resolve, reject) => {
      let stop: () => void = () => {};
      this.abortCurrent = error => {
        this.abortCurrent = null;
        stop();
        reject(error);
      };
      stop = start(() => {
        this.abortCurrent = null;
        stop();
        resolve();
      });
    });
  }
}
