/** Moving averages of the service time of statements by kind of work. */

/** Weight of the newest sample in a moving average. */
const NEWEST_WEIGHT = 0.05;

/**
 * Limit on the number of kinds. Configurations that rename databases would
 * otherwise add kinds for as long as the process runs.
 */
const MAX_KINDS = 256;

/** Tracks the expected work of the statements of a database group. @public */
export class ExpectedWork {
  private readonly meansMs = new Map<string, number>();

  private constructor() {}

  static create(): ExpectedWork {
    return new ExpectedWork();
  }

  /** Returns the expected service time; null while unknown. */
  get(workKind: string): number | null {
    return this.meansMs.get(workKind) ?? null;
  }

  record(workKind: string, serviceMs: number): void {
    const meanMs = this.meansMs.get(workKind);
    if (meanMs === undefined) {
      this.removeOldestIfFull();
    }
    const newMeanMs =
      meanMs === undefined
        ? serviceMs
        : meanMs + (serviceMs - meanMs) * NEWEST_WEIGHT;
    this.meansMs.set(workKind, newMeanMs);
  }

  /**
   * Returns the slowdown of a server, given that its oldest statement has been
   * pending for `pendingMs` besides the network latency. A server that has just
   * become slow shows it by the time that it takes, before its first response.
   */
  estimateSlowdown(measured: number, pendingMs: number): number {
    let longestMs = 0;
    for (const meanMs of this.meansMs.values()) {
      longestMs = Math.max(longestMs, meanMs);
    }
    return longestMs > 0 ? Math.max(measured, pendingMs / longestMs) : measured;
  }

  private removeOldestIfFull(): void {
    const [oldest] = this.meansMs.keys();
    if (oldest !== undefined && this.meansMs.size >= MAX_KINDS) {
      this.meansMs.delete(oldest);
    }
  }
}
