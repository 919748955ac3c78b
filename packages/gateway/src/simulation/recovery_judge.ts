/** Time after the last fault from which requests must be served again. */
const RECOVERY_MS = 12_000;

/** Time that killed processes take to start again. @internal */
export const RESTART_MS = 1_000;

/** Part of the later requests that must be served. */
const MIN_SERVED_PART = 0.25;

/** Requests from which the part is judged. */
const MIN_REQUESTS = 20;

/** Counts what is served a while after the last fault. @internal */
export class RecoveryJudge {
  private requestCount = 0;
  private servedCount = 0;

  private constructor(private readonly judgedFromMs: number) {}

  static create(lastFaultEndMs: number): RecoveryJudge {
    return new RecoveryJudge(lastFaultEndMs + RESTART_MS + RECOVERY_MS);
  }

  /** Takes the end of a request by the time at which it began. */
  note(startedAtMs: number, isServed: boolean): void {
    if (startedAtMs >= this.judgedFromMs) {
      this.requestCount++;
      this.servedCount += isServed ? 1 : 0;
    }
  }

  /** Whether enough was served, as far as that can be told. */
  hasRecovered(): boolean {
    return (
      this.requestCount < MIN_REQUESTS ||
      this.servedCount >= this.requestCount * MIN_SERVED_PART
    );
  }

  describe(): string {
    return `${this.servedCount} of ${this.requestCount} served`;
  }
}
