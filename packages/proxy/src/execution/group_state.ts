import type {Result} from '@filbertrun/base/result.js';
import type {TermConfirmation} from '@filbertrun/group/instance_control.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';

/**
 * State of a database group, as statement execution needs it.
 *
 * @public
 */
export interface GroupState {
  /** Returns the primary, or null while none is known. */
  getPrimary(): BackendServerId | null;
  /** Resolves with the primary once one is known, or null at the deadline. */
  waitForPrimary(deadlineMs: number): Promise<BackendServerId | null>;
  /**
   * Resolves when a majority holds `position`, or fails if that is not
   * confirmed before the deadline.
   */
  waitForMajority(
    position: LogPosition,
    deadlineMs: number,
  ): Promise<Result<void, unknown>>;
  /** Confirms that the primary is still current at some time after the call. */
  confirmTerm(): Promise<Result<TermConfirmation, unknown>>;
  /** Returns the highest log position that an instance is known to hold. */
  getKnownPosition(backendServer: BackendServerId): LogPosition;
  /** Records a log position that an instance has reported. */
  recordPosition(backendServer: BackendServerId, position: LogPosition): void;
  /**
   * Returns a log position whose data is at most `maxAgeMs` old, or null if
   * none is known.
   */
  getFreshPosition(maxAgeMs: number): LogPosition | null;
  /** Polls an instance at once because a caller's connection to it was lost. */
  reportConnectionLoss(backendServer: BackendServerId): void;
  /**
   * Calls `listener` after each change of primary. Returns a function that
   * unsubscribes it.
   */
  onChange(listener: () => void): () => void;
}
