import {
  comparePositions,
  isCovered,
  type LogPosition,
} from '@filbertrun/model/log_position.js';

interface Observation {
  readonly requestedAtMs: number;
  readonly position: LogPosition;
}

const MAX_OBSERVATIONS = 256;

/**
 * History of the positions at which the primary's log ended, with times on the
 * local monotonic clock. A replica that covers a position has data no older
 * than the time at which the primary had that position, so no clocks need to be
 * synchronized.
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
   * Records the end of the primary's log, as reported in response to a request
   * sent at `requestedAtMs`. The time of the request is a safe bound: the
   * reported position covers everything that was committed before it.
   */
  record(requestedAtMs: number, position: LogPosition): void {
    const last = this.observations.at(-1);
    if (last !== undefined) {
      if (
        requestedAtMs < last.requestedAtMs ||
        comparePositions(position, last.position) < 0
      ) {
        // A response that arrived out of order adds no information.
        return;
      }
      if (requestedAtMs === last.requestedAtMs) {
        this.observations.pop();
      }
    }
    this.observations.push({requestedAtMs, position});
    if (this.observations.length > MAX_OBSERVATIONS) {
      this.observations = dropEverySecondOfOlderHalf(this.observations);
    }
  }

  /**
   * Returns the earliest recorded position such that data covering it is no
   * older than `maxAgeMs`, or null if no observation is recent enough.
   */
  getPositionForAge(nowMs: number, maxAgeMs: number): LogPosition | null {
    const oldestMs = nowMs - maxAgeMs;
    const index = this.findFirst(
      observation => observation.requestedAtMs >= oldestMs,
    );
    return this.observations[index]?.position ?? null;
  }

  /** Returns how long the primary has covered `position`, if known, or null. */
  getAgeMs(nowMs: number, position: LogPosition): number | null {
    const index = this.findFirst(observation =>
      isCovered(position, observation.position),
    );
    const observation = this.observations[index];
    return observation === undefined ? null : nowMs - observation.requestedAtMs;
  }

  /**
   * Binary search for the first observation that matches. Request times and
   * positions are both ascending.
   */
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

/**
 * Thins out the older half. With fewer observations, the bound of a
 * bounded-staleness read can only become stricter.
 */
function dropEverySecondOfOlderHalf(
  observations: readonly Observation[],
): Observation[] {
  const half = observations.length >>> 1;
  return observations.filter((_, index) => index >= half || index % 2 === 1);
}
