import type {
  ConcurrencyControl,
  ConcurrencySample,
} from './concurrency_control.js';

/**
 * Adaptive concurrency limit with additive increase and multiplicative decrease
 * (AIMD). It rises while it is reached at normal latency and falls when the
 * latency exceeds its baseline.
 */

/** Samples in a window. The limit is adjusted at the end of each window. */
const WINDOW_SAMPLES = 20;

const DECREASE_FACTOR = 0.8;

/** Multiple of the baseline above which the backend server is congested. */
const CONGESTION_FACTOR = 2;

/** Added to the threshold, so that low latencies never count as congestion. */
const CONGESTION_SLACK_MS = 2;

/** Growth of the baseline per window, so that it follows a lasting change. */
const BASELINE_DRIFT = 1.02;

/**
 * Adjusts the concurrency limit between two bounds by latency alone.
 *
 * @internal
 */
export class ConcurrencyLimit implements ConcurrencyControl {
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

  /** Creates a limit that starts at `initial`, clamped to the bounds. */
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

  /** The current limit as an integer, at least 1. */
  get value(): number {
    return Math.floor(this.limit);
  }

  setBounds(minimum: number, maximum: number): void {
    this.maximum = Math.max(1, maximum);
    this.minimum = Math.min(Math.max(1, minimum), this.maximum);
    this.limit = this.clamp(this.limit);
  }

  /** Records a latency, whatever the outcome of the request. */
  record({latencyMs, activeAtStart}: ConcurrencySample): void {
    if (latencyMs === null) {
      return;
    }
    this.windowSumMs += latencyMs;
    this.windowSamples++;
    if (activeAtStart >= this.value) {
      this.wasReached = true;
    }
    if (this.windowSamples >= WINDOW_SAMPLES) {
      this.closeWindow();
    }
  }

  /** Does nothing: the limit has no slow start. */
  restart(): void {}

  private closeWindow(): void {
    const meanMs = this.windowSumMs / this.windowSamples;
    const baselineMs = Math.min(
      meanMs,
      (this.baselineMs ?? meanMs) * BASELINE_DRIFT,
    );
    const congestedMs = baselineMs * CONGESTION_FACTOR + CONGESTION_SLACK_MS;
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
