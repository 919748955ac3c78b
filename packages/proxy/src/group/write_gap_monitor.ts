import type {Clock} from '@filbertrun/base/clock.js';
import type {DatabaseGroupName} from '@filbertrun/model/identifiers.js';
import type {WriteGap} from '@filbertrun/observability/service_level_snapshot.js';

/** What a monitor is made of. @public */
export interface WriteGapMonitorOptions {
  readonly databaseGroup: DatabaseGroupName;
  readonly clock: Clock;
  /** Milliseconds since the Unix epoch. */
  readonly getWallTimeMs: () => number;
  readonly recordWriteGap: (gap: WriteGap) => void;
}

interface OpenGap {
  readonly startWallMs: number;
  readonly startMs: number;
  readonly isPlanned: boolean;
}

/**
 * Measures the times during which the writes of callers found no primary: from
 * the first that had to wait until one goes on.
 *
 * @public
 */
export class WriteGapMonitor {
  private openGap: OpenGap | null = null;

  private constructor(private readonly options: WriteGapMonitorOptions) {}

  static create(options: WriteGapMonitorOptions): WriteGapMonitor {
    return new WriteGapMonitor(options);
  }

  /** Notes that a write waits. `isPlanned` says whether an operator asked for it. */
  handleWait(isPlanned: boolean): void {
    this.openGap ??= {
      startWallMs: this.options.getWallTimeMs(),
      startMs: this.options.clock.nowMs(),
      isPlanned,
    };
  }

  /** Notes that a write that waited has a primary. */
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
