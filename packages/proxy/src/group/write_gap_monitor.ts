import type {Clock} from '@filbertrun/base/clock.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import type {WriteGap} from '@filbertrun/observability/service_level_snapshot.js';

/** Dependencies of a write gap monitor. @public */
export interface WriteGapMonitorOptions {
  readonly databaseGroup: DatabaseGroupName;
  readonly clock: Clock;
  /** Milliseconds since the Unix epoch. */
  readonly getWallClockMs: () => number;
  readonly recordWriteGap: (gap: WriteGap) => void;
}

interface OpenGap {
  readonly startWallMs: number;
  readonly startMs: number;
  readonly isPlanned: boolean;
}

/**
 * Measures the periods in which callers' writes had no primary: from the first
 * write that waits until the first that has a primary again.
 *
 * @public
 */
export class WriteGapMonitor {
  private openGap: OpenGap | null = null;

  private constructor(private readonly options: WriteGapMonitorOptions) {}

  static create(options: WriteGapMonitorOptions): WriteGapMonitor {
    return new WriteGapMonitor(options);
  }

  /**
   * Records that a write waits for a primary. `isPlanned` is true during a
   * planned change of primary.
   */
  handleWait(isPlanned: boolean): void {
    this.openGap ??= {
      startWallMs: this.options.getWallClockMs(),
      startMs: this.options.clock.nowMs(),
      isPlanned,
    };
  }

  /** Records that a write has a primary; ends the open gap, if any. */
  handlePrimary(): void {
    if (this.openGap === null) {
      return;
    }
    const {startWallMs, startMs, isPlanned} = this.openGap;
    this.openGap = null;
    this.options.recordWriteGap({
      databaseGroup: this.options.databaseGroup,
      startMs: startWallMs,
      durationMs: this.options.clock.nowMs() - startMs,
      isPlanned,
    });
  }
}
