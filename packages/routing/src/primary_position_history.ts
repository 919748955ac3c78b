import {
  comparePositions,
  isCovered,
  type LogPosition,
} from '@filbertrun/model/log_position.js';

interface Observation {
  readonly askedAtMs: number;
  readonly position: LogPosition;
}

const MAX_OBSERVATIONS = 256;

/**
 * When the primary was known to have which place, on the proxy's own
 * monotonic clock. A replica that covers a place is no older than the moment
 * at which the primary had it, so no clocks need to agree.
 *
 * @public
 */
export class PrimaryPositionHistory {
  private observations: Observation[] = [];

  private constructor() {}

  static create(): PrimaryPositionHistory {
    return new PrimaryPositionHistory();
  }

  /**
   * Records that the primary, asked at `askedAtMs`, answered that its log ends
   * at `position`. The moment of asking is on the safe side: the answer holds
   * all that was committed before it.
   */
  record(askedAtMs: number, position: LogPosition): void {
    const last = this.observations.at(-1);
    if (last !== undefined) {
      if (
        askedAtMs < last.askedAtMs ||
        comparePositions(position, last.position) < 0
      ) {
        // An answer that arrived late adds nothing.
        return;
      }
      if (askedAtMs === last.askedAtMs) {
        this.observations.pop();
      }
    }
    this.observations.push({askedAtMs, position});
    if (this.observations.length > MAX_OBSERVATIONS) {
      this.observations = dropEverySecondOfOlderHalf(this.observations);
    }
  }

  /**
   * The earliest known place whose holder is no older than `maxAgeMs`, or null
   * when nothing so recent is known.
   */
  getPositionForAge(nowMs: number, maxAgeMs: number): LogPosition | null {
    const oldestMs = nowMs - maxAgeMs;
    const index = this.findFirst(
      observation => observation.askedAtMs >= oldestMs,
    );
    return this.observations[index]?.position ?? null;
  }

  /** Time for which the primary is known to have covered `position`, or null. */
  getAgeMs(nowMs: number, position: LogPosition): number | null {
    const index = this.findFirst(observation =>
      isCovered(position, observation.position),
    );
    const observation = this.observations[index];
    return observation === undefined ? null : nowMs - observation.askedAtMs;
  }

  /** Index of the first observation that matches; both orders rise together. */
  private findFirst(matches: (observation: Observation) => boolean): number {
    let low = 0;
    let high = this.observations.length;
    while (low < high) {
      const middle = (low + high) >>> 1;
      const observation = this.observations[middle];
      if (observation !== undefined && matches(observation)) {
        high = middle;
      } else {
        low = middle + 1;
      }
    }
    return low;
  }
}

/** Fewer observations make an age read stricter, never looser. */
function dropEverySecondOfOlderHalf(
  observations: readonly Observation[],
): Observation[] {
  const half = observations.length >>> 1;
  return observations.filter((_, index) => index >= half || index % 2 === 1);
}
