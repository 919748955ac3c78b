import type {LogPosition} from '@filbertrun/model/log_position.js';

/**
 * A freshness bound: all writes before `timeMs` are at or before `position`.
 *
 * @internal
 */
export interface FreshnessEntry {
  readonly timeMs: number;
  readonly position: LogPosition;
}

/**
 * Number of entries; at one confirmation a second they span several minutes.
 */
const RING_CAPACITY = 512;

/**
 * The latest freshness bounds, with times of this process's monotonic clock. A
 * replica that holds the position of time `t` has data no older than `t`, so
 * ages need no synchronized clocks.
 *
 * @internal
 */
export class FreshnessRing {
  private readonly entries: FreshnessEntry[] = [];

  private constructor() {}

  static create(): FreshnessRing {
    return new FreshnessRing();
  }

  /** Records that all writes before `timeMs` are at or before `position`. */
  record(timeMs: number, position: LogPosition): void {
    this.entries.push({timeMs, position});
    if (this.entries.length > RING_CAPACITY) {
      this.entries.shift();
    }
  }

  /**
   * The oldest position that is fresh enough: data that covers it is no older
   * than `maxAgeMs`. Null if none is known.
   */
  getPosition(nowMs: number, maxAgeMs: number): LogPosition | null {
    return this.getEntry(nowMs, maxAgeMs)?.position ?? null;
  }

  /** Like `getPosition`, with the time of the bound. */
  getEntry(nowMs: number, maxAgeMs: number): FreshnessEntry | null {
    const earliestMs = nowMs - maxAgeMs;
    for (const entry of this.entries) {
      if (entry.timeMs >= earliestMs) {
        return entry;
      }
    }
    return null;
  }
}
