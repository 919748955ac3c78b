import type {BackendConnection} from '../backend/backend_connection.js';

/** What became of a cancel request. @public */
export type CancelDisposition =
  /** The statement waits and will not be run. */
  | 'withdrawn'
  /** The backend server must be asked. */
  | 'running'
  /** The statement has ended or was cancelled before. */
  | 'ignored';

/**
 * The part of a statement that another connection can see: whether it waits
 * or runs, and on which connection.
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

  /** Connection that runs the statement, or null while it waits. */
  get backendConnection(): BackendConnection | null {
    return this.connection;
  }

  /** Whether the statement was cancelled while it waited. */
  get isWithdrawn(): boolean {
    return this.isCancelled;
  }

  /** Records where the statement runs; false when it was cancelled meanwhile. */
  attach(connection: BackendConnection): boolean {
    if (this.isCancelled) {
      return false;
    }
    this.connection = connection;
    return true;
  }

  /** Records that the statement does not run any more. */
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
   * Waits for `pending` unless the statement is cancelled first; then gives
   * null, and `abandon` receives the value when it comes.
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
