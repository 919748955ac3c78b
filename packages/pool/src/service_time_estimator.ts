/** Weight of a new sample in the moving average. */
const NEWEST_WEIGHT = 0.1;

/**
 * Exponential moving average of the time that a lease is held. Used to estimate
 * waiting times.
 *
 * @internal
 */
export class ServiceTimeEstimator {
  private meanMs: number | null = null;

  private constructor() {}

  static create(): ServiceTimeEstimator {
    return new ServiceTimeEstimator();
  }

  record(durationMs: number): void {
    this.meanMs =
      this.meanMs === null
        ? durationMs
        : this.meanMs + (durationMs - this.meanMs) * NEWEST_WEIGHT;
  }

  /**
   * Estimates the wait of an entry behind `ahead` others. Returns 0 if no
   * service time has been recorded.
   */
  estimateWaitMs(ahead: number, concurrency: number): number {
    return ((ahead + 1) * (this.meanMs ?? 0)) / Math.max(1, concurrency);
  }
}
