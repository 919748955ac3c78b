import type {Result} from '@filbertrun/base/result.js';
import type {TermConfirmation} from '@filbertrun/group/instance_control.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';

/**
 * What statement execution needs to know of a database group.
 *
 * @public
 */
export interface GroupView {
  /** The primary, or null while none is known. */
  getPrimary(): BackendServerId | null;
  /** Resolves with the primary once one is known, or null at the deadline. */
  waitForPrimary(deadlineMs: number): Promise<BackendServerId | null>;
  /** Resolves once a majority holds `position`, or fails when that is not proven. */
  waitForMajority(
    position: LogPosition,
    deadlineMs: number,
  ): Promise<Result<void, unknown>>;
  /** Proves that the primary is still current at a moment after the call. */
  confirmTerm(): Promise<Result<TermConfirmation, unknown>>;
  /** Last place that an instance is known to hold. */
  getKnownPosition(backendServer: BackendServerId): LogPosition;
  notePosition(backendServer: BackendServerId, position: LogPosition): void;
  /** Place whose data is no older than `maxAgeMs`, or null when none is known. */
  getFreshPosition(maxAgeMs: number): LogPosition | null;
  reportConnectionLoss(backendServer: BackendServerId): void;
  /** Calls `listener` after each change of primary; the result ends that. */
  onChange(listener: () => void): () => void;
}
