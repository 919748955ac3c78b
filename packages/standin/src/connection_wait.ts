import type {SqlError} from './sql_error.js';

/**
 * Lets the statement of a connection wait for one event at a time: a slot, a
 * row lock or a timer. A cancel request, a timeout or the end of the connection
 * aborts the wait.
 *
 * @internal
 */
export class ConnectionWait {
  private abortCurrent: ((error: SqlError) => void) | null = null;

  private constructor() {}

  static create(): ConnectionWait {
    return new ConnectionWait();
  }

  /** Rejects the current wait, if any. */
  abort(error: SqlError): void {
    this.abortCurrent?.(error);
  }

  /**
   * Waits until `start` calls `done`; `start` returns a function that releases
   * its resources.
   */
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
