import type {Result} from '@filbertrun/base/result.js';
import type {GroupManager} from '@filbertrun/group/group_manager.js';
import type {TermConfirmation} from '@filbertrun/group/instance_control.js';
import type {BackendServerId} from '@filbertrun/model/identifiers.js';
import type {LogPosition} from '@filbertrun/model/log_position.js';
import type {GroupState} from '../execution/group_state.js';
import type {WriteGapMonitor} from './write_gap_monitor.js';

/**
 * Adapts a group manager to the `GroupState` of statement execution.
 *
 * @public
 */
export class ManagedGroupState implements GroupState {
  private constructor(
    private readonly manager: GroupManager,
    private readonly writeGaps: WriteGapMonitor,
  ) {}

  static create(
    manager: GroupManager,
    writeGaps: WriteGapMonitor,
  ): ManagedGroupState {
    return new ManagedGroupState(manager, writeGaps);
  }

  getPrimary(): BackendServerId | null {
    return this.manager.getPrimary()?.backendServer ?? null;
  }

  async waitForPrimary(deadlineMs: number): Promise<BackendServerId | null> {
    if (this.manager.getPrimary() === null) {
      // Writes are held only during a planned change of primary.
      this.writeGaps.handleWait(this.manager.isHoldingWrites());
    }
    const primary = await this.manager.waitForPrimary(deadlineMs);
    if (!primary.ok) {
      return null;
    }
    this.writeGaps.handlePrimary();
    return primary.value.backendServer;
  }

  waitForMajority(
    position: LogPosition,
    deadlineMs: number,
  ): Promise<Result<void, unknown>> {
    return this.manager.waitForMajority(position, deadlineMs);
  }

  confirmTerm(): Promise<Result<TermConfirmation, unknown>> {
    return this.manager.confirmTerm();
  }

  getKnownPosition(backendServer: BackendServerId): LogPosition {
    return this.manager.getKnownPosition(backendServer);
  }

  recordPosition(backendServer: BackendServerId, position: LogPosition): void {
    this.manager.recordPosition(backendServer, position);
  }

  getFreshPosition(maxAgeMs: number): LogPosition | null {
    return this.manager.getFreshPosition(maxAgeMs);
  }

  reportConnectionLoss(backendServer: BackendServerId): void {
    this.manager.reportConnectionLoss(backendServer);
  }

  onChange(listener: () => void): () => void {
    return this.manager.onChange(listener);
  }
}
