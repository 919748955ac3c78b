/**
 * How long a replica is expected to take until it holds what the primary has.
 * The estimate falls a little with each answer that covered a place which the
 * replica was not yet known to hold, and rises strongly with each that did
 * not, so that few answers are thrown away.
 *
 * @public
 */

/** Estimate before anything is known. */
const INITIAL_LAG_MS = 20;

const LOWEST_LAG_MS = 2;
const HIGHEST_LAG_MS = 10_000;

/** Factor of the estimate after an answer that covered its place. */
const COVERED_FACTOR = 0.95;

/** Factor of the estimate after an answer that had to be thrown away. */
const DISCARDED_FACTOR = 2;

/** Estimates the lag of one replica from its answers. @public */
export class ReplicaLagEstimate {
  private lagMs = INITIAL_LAG_MS;

  private constructor() {}

  static create(): ReplicaLagEstimate {
    return new ReplicaLagEstimate();
  }

  getLagMs(): number {
    return this.lagMs;
  }

  /** Takes whether an answer covered a place that it was only expected to. */
  recordAnswer(isCovered: boolean): void {
    const factor = isCovered ? COVERED_FACTOR : DISCARDED_FACTOR;
    const lagMs = this.lagMs * factor;
    this.lagMs = Math.min(HIGHEST_LAG_MS, Math.max(LOWEST_LAG_MS, lagMs));
  }
}
