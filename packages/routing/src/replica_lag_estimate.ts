/**
 * Estimates how long a replica takes to catch up with the primary. The estimate
 * is updated by reads sent to a replica whose known position did not cover the
 * required one. It falls slightly if the response covers that position and
 * doubles if it does not, so that few responses are discarded.
 *
 * @public
 */

/** Estimate before the first response. */
const INITIAL_LAG_MS = 20;

const MIN_LAG_MS = 2;
const MAX_LAG_MS = 10_000;

/** Factor after a response that covered the required position. */
const COVERED_FACTOR = 0.95;

/** Factor after a response that was discarded. */
const DISCARDED_FACTOR = 2;

/** Lag estimate of one replica. @public */
export class ReplicaLagEstimate {
  private lagMs = INITIAL_LAG_MS;

  private constructor() {}

  static create(): ReplicaLagEstimate {
    return new ReplicaLagEstimate();
  }

  getLagMs(): number {
    return this.lagMs;
  }

  /** Records whether a response covered a position it was expected to cover. */
  recordCoverage(isCovered: boolean): void {
    const factor = isCovered ? COVERED_FACTOR : DISCARDED_FACTOR;
    const lagMs = this.lagMs * factor;
    this.lagMs = Math.min(MAX_LAG_MS, Math.max(MIN_LAG_MS, lagMs));
  }
}
