/** Weight of the newest sample in the average. */
const NEWEST_WEIGHT = 0.1;

/**
 * Mean time that a lease is held, from which waiting times are estimated.
 *
 * @internal
 */
export class ServiceTime {
  private meanMs: number | null = null;

  private constructor() {}

  static create(): ServiceTime {
    return new ServiceTime();
  }

  record(durationMs: number): void {
    this.meanMs =
      this.meanMs === null
        ? durationMs
        : this.meanMs + (durationMs - this.meanMs) * NEWEST_WEIGHT;
  }

  /**
   * Time until an entry behind `ahead` others is served, or 0 while no
   * service time is known.
   */
  estimateWaitMs(ahead: number, concurrency: number): number {
    return ((ahead + 1) * (this.meanMs ?? 0)) / Math.max(1, concurrency);
  }
}
