/** Time after the last fault from which requests must be served again. */
const RECOVERY_MS = 12_000;

/** Time that killed processes take to start again. @internal */
export const RESTART_MS = 1_000;

/** Part of the later requests that must be served. */
const MIN_SERVED_SHARE = 0.25;

/** Requests from which the part is judged. */
const MIN_REQUESTS = 20;

/** Counts what is served a while after the last fault. @internal */
export class RecoveryChecker {
  private requestCount = 0;
  private servedCount = 0;

  private constructor(private readonly countedFromMs: number) {}

  static create(lastFaultEndMs: number): RecoveryChecker {
    return new RecoveryChecker(lastFaultEndMs + RESTART_MS + RECOVERY_MS);
  }

  /** Takes the end of a request by the time at which it began. */
  recordRequest(startedAtMs: number, isServed: boolean): void {
    if (startedAtMs >= this.countedFromMs) {
      this.requestCount++;
      this.servedCount += isServed ? 1 : 0;
    }
  }

  /** Whether enough was served, as far as that can be told. */
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
