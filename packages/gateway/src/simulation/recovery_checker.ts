/** Time after the last fault from which requests must be served again. */
const RECOVERY_MS = 12_000;

/** Time until a killed process is started again. @internal */
export const RESTART_MS = 1_000;

/** Minimum share of the counted requests that must be served. */
const MIN_SERVED_SHARE = 0.25;

/** Minimum number of counted requests for a verdict. */
const MIN_REQUESTS = 20;

/**
 * Checks that enough requests are served again once the deployment has had time
 * to recover from the last fault.
 *
 * @internal
 */
export class RecoveryChecker {
  private requestCount = 0;
  private servedCount = 0;

  private constructor(private readonly countedFromMs: number) {}

  static create(lastFaultEndMs: number): RecoveryChecker {
    return new RecoveryChecker(lastFaultEndMs + RESTART_MS + RECOVERY_MS);
  }

  /** Counts a finished request if it started late enough. */
  recordRequest(startedAtMs: number, isServed: boolean): void {
    if (startedAtMs >= this.countedFromMs) {
      this.requestCount++;
      this.servedCount += isServed ? 1 : 0;
    }
  }

  /** Whether enough requests were served; true if too few were counted. */
  hasRecovered(): boolean {
    return (
      this.requestCount < MIN_REQUESTS ||
      this.servedCount >= this.requestCount * MIN_SERVED_SHARE
    );
  }

  describe(): string {
    return `${this.servedCount} of ${this.requestCount} served`;
  }
}
