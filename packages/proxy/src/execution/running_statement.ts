import type {BackendConnection} from '../backend/backend_connection.js';

/** Result of a cancel request. @public */
export type CancelDisposition =
  /** The statement was waiting and will not be run. */
  | 'withdrawn'
  /** The statement runs; the backend server must be asked to cancel it. */
  | 'running'
  /** The statement has ended or was already cancelled. */
  | 'ignored';

/**
 * State of a statement that a cancel request from another connection needs:
 * whether the statement waits or runs, and on which backend connection.
 *
 * @public
 */
export class RunningStatement {
  private connection: BackendConnection | null = null;
  private isCancelled = false;
  private cancelListener: (() => void) | null = null;

  private constructor() {}

  static create(): RunningStatement {
    return new RunningStatement();
  }

  /** Connection that runs the statement, or null if it does not run. */
  get backendConnection(): BackendConnection | null {
    return this.connection;
  }

  /** Whether the statement was cancelled before it was sent. */
  get isWithdrawn(): boolean {
    return this.isCancelled;
  }

  /**
   * Records the connection that runs the statement. Returns false if the
   * statement has been cancelled.
   */
  attach(connection: BackendConnection): boolean {
    if (this.isCancelled) {
      return false;
    }
    this.connection = connection;
    return true;
  }

  /** Records that the statement no longer runs. */
  detach(): void {
    this.connection = null;
  }

  cancel(): CancelDisposition {
    if (this.connection !== null) {
      return 'running';
    }
    if (this.isCancelled) {
      return 'ignored';
    }
    this.isCancelled = true;
    this.cancelListener?.();
    return 'withdrawn';
  }

  /**
   * Waits for `pending`. If the statement is cancelled first, resolves with
   * null and passes the value to `abandon` when it arrives.
   */
  waitUnlessCancelled<T>(
    pending: Promise<T>,
    abandon: (value: T) => void,
  ): Promise<T | null> {
    if (this.isCancelled) {
      void pending.then(abandon);
      return Promise.resolve(null);
    }
    return new Promise((resolve, reject) => {
      this.cancelListener = () => {
        resolve(null);
        void pending.then(abandon);
      };
      pending.then(value => {
        this.cancelListener = null;
        if (!this.isCancelled) {
          resolve(value);
        }
      }, reject);
    });
  }
}
