/**
 * Limit of concurrent requests, moved by additive increase and multiplicative
 * decrease: it rises while it is reached without delay and falls when the
 * latency leaves its baseline.
 */

/** Samples after which the limit is judged anew. */
const WINDOW_SAMPLES = 20;

const DECREASE_FACTOR = 0.8;

/** Latency over the baseline that counts as a queue at the backend server. */
const CONGESTION_FACTOR = 2;

/** Latency that is never taken for a queue. */
const CONGESTION_FLOOR_MS = 2;

/** Growth of the baseline in each window, so that it follows a lasting change. */
const BASELINE_DRIFT = 1.02;

/** Adjusts the concurrency between two bounds. @internal */
export class ConcurrencyLimit {
  private limit: number;
  private baselineMs: number | null = null;
  private windowSumMs = 0;
  private windowSamples = 0;
  private wasReached = false;

  private constructor(
    private minimum: number,
    private maximum: number,
  ) {
    this.limit = minimum;
  }

  /** Starts at `initial`, or at the minimum. */
  static create(
    minimum: number,
    maximum: number,
    initial = minimum,
  ): ConcurrencyLimit {
    const limit = new ConcurrencyLimit(1, 1);
    limit.setBounds(minimum, maximum);
    limit.limit = limit.clamp(initial);
    return limit;
  }

  /** The limit, at least 1. */
  get value(): number {
    return Math.floor(this.limit);
  }

  setBounds(minimum: number, maximum: number): void {
    this.maximum = Math.max(1, maximum);
    this.minimum = Math.min(Math.max(1, minimum), this.maximum);
    this.limit = this.clamp(this.limit);
  }

  /** Records one request: its latency and how many were active at its start. */
  record(latencyMs: number, activeAtStart: number): void {
    this.windowSumMs += latencyMs;
    this.windowSamples++;
    if (activeAtStart >= this.value) {
      this.wasReached = true;
    }
    if (this.windowSamples >= WINDOW_SAMPLES) {
      this.closeWindow();
    }
  }

  private closeWindow(): void {
    const meanMs = this.windowSumMs / this.windowSamples;
    const baselineMs = Math.min(
      meanMs,
      (this.baselineMs ?? meanMs) * BASELINE_DRIFT,
    );
    const congestedMs = baselineMs * CONGESTION_FACTOR + CONGESTION_FLOOR_MS;
    if (meanMs > congestedMs) {
      this.limit = this.clamp(this.limit * DECREASE_FACTOR);
    } else if (this.wasReached) {
      this.limit = this.clamp(this.limit + 1);
    }
    this.baselineMs = baselineMs;
    this.windowSumMs = 0;
    this.windowSamples = 0;
    this.wasReached = false;
  }

  private clamp(limit: number): number {
    return Math.min(this.maximum, Math.max(this.minimum, limit));
  }
}
